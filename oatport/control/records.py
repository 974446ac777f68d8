"""Records: what of the leader's view is written to the state service, and in which transactions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from oatport import wire
from oatport.control.model import CHUNK_TASKS, IDLE_RANK, Job, Kind, Machine, Phase, Task
from oatport.control.predictor import Predictor

FLEET_CHUNK = 40  # machines in one fleet record
ACCEPT_KEYS = 2  # written to accept a job: jobs/REF and live/REF

JOBS, LIVE, FLEET = "jobs/", "live/", "fleet/"
MODEL_KEY, CATALOG_KEY, LEADER_KEY, DARK_KEY = "model", "catalog", "leader", "dark"
CANCEL_MARK = "x"  # live/REF/x: the job was cancelled, so that a takeover sees it among live work


def job_key(ref: str) -> str:
    return JOBS + ref


def live_key(ref: str) -> str:
    return LIVE + ref


def chunk_key(ref: str, chunk: int) -> str:
    """The record of so many tasks; the first lies with the job, so that a small job has one key."""
    return f"{LIVE}{ref}/{chunk:04d}" if chunk else live_key(ref)


def chunk_of(key: str) -> tuple[str, int]:
    """The job and the number of a task record."""
    ref, _, number = key[len(LIVE):].partition("/")
    return ref, int(number or 0)


def cancel_key(ref: str) -> str:
    return f"{LIVE}{ref}/{CANCEL_MARK}"


@dataclass(slots=True)
class Batch:
    """One transaction of the leader's, without the leader condition that its sender adds."""

    conditions: dict[str, int] = field(default_factory=dict)
    sets: dict[str, Any] = field(default_factory=dict)
    drops: list[str] = field(default_factory=list)
    claims: list[tuple[Task, int, Machine]] = field(default_factory=list)  # with attempt and machine as written
    finished: list[Job] = field(default_factory=list)
    cleaned: list[Job] = field(default_factory=list)

    @property
    def ops(self) -> int:
        return len(self.sets) + len(self.drops)


