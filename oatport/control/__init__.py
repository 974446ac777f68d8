"""Pure decisions: no I/O and no clock; events and the time are handed in."""
