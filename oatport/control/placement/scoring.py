"""How well a feasible machine suits a task: the scores that candidates are ranked by."""

from __future__ import annotations

from oatport.control.placement.image_fetch import image_fetch_time
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import Job, JobKind
from oatport.control.state.machine import Machine
from oatport.times import SECOND

Score = tuple[float, ...]  # compared part by part; the least is the best

TERMS_BEFORE_ZONE_BALANCE = 6  # terms of a score that weigh more than a job's replicas in the machine's zone
SLOWDOWN_MAX = 1.6  # observed over predicted run time beyond which a machine is a slow one
REPLACEMENT_START = SECOND  # within which a lost replica should run again
CONTENDED_FREE_SHARE = 0.2  # of the CPUs of owned machines, up to which they are contended


class MachineScorer:
    """Scores machines for the tasks of a job; `start_pass` looks at the contention of the next pass."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster
        self._owned_machines_contended = False

    def start_pass(self, usable: list[Machine]) -> None:
        """Look at how contended owned machines are."""
        self._owned_machines_contended = self._is_contended(usable)

    def _is_contended(self, usable: list[Machine]) -> bool:
        """Owned machines are nearly full, or there is work beside services to use what those leave.

        Only then is capacity kept: none is kept, and paid, for nothing.
        """
        if any(job.kind is not JobKind.SERVICE for job in self._cluster.pending):
            return True
        owned = [m for m in usable if not m.spot and m.type.gpus == 0]
        return sum(m.free_cpus for m in owned) < CONTENDED_FREE_SHARE * sum(m.type.cpus for m in owned)

    def score(self, job: Job, machine: Machine, start_within: int | None) -> Score:
        """Free owned machines first. For services, the job's other replicas come between the terms."""
        spec = job.spec
        service = job.kind is JobKind.SERVICE
        return (
            machine.spot,
            machine.slowdown > SLOWDOWN_MAX and machine.slowdown_samples > 1,
            machine.type.gpus if spec.gpus == 0 else 0,
            service and start_within is not None and image_fetch_time(spec, machine) > start_within,
            # A machine full of replicas can't take over a lost one of the same job, which would need no fetch there:
            # capacity for one more is left to work that can be stopped for it, where there is such work.
            service
            and self._owned_machines_contended
            and spec.task_count >= self._cluster.tuning.mate_room_tasks
            and machine.type.cpus - machine.service_cpus < 2 * spec.cpus - 1e-9,
            spec.image not in machine.images,
            # Otherwise replicas together, and the rest away from them: machines without replicas can be returned, and
            # those with them, where the images are, have capacity for more.
            -machine.service_cpus if service else machine.service_cpus,
            machine.free_cpus,  # the fullest first
        )

    def start_objective(self, job: Job) -> int | None:
        """How soon the next task should run; a lost replica is missed at once."""
        index = job.next_pending()
        if job.kind is JobKind.SERVICE and index is not None and index in job.tasks and job.tasks[index].attempt > 0:
            return REPLACEMENT_START
        return self._cluster.objectives.start_within.get(job.spec.job_class)


def with_zone_balance(score: Score, replicas_in_zone: int) -> Score:
    """The score of a machine for a replica: replicas apart, where nothing that weighs more speaks against it."""
    return (*score[:TERMS_BEFORE_ZONE_BALANCE], replicas_in_zone, *score[TERMS_BEFORE_ZONE_BALANCE:])
