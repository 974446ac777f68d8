"""Runs a controller node: leader election, the controllers of the leader, and contact with peers and services."""
