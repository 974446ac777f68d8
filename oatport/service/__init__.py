"""Lifecycle of a node: leadership, group commit, outages."""
