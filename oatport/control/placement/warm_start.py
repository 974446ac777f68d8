"""Replicas start where their image is: capacity is made there rather than an image fetched for long."""

from __future__ import annotations

from oatport.control.placement.image_fetch import image_fetch_time
from oatport.control.placement.preemption import PREEMPTION_INTERVAL, PreemptionPlanner
from oatport.control.placement.scoring import MachineScorer
from oatport.control.state.job import Job
from oatport.control.state.machine import Machine
from oatport.times import SECOND

IMAGE_FETCHED_AFTER = 8 * SECOND  # an image of a task that was bound so long ago is taken to be fetched
WARM_START_WAIT = SECOND * 7 // 10  # how long a replica waits for capacity where its image is


class WarmStarts:
    """Decides whether a replica waits a moment for a machine that has its image."""

    def __init__(self, scorer: MachineScorer, preemption: PreemptionPlanner) -> None:
        self._scorer = scorer
        self._preemption = preemption

    def should_wait(self, job: Job, machine: Machine, usable: list[Machine], now: int) -> bool:
        """Rather than fetch an image for longer than the class may wait, stop lower work where the image is.

        True while capacity is being made; a moment later the replica takes it, or `machine`, the best that is free.
        """
        if job.spec.image in machine.images or not self._fetch_takes_too_long(job, machine):
            return False
        if job.preempt_after <= now:
            warm = [m for m in usable if m.images.get(job.spec.image, now) < now - IMAGE_FETCHED_AFTER]
            self._preemption.preempt(job, warm, now, failed_search_interval=0)
        return job.preempt_after - now > PREEMPTION_INTERVAL - WARM_START_WAIT

    def _fetch_takes_too_long(self, job: Job, machine: Machine) -> bool:
        start_within = self._scorer.start_objective(job)
        # The rate is give or take a third, and a moment goes to placing.
        return start_within is not None and image_fetch_time(job.spec, machine) * 4 // 3 + SECOND > start_within