class Records:
    """What is written down of the leader's view, and what is still to be: the base of `Cluster`."""

    def __init__(self, predictor: Predictor) -> None:
        self.predictor = predictor
        # Records that there is one of each, and what is to be written there.
        self.singles: dict[str, Callable[[], dict[str, Any]]] = {MODEL_KEY: predictor.record}
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        self.to_send: set[Machine] = set()  # machines with commands that should not wait for a report
        self.unacked: set[Task] = set()  # placed by this leader, and not known to have reached their machines
        self.replan = True
        self.versions: dict[str, int] = {}  # of the leader's own keys, as known
        self.urgent: dict[str, int] = {}  # keys to write now: claims, with the rank of their job
        self.dirty: dict[str, None] = {}  # keys to write soon: ends
        self.in_flight: set[str] = set()
        self.to_finish: dict[Job, None] = {}
        self.to_clean: dict[Job, None] = {}
        self.orphans: list[str] = []  # left keys without a job

    def drop_job(self, job: Job) -> None:
        """Its end, or the removal of what was left of it, is committed."""
        raise NotImplementedError

    def touch(self, task: Task, *, urgent: bool = False) -> None:
        key = chunk_key(task.job.ref, task.index // CHUNK_TASKS)
        if urgent:
            self.dirty.pop(key, None)
            self.urgent[key] = task.job.rank
        elif key not in self.urgent:
            self.dirty[key] = None

    @staticmethod
    def fleet_key(machine: Machine) -> str:
        return f"{FLEET}{machine.number // FLEET_CHUNK:06d}"

    def fleet_value(self, key: str) -> dict[str, Any]:
        low = int(key[len(FLEET):]) * FLEET_CHUNK
        return {"m": [
            [machine.name, machine.type.name, machine.zone, machine.spot, machine.address,
             machine.rented_wall, bool(machine.up_at or machine.was_up)]
            for machine in self.machines.values() if low <= machine.number < low + FLEET_CHUNK
        ]}

    def _job_keys(self, job: Job) -> list[str]:
        """All keys that job may have under live/, head first."""
        chunks = (job.fresh + CHUNK_TASKS - 1) // CHUNK_TASKS if job.fresh else 0
        return [live_key(job.ref), cancel_key(job.ref), *(chunk_key(job.ref, c) for c in range(1, chunks))]

    def has_writes(self) -> bool:
        return bool(self.urgent or self.dirty or self.to_finish or self.to_clean or self.orphans)

    def has_urgent(self) -> bool:
        return bool(self.urgent or self.to_finish)

    def take_batch(self, max_ops: int, budget: int | None = None) -> Batch:
        """The next transaction, the most pressing first.

        `budget`: writes that may go out at once. What can wait goes along only within it: else claims
        would wait for the writes of ends, and a lost replica for a zone's worth of them.
        """
        batch = Batch()
        # A swarm's claims wait for the ends of others' jobs, which their users are waiting to hear of.
        self._add_urgent(batch, max_ops, IDLE_RANK - 1)
        for job in list(self.to_finish):
            keys = [k for k in self._job_keys(job) if self.versions.get(k)]
            if batch.ops and batch.ops + 1 + len(keys) > max_ops:
                break
            del self.to_finish[job]
            batch.conditions[job_key(job.ref)] = job.version
            batch.sets[job_key(job.ref)] = job.record(wire.LOST if job.lost_cause else wire.DONE)
            self._add_drops(batch, keys, max_ops)
            batch.finished.append(job)
        self._add_urgent(batch, max_ops, IDLE_RANK)
        most = max_ops
        if budget is not None:
            left_urgent = len(self.urgent) + len(self.to_finish)
            max_ops = min(max_ops, max(batch.ops, budget - left_urgent))
        for job in list(self.to_clean):
            keys = [k for k in self._job_keys(job) if self.versions.get(k)]
            # Whole, or at least with all of a transaction: the mark must not go before the job that it cancels.
            if batch.ops + len(keys) > max_ops and not (batch.ops == 0 and max_ops == most):
                break
            if job.cancelled and job.on_machines:
                del self.to_clean[job]
                continue
            if any(k in self.in_flight for k in keys):
                continue
            del self.to_clean[job]
            self._add_drops(batch, keys, max_ops)
            batch.cleaned.append(job)
        for key in list(self.dirty):
            if batch.ops >= max_ops:
                break
            del self.dirty[key]
            self._add_record(batch, key)
        while self.orphans and batch.ops < max_ops:
            self._add_drops(batch, [self.orphans.pop()], max_ops)
        self.in_flight = {*batch.sets, *batch.drops}
        return batch

    def _add_urgent(self, batch: Batch, max_ops: int, lowest: int) -> None:
        for key in sorted((k for k, rank in self.urgent.items() if rank <= lowest), key=self.urgent.__getitem__):
            if batch.ops >= max_ops:
                return
            del self.urgent[key]
            self._add_record(batch, key)

    def _add_drops(self, batch: Batch, keys: list[str], max_ops: int) -> None:
        for key in keys:
            if batch.ops < max_ops:
                batch.conditions[key] = self.versions.get(key, 0)
                batch.drops.append(key)
            else:
                self.orphans.append(key)
            self.urgent.pop(key, None)
            self.dirty.pop(key, None)

    def _add_record(self, batch: Batch, key: str) -> None:
        if key.startswith(FLEET):
            value = self.fleet_value(key)
            if value["m"]:
                batch.sets[key] = value
            elif self.versions.get(key):
                batch.drops.append(key)
            else:
                return
        elif key in self.singles:
            batch.sets[key] = self.singles[key]()
        else:
            ref, number = chunk_of(key)
            job = self.jobs.get(ref)
            if job is None or (job.cancelled and not job.lost_cause) or job.finishing:
                return  # its keys go with the job
            batch.sets[key] = job.chunk_value(number) if number else job.live_value()
            batch.conditions[job_key(ref)] = job.version
            low = number * CHUNK_TASKS
            for index in range(low, min(low + CHUNK_TASKS, job.fresh)):  # not all tasks of a huge array
                task = job.tasks.get(index)
                if task is not None and task.phase is Phase.CLAIMED and task.machine:
                    batch.claims.append((task, task.attempt, task.machine))
        batch.conditions[key] = self.versions.get(key, 0)

    def committed(self, batch: Batch, revision: int, now: int) -> None:
        """The transaction is known to be applied."""
        self.in_flight = set()
        for key in batch.drops:
            self.versions.pop(key, None)
        for key, value in batch.sets.items():
            if key.startswith(JOBS):
                continue
            self.versions[key] = revision
            if key.startswith(FLEET):
                for row in value["m"]:
                    machine = self.machines.get(row[0])
                    if machine is not None and not machine.recorded:
                        machine.recorded = True
                        self.replan = True
        for task, attempt, machine in batch.claims:
            # A claim withdrawn and made anew meanwhile is not the one that was written.
            if task.phase is Phase.CLAIMED and task.attempt == attempt and task.machine is machine:
                task.phase = Phase.PLACED
                self.unacked.add(task)
                self.to_send.add(machine)
                if task.job.kind is Kind.GANG:
                    self.to_send.update(t.machine for t in task.job.tasks.values() if t.machine)
        for job in (*batch.finished, *batch.cleaned):
            self.drop_job(job)

    def put_back(self, batch: Batch) -> None:
        """The transaction was refused or given up for good: its contents are to be written anew."""
        self.in_flight = set()
        for job in batch.finished:
            self.to_finish[job] = None
        for job in batch.cleaned:
            self.to_clean[job] = None
        finished_keys = {k for job in (*batch.finished, *batch.cleaned) for k in self._job_keys(job)}
        claimed = {chunk_key(t.job.ref, t.index // CHUNK_TASKS): t.job.rank for t, _, _ in batch.claims}
        for key in batch.sets:
            if not key.startswith(JOBS):
                if key in claimed:
                    self.urgent[key] = claimed[key]
                else:
                    self.dirty[key] = None
        for key in batch.drops:
            if key.startswith(FLEET):
                self.dirty[key] = None
            elif key not in finished_keys:
                self.orphans.append(key)
