"""Experiments in virtual time, reproducible from a seed. Their libraries are the extra `lab`."""
