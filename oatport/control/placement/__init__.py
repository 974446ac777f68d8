"""Chooses the machine for each task: feasibility filters, scoring, gang scheduling, preemption, retries and
failure attribution."""
