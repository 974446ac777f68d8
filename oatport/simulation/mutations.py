"""Injected mutations: safety checks disabled one at a time, to show that the invariant checker would notice.

Each stands for a point of "Safety" in docs/design.md and replaces methods of the nodes by name.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest.mock import patch

from msgspec.structs import replace

from oatport.api.job_status_cache import JobStatusCache
from oatport.clients.state import StateClient
from oatport.clients.worker import WorkerClient
from oatport.control.leadership.leader_lease import LeaderLease
from oatport.control.leadership.lease_renewal import LeaseRenewalLimit
from oatport.control.queueing.dependency_graph import DependencyGraph
from oatport.control.queueing.dependency_tracker import DependencyTracker
from oatport.control.state.cancellations import CancellationLog
from oatport.control.state.heartbeats import HeartbeatReceiver
from oatport.control.state.machine_commands import MachineCommands
from oatport.control.state.task import TaskPhase
from oatport.control.state.task_lifecycle import TaskLifecycle
from oatport.control.state.unwritten_completions import UnwrittenCompletions
from oatport.control.storage.keys import LEADER_KEY, MACHINES_PER_GROUP, TASKS_PER_CHUNK
from oatport.control.storage.record_layout import RecordLayout
from oatport.control.storage.schema_version import SchemaVersionGate
from oatport.service.cloud_controller import CloudController
from oatport.service.completion_replication import CompletionReplicator
from oatport.service.dependency_controller import DependencyController
from oatport.service.election import Election
from oatport.service.group_commit import GroupCommit
from oatport.service.leader import Leader
from oatport.service.leader_context import EarlierCompletions
from oatport.times import SECOND, steady


def _fencing() -> list[Any]:
    """A leader goes on whatever became of its lease and its key, and takes over whatever token a worker has seen."""
    commit, commands, lost = StateClient.commit, WorkerClient.send_commands, Election.step_down

    async def unconditioned(self: StateClient, conditions: dict[str, int], sets: Any, *args: Any, **more: Any) -> Any:
        if LEADER_KEY in conditions and LEADER_KEY not in sets and len(conditions) > 1:
            conditions = {key: version for key, version in conditions.items() if key != LEADER_KEY}
        return await commit(self, conditions, sets, *args, **more)

    async def unfenced(self: WorkerClient, token: int, session: int, orders: Any) -> Any:
        report = await commands(self, token, session, orders)
        if report.fencing_token > token:
            report = await commands(self, report.fencing_token, report.agent_epoch, orders)
            return replace(report, fencing_token=token)
        return report

    def keeps(self: Election, reason: str) -> None:
        if reason == "shutting down":
            lost(self, reason)

    return [
        patch.object(LeaderLease, "is_held", lambda self, now: True),
        patch.object(LeaseRenewalLimit, "until", property(lambda self: steady() + 10**12)),
        patch.object(StateClient, "commit", unconditioned),
        patch.object(WorkerClient, "send_commands", unfenced),
        patch.object(Election, "step_down", keeps),
        patch.object(Leader, "step_down", lambda self, reason: None),
        patch.object(GroupCommit, "is_stuck", lambda self, now: False),
    ]


def _write_ahead() -> list[Any]:
    """Starts go out before they are recorded."""
    claim = TaskLifecycle.begin_binding

    def claim_and_send(self: TaskLifecycle, *args: Any, **more: Any) -> Any:
        task = claim(self, *args, **more)
        task.phase = TaskPhase.BOUND
        assert task.machine is not None
        self.cluster.unacknowledged_tasks.add(task)
        self.cluster.machines_to_command.add(task.machine)
        return task

    return [patch.object(TaskLifecycle, "begin_binding", claim_and_send)]


def _start_in_flight() -> list[Any]:
    """Terminated attempts are forgotten while a start of theirs may be in flight."""
    return [patch.object(MachineCommands, "_may_forget", lambda self, machine, name, attempt: True)]


def _failure_confirmation() -> list[Any]:
    """What is silent is taken to be gone, without the cloud's word for it."""
    release = CloudController.release

    async def judged(self: CloudController, machines: Any, reason: str) -> None:
        if reason not in ("silent", "partitioned"):
            await release(self, machines, reason)
            return
        for machine in machines:
            self.cluster.on_machine_removed(machine, steady(), reason)

    return [patch.object(CloudController, "release", judged)]


