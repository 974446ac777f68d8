"""Mutations that each disable one safety check, to show that the invariant checker detects its absence.

Each mutation corresponds to an item of "Safety" in docs/design.md, and patches methods of the nodes.
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
from oatport.clients.worker import CommandReply, WorkerClient
from oatport.control.leadership.leader_lease import LeaderLease
from oatport.control.leadership.lease_renewal import LeaseRenewalLimit
from oatport.control.queueing.dependency_graph import DependencyGraph
from oatport.control.queueing.dependency_tracker import DependencyTracker
from oatport.control.state.cancellations import CancellationLog
from oatport.control.state.heartbeats import HeartbeatReceiver
from oatport.control.state.machine_commands import DirectMessage, MachineCommands
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
    """Makes a leader continue without its lease and the leader key, and adopt the higher token of a worker's report."""
    commit, send_commands, step_down = StateClient.commit, WorkerClient.send_commands, Election.step_down

    async def commit_without_leader_key(
        self: StateClient, conditions: dict[str, int], sets: Any, *args: Any, **options: Any
    ) -> Any:
        if LEADER_KEY in conditions and LEADER_KEY not in sets and len(conditions) > 1:
            conditions = {key: version for key, version in conditions.items() if key != LEADER_KEY}
        return await commit(self, conditions, sets, *args, **options)

    async def send_commands_unfenced(self: WorkerClient, token: int, worker_epoch: int, commands: Any) -> Any:
        reply = await send_commands(self, token, worker_epoch, commands)
        report = reply.heartbeat
        if report.fencing_token > token:
            reply = await send_commands(self, report.fencing_token, report.worker_epoch, commands)
            return CommandReply(replace(reply.heartbeat, fencing_token=token), reply.executed)
        return reply

    def step_down_at_shutdown_only(self: Election, reason: str) -> None:
        if reason == "shutting down":
            step_down(self, reason)

    return [
        patch.object(LeaderLease, "is_held", lambda self, now: True),
        patch.object(LeaseRenewalLimit, "until", property(lambda self: steady() + 10**12)),
        patch.object(StateClient, "commit", commit_without_leader_key),
        patch.object(WorkerClient, "send_commands", send_commands_unfenced),
        patch.object(Election, "step_down", step_down_at_shutdown_only),
        patch.object(Leader, "step_down", lambda self, reason: None),
        patch.object(GroupCommit, "is_stuck", lambda self, now: False),
    ]


def _write_ahead() -> list[Any]:
    """Sends start commands before their bindings are recorded."""
    begin_binding = TaskLifecycle.begin_binding

    def bind_and_send(self: TaskLifecycle, *args: Any, **options: Any) -> Any:
        task = begin_binding(self, *args, **options)
        task.phase = TaskPhase.BOUND
        assert task.machine is not None
        self.cluster.unacknowledged_tasks.add(task)
        self.cluster.machines_to_command.add(task.machine)
        return task

    return [patch.object(TaskLifecycle, "begin_binding", bind_and_send)]


def _starts_in_responses() -> list[Any]:
    """Sends due starts in direct messages too, of which copies may arrive late."""
    direct_message = MachineCommands.direct_message

    def with_starts(self: MachineCommands, machine: Any, now: int) -> DirectMessage | None:
        message = direct_message(self, machine, now)
        commands, starts = self.for_response(machine)
        if not starts:
            return message
        self.on_starts_sent(machine, starts)
        return DirectMessage(self.token_for(machine), commands[: len(starts)], requests_heartbeat=False)

    return [patch.object(MachineCommands, "direct_message", with_starts)]


def _start_in_flight() -> list[Any]:
    """Sends the forget command of a terminated attempt while a start command for it may be in flight."""
    return [patch.object(MachineCommands, "_may_forget", lambda self, machine, name, attempt: True)]


def _failure_confirmation() -> list[Any]:
    """Treats silent machines as removed without confirmation from the cloud."""
    release = CloudController.release

    async def remove_unconfirmed(self: CloudController, machines: Any, reason: str) -> None:
        if reason not in ("silent", "partitioned"):
            await release(self, machines, reason)
            return
        for machine in machines:
            self.cluster.on_machine_removed(machine, steady(), reason)

    return [patch.object(CloudController, "release", remove_unconfirmed)]


