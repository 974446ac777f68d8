"""Bin packing of tasks of one size: how many tasks of a job fit into given capacity or into a machine type.

Besides CPUs, GPUs and memory a machine has a number of attempts: as many as a heartbeat of the largest size can list.
"""

from __future__ import annotations

from oatport import wire

CAPACITY_TOLERANCE = 1e-9


def fitting_count(available: float, demand: float, limit: int) -> int:
    """Returns how many tasks that take `demand` of a resource fit into what is available, at most `limit`.

    The product is compared first, since the quotient of a very small demand is no number.
    """
    if demand <= 0 or demand * limit <= available + CAPACITY_TOLERANCE:
        return limit
    return max(int((available + CAPACITY_TOLERANCE) // demand), 0)


def task_slots(spec: wire.Submission, cpus: float, gpus: float, memory_gb: float, attempts: int) -> int:
    """Returns how many tasks of a job fit into the given free capacity."""
    count = max(attempts, 0)
    count = fitting_count(cpus, spec.cpus, count)
    count = fitting_count(gpus, spec.gpus, count)
    return fitting_count(memory_gb, spec.memory_gb, count)


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