def _process_identity() -> list[Any]:
    """A process takes itself for its predecessor of the same name: it goes on under its token and its lease."""
    stand = Election._run_for_leader

    async def stands(self: Election) -> None:
        found = await self._node.state.get(LEADER_KEY)
        if found is not None and found[0].get("node") == self._node.node_name:
            await self._become_leader(found[1], int(found[0]["lease"]), steady())
        else:
            await stand(self)

    return [patch.object(Election, "_run_for_leader", stands)]


def _dependency_release() -> list[Any]:
    """A job's completion releases its dependents before it is recorded."""
    finish = TaskLifecycle.complete

    def ends(self: TaskLifecycle, task: Any, now: int, **more: Any) -> None:
        finish(self, task, now, **more)
        if task.job.completing:
            self.cluster.dependencies.on_completion_recorded(task.job.job_id, now + self.cluster.wall_offset)

    return [patch.object(TaskLifecycle, "complete", ends)]


def _transitive_cancellation() -> list[Any]:
    """Only jobs that name the cancelled one are cancelled with it, not those that need these."""
    with_dependencies = JobStatusCache._propagate_cancellation

    def direct(self: DependencyGraph, ref: str) -> list[str]:
        found = self.dependents_of(ref)
        for after in found:
            self.remove(after)
        self._dependents.pop(ref, None)
        return found

    async def one_step(self: JobStatusCache, ref: str, snapshot: Any, fresh: bool) -> Any:
        dependencies = [self.snapshot(dependency) for dependency in snapshot.dependencies]
        if any(job is not None and job.state == "queued" for job in dependencies) or not dependencies:
            return snapshot
        return await with_dependencies(self, ref, snapshot, fresh)

    def unseen(self: DependencyTracker, ref: str) -> None:
        for name in self.graph.cancel(ref):
            self._cancel_blocked(self.blocked_jobs.pop(name))

    def forgets(self: DependencyController, ref: str, state: str, ended: int) -> None:
        if state == "done":
            self.cluster.dependencies.on_completion_recorded(ref, ended)

    return [
        patch.object(DependencyGraph, "cancel", direct),
        patch.object(JobStatusCache, "_propagate_cancellation", one_step),
        patch.object(DependencyTracker, "cancel_dependents", unseen),
        patch.object(DependencyController, "_apply_state", forgets),
    ]


def _feature_gate() -> list[Any]:
    """A new schema version is written before all nodes are known to read it."""
    return [patch.object(SchemaVersionGate, "on_poll_round", lambda self, boots: True)]


def _record_size() -> list[Any]:
    """Records may grow to any size."""
    return [
        patch.object(RecordLayout, "tasks_per_part", property(lambda self: TASKS_PER_CHUNK)),
        patch.object(RecordLayout, "tasks_in_head_record", lambda self, job: TASKS_PER_CHUNK),
        patch.object(RecordLayout, "machines_per_part", property(lambda self: MACHINES_PER_GROUP)),
    ]


def _heartbeat_order() -> list[Any]:
    """Each heartbeat is taken for the newest, whenever it was sent."""
    on_report = HeartbeatReceiver.receive

    def newest(self: HeartbeatReceiver, report: Any, now: int, wall: int) -> Any:
        machine = self.cluster.machines.get(report.machine_name)
        if machine is not None and (report.agent_epoch, report.heartbeat_seq) < (
            machine.agent_epoch,
            machine.heartbeat_seq,
        ):
            machine.agent_epoch, machine.heartbeat_seq = 0, -1
        return on_report(self, report, now, wall)

    return [patch.object(HeartbeatReceiver, "receive", newest)]


def _transaction_conditions() -> list[Any]:
    """Transactions go out without the versions that they count on; a leader's still with its token."""
    commit = StateClient.commit

    async def unversioned(self: StateClient, conditions: dict[str, int], *args: Any, **more: Any) -> Any:
        token = {key: version for key, version in conditions.items() if key == LEADER_KEY}
        return await commit(self, token or {"none": 0}, *args, **more)

    return [patch.object(StateClient, "commit", unversioned)]


