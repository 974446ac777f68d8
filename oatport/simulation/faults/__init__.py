"""Implements each kind of fault on a simulated deployment, grouped by the component that is affected.

Each class takes the deployment and maps kinds of faults, as named in plan files, to functions in `handlers`. A handler
begins a fault and returns a function that ends it, or None if the fault needs no end.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from oatport.simulation.fault_plan import Fault

EndFault = Callable[[], None]
Handlers = Mapping[str, Callable[[Fault], EndFault | None]]


def end_all(ends: list[EndFault]) -> EndFault:
    """Returns a function that ends several faults at once."""

    def end() -> None:
        for end_fault in ends:
            end_fault()

    return end
