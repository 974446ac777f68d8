"""Budgets of one node: its rate of state service requests and its open connections."""
