"""Deterministic simulation of whole deployments: real nodes in virtual time, with models of all external systems.

`runner` runs scenarios, `simulation` runs one deployment, `fault_injection` injects the faults of a `fault_plan`, and
`invariant_checker` checks the invariants against the tasks on machines and the responses to users.
"""
