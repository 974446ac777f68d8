"""Deprecated spelling of `python -m emulators.demo`."""

from standins import forward

if __name__ == "__main__":
    forward("demo", "demo")
