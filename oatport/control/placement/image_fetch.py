"""Estimates how long a machine takes to fetch a task's image."""

from __future__ import annotations

from oatport import wire
from oatport.control.state.machine import Machine
from oatport.times import micros

FETCH_RATE_MIN = 0.01  # GB per second


def image_fetch_time(spec: wire.Submission, machine: Machine) -> int:
    """Returns the time that a machine needs to fetch the image; 0 if it has the image or is already fetching it."""
    if spec.image in machine.images:
        return 0
    return micros(spec.image_size_gb / max(machine.type.image_fetch_gb_per_s, FETCH_RATE_MIN))
