"""Finds the best machine for a task, with candidate rankings that equivalent jobs share during one planning pass."""

from __future__ import annotations

from collections.abc import Iterable

from oatport.control.placement.candidate_ranking import Candidate, CandidateRanking
from oatport.control.placement.feasibility import FeasibilityFilter
from oatport.control.placement.scoring import MachineScorer, with_zone_balance
from oatport.control.queueing.pending_queue import RUNTIME_BUCKET
from oatport.control.state.capacity import max_tasks_per_zone
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.job import Job, JobKind
from oatport.control.state.machine import Machine


class CandidateSearch:
    """Finds machines during one planning pass; `start_pass` begins the next one."""

    def __init__(self, cluster: ClusterState, feasibility: FeasibilityFilter, scorer: MachineScorer) -> None:
        self._cluster = cluster
        self._feasibility = feasibility
        self._scorer = scorer
        self.bound_machines: list[Machine] = []  # machines on which tasks were bound in this pass, in order
        # Whether any machine has GPUs: only then does the predicted run time decide which machines a job may use.
        self.has_gpu_machines = False
        self._rankings: dict[tuple[object, ...], CandidateRanking] = {}

    def start_pass(self, machines: list[Machine]) -> None:
        """Discards the rankings of the last pass."""
        self.has_gpu_machines = any(m.type.gpus > 0 for m in machines)
        self._rankings.clear()
        self.bound_machines.clear()

    def exclude(self, machines: Iterable[Machine]) -> None:
        """Removes machines that are reserved for a job from all rankings, for the rest of the pass."""
        for ranking in self._rankings.values():
            ranking.exclude(machines)

    def best(self, job: Job, machines: list[Machine]) -> Machine | None:
        """Returns the machine with the best score for the next task of the job; None if no machine is feasible."""
        spec = job.spec
        ranking = self._ranking(job, machines)
        error_machines = job.error_machines if len(machines) > len(job.error_machines) else ()
        limit = max_tasks_per_zone(spec)
        best: Candidate | None = None
        for zone in ranking.zones:
            tasks_in_zone = job.tasks_by_zone.get(zone, 0)
            if (spec.spread and tasks_in_zone >= limit) or (
                spec.single_zone and job.tasks_by_zone and not tasks_in_zone
            ):
                continue
            candidate = ranking.best(zone, error_machines)
            if candidate is None:
                continue
            score, position, machine = candidate
            if job.kind is JobKind.SERVICE:
                score = with_zone_balance(score, tasks_in_zone)
            if best is None or (score, position) < best[:2]:
                best = score, position, machine
        return best[2] if best else None

    def _ranking(self, job: Job, machines: list[Machine]) -> CandidateRanking:
        """Returns the up-to-date ranking for a task of the job, shared by all equivalent jobs."""
        start_within = self._scorer.start_objective(job)
        key = self._equivalence_key(job, start_within)
        ranking = self._rankings.get(key)
        if ranking is None:
            ranking = self._rankings[key] = CandidateRanking(
                machines,
                self._feasibility.predicate(job),
                lambda machine: self._scorer.score(job, machine, start_within),
                len(self.bound_machines),
            )
        ranking.update_for_bindings(self.bound_machines)
        return ranking

    def _equivalence_key(self, job: Job, start_within: int | None) -> tuple[object, ...]:
        """Returns the key of the job's ranking: jobs with the same key have the same candidates and scores."""
        spec, cluster = job.spec, self._cluster
        keeps_headroom = job.kind is JobKind.SERVICE and spec.task_count >= cluster.tuning.mate_room_tasks
        runtime_bucket = cluster.predictor.run_time(job.job_id, spec) // RUNTIME_BUCKET if self.has_gpu_machines else 0
        return (
            job.kind,
            job.priority_rank,
            job.tier,
            spec.spot,
            spec.zone,
            tuple(spec.machine_types) if spec.machine_types else None,
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
            spec.image,
            spec.image_size_gb,
            start_within,
            keeps_headroom,
            cluster.may_use_free_spot(job),
            runtime_bucket,
        )
