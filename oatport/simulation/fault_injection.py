"""Injects the faults of a plan into a simulated deployment."""

from __future__ import annotations

from oatport.simulation.fault_plan import Fault
from oatport.simulation.faults import Handlers
from oatport.simulation.faults.machines import MachineFaults
from oatport.simulation.faults.network import NetworkFaults
from oatport.simulation.faults.nodes import NodeFaults
from oatport.simulation.faults.services import ServiceFaults
from oatport.simulation.faults.users import UserFaults
from oatport.simulation.simulated_deployment import SimulatedDeployment
from oatport.times import SECOND


class FaultInjector:
    """Begins each fault, and ends it after its duration."""

    def __init__(self, deployed: SimulatedDeployment) -> None:
        self._loop = deployed.loop
        machine_faults = MachineFaults(deployed)
        self._handlers: Handlers = {
            **NetworkFaults(deployed).handlers,
            **NodeFaults(deployed).handlers,
            **machine_faults.handlers,
            **ServiceFaults(deployed).handlers,
            **UserFaults(deployed, machine_faults).handlers,
        }

    def inject(self, fault: Fault) -> None:
        """Begins a fault now, and ends it after `for_s` seconds unless its handler returned None."""
        end = self._handlers[fault.kind](fault)
        if end is not None:
            self._loop.call_later_us(round(fault.for_s * SECOND), None, end)
