"""Deterministic simulation of whole deployments: real nodes in virtual time, all outside systems modelled.

`runner` runs scenarios, `simulation` puts one deployment together, `fault_injection` carries out the faults of a
`fault_plan`, and `invariant_checker` judges what happened on machines and what users were told.
"""
