"""Waiting work, kept in order and by shape, so that a planning pass costs what it can place and not what waits.

In a rush a thousand jobs wait for machines that are all full. A pass that looks at each of them, many times a second,
takes the processor from reports and renewals. Arrays that want the same room stand in one *line*, best first: where
its first finds none, the others have none to find either, and the pass leaves the line at once. Everything else
(gangs, services, jobs bound to zones, suspects) is looked at one by one.

Order changes with routing (`backlog.route_waiting`), which sorts all anew; what comes in between is put in its place.
"""

from __future__ import annotations

import heapq
from bisect import insort
from collections import Counter
from collections.abc import Iterator

from oatport.control.state.job import Job, JobKind
from oatport.times import SECOND

NO_DEADLINE = 600 * SECOND  # by when a job without a deadline is taken to be wanted
RUN_STEP = 5 * SECOND  # run times that differ by less count as one when GPU machines are filled

OrderKey = tuple[int, bool, bool, int, bool, int, int, str]


def order_key(job: Job) -> OrderKey:
    """By priority, then who waits too long, then a team's guarantee, then by how soon the deadline presses; last what
    meets none any more."""
    due = job.deadline_at or job.deadline or job.eligible_at + NO_DEADLINE
    return (
        job.priority_rank,
        job.suspected_faulty,
        not job.starving,
        0 if job.within_guarantee else 1,
        job.deadline_missed,
        due,
        job.eligible_at,
        job.job_id,
    )


def plain(job: Job) -> bool:
    """Any machine with room does, whatever the job's other tasks are on."""
    spec = job.spec
    return job.kind is JobKind.ARRAY and not (spec.spread or spec.single_zone or job.suspected_faulty)


def shape(job: Job) -> tuple[object, ...]:
    """Plain jobs of one shape find room on the same machines, and are of one team."""
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


class Row:
    """A job's place in a line; it stands there no more once the job has another one, or none."""

    __slots__ = ("job", "key")

    def __init__(self, job: Job) -> None:
        self.key, self.job = order_key(job), job

    def __lt__(self, other: Row) -> bool:
        return self.key < other.key

    @property
    def stands(self) -> bool:
        return self.job.queue_entry is self


class Line:
    """Waiting jobs that look for the same room, best first; `plain` is False for the one that holds all others."""

    __slots__ = ("over", "plain", "rows")

    def __init__(self, is_plain: bool) -> None:
        self.plain = is_plain
        self.over = False  # set by a pass: nothing more of it is to be looked at
        self.rows: list[Row] = []


class PendingQueue(set[Job]):
    """The set of waiting jobs; `walk` goes through them in order."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 0  # goes up when a job comes or goes
        self.unrouted: dict[Job, None] = {}  # came since the last routing
        self.cpus: Counter[float] = Counter()  # what one of their tasks takes -> jobs
        self._added: list[Job] = []
        self._lines: dict[tuple[object, ...] | None, Line] = {}
        self._stale = True

    def add(self, job: Job) -> None:
        if job in self:
            return
        super().add(job)
        self.version += 1
        self.cpus[job.spec.cpus] += 1
        self._added.append(job)
        if not job.tier:
            self.unrouted[job] = None

    def discard(self, job: object) -> None:
        if not isinstance(job, Job) or job not in self:
            return
        super().discard(job)
        self.version += 1
        self.unrouted.pop(job, None)
        job.queue_entry = None
        self.cpus[job.spec.cpus] -= 1
        if not self.cpus[job.spec.cpus]:
            del self.cpus[job.spec.cpus]

    def clear(self) -> None:
        for job in list(self):
            self.discard(job)

    def smallest(self) -> float:
        """The least that a task of any waiting job takes, in CPUs; 0 if none waits."""
        return min(self.cpus, default=0.0)

    def rerank(self) -> None:
        """What the order goes by has changed for many."""
        self._stale = True

    def moved(self, job: Job) -> None:
        """What the order goes by has changed for this one."""
        if job in self:
            self._added.append(job)

    def urged(self, job: Job) -> None:
        """How soon it is wanted has changed: it is routed anew."""
        if job in self:
            self.version += 1
            self.unrouted[job] = None
            self.moved(job)

    def _stand(self, job: Job) -> tuple[Line, Row]:
        key = shape(job) if plain(job) else None
        line = self._lines.get(key)
        if line is None:
            line = self._lines[key] = Line(key is not None)
        row = job.queue_entry = Row(job)
        return line, row

    def _settle(self) -> None:
        """Everybody in their place."""
        if self._stale:
            self._lines.clear()
            for job in self:
                line, row = self._stand(job)
                line.rows.append(row)
            for line in self._lines.values():
                line.rows.sort()
        else:
            for job in dict.fromkeys(self._added):
                if job in self:
                    line, row = self._stand(job)
                    insort(line.rows, row)
        self._stale = False
        self._added.clear()

    def walk(self) -> Iterator[tuple[Line, Job]]:
        """All waiting jobs in order, with the line that each is in; of a line that is `over` no more come.

        Jobs that begin or cease to wait meanwhile are fine: the former come with the next walk.
        """
        self._settle()
        heads: list[tuple[OrderKey, int, Row, Line]] = []

        def push(line: Line, at: int) -> None:
            rows = line.rows
            while at < len(rows):
                if rows[at].stands:
                    heapq.heappush(heads, (rows[at].key, at, rows[at], line))
                    return
                at += 1

        for line in self._lines.values():
            line.over = False
            push(line, 0)
        while heads:
            _, at, row, line = heapq.heappop(heads)
            if row.stands:
                yield line, row.job
            if not line.over:
                push(line, at + 1)
