"""Scores feasible machines by how well they suit a task; candidates are ranked by these scores."""

from __future__ import annotations

from oatport.control.placement.image_fetch import image_fetch_time
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import Job, JobKind
from oatport.control.state.machine import Machine
from oatport.times import SECOND

Score = tuple[float, ...]  # compared term by term; the lowest is the best

TERMS_BEFORE_ZONE_BALANCE = 6  # terms that take precedence over the number of replicas in the machine's zone
SLOWDOWN_MAX = 1.6  # ratio of observed to predicted run time above which a machine counts as slow
REPLACEMENT_START_OBJECTIVE = SECOND  # within which a lost replica should run again
CONTENDED_FREE_SHARE = 0.2  # owned machines are contended while a smaller share of their CPUs is free


class MachineScorer:
    """Scores machines for the tasks of a job; `start_pass` determines the contention for the next pass."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster
        self._owned_machines_contended = False

    def start_pass(self, usable: list[Machine]) -> None:
        """Determines whether owned machines are contended in this pass."""
        self._owned_machines_contended = self._is_contended(usable)

    def _is_contended(self, usable: list[Machine]) -> bool:
        """Returns whether owned machines are nearly full, or work other than services is pending that could use them.

        Headroom for replacements is reserved only then; at other times it would cost money without being needed.
        """
        if any(job.kind is not JobKind.SERVICE for job in self._cluster.pending):
            return True
        owned = [m for m in usable if not m.spot and m.type.gpus == 0]
        return sum(m.free_cpus for m in owned) < CONTENDED_FREE_SHARE * sum(m.type.cpus for m in owned)

    def score(self, job: Job, machine: Machine, start_within: int | None) -> Score:
        """Returns the machine's score for a task of the job; free owned machines come first.

        For services, `with_zone_balance` inserts a term for the job's other replicas.
        """
        spec = job.spec
        is_service = job.kind is JobKind.SERVICE
        return (
            machine.spot,
            machine.slowdown > SLOWDOWN_MAX and machine.slowdown_samples > 1,
            machine.type.gpus if spec.gpus == 0 else 0,
            is_service and start_within is not None and image_fetch_time(spec, machine) > start_within,
            # A machine full of replicas cannot take over a lost replica of the same job, though its image is already
            # there. So capacity for one more replica is left to preemptible work, if there is such work.
            is_service
            and self._owned_machines_contended
            and spec.task_count >= self._cluster.tuning.mate_room_tasks
            and machine.type.cpus - machine.service_cpus < 2 * spec.cpus - 1e-9,
            spec.image not in machine.images,
            # Replicas are packed together, and other work is kept away from them: machines without replicas can be
            # returned, and machines with replicas, which hold the images, have capacity for more.
            -machine.service_cpus if is_service else machine.service_cpus,
            machine.free_cpus,  # the fullest machine first
        )

    def start_objective(self, job: Job) -> int | None:
        """Returns within what time the job's next task should run; None if its class has no start objective.

        A lost replica must be replaced at once, whatever the objective of its class.
        """
        index = job.next_pending()
        if job.kind is JobKind.SERVICE and index is not None and index in job.tasks and job.tasks[index].attempt > 0:
            return REPLACEMENT_START_OBJECTIVE
        return self._cluster.objectives.start_within.get(job.spec.job_class)


def with_zone_balance(score: Score, replicas_in_zone: int) -> Score:
    """Returns the score with a term that spreads a job's replicas over zones, unless an earlier term decides."""
    return (*score[:TERMS_BEFORE_ZONE_BALANCE], replicas_in_zone, *score[TERMS_BEFORE_ZONE_BALANCE:])
