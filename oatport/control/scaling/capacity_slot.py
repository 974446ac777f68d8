"""Represents the capacity of one present or future machine while tasks are planned on it."""

from __future__ import annotations

from dataclasses import dataclass

from oatport import wire
from oatport.control.state.capacity import task_slots
from oatport.control.state.machine import Machine


@dataclass(slots=True)
class CapacitySlot:
    """Holds the capacity of a machine that is left for planned tasks."""

    type: wire.MachineType
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    attempts: int
    position: int = 0  # among all slots, in the order in which they are used

    @classmethod
    def of(cls, machine_type: wire.MachineType, zone: str, spot: bool) -> CapacitySlot:
        """Returns the slot of an empty machine."""
        capacity = (machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
        return cls(machine_type, zone, spot, *capacity, wire.MAX_ATTEMPTS_PER_MACHINE)

    @classmethod
    def free_on(cls, machine: Machine) -> CapacitySlot:
        """Returns a slot with the capacity that is free on a machine now."""
        capacity = (machine.free_cpus, machine.free_gpus, machine.free_memory_gb)
        return cls(machine.type, machine.zone, machine.spot, *capacity, machine.free_attempts)

    def free_slots(self, spec: wire.Submission) -> int:
        """Returns how many more tasks of a job fit."""
        return task_slots(spec, self.cpus, self.gpus, self.memory_gb, self.attempts)

    def reserve(self, spec: wire.Submission, limit: int) -> int:
        """Reserves capacity for up to `limit` tasks; returns for how many it sufficed."""
        count = max(0, min(self.free_slots(spec), limit))
        self.cpus -= count * spec.cpus
        self.gpus -= count * spec.gpus
        self.memory_gb -= count * spec.memory_gb
        self.attempts -= count
        return count
