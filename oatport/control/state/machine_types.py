"""The catalog of machine types, and the types that can run a job."""

from __future__ import annotations

from oatport import wire
from oatport.control.state.capacity import feasible_machine_types
from oatport.control.state.job import Job
from oatport.times import micros


class MachineTypeCatalog:
    """Holds the machine types that can currently be rented."""

    def __init__(self, types: dict[str, wire.MachineType]) -> None:
        self.types = types
        self.generation = 0  # incremented when the catalog changes

    def update(self, types: dict[str, wire.MachineType]) -> None:
        """Replaces the catalog with the current one."""
        self.types.clear()
        self.types.update(types)
        self.generation += 1

    def feasible_types(self, job: Job) -> list[wire.MachineType]:
        """Returns the machine types that can run a job; computed once per catalog generation."""
        if job.feasible_types is None or job.feasible_types[0] != self.generation:
            job.feasible_types = (self.generation, feasible_machine_types(job.spec, self.types))
        return job.feasible_types[1]

    def preferred_types(self, job: Job) -> list[wire.MachineType]:
        """Returns the preferred machine types of a job: with GPUs only if it needs them or no other type can run it."""
        return self._preferred_types(job)[1]

    def preferred_type_names(self, job: Job) -> tuple[str, ...]:
        """Returns the names of the preferred machine types of a job."""
        return self._preferred_types(job)[2]

    def _preferred_types(self, job: Job) -> tuple[int, list[wire.MachineType], tuple[str, ...]]:
        found = job.preferred_types
        if found is None or found[0] != self.generation:
            types = self.feasible_types(job)
            if job.spec.gpus <= 0:
                types = [machine_type for machine_type in types if machine_type.gpus == 0] or types
            found = job.preferred_types = (self.generation, types, tuple(machine_type.name for machine_type in types))
        return found

    def image_fetch_us(self, job: Job) -> int:
        """Returns how long a job's image takes to fetch on the slowest of its preferred machine types."""
        rates = [
            machine_type.image_fetch_gb_per_s
            for machine_type in self.preferred_types(job)
            if machine_type.image_fetch_gb_per_s > 0
        ]
        return micros(job.spec.image_size_gb / min(rates)) if rates else 0
