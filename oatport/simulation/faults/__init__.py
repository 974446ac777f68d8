"""What each kind of fault does to a simulated deployment, by the part that it hits.

Each class takes the deployment and lists its faults in `handlers`, by the names that plan files give them. A handler
begins a fault and returns what ends it, or None if it ends by itself.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from oatport.simulation.fault_plan import Fault

EndFault = Callable[[], None]
Handlers = Mapping[str, Callable[[Fault], EndFault | None]]


def end_all(ends: list[EndFault]) -> EndFault:
    """What ends several faults at once."""

    def end() -> None:
        for one in ends:
            one()

    return end