def _process_identity() -> list[Any]:
    """Makes a process reuse the token and the lease of the previous process of the same name."""
    run_for_leader = Election._run_for_leader

    async def resume_leadership(self: Election) -> None:
        found = await self._node.state.get(LEADER_KEY)
        if found is not None and found[0].get("node") == self._node.node_name:
            await self._become_leader(found[1], int(found[0]["lease"]), steady())
        else:
            await run_for_leader(self)

    return [patch.object(Election, "_run_for_leader", resume_leadership)]


def _dependency_release() -> list[Any]:
    """Releases the dependents of a job before its completion is recorded."""
    complete = TaskLifecycle.complete

    def complete_and_release(self: TaskLifecycle, task: Any, now: int, **options: Any) -> None:
        complete(self, task, now, **options)
        if task.job.completing:
            self.cluster.dependencies.on_completion_recorded(task.job.job_id, now + self.cluster.wall_offset)

    return [patch.object(TaskLifecycle, "complete", complete_and_release)]


def _transitive_cancellation() -> list[Any]:
    """Cancels only the direct dependents of a cancelled job, not the dependents of those."""
    propagate_cancellation = JobStatusCache._propagate_cancellation

    def cancel_direct_dependents(self: DependencyGraph, job_id: str) -> list[str]:
        found = self.dependents_of(job_id)
        for dependent in found:
            self.remove(dependent)
        self._dependents.pop(job_id, None)
        return found

    async def propagate_one_step(self: JobStatusCache, job_id: str, snapshot: Any, fresh: bool) -> Any:
        dependencies = [self.snapshot(dependency) for dependency in snapshot.dependencies]
        if any(job is not None and job.state == "queued" for job in dependencies) or not dependencies:
            return snapshot
        return await propagate_cancellation(self, job_id, snapshot, fresh)

    def cancel_blocked_dependents(self: DependencyTracker, job_id: str) -> None:
        for name in self.graph.cancel(job_id):
            self._cancel_blocked(self.blocked_jobs.pop(name))

    def apply_completion_only(self: DependencyController, job_id: str, state: str, ended: int) -> None:
        if state == "done":
            self.cluster.dependencies.on_completion_recorded(job_id, ended)

    return [
        patch.object(DependencyGraph, "cancel", cancel_direct_dependents),
        patch.object(JobStatusCache, "_propagate_cancellation", propagate_one_step),
        patch.object(DependencyTracker, "cancel_dependents", cancel_blocked_dependents),
        patch.object(DependencyController, "_apply_state", apply_completion_only),
    ]


def _feature_gate() -> list[Any]:
    """Writes a new schema version before all nodes have confirmed that they can read it."""
    return [patch.object(SchemaVersionGate, "on_poll_round", lambda self, boots: True)]


def _record_size() -> list[Any]:
    """Writes records that exceed the limits of the state service."""
    return [
        patch.object(RecordLayout, "tasks_per_part", property(lambda self: TASKS_PER_CHUNK)),
        patch.object(RecordLayout, "tasks_in_head_record", lambda self, job: TASKS_PER_CHUNK),
        patch.object(RecordLayout, "machines_per_part", property(lambda self: MACHINES_PER_GROUP)),
    ]


def _heartbeat_order() -> list[Any]:
    """Accepts each heartbeat as the newest, regardless of its worker epoch and sequence number."""
    receive = HeartbeatReceiver.receive

    def receive_as_newest(self: HeartbeatReceiver, report: Any, now: int, wall: int) -> Any:
        machine = self.cluster.machines.get(report.machine_name)
        if machine is not None and (report.worker_epoch, report.heartbeat_seq) < (
            machine.worker_epoch,
            machine.heartbeat_seq,
        ):
            machine.worker_epoch, machine.heartbeat_seq = 0, -1
        return receive(self, report, now, wall)

    return [patch.object(HeartbeatReceiver, "receive", receive_as_newest)]


