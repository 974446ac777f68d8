"""Jobs that wait for others, in the leader's view: kept apart from the unfinished ones until they are released.

So they count for no limit, guarantee, queue or hunger, and cost no pass anything. Whose needed jobs are all done, by
their records, becomes an unfinished job as any; its first claim writes `live/REF` and drops `waits/REF`.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from oatport.control.queueing.dependency_graph import DependencyGraph, Known, Urgency, earliest
from oatport.control.queueing.runtime_predictor import RuntimePredictor
from oatport.control.state.model import NORMAL_RANK, PRIORITIES, Job, Kind
from oatport.control.storage.record_layout import RecordLayout, cancel_key, waits_key
from oatport.control.storage.write_buffer import WriteBuffer
from oatport.times import SECOND

log = logging.getLogger(__name__)

STEP = 2 * SECOND  # between a stage's last task and the next one's first: report, record, claim, command
NAMED_MOST = 10  # jobs that are named in one line
REMEMBERED_MOST = 10_000


class DependencyTracker(WriteBuffer):
    """The base of `Work`."""

    def __init__(self, predictor: RuntimePredictor, layout: RecordLayout) -> None:
        super().__init__(predictor, layout)
        self.pipelines = DependencyGraph()
        self.held_up: dict[str, Job] = {}  # jobs that wait for others
        self.on_released: Callable[[Job], None] = lambda job: None
        self.told_cancelled: dict[str, int] = {}  # jobs not known here -> told after this (steady)
        self.carried: dict[str, Urgency] = {}  # what is asked of waiting jobs by those that need them

    # --- what `Work` has ----------------------------------------------------------------------

    def join(self, job: Job) -> None:
        """It may start from now on."""
        raise NotImplementedError

    def counted(self, job: Job) -> None:
        """It was accepted."""
        raise NotImplementedError

    def fetch_us(self, job: Job) -> int:
        """How long its image takes to get to a machine."""
        raise NotImplementedError

    def own_dues(self, job: Job) -> list[int]:
        """Times of day by which its users look for its end."""
        raise NotImplementedError

    def set_urgency(self, job: Job, rank: int, dues: list[int]) -> None:
        raise NotImplementedError

    # --- waiting and release ------------------------------------------------------------------

    def known_of(self, ref: str) -> Known:
        job = self.jobs.get(ref)
        if job is not None:
            return Known.CANCELLED if job.cancelled and not job.failure_reason else Known.OPEN
        if ref in self.held_up:
            return Known.OPEN
        return Known.CANCELLED if ref in self.told_cancelled else Known.UNKNOWN

    def add_waiting(self, job: Job) -> None:
        """An accepted job that names others, no task of which was ever claimed."""
        if job.ref in self.jobs or job.ref in self.held_up or job.ref in self.to_call_off:
            return
        self.versions[waits_key(job.ref)] = job.version
        self.pipelines.seen(job.ref)
        self.counted(job)
        state = self.pipelines.add(job.ref, job.needs, self.known_of)
        if job.ref in self.told_cancelled:
            self.held_up[job.ref] = job
            self.cancel_waiting(job.ref, 0)
        elif state is Known.OPEN:
            self.held_up[job.ref] = job
            log.info("job %s waits for %s", job.ref, named(self.pipelines.waits(job.ref)))
        elif state is Known.CANCELLED:
            self._call_off_waiting(job)
        else:
            self._release(job)

    def _release(self, job: Job) -> None:
        log.info("job %s is released", job.ref)
        self.carried.pop(job.ref, None)
        self.jobs[job.ref] = job
        self.join(job)
        self.on_released(job)

    def job_done(self, ref: str, at: int) -> None:
        """That it is done is recorded, since then (time of day)."""
        after, released = self.pipelines.done(ref)
        for name in after:
            job = self.held_up[name]
            job.from_at = max(job.from_at, at)
        for name in released:
            self._release(self.held_up.pop(name))

    # --- cancellation -------------------------------------------------------------------------

    def cancel_after(self, ref: str) -> None:
        """It was cancelled, and with it all that need it."""
        for name in self.pipelines.cancelled(ref):
            job = self.held_up.pop(name)
            log.info("job %s is cancelled with %s", name, ref)
            self._call_off_waiting(job)

    def _call_off_waiting(self, job: Job) -> None:
        job.cancelled = True
        self.carried.pop(job.ref, None)
        self.to_call_off[job.ref] = job

    def cancel_waiting(self, ref: str, mark_version: int) -> None:
        """Its own user cancelled it: that is recorded already, and what is left of it goes.

        Without the version of its mark (0) that is only told, and may as well follow from a needed job: it is recorded
        like a job whose needed one was cancelled, on the condition that it isn't recorded yet.
        """
        job = self.held_up.pop(ref, None) or self.to_call_off.pop(ref, None)
        if job is None:
            return
        if not mark_version:
            self.pipelines.leave(ref)
            self._call_off_waiting(job)
            return
        job.cancelled = True
        self.carried.pop(ref, None)
        self.versions[cancel_key(ref)] = mark_version
        self.to_clean[job] = None

    def remember_cancelled(self, ref: str, told_after: int) -> None:
        """Its user was told so, and nothing is known of it here: accepted while the records could not be read, or over.

        Should it be heard of, nothing of it starts. Bounded: what is forgotten fails by the condition of its claim.
        """
        self.told_cancelled.setdefault(ref, told_after)  # told again it was told no later
        if len(self.told_cancelled) > REMEMBERED_MOST:
            del self.told_cancelled[next(iter(self.told_cancelled))]

    # --- urgency ------------------------------------------------------------------------------

    def _urgency(self, ref: str) -> tuple[Urgency, int]:
        """A waiting job's urgency, and the time that it takes: what `Pipelines.wanted` asks."""
        job = self.held_up[ref]
        asked = self.carried.get(ref)
        dues = tuple(self.own_dues(job))
        rank = stage_rank(job)
        if asked is not None:
            rank = min(rank, asked.rank)
            dues = earliest(dues, asked.dues)
        return Urgency(rank, dues), self.predictor.run_time(ref, job.spec) + self.fetch_us(job) + STEP

    def settle_urgency(self) -> None:
        """Carry deadlines and priorities back, where jobs came or went. Each job once, however many need it."""
        stale = self.pipelines.stale
        while stale:
            ref = next(iter(stale))
            del stale[ref]
            job = self.held_up.get(ref) or self.jobs.get(ref)
            if job is None:
                continue
            asked = self.pipelines.wanted(ref, self._urgency)
            if ref in self.held_up:
                if asked != self.carried.get(ref):
                    if asked is None:
                        del self.carried[ref]
                    else:
                        self.carried[ref] = asked
                    stale.update(dict.fromkeys(self.pipelines.waits(ref)))
                continue
            own = stage_rank(job)
            rank = own if asked is None or job.kind is Kind.SERVICE else min(own, asked.rank)
            self.set_urgency(job, rank, list(asked.dues) if asked is not None else [])

    def why_waiting(self, ref: str) -> str:
        """What a waiting job waits for, in words; empty if it doesn't wait for others."""
        lost = [need for need in self.pipelines.waits(ref) if need in self.jobs and self.jobs[need].failure_reason]
        text = f"waits for {named(self.pipelines.waits(ref))}" if ref in self.held_up else ""
        return text + (f"; lost, so that it waits until it is cancelled: {named(lost)}" if lost else "")


def stage_rank(job: Job) -> int:
    """A job's own priority. One that names others is a stage of what somebody waits for, which is no idle work.

    Users set the priority that they care about on the last job only, and some submit that when the others are over: a
    stage of the lowest priority then waited 100 to 200 s behind everything else.
    """
    own = PRIORITIES[job.spec.priority]
    return min(own, NORMAL_RANK) if job.needs else own


def named(refs: list[str]) -> str:
    more = len(refs) - NAMED_MOST
    return ", ".join(refs[:NAMED_MOST]) + (f" and {more} more" if more > 0 else "")
