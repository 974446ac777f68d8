"""Deprecated spelling of `python -m emulators.smoke_test`."""

from standins import forward

if __name__ == "__main__":
    forward("smoke", "smoke_test")
