"""The machine catalog, and the types of it that can run a job."""

from __future__ import annotations

from oatport import wire
from oatport.control.state.capacity import feasible_machine_types
from oatport.control.state.job import Job
from oatport.times import micros


class MachineTypeCatalog:
    """The machine types that can be rented now."""

    def __init__(self, types: dict[str, wire.MachineType]) -> None:
        self.types = types
        self.generation = 0  # goes up when the catalog changes

    def update(self, types: dict[str, wire.MachineType]) -> None:
        """The catalog as it is now."""
        self.types.clear()
        self.types.update(types)
        self.generation += 1

    def feasible_types(self, job: Job) -> list[wire.MachineType]:
        """Machine types that can run a job, found once a catalog."""
        if job.feasible_types is None or job.feasible_types[0] != self.generation:
            job.feasible_types = (self.generation, feasible_machine_types(job.spec, self.types))
        return job.feasible_types[1]

    def preferred_types(self, job: Job) -> list[wire.MachineType]:
        """Those it is meant for: machines with GPUs are for work that needs them, or has no other place."""
        return self._preferred_types(job)[1]

    def preferred_type_names(self, job: Job) -> tuple[str, ...]:
        """Their names."""
        return self._preferred_types(job)[2]

    def _preferred_types(self, job: Job) -> tuple[int, list[wire.MachineType], tuple[str, ...]]:
        found = job.preferred_types
        if found is None or found[0] != self.generation:
            types = self.feasible_types(job)
            if job.spec.gpus <= 0:
                types = [kind for kind in types if kind.gpus == 0] or types
            found = job.preferred_types = (self.generation, types, tuple(kind.name for kind in types))
        return found

    def image_fetch_us(self, job: Job) -> int:
        """How long its image takes to get to a machine of the types that suit it."""
        rates = [kind.image_fetch_gb_per_s for kind in self.preferred_types(job) if kind.image_fetch_gb_per_s > 0]
        return micros(job.spec.image_size_gb / min(rates)) if rates else 0
