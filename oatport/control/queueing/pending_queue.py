"""Pending jobs in order and by equivalence class, so that a planning pass costs what it can place and not what waits.

In a burst of submissions a thousand jobs wait for machines that are all full. A pass that looks at each of them, many
times a second, takes the processor from heartbeats and lease renewals. Arrays that need the same capacity are in one
*equivalence class*, most urgent first: where its first job finds none, the others have none to find either, and the
pass leaves the class at once. Everything else (gangs, services, jobs bound to zones, suspected ones) is looked at one
by one.

The order changes with routing (`pending_job_router.py`), after which all is sorted anew; what comes in between is
inserted in its place.
"""

from __future__ import annotations

import heapq
from bisect import insort
from collections import Counter
from collections.abc import Iterator

from oatport.control.state.job import Job, JobKind
from oatport.times import SECOND

DEFAULT_DEADLINE = 600 * SECOND  # after its submission: by when a job without a deadline is taken to be wanted
RUNTIME_BUCKET = 5 * SECOND  # run times that differ by less count as one when machines with GPUs are backfilled

OrderKey = tuple[int, bool, bool, int, bool, int, int, str]


def order_key(job: Job) -> OrderKey:
    """By priority, then who starves, then a team's guarantee, then by deadline; last what meets none any more."""
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
    """Any machine with free capacity does, whatever the job's other tasks are on."""
    spec = job.spec
    return job.kind is JobKind.ARRAY and not (spec.spread or spec.single_zone or job.suspected_faulty)


def equivalence_key(job: Job) -> tuple[object, ...]:
    """Interchangeable jobs with the same key find capacity on the same machines, and are of one team."""
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
    """A job's place in its equivalence class; not current once the job has another place, or none."""

    __slots__ = ("job", "key")

    def __init__(self, job: Job) -> None:
        self.key, self.job = order_key(job), job

    def __lt__(self, other: QueueEntry) -> bool:
        return self.key < other.key

    @property
    def is_current(self) -> bool:
        """The job's place is still this one."""
        return self.job.queue_entry is self


class EquivalenceClass:
    """Pending jobs that need the same capacity, in order; all that aren't interchangeable are in one class."""

    __slots__ = ("entries", "exhausted", "interchangeable")

    def __init__(self, interchangeable: bool) -> None:
        self.interchangeable = interchangeable
        self.exhausted = False  # set by a pass: nothing more of it is to be looked at
        self.entries: list[QueueEntry] = []


class PendingQueue(set[Job]):
    """The set of pending jobs; `walk` goes through them in order."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 0  # goes up when a job comes or goes
        self.unrouted: dict[Job, None] = {}  # came since the last routing
        self._jobs_by_task_cpus: Counter[float] = Counter()
        self._to_insert: list[Job] = []
        self._classes: dict[tuple[object, ...] | None, EquivalenceClass] = {}
        self._order_outdated = True

    def add(self, job: Job) -> None:
        """A job has pending tasks now."""
        if job in self:
            return
        super().add(job)
        self.version += 1
        self._jobs_by_task_cpus[job.spec.cpus] += 1
        self._to_insert.append(job)
        if not job.tier:
            self.unrouted[job] = None

    def discard(self, job: object) -> None:
        """A job has no pending tasks any more."""
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
        """Discard all jobs."""
        for job in list(self):
            self.discard(job)

    def smallest_cpus(self) -> float:
        """The least that a task of any pending job takes, in CPUs; 0 if none is pending."""
        return min(self._jobs_by_task_cpus, default=0.0)

    def reorder(self) -> None:
        """What the order goes by has changed for many."""
        self._order_outdated = True

    def reposition(self, job: Job) -> None:
        """What the order goes by has changed for this one."""
        if job in self:
            self._to_insert.append(job)

    def reroute(self, job: Job) -> None:
        """How soon it is wanted has changed: it is routed anew."""
        if job in self:
            self.version += 1
            self.unrouted[job] = None
            self.reposition(job)

    def _new_entry(self, job: Job) -> tuple[EquivalenceClass, QueueEntry]:
        """A new place for a job, not yet inserted in the class; the one it had is not current any more."""
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
        """All pending jobs in order, each with its class; of a class that is `exhausted` no more come.

        Jobs that begin or cease to be pending meanwhile are fine: the former come with the next walk.
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
