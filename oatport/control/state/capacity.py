"""How many tasks of a job fit into some capacity: bin packing of one task size, machine type by machine type."""

from __future__ import annotations

from oatport import wire


def task_slots(spec: wire.Submission, cpus: float, gpus: float, memory_gb: float) -> int:
    """How many tasks of a job this much free capacity holds."""
    count = int((cpus + 1e-9) // spec.cpus)
    if spec.gpus > 0:
        count = min(count, int((gpus + 1e-9) // spec.gpus))
    if spec.memory_gb > 0:
        count = min(count, int((memory_gb + 1e-9) // spec.memory_gb))
    return max(count, 0)


def task_slots_when_empty(kind: wire.MachineType, spec: wire.Submission) -> int:
    """How many tasks of a job an empty machine of a type holds."""
    return task_slots(spec, kind.cpus, kind.gpus, kind.memory_gb)


def max_tasks_per_zone(spec: wire.Submission) -> int:
    """How many of a job's tasks may be in one zone."""
    return (spec.task_count + 1) // 2 if spec.spread else spec.task_count


def feasible_machine_types(spec: wire.Submission, types: dict[str, wire.MachineType]) -> list[wire.MachineType]:
    """The machine types that can run a task of a job, in the order of the catalog."""
    return [
        kind
        for kind in types.values()
        if (spec.machine_types is None or kind.name in spec.machine_types)
        and (spec.zone is None or spec.zone in kind.zones)
        and task_slots_when_empty(kind, spec) > 0
    ]
