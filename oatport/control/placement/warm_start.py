"""Starts replicas on machines that hold their image: lower-priority work is preempted there to avoid a long fetch."""

from __future__ import annotations

from oatport.control.placement.image_fetch import image_fetch_time
from oatport.control.placement.preemption import PREEMPTION_INTERVAL, PreemptionPlanner
from oatport.control.placement.scoring import MachineScorer
from oatport.control.state.job import Job
from oatport.control.state.machine import Machine
from oatport.times import SECOND

IMAGE_FETCHED_AFTER = 8 * SECOND  # an image is assumed to be fetched this long after its first task was bound
WARM_START_WAIT = SECOND * 7 // 10  # how long a replica waits for capacity on a machine that has its image


class WarmStarts:
    """Decides whether a replica waits briefly for a machine that has its image."""

    def __init__(self, scorer: MachineScorer, preemption: PreemptionPlanner) -> None:
        self._scorer = scorer
        self._preemption = preemption

    def should_wait(self, job: Job, machine: Machine, usable: list[Machine], now: int) -> bool:
        """Returns whether a replica should wait for capacity on a machine that has its image.

        If a fetch would take longer than the start objective of the job allows, work of lower priority is stopped on
        machines that have the image. Once `WARM_START_WAIT` has passed, the replica takes the freed capacity or
        `machine`, the best free one.
        """
        if job.spec.image in machine.images or not self._is_fetch_too_long(job, machine):
            return False
        if job.preempt_after <= now:
            warm = [m for m in usable if m.images.get(job.spec.image, now) < now - IMAGE_FETCHED_AFTER]
            self._preemption.preempt(job, warm, now, failed_search_interval=0)
        return job.preempt_after - now > PREEMPTION_INTERVAL - WARM_START_WAIT

    def _is_fetch_too_long(self, job: Job, machine: Machine) -> bool:
        start_within = self._scorer.start_objective(job)
        # The fetch rate varies by about a third, and one second is allowed for placement.
        return start_within is not None and image_fetch_time(job.spec, machine) * 4 // 3 + SECOND > start_within