def _completion_record() -> list[Any]:
    """A terminated attempt is forgotten before its completion is recorded."""

    def at_once(self: MachineCommands, machine: Any, name: str, attempt: int) -> bool:
        return (
            not machine.unacknowledged_starts.get((name, attempt)) and (name, attempt) not in machine.starts_in_response
        )

    return [patch.object(MachineCommands, "_may_forget", at_once)]


def _cancellation_log() -> list[Any]:
    """Cancellations that users were told of are noted by nobody."""
    return [patch.object(CancellationLog, "record", lambda self, ref, now: True)]


def _unwritten_completions() -> list[Any]:
    """Machines are released, or given up, though they alone report a completion."""
    return [
        patch.object(UnwrittenCompletions, "has_unwritten_completions", lambda self, machine: False),
        patch.object(UnwrittenCompletions, "expedite", lambda self, machine: None),
    ]


def _completion_handover() -> list[Any]:
    """Completions that a leader acknowledged and did not record go with it."""

    async def idle(self: CompletionReplicator) -> None:
        await asyncio.Event().wait()

    async def nothing(self: CompletionReplicator, token: int) -> EarlierCompletions:
        return EarlierCompletions([], complete=True)

    return [
        patch.object(CompletionReplicator, "loop", idle),
        patch.object(CompletionReplicator, "on_deposed", lambda self, leader: None),
        patch.object(CompletionReplicator, "completions_before", nothing),
    ]


def _gang_completion() -> list[Any]:
    """Of a gang that is done, the tasks whose completions were not reported run again."""
    requeue = TaskLifecycle.requeue

    def again(self: TaskLifecycle, task: Any, **more: Any) -> None:
        done, task.job.completed = task.job.completed, set()
        try:
            requeue(self, task, **more)
        finally:
            task.job.completed = done

    return [
        patch.object(TaskLifecycle, "complete_gang", lambda self, job: None),
        patch.object(TaskLifecycle, "requeue", again),
    ]


def _read_freshness() -> list[Any]:
    """Questions about jobs are answered by what was last read of them, up to a second ago."""
    refresh = JobStatusCache._refresh

    async def once(self: JobStatusCache) -> None:
        if not self._revision or steady() - self._refreshed_at > SECOND:
            await refresh(self)

    return [patch.object(JobStatusCache, "_refresh", once)]


def _commit_verification() -> list[Any]:
    """A commit with unknown outcome counts as applied once one of its keys looks like it; its bindings go out."""

    async def first(self: GroupCommit, batch: Any) -> bool:
        key = next(iter(batch.sets), None) or batch.deletes[0]
        found = await self.read_with_retry(key)
        if key in batch.sets and (found is None or found[0] != batch.sets[key]):
            return False
        self.cluster.writes.committed(batch, found[1] if found else 0, steady())
        return True

    return [patch.object(GroupCommit, "_was_applied", first)]


MUTATIONS: dict[str, Callable[[], list[Any]]] = {
    "fencing": _fencing,
    "write-ahead": _write_ahead,
    "start-in-flight": _start_in_flight,
    "failure-confirmation": _failure_confirmation,
    "process-identity": _process_identity,
    "dependency-release": _dependency_release,
    "transitive-cancellation": _transitive_cancellation,
    "feature-gate": _feature_gate,
    "record-size": _record_size,
    "heartbeat-order": _heartbeat_order,
    "cancellation-log": _cancellation_log,
    "transaction-conditions": _transaction_conditions,
    "completion-record": _completion_record,
    "unwritten-completions": _unwritten_completions,
    "completion-handover": _completion_handover,
    "gang-completion": _gang_completion,
    "read-freshness": _read_freshness,
    "commit-verification": _commit_verification,
}


@contextmanager
def mutated(name: str) -> Iterator[None]:
    """Within this, one safety check is disabled; none if the name is empty."""
    with ExitStack() as stack:
        for change in MUTATIONS[name]() if name else []:
            stack.enter_context(change)
        yield
