"""Bin packing of tasks of one size: how many tasks of a job fit into given capacity or into a machine type.

Besides CPUs, GPUs and memory a machine has a number of attempts: as many as a heartbeat of the largest size can list.
"""

from __future__ import annotations

from oatport import wire


def task_slots(spec: wire.Submission, cpus: float, gpus: float, memory_gb: float, attempts: int) -> int:
    """Returns how many tasks of a job fit into the given free capacity."""
    count = min(int((cpus + 1e-9) // spec.cpus), attempts)
    if spec.gpus > 0:
        count = min(count, int((gpus + 1e-9) // spec.gpus))
    if spec.memory_gb > 0:
        count = min(count, int((memory_gb + 1e-9) // spec.memory_gb))
    return max(count, 0)


def task_slots_when_empty(machine_type: wire.MachineType, spec: wire.Submission) -> int:
    """Returns how many tasks of a job fit on an empty machine of a type."""
    attempts = wire.MAX_ATTEMPTS_PER_MACHINE
    return task_slots(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb, attempts)


def max_tasks_per_zone(spec: wire.Submission) -> int:
    """Returns how many of a job's tasks may be in one zone."""
    return (spec.task_count + 1) // 2 if spec.spread else spec.task_count


def feasible_machine_types(spec: wire.Submission, types: dict[str, wire.MachineType]) -> list[wire.MachineType]:
    """Returns the machine types that can run a task of a job, in catalog order."""
    return [
        machine_type
        for machine_type in types.values()
        if (spec.machine_types is None or machine_type.name in spec.machine_types)
        and (spec.zone is None or spec.zone in machine_type.zones)
        and task_slots_when_empty(machine_type, spec) > 0
    ]
