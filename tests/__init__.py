"""TODO: what this package is for."""
