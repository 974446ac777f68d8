"""Contains the pure decision logic: no I/O and no clock, since callers pass in events and the time."""
