"""Runs a controller node: its election, the leader's controllers, and contact with peers and the state service."""
