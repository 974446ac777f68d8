"""The capacity of one machine, present or to come, while it is planned who is to have it."""

from __future__ import annotations

from dataclasses import dataclass

from oatport import wire
from oatport.control.state.capacity import task_slots
from oatport.control.state.machine import Machine


@dataclass(slots=True)
class CapacitySlot:
    """What is left of a machine for tasks that are planned on it."""

    type: wire.MachineType
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    position: int = 0  # among all slots, in the order in which they are used

    @classmethod
    def of(cls, machine_type: wire.MachineType, zone: str, spot: bool) -> CapacitySlot:
        """The slot of an empty machine."""
        return cls(machine_type, zone, spot, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)

    @classmethod
    def free_on(cls, machine: Machine) -> CapacitySlot:
        """What is free on a machine now."""
        return cls(
            machine.type, machine.zone, machine.spot, machine.free_cpus, machine.free_gpus, machine.free_memory_gb
        )

    def free_slots(self, spec: wire.Submission) -> int:
        """How many more tasks of a job fit."""
        return task_slots(spec, self.cpus, self.gpus, self.memory_gb)

    def reserve(self, spec: wire.Submission, limit: int) -> int:
        """Reserve capacity for up to `limit` tasks; returns for how many there was any."""
        count = max(0, min(self.free_slots(spec), limit))
        self.cpus -= count * spec.cpus
        self.gpus -= count * spec.gpus
        self.memory_gb -= count * spec.memory_gb
        return count
