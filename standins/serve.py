"""Deprecated spelling of `python -m emulators.serve`."""

from standins import forward

if __name__ == "__main__":
    forward("serve", "serve")