def _transaction_conditions() -> list[Any]:
    """Sends transactions without the versions of the keys that they depend on, except the leader's fencing token."""
    commit = StateClient.commit

    async def commit_unconditionally(self: StateClient, conditions: dict[str, int], *args: Any, **options: Any) -> Any:
        token = {key: version for key, version in conditions.items() if key == LEADER_KEY}
        return await commit(self, token or {"none": 0}, *args, **options)

    return [patch.object(StateClient, "commit", commit_unconditionally)]


def _completion_record() -> list[Any]:
    """Sends the forget command of a terminated attempt before its completion is recorded."""

    def may_forget_before_record(self: MachineCommands, machine: Any, name: str, attempt: int) -> bool:
        return (name, attempt) not in machine.starts_in_response

    return [patch.object(MachineCommands, "_may_forget", may_forget_before_record)]


def _cancellation_log() -> list[Any]:
    """Keeps nodes from logging the cancellations that they confirmed to users."""
    return [patch.object(CancellationLog, "record", lambda self, job_id, now: True)]


def _unwritten_completions() -> list[Any]:
    """Releases machines or treats them as lost although they hold the only report of a completion."""
    return [
        patch.object(UnwrittenCompletions, "has_unwritten_completions", lambda self, machine: False),
        patch.object(UnwrittenCompletions, "expedite", lambda self, machine: None),
    ]


def _completion_handover() -> list[Any]:
    """Loses the completions that a leader acknowledged but did not record when its leadership ends."""

    async def wait_forever(self: CompletionReplicator) -> None:
        await asyncio.Event().wait()

    async def no_completions(self: CompletionReplicator, token: int) -> EarlierCompletions:
        return EarlierCompletions([], complete=True)

    return [
        patch.object(CompletionReplicator, "loop", wait_forever),
        patch.object(CompletionReplicator, "on_deposed", lambda self, leader: None),
        patch.object(CompletionReplicator, "completions_before", no_completions),
    ]


def _gang_completion() -> list[Any]:
    """Runs tasks of a completed gang again if their own completions were not reported."""
    requeue = TaskLifecycle.requeue

    def requeue_despite_completion(self: TaskLifecycle, task: Any, **options: Any) -> None:
        completed, task.job.completed = task.job.completed, set()
        try:
            requeue(self, task, **options)
        finally:
            task.job.completed = completed

    return [
        patch.object(TaskLifecycle, "complete_gang", lambda self, job: None),
        patch.object(TaskLifecycle, "requeue", requeue_despite_completion),
    ]


def _read_freshness() -> list[Any]:
    """Answers polls of jobs from the cache, which may be up to a second old."""
    refresh = JobStatusCache._refresh

    async def refresh_each_second(self: JobStatusCache) -> None:
        if not self._revision or steady() - self._refreshed_at > SECOND:
            await refresh(self)

    return [patch.object(JobStatusCache, "_refresh", refresh_each_second)]


def _commit_verification() -> list[Any]:
    """Treats a commit with unknown outcome as applied if one of its keys matches, and sends its start commands."""

    async def was_first_key_applied(self: GroupCommit, batch: Any) -> bool:
        key = next(iter(batch.sets), None) or batch.deletes[0]
        found = await self.read_with_retry(key)
        if key in batch.sets and (found is None or found[0] != batch.sets[key]):
            return False
        self.cluster.writes.committed(batch, found[1] if found else 0, steady())
        return True

    return [patch.object(GroupCommit, "_was_applied", was_first_key_applied)]


MUTATIONS: dict[str, Callable[[], list[Any]]] = {
    "fencing": _fencing,
    "write-ahead": _write_ahead,
    "start-in-flight": _start_in_flight,
    "starts-in-responses": _starts_in_responses,
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
def safety_check_disabled(name: str) -> Iterator[None]:
    """Returns a context in which the named safety check is disabled; an empty name disables none."""
    with ExitStack() as stack:
        for method_patch in MUTATIONS[name]() if name else []:
            stack.enter_context(method_patch)
        yield
