"""Orders pending jobs by equivalence class, so that the cost of a planning pass depends on what it can place.

The cost must not depend on the number of pending jobs: in a burst of submissions a thousand jobs wait for machines that
are all full. A pass that examined each of them many times a second would take the CPU time that heartbeats and lease
renewals need. Arrays that need the same capacity are in one *equivalence class*, most urgent first: if its first job
finds no capacity, the others find none either, and the pass skips the rest of the class. All other jobs (gangs,
services, jobs bound to zones, suspected ones) are examined one by one.

Routing (`pending_job_router.py`) changes the order, and all jobs are sorted again afterwards; jobs that are added
between two rounds of routing are inserted at their position.
"""

from __future__ import annotations

import heapq
from bisect import insort
from collections import Counter
from collections.abc import Iterator

from oatport.control.state.job import Job, JobKind
from oatport.times import SECOND

DEFAULT_DEADLINE = 600 * SECOND  # assumed for a job without a deadline, from its submission
RUNTIME_BUCKET = 5 * SECOND  # granularity of run times when machines with GPUs are backfilled

OrderKey = tuple[int, bool, bool, int, bool, int, int, str]


def order_key(job: Job) -> OrderKey:
    """Returns the sort key of a pending job.

    The order is by priority, suspicion (suspected jobs last), starvation, the team's guarantee, and deadline; jobs that
    can meet no deadline any more come after those that can.
    """
    deadline = job.deadline_at or job.deadline or job.eligible_at + DEFAULT_DEADLINE
    return (
        job.priority_rank,
        job.suspected_faulty,
        not job.starving,
        0 if job.within_guarantee else 1,
        job.deadline_missed,
        deadline,
        job.eligible_at,
        job.job_id,
    )


def is_interchangeable(job: Job) -> bool:
    """Returns whether any machine with free capacity suits the job, wherever its other tasks run."""
    spec = job.spec
    return job.kind is JobKind.ARRAY and not (spec.spread or spec.single_zone or job.suspected_faulty)


def equivalence_key(job: Job) -> tuple[object, ...]:
    """Returns the key of a job's class: interchangeable jobs with one key fit the same machines and share a team."""
    spec = job.spec
    return (
        job.priority_rank,
        job.starving,
        job.tier,
        spec.spot,
        spec.zone,
        tuple(spec.machine_types) if spec.machine_types else None,
        spec.team,
        job.within_guarantee,
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        job.runtime_bucket,
    )


class QueueEntry:
    """Holds a job's position in its equivalence class; outdated once the job has a newer entry, or none."""

    __slots__ = ("job", "key")

    def __init__(self, job: Job) -> None:
        self.key, self.job = order_key(job), job

    def __lt__(self, other: QueueEntry) -> bool:
        return self.key < other.key

    @property
    def is_current(self) -> bool:
        """Returns whether this is still the job's entry."""
        return self.job.queue_entry is self


class EquivalenceClass:
    """Holds pending jobs that need the same capacity, in order; jobs that are not interchangeable share one class."""

    __slots__ = ("entries", "exhausted", "interchangeable")

    def __init__(self, interchangeable: bool) -> None:
        self.interchangeable = interchangeable
        self.exhausted = False  # set by a planning pass to skip the remaining jobs of the class
        self.entries: list[QueueEntry] = []


class PendingQueue(set[Job]):
    """Holds the set of pending jobs; `walk` iterates over them in order."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 0  # incremented whenever a job is added, removed or rerouted
        self.unrouted: dict[Job, None] = {}  # jobs that were added or changed since the last routing
        self._jobs_by_task_cpus: Counter[float] = Counter()
        self._to_insert: list[Job] = []
        self._classes: dict[tuple[object, ...] | None, EquivalenceClass] = {}
        self._order_outdated = True

    def add(self, job: Job) -> None:
        """Adds a job that has pending tasks."""
        if job in self:
            return
        super().add(job)
        self.version += 1
        self._jobs_by_task_cpus[job.spec.cpus] += 1
        self._to_insert.append(job)
        if not job.tier:
            self.unrouted[job] = None

    def discard(self, job: object) -> None:
        """Removes a job that has no pending tasks any more."""
        if not isinstance(job, Job) or job not in self:
            return
        super().discard(job)
        self.version += 1
        self.unrouted.pop(job, None)
        job.queue_entry = None
        self._jobs_by_task_cpus[job.spec.cpus] -= 1
        if not self._jobs_by_task_cpus[job.spec.cpus]:
            del self._jobs_by_task_cpus[job.spec.cpus]

    def clear(self) -> None:
        """Removes all jobs."""
        for job in list(self):
            self.discard(job)

    def smallest_cpus(self) -> float:
        """Returns the smallest CPU request of a task of any pending job; 0 if none is pending."""
        return min(self._jobs_by_task_cpus, default=0.0)

    def reorder(self) -> None:
        """Marks the whole order as outdated, after the sort keys of many jobs have changed."""
        self._order_outdated = True

    def reposition(self, job: Job) -> None:
        """Schedules one job for insertion at its new position, after its sort key has changed."""
        if job in self:
            self._to_insert.append(job)

    def reroute(self, job: Job) -> None:
        """Schedules a job for routing, after its urgency has changed."""
        if job in self:
            self.version += 1
            self.unrouted[job] = None
            self.reposition(job)

    def _new_entry(self, job: Job) -> tuple[EquivalenceClass, QueueEntry]:
        """Returns a new entry for a job, not yet inserted into its class; the job's earlier entry becomes outdated."""
        key = equivalence_key(job) if is_interchangeable(job) else None
        equivalence_class = self._classes.get(key)
        if equivalence_class is None:
            equivalence_class = self._classes[key] = EquivalenceClass(key is not None)
        entry = job.queue_entry = QueueEntry(job)
        return equivalence_class, entry

    def _update_order(self) -> None:
        if self._order_outdated:
            self._sort_all()
        else:
            for job in dict.fromkeys(self._to_insert):
                if job in self:
                    equivalence_class, entry = self._new_entry(job)
                    insort(equivalence_class.entries, entry)
        self._order_outdated = False
        self._to_insert.clear()

    def _sort_all(self) -> None:
        self._classes.clear()
        for job in self:
            equivalence_class, entry = self._new_entry(job)
            equivalence_class.entries.append(entry)
        for equivalence_class in self._classes.values():
            equivalence_class.entries.sort()

    def walk(self) -> Iterator[tuple[EquivalenceClass, Job]]:
        """Iterates over all pending jobs in order, each with its class, and skips the rest of an `exhausted` class.

        Jobs may be added or removed during the iteration; added jobs appear in the next one.
        """
        self._update_order()
        heads: list[tuple[OrderKey, int, QueueEntry, EquivalenceClass]] = []

        def push_from(index: int, equivalence_class: EquivalenceClass) -> None:
            entries = equivalence_class.entries
            while index < len(entries):
                if entries[index].is_current:
                    heapq.heappush(heads, (entries[index].key, index, entries[index], equivalence_class))
                    return
                index += 1

        for equivalence_class in self._classes.values():
            equivalence_class.exhausted = False
            push_from(0, equivalence_class)
        while heads:
            _, index, entry, equivalence_class = heapq.heappop(heads)
            if entry.is_current:
                yield equivalence_class, entry.job
            if not equivalence_class.exhausted:
                push_from(index + 1, equivalence_class)
