"""Runs a controller node: leader election, group commit, the controllers of the leader, and contact in outages."""
