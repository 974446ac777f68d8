"""Tests job dependencies: release, cancellation, records, failover and the cost of blocked jobs."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oatport import wire
from oatport.control.queueing.dependency_graph import DependencyGraph, DependencyState, Urgency
from oatport.control.state.job import Job
from oatport.control.storage.keys import blocked_key, cancel_key, live_key
from oatport.settings import Team
from oatport.times import SECOND
from tests.cluster_fixture import ClusterHarness


def harness_with_machines(machines: int = 4, teams: list[Team] | None = None) -> ClusterHarness:
    """Returns a cluster with `machines` machines, all of which have reported."""
    harness = ClusterHarness(teams)
    for number in range(1, machines + 1):
        harness.machine(number, zone="ab"[number % 2])
    harness.settle(2)
    return harness


def recorded_keys(harness: ClusterHarness) -> set[str]:
    """Returns all keys of the state service."""
    return set(harness.state.items)


def dependency_chain(harness: ClusterHarness, count: int, **changes: Any) -> list[str]:
    """Submits `count` jobs, each of which depends on the previous one; returns their ids in order."""
    job_ids = [harness.submit(legs=1, voyageS=5.0, **changes)]
    for _ in range(count - 1):
        job_ids.append(harness.submit(legs=1, voyageS=5.0, waitsOn=[job_ids[-1]], **changes))
    return job_ids


# --- release ----------------------------------------------------------------------------------------


def test_a_diamond_over_two_teams_runs_in_order_of_its_dependencies() -> None:
    harness = harness_with_machines()
    first = harness.submit(legs=2, voyageS=3.0)
    left = harness.submit(legs=2, voyageS=3.0, waitsOn=[first, first], crew="other")
    right = harness.submit(legs=1, voyageS=9.0, waitsOn=[first])
    last = harness.submit(legs=1, voyageS=3.0, waitsOn=[left, right])
    assert harness.cluster.dependencies.explain(last) == f"waits for {left}, {right}"
    for _ in range(40):
        harness.step(1.0)
        for ref in (left, right):
            assert not harness.task_locations(ref) or harness.record(first) == wire.JobStatus.COMPLETED
        assert not harness.task_locations(last) or {harness.record(left), harness.record(right)} == {
            wire.JobStatus.COMPLETED
        }
    assert harness.record(last) == wire.JobStatus.COMPLETED
    assert not [key for key in recorded_keys(harness) if key.startswith(("live/", "waits/"))]


def test_completed_tasks_release_no_dependents_before_the_completion_is_recorded() -> None:
    """Guards against a release before the commit, until which the job may still be cancelled.

    A job was cancelled in that time, and its dependents had been started already.
    """
    harness = harness_with_machines()
    first, last = dependency_chain(harness, 2)
    harness.settle()
    harness.now += 6 * SECOND
    for worker in harness.workers.values():
        harness.report(worker)
    assert harness.cluster.jobs[first].completing  # its completion is about to be committed
    harness.plan()
    assert last in harness.cluster.dependencies.blocked_jobs
    assert not harness.cluster.dependencies.blocked_jobs[last].tasks
    batch = harness.cluster.writes.take_batch(12)
    harness.cancel(first, notify_leader=False)  # through another node, just before that commit
    status, value = harness.state.commit(harness.transaction(batch))
    assert status == 409
    assert value["failed"] == [f"jobs/{first}"]
    harness.cluster.writes.restore_batch(batch)
    job = harness.cluster.jobs[first]
    job.completing = False
    harness.cluster.writes.jobs_to_complete.pop(job, None)
    harness.cluster.job_lifecycle.cancel(first, 0)
    harness.settle()
    assert harness.record(last) == wire.JobStatus.CANCELLED
    assert not harness.task_locations(last)


def test_blocked_jobs_add_no_planning_work() -> None:
    """Blocked jobs take no part in queues, guarantees, starvation, equivalence classes and planning passes."""
    harness = harness_with_machines()
    first = harness.submit(legs=1, voyageS=500.0)
    harness.settle()
    machines_examined = harness.placer.preemption.victims.machines_examined
    queue_at_first = len(harness.cluster.pending), harness.cluster.pending.version
    for _ in range(300):
        harness.submit(legs=8, waitsOn=[first], cores=4.0)
    harness.settle()
    assert (len(harness.cluster.pending), harness.cluster.pending.version) == queue_at_first
    assert harness.placer.preemption.victims.machines_examined == machines_examined
    assert set(harness.cluster.jobs) == {first}
    assert not harness.cluster.writes.has_pending_writes()


def test_a_dependent_job_needs_one_additional_write() -> None:
    """A dependent job takes two puts or deletes each for acceptance, binding and completion; other jobs take five."""
    harness = harness_with_machines(1)
    first = harness.submit(legs=1, voyageS=2.0)
    log_length = len(harness.state.log)
    ref = harness.submit(legs=1, voyageS=2.0, waitsOn=[first])
    harness.settle(20)
    assert harness.record(ref) == wire.JobStatus.COMPLETED
    assert len([key for _, key, _ in harness.state.log[log_length:] if ref in key]) == 6


def test_the_first_binding_moves_a_released_job_from_waits_to_live() -> None:
    """An earlier version starts every job under live/, so both keys change in one transaction."""
    harness = harness_with_machines()
    first, last = dependency_chain(harness, 2)
    for _ in range(20):
        harness.step(1.0)
        if live_key(last) in recorded_keys(harness):
            break
        assert blocked_key(last) in recorded_keys(harness)
    revisions = {key: revision for revision, key, _ in harness.state.log if key in (live_key(last), blocked_key(last))}
    assert revisions[live_key(last)] == revisions[blocked_key(last)]
    assert harness.record(first) == wire.JobStatus.COMPLETED


def test_a_job_is_eligible_since_its_release_also_after_a_failover() -> None:
    harness = harness_with_machines()
    first = harness.submit(legs=1, voyageS=5.0)
    last = harness.submit(legs=1, voyageS=5.0, waitsOn=[first])
    for_gpus = harness.submit(legs=1, accelerators=1.0, waitsOn=[first])  # no machine has capacity for it
    while last in harness.cluster.dependencies.blocked_jobs:
        harness.step(1.0)
    released = harness.cluster.jobs[last].eligible_at
    assert harness.now - 2 * SECOND <= released <= harness.now
    harness.settle(2)
    harness.fail_over()
    assert harness.cluster.jobs[last].eligible_at == released  # recorded with its binding
    # The dependency has completed and has no key under live/, so the next leader reads its record.
    assert for_gpus in harness.cluster.dependencies.blocked_jobs
    harness.resolve_dependencies()
    assert harness.cluster.jobs[for_gpus].eligible_at == released


def test_a_gang_depends_on_a_job_that_completed_long_ago() -> None:
    harness = harness_with_machines()
    first = harness.submit(legs=1, voyageS=2.0)
    harness.settle(8)
    assert harness.record(first) == wire.JobStatus.COMPLETED
    gang = harness.submit(rig="gang", legs=2, voyageS=5.0, waitsOn=[first], samePlace=True)
    harness.settle(14)
    assert harness.record(gang) == wire.JobStatus.COMPLETED


def test_a_lost_job_keeps_its_dependents_blocked_and_is_named_in_the_explanation() -> None:
    harness = harness_with_machines(1)
    first, last = dependency_chain(harness, 2)
    harness.settle()
    task = harness.cluster.jobs[first].tasks[0]
    harness.cluster.job_lifecycle.fail(task, "it may have begun")
    assert "lost" in harness.cluster.dependencies.explain(last)
    harness.settle()
    assert harness.record(first) == wire.JobStatus.FAILED
    assert last in harness.cluster.dependencies.blocked_jobs
    harness.cancel(last)
    harness.settle()
    assert harness.record(last) == wire.JobStatus.CANCELLED
    assert blocked_key(last) not in recorded_keys(harness)


def test_a_job_that_failed_and_was_retried_releases_its_dependents() -> None:
    harness = harness_with_machines()
    first, last = dependency_chain(harness, 2)
    harness.settle()
    worker = next(w for w in harness.workers.values() if w.started_attempts)
    worker._exit(*next(iter(worker.tasks.items())), "error")
    harness.settle(3)
    assert last in harness.cluster.dependencies.blocked_jobs
    assert harness.record(first) == wire.JobStatus.QUEUED
    harness.settle(30)
    assert harness.record(last) == wire.JobStatus.COMPLETED


# --- failover --------------------------------------------------------------------------------------


def test_dependent_jobs_complete_despite_a_failover_at_each_step() -> None:
    harness = harness_with_machines()
    first = harness.submit(legs=2, voyageS=3.0)
    middle = harness.submit(legs=2, voyageS=3.0, waitsOn=[first])
    last = harness.submit(legs=1, voyageS=3.0, waitsOn=[middle, first])
    for _ in range(60):
        harness.fail_over()
        for worker in harness.workers.values():
            harness.report(worker)
        harness.step(0.5)
        assert not harness.task_locations(middle) or harness.record(first) == wire.JobStatus.COMPLETED
        assert not harness.task_locations(last) or harness.record(middle) == wire.JobStatus.COMPLETED
    assert harness.record(last) == wire.JobStatus.COMPLETED
    assert all(len(set(worker.started_attempts)) == len(worker.started_attempts) for worker in harness.workers.values())


def test_a_failover_while_two_hundred_jobs_are_blocked() -> None:
    harness = harness_with_machines()
    first = harness.submit(legs=1, voyageS=4.0)
    job_ids = [harness.submit(legs=1, voyageS=1.0, cores=0.5, waitsOn=[first]) for _ in range(200)]
    harness.settle(2)
    harness.fail_over()
    assert len(harness.cluster.dependencies.blocked_jobs) == 200
    harness.settle(60)
    assert {harness.record(ref) for ref in job_ids} == {wire.JobStatus.COMPLETED}


def test_with_one_change_per_transaction_each_part_is_safe_alone() -> None:
    """The key under live/ is set before the one under waits/ is deleted, so a job with both keys is released."""
    harness = harness_with_machines()
    harness.max_batch_operations = 1
    _, last = dependency_chain(harness, 2)
    while live_key(last) not in recorded_keys(harness):
        harness.step(1.0)
    harness.state.commit(
        {"if": [], "then": [{"set": blocked_key(last), "value": harness.state.items[live_key(last)][0]}]}
    )
    harness.fail_over()
    assert last in harness.cluster.jobs
    assert last not in harness.cluster.dependencies.blocked_jobs
    harness.settle(20)
    assert harness.record(last) == wire.JobStatus.COMPLETED
    assert blocked_key(last) not in recorded_keys(harness)


# --- cancellation -----------------------------------------------------------------------------------


@pytest.mark.parametrize("cancelled_index", [0, 1, 2])
def test_a_cancellation_cancels_all_that_depend_on_the_job(cancelled_index: int) -> None:
    harness = harness_with_machines()
    job_ids = dependency_chain(harness, 3)
    unrelated = harness.submit(legs=1, voyageS=5.0)
    harness.settle()
    harness.cancel(job_ids[cancelled_index])
    harness.settle(30)
    assert [harness.record(ref) for ref in job_ids] == [wire.JobStatus.COMPLETED] * cancelled_index + [
        wire.JobStatus.CANCELLED
    ] * (3 - cancelled_index)
    assert harness.record(unrelated) == wire.JobStatus.COMPLETED
    assert not [key for key in recorded_keys(harness) if key.startswith(("live/", "waits/"))]


def test_a_cancellation_cascade_is_completed_after_a_failover() -> None:
    """The cascade is level-triggered, so it completes after any part of it was recorded by the former leader."""
    harness = harness_with_machines()
    job_ids = dependency_chain(harness, 4)
    harness.settle()
    harness.cancel(job_ids[0])
    batch = harness.cluster.writes.take_batch(2)
    assert [job.job_id for job in batch.cancelled_jobs] == [job_ids[1]]
    assert harness.state.commit(harness.transaction(batch))[0] == 200
    harness.fail_over()
    harness.settle()
    assert {harness.record(ref) for ref in job_ids} == {wire.JobStatus.CANCELLED}


def test_a_dependent_cancelled_by_its_user_before_the_cascade_is_recorded_once() -> None:
    harness = harness_with_machines()
    first, last = dependency_chain(harness, 2)
    harness.settle()
    harness.cancel(first)
    harness.cancel(last, notify_leader=False)
    batch = harness.cluster.writes.take_batch(12)
    assert harness.state.commit(harness.transaction(batch))[0] == 409
    harness.cluster.writes.restore_batch(batch)
    harness.cluster.dependencies.cancel_blocked(last, harness.state.items[f"jobs/{last}"][1])
    harness.settle()
    assert harness.record(last) == wire.JobStatus.CANCELLED
    assert cancel_key(last) not in recorded_keys(harness)
    assert blocked_key(last) not in recorded_keys(harness)


def test_a_job_that_depends_on_a_cancelled_one_is_cancelled() -> None:
    harness = harness_with_machines()
    first = harness.submit(legs=1)
    harness.settle()
    harness.cancel(first)
    early = harness.submit(legs=1, waitsOn=[first])  # while the tasks of the first job are being stopped
    harness.settle()
    later = harness.submit(legs=1, waitsOn=[first])  # when the first job has no key under live/
    harness.settle()
    assert {harness.record(ref) for ref in (early, later)} == {wire.JobStatus.CANCELLED}


def test_a_job_that_is_received_twice_is_cancelled_once() -> None:
    """The leader receives a job from the accepting node and by the watch, each time as another object."""
    harness = harness_with_machines()
    first = harness.submit(legs=1)
    harness.settle()
    harness.cancel(first)
    dependent = harness.submit(legs=1, waitsOn=[first])
    job = harness.cluster.writes.jobs_to_cancel[dependent]
    accepted_count = harness.cluster.job_statistics.classes["train"].accepted
    harness.cluster.dependencies.add_blocked(Job(dependent, job.spec, job.version, harness.now))
    assert list(harness.cluster.writes.jobs_to_cancel.values()) == [job]
    assert harness.cluster.job_statistics.classes["train"].accepted == accepted_count


def test_three_thousand_cancellations_at_once_leave_half_of_the_writes_to_bindings() -> None:
    harness = harness_with_machines()
    first = harness.submit(legs=1, voyageS=100.0)
    for _ in range(3000):
        harness.submit(legs=1, waitsOn=[first])
    harness.settle()
    harness.cancel(first)
    harness.report(next(w for w in harness.workers.values() if w.started_attempts))
    assert len(harness.cluster.writes.jobs_to_cancel) == 3000
    assert not harness.cluster.dependencies.blocked_jobs
    harness.submit(ref="j-900000", legs=1)
    harness.plan()
    batch = harness.cluster.writes.take_batch(12)
    assert live_key("j-900000") in batch.sets
    assert len(batch.cancelled_jobs) == 3


# --- urgency ----------------------------------------------------------------------------------------


def test_deadline_and_priority_are_inherited_and_revoked() -> None:
    harness = harness_with_machines(0)
    first = harness.submit(legs=1, voyageS=20.0, urgency="idle")
    middle = harness.submit(legs=1, voyageS=30.0, urgency="normal", waitsOn=[first])
    harness.plan()
    assert harness.cluster.jobs[first].priority_rank == 2
    assert not harness.cluster.jobs[first].inherited_deadlines
    last = harness.submit(legs=1, voyageS=10.0, urgency="high", tideS=200.0, waitsOn=[middle])
    harness.plan()
    job = harness.cluster.jobs[first]
    assert job.priority_rank == 1
    # The deadline less the run times of both dependents, image fetches and planning steps.
    assert harness.now + 140 * SECOND < job.inherited_deadlines[0] < harness.now + 160 * SECOND
    assert job.deadline_at == job.inherited_deadlines[0]
    harness.cancel(last)
    harness.plan()
    assert job.priority_rank == 2
    assert not job.inherited_deadlines
    harness.cancel(middle)
    harness.plan()
    assert job.priority_rank == 3


def test_a_pipeline_stage_without_dependents_yet_is_not_best_effort() -> None:
    """Guards against pipeline stages that are scheduled after all other jobs until the last stage is submitted.

    Some users submit the last job of a pipeline only when the others have completed.
    """
    harness = harness_with_machines(0)
    first = harness.submit(legs=1, voyageS=1.0, urgency="idle")
    harness.cluster.dependencies.on_completion_recorded(first, harness.now)
    stage = harness.submit(legs=1, urgency="idle", waitsOn=[first])
    alone = harness.submit(legs=1, urgency="idle")
    harness.cluster.dependencies.on_completion_recorded(first, harness.now)
    harness.plan()
    assert harness.cluster.jobs[stage].priority_rank == 2
    assert harness.cluster.jobs[alone].priority_rank == 3


def test_a_changed_priority_leaves_the_accounting_balanced() -> None:
    harness = harness_with_machines()
    first = harness.submit(legs=2, voyageS=5.0, urgency="idle")
    harness.settle()
    harness.submit(legs=1, voyageS=1.0, urgency="high", waitsOn=[first])
    harness.settle(12)
    assert harness.record(first) == wire.JobStatus.COMPLETED
    assert harness.cluster.tasks.bound_by_priority == [0, 0, 0, 0] or sum(
        harness.cluster.tasks.bound_by_priority
    ) == len([t for job in harness.cluster.jobs.values() for t in job.tasks.values() if t.machine])
    harness.settle(12)
    assert harness.cluster.tasks.bound_by_priority == [0, 0, 0, 0]
    assert all(abs(sum(m.cpus_by_priority)) < 1e-9 for m in harness.cluster.machines.values())


def test_urgency_is_propagated_once_for_thousands_of_dependents() -> None:
    """Guards against quadratic work: removing one of thousands of dependents must not evaluate all others again."""
    evaluated = 0
    graph = DependencyGraph()
    for number in range(3000):
        graph.add(f"j-{number + 2}", ["j-1"], lambda ref: DependencyState.OPEN)
    graph.dirty.clear()
    for number in range(1000):
        graph.remove(f"j-{number + 2}")
    assert list(graph.dirty) == ["j-1"]

    def urgency_of(ref: str) -> Any:
        nonlocal evaluated
        evaluated += 1
        return Urgency(1, (5,)), 1

    graph.inherited_urgency("j-1", urgency_of)
    assert evaluated == 2000


# --- comparison with a reference model --------------------------------------------------------------


class Model(RuleBasedStateMachine):
    """Accepts, completes and cancels jobs in any order, and compares the graph with the expected state of each job."""

    def __init__(self) -> None:
        super().__init__()
        self.graph = DependencyGraph()
        self.dependencies: dict[str, list[str]] = {}
        self.state: dict[str, str] = {}  # waits, runs, done or cancelled

    def dependency_state(self, ref: str) -> DependencyState:
        """Returns the state of a job as the graph has to see it."""
        return {
            "waits": DependencyState.OPEN,
            "runs": DependencyState.OPEN,
            "done": DependencyState.COMPLETED,
            "cancelled": DependencyState.CANCELLED,
        }[self.state[ref]]

    def is_cancelled(self, ref: str) -> bool:
        """Returns whether the job or an uncompleted job that it depends on is cancelled."""
        return self.state[ref] == "cancelled" or any(
            self.is_cancelled(dependency) for dependency in self.dependencies[ref] if self.state[dependency] != "done"
        )

    def is_ready(self, ref: str) -> bool:
        """Returns whether all dependencies of the job have completed."""
        return all(self.state[dependency] == "done" for dependency in self.dependencies[ref])

    @rule(data=st.data())
    def accept(self, data: st.DataObject) -> None:
        """Accepts a job that depends on up to four others."""
        ref = f"j-{len(self.dependencies) + 1}"
        drawn = data.draw(st.lists(st.sampled_from(sorted(self.dependencies)), max_size=4)) if self.dependencies else []
        self.dependencies[ref] = list(dict.fromkeys(drawn))
        if not drawn:
            self.state[ref] = "runs"
            return
        outcome = self.graph.add(ref, self.dependencies[ref], self.dependency_state)
        self.state[ref] = {
            DependencyState.OPEN: "waits",
            DependencyState.COMPLETED: "runs",
            DependencyState.CANCELLED: "cancelled",
        }[outcome]

    @precondition(lambda self: "runs" in self.state.values())
    @rule(data=st.data())
    def complete(self, data: st.DataObject) -> None:
        """Completes a running job."""
        ref = data.draw(st.sampled_from([r for r, state in self.state.items() if state == "runs"]))
        self.state[ref] = "done"
        for name in self.graph.complete(ref).released:
            assert self.state[name] == "waits"
            self.state[name] = "runs"

    @precondition(lambda self: {"runs", "waits"} & set(self.state.values()))
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        """Cancels a running or blocked job."""
        ref = data.draw(st.sampled_from([r for r, s in self.state.items() if s in ("runs", "waits")]))
        self.state[ref] = "cancelled"
        for name in self.graph.cancel(ref):
            assert self.state[name] == "waits"
            self.state[name] = "cancelled"

    @invariant()
    def graph_agrees_with_the_model(self) -> None:
        """Checks that the graph has the expected state and unmet dependencies of each job."""
        for ref, state in self.state.items():
            if self.is_cancelled(ref):
                assert state == "cancelled"
            elif state == "waits":
                assert not self.is_ready(ref)
                assert set(self.graph.dependencies_of(ref)) == {
                    n for n in self.dependencies[ref] if self.state[n] != "done"
                }
            else:
                assert self.is_ready(ref)
        assert set(self.graph.unmet_dependencies) == {ref for ref, state in self.state.items() if state == "waits"}
        assert not self.graph.unresolved


Model.TestCase.settings = hypothesis_settings(max_examples=60, stateful_step_count=30, deadline=None)
TestModel = Model.TestCase
