"""Records: what of the leader's view is written to the state service, and in which transactions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from oatport import wire
from oatport.control.queueing.runtime_predictor import RuntimePredictor
from oatport.control.state.model import CHUNK_TASKS, IDLE_RANK, Job, Kind, Machine, Phase, Task
from oatport.control.storage.record_layout import (
    CANCEL_MARK,
    FLEET,
    FLEET_CHUNK,
    JOBS,
    LIVE,
    MORE,
    WAITS,
    RecordLayout,
    cancel_key,
    chunk_key,
    first_of,
    group_key,
    group_of,
    job_key,
    live_key,
    waits_key,
)
from oatport.sizes import json_size

ACCEPT_KEYS = 2  # written to accept a job: jobs/REF and live/REF, or waits/REF

MODEL_KEY, CATALOG_KEY, LEADER_KEY, DARK_KEY = "model", "catalog", "leader", "dark"

__all__ = [
    "ACCEPT_KEYS",
    "CANCEL_MARK",
    "CATALOG_KEY",
    "DARK_KEY",
    "FLEET",
    "JOBS",
    "LEADER_KEY",
    "LIVE",
    "MODEL_KEY",
    "MORE",
    "WAITS",
    "WriteBatch",
    "WriteBuffer",
    "cancel_key",
    "chunk_key",
    "first_of",
    "job_key",
    "live_key",
    "waits_key",
]


@dataclass(slots=True)
class WriteBatch:
    """One transaction of the leader's, without the leader condition that its sender adds."""

    conditions: dict[str, int] = field(default_factory=dict)
    sets: dict[str, Any] = field(default_factory=dict)
    drops: list[str] = field(default_factory=list)
    claims: list[tuple[Task, int, Machine]] = field(default_factory=list)  # with attempt and machine as written
    finished: list[Job] = field(default_factory=list)
    cleaned: list[Job] = field(default_factory=list)
    called_off: list[Job] = field(default_factory=list)  # a job that they need was cancelled

    @property
    def ops(self) -> int:
        return len(self.sets) + len(self.drops)


class WriteBuffer:
    """What is written down of the leader's view, and what is still to be: the base of `Cluster`."""

    def __init__(self, predictor: RuntimePredictor, layout: RecordLayout) -> None:
        self.predictor = predictor
        self.layout = layout
        self.now = 0  # the time of the last event or pass
        self.wall_offset = 0  # the time of day less the steady clock, at the last report
        # Keys whose record tells of more tasks or machines than it would be written with now, and up to which task.
        self.wide: dict[str, int] = {}
        self.too_large = False  # the limits have fallen and not all nodes read parts yet: what is larger is not written
        self._held_back: dict[str, None] = {}
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
        self._ends_since: dict[str, int] = {}  # of task records among them: when the first end came (steady)
        self.in_flight: set[str] = set()
        self.to_finish: dict[Job, None] = {}
        self.to_clean: dict[Job, None] = {}
        self.to_call_off: dict[str, Job] = {}
        self.orphans: list[str] = []  # left keys without a job
        self.over: dict[str, int] = {}  # jobs that were dropped -> the revision at which their end was recorded

    def drop_job(self, job: Job) -> None:
        """Its end, or the removal of what was left of it, is committed."""
        raise NotImplementedError

    def job_done(self, ref: str, at: int) -> None:
        """That it is done is recorded, since then (time of day)."""
        raise NotImplementedError

    def touch(self, task: Task, *, urgent: bool = False) -> None:
        key = self.layout.task_key(task.job, task.index)
        if urgent:
            self.dirty.pop(key, None)
            self.urgent[key] = task.job.rank
        elif key not in self.urgent:
            self.dirty[key] = None
            self._ends_since.setdefault(key, self.now)

    def keys_of(self, job: Job, index: int) -> set[str]:
        """Under which a task lies, or lay before all nodes read parts."""
        return {self.layout.task_key(job, index), chunk_key(job.ref, index // CHUNK_TASKS)}

    def unwritten(self, job: Job, index: int) -> bool:
        """What became of a task is in no record yet, as far as is known."""
        return any(
            key in waits
            for key in self.keys_of(job, index)
            for waits in (self.dirty, self.urgent, self.in_flight, self._held_back)
        )

    def touch_machine(self, machine: Machine, *, urgent: bool = False) -> None:
        key = self.layout.fleet_key(machine.number)
        if urgent:
            self.urgent[key] = 0
        else:
            self.dirty[key] = None
        main = group_key(machine.number // FLEET_CHUNK)
        if main in self.wide:
            self.dirty[main] = None  # else a machine that is gone would stay in it

    def fleet_value(self, key: str) -> dict[str, Any]:
        low, high = self.layout.fleet_span(key)
        value: dict[str, Any] = {
            "m": [
                [
                    machine.name,
                    machine.type.name,
                    machine.zone,
                    machine.spot,
                    machine.address,
                    machine.rented_wall,
                    bool(machine.up_at or machine.was_up),
                ]
                for machine in self.machines.values()
                if low <= machine.number < high
            ]
        }
        if high - low < FLEET_CHUNK:
            value["n"] = high - low
        return value

    def _job_keys(self, job: Job) -> list[str]:
        """All keys that job may have, that of a waiting one first, else the head."""
        heads = [waits_key(job.ref), live_key(job.ref), cancel_key(job.ref)]
        chunks = (job.fresh + CHUNK_TASKS - 1) // CHUNK_TASKS if job.fresh else 0
        keys = dict.fromkeys([*heads, *(chunk_key(job.ref, c) for c in range(1, chunks))])
        if self.layout.parts:
            keys |= dict.fromkeys(self.layout.task_keys(job, 0, job.fresh))
        return list(keys)

    def note_width(self, key: str, value: Any) -> None:
        """A record as it lies there now: does it tell of more than it would be written with?"""
        if key.startswith(FLEET):
            low, high = self.layout.fleet_span(key)
            is_wide = int(value.get("n", FLEET_CHUNK)) > high - low
            upto = low + FLEET_CHUNK
        elif key.startswith(LIVE) and "t" in value:
            ref, low = first_of(key)
            job = self.jobs.get(ref)
            upto = low + len(value["t"])
            is_wide = job is not None and upto > self.layout.task_span(job, key)[1]
        else:
            return
        if is_wide:
            self.wide[key] = upto
        else:
            self.wide.pop(key, None)

    def open_parts(self) -> None:
        """All nodes read parts of chunks and groups: from now on they are written."""
        if self.layout.parts:
            return
        old = {**dict.fromkeys(self._held_back), **self.dirty, **self.urgent}
        self._held_back.clear()
        self.too_large = False
        self.layout.parts = True
        for job in self.jobs.values():
            for low in range(0, job.fresh, CHUNK_TASKS):
                key, upto = chunk_key(job.ref, low // CHUNK_TASKS), min(low + CHUNK_TASKS, job.fresh)
                if self.versions.get(key) and upto > self.layout.task_span(job, key)[1]:
                    self.wide[key] = upto
        if self.layout.part_machines < FLEET_CHUNK:
            self.wide |= {key: group_of(key)[1] + FLEET_CHUNK for key in self.versions if key.startswith(FLEET)}
        for key, rank in old.items():
            for part in self._parts_of(key):
                if rank is None:
                    if part not in self.urgent:
                        self.dirty[part] = None
                else:
                    self.dirty.pop(part, None)
                    self.urgent[part] = rank

    def _parts_of(self, key: str, rows: int = CHUNK_TASKS) -> list[str]:
        """Where that lies now which was to be written, or was written, under this key."""
        if key.startswith(FLEET):
            return list(self.layout.fleet_keys(key))
        if not key.startswith(LIVE):
            return [key]
        ref, low = first_of(key)
        job = self.jobs.get(ref)
        return [] if job is None else [key, *self.layout.task_keys(job, low, min(low + rows, job.fresh))]

    def has_writes(self) -> bool:
        return bool(self.urgent or self.dirty or self.to_finish or self.to_clean or self.to_call_off or self.orphans)

    def has_urgent(self) -> bool:
        return bool(self.urgent or self.to_finish or self.to_call_off)

    def take_batch(self, max_ops: int, budget: int | None = None, ripe_us: int = 0) -> WriteBatch:
        """The next transaction, the most pressing first.

        `ripe_us`: for so long ends of tasks wait for others of their record, and for their job's end, which needs none
        of them recorded: half of all changes were records written again for one more end.

        `budget`: writes that may go out at once. What can wait goes along only within it: else claims
        would wait for the writes of ends, and a lost replica for a zone's worth of them.
        """
        batch = WriteBatch()
        self._add_called_off(batch, max_ops)
        # A swarm's claims wait for the ends of others' jobs, which their users are waiting to hear of.
        self._add_urgent(batch, max_ops, IDLE_RANK - 1)
        for job in list(self.to_finish):
            keys = [k for k in self._job_keys(job) if self.versions.get(k)]
            if batch.ops and batch.ops + 1 + len(keys) > max_ops:
                break
            del self.to_finish[job]
            batch.conditions[job_key(job.ref)] = job.version
            # Since when it is done: what needs it counts its times from then, also under another leader.
            batch.sets[job_key(job.ref)] = job.record(wire.LOST if job.failure_reason else wire.DONE) | {
                "ended": self.now + self.wall_offset
            }
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
            if ripe_us and self.now - self._ends_since.get(key, -ripe_us) < ripe_us:
                continue
            if key in self.dirty and not self._add_record(batch, key, max_ops):
                break
        while self.orphans and batch.ops < max_ops:
            self._add_drops(batch, [self.orphans.pop()], max_ops)
        self.in_flight = {*batch.sets, *batch.drops}
        return batch

    def _add_urgent(self, batch: WriteBatch, max_ops: int, lowest: int) -> None:
        for key in sorted((k for k, rank in self.urgent.items() if rank <= lowest), key=self.urgent.__getitem__):
            if key in self.urgent and (batch.ops >= max_ops or not self._add_record(batch, key, max_ops)):
                return

    def _add_called_off(self, batch: WriteBatch, max_ops: int) -> None:
        """Jobs whose needed ones were cancelled. What users are told does not wait for it (`api/job_status_cache.py`), so claims
        get their half of a transaction meanwhile: 3,000 at once take minutes."""
        most = max_ops if not (self.urgent or self.to_finish) else max(2, max_ops // 2)
        for ref, job in list(self.to_call_off.items()):
            if batch.ops and batch.ops + 2 > most:
                return
            del self.to_call_off[ref]
            batch.conditions[job_key(job.ref)] = job.version
            batch.sets[job_key(job.ref)] = job.record(wire.CANCELLED)
            self._add_drops(batch, [waits_key(job.ref)], max_ops)
            batch.called_off.append(job)

    def _add_drops(self, batch: WriteBatch, keys: list[str], max_ops: int) -> None:
        for key in keys:
            if batch.ops < max_ops:
                batch.conditions[key] = self.versions.get(key, 0)
                batch.drops.append(key)
            else:
                self.orphans.append(key)
            self.urgent.pop(key, None)
            self.dirty.pop(key, None)
            self._ends_since.pop(key, None)

    def _ahead(self, key: str) -> list[str]:
        """Records that must be there before this one, or come with it."""
        if key.startswith(FLEET):
            if key not in self.wide:
                return []
            there = {self.layout.fleet_key(machine.number) for machine in self.machines.values()}
            return [k for k in self.layout.fleet_keys(key) if k != key and k in there and not self.versions.get(k)]
        if not key.startswith(LIVE):
            return []
        ref, _ = first_of(key)
        job, head = self.jobs.get(ref), live_key(ref)
        if job is None:
            return []
        if key != head and not self.versions.get(head):
            return [head]  # a job that waited for others: its head says that it waits no more
        if key not in self.wide:
            return []
        parts = self.layout.task_keys(job, self.layout.task_span(job, key)[1], self.wide[key])
        return [k for k in parts if not self.versions.get(k)]

    def _add_record(self, batch: WriteBatch, key: str, max_ops: int) -> bool:
        """False: there is no room for it with what must come along; it stays to be written."""
        ahead = [k for k in self._ahead(key) if k not in batch.sets]
        swaps = sum(bool(k.startswith(LIVE) and self.versions.get(waits_key(first_of(k)[0]))) for k in (key, *ahead))
        if batch.ops and batch.ops + 1 + len(ahead) + min(swaps, 1) > max_ops:
            return False
        split = len(ahead) + 1 > max_ops  # more than a transaction holds: first what must be there before
        for k in ahead[:max_ops] if split else (*ahead, key):
            self.urgent.pop(k, None)
            self.dirty.pop(k, None)
            self._put(batch, k, max_ops)
        return not split

    def _put(self, batch: WriteBatch, key: str, max_ops: int) -> None:
        self._ends_since.pop(key, None)
        if key.startswith(FLEET):
            value = self.fleet_value(key)
            if self.too_large and json_size(value) > self.layout.limit:
                self._held_back[key] = None
                return
            if value["m"]:
                batch.sets[key] = value
            elif self.versions.get(key):
                batch.drops.append(key)
            else:
                return
        elif key.startswith(MODEL_KEY):
            parts = self.predictor.parts(self.layout.limit)
            number = int(key[len(MODEL_KEY) + 1 :] or 0)
            if number < len(parts):
                batch.sets[key] = parts[number]
            elif self.versions.get(key):
                batch.drops.append(key)
            else:
                return
            if not number:
                self.dirty |= {f"{MODEL_KEY}/{i}": None for i in range(1, len(parts))}
        elif key in self.singles:
            batch.sets[key] = self.singles[key]()
        else:
            ref, _ = first_of(key)
            job = self.jobs.get(ref)
            if job is None or (job.cancelled and not job.failure_reason) or job.finishing:
                return  # its keys go with the job
            low, high = self.layout.task_span(job, key)
            value = job.rows_value(low, high) if key != live_key(ref) else job.live_value(high)
            if self.too_large and json_size(value) > self.layout.limit:
                self._held_back[key] = None
                return
            batch.sets[key] = value
            batch.conditions[job_key(ref)] = job.version
            waits = waits_key(ref)
            if key == live_key(ref) and self.versions.get(waits):
                # From now on an earlier version may know of the job: it waits for nobody.
                self._add_drops(batch, [waits], max_ops)
            for index in range(low, min(high, job.fresh)):  # not all tasks of a huge array
                task = job.tasks.get(index)
                if task is not None and task.phase is Phase.CLAIMED and task.machine:
                    batch.claims.append((task, task.attempt, task.machine))
        batch.conditions[key] = self.versions.get(key, 0)

    def committed(self, batch: WriteBatch, revision: int, now: int) -> None:
        """The transaction is known to be applied."""
        self.in_flight = set()
        for key in batch.drops:
            self.versions.pop(key, None)
        for key, value in batch.sets.items():
            if key.startswith(JOBS):
                continue
            self.versions[key] = revision
            self.note_width(key, value)
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
        for job in (*batch.finished, *batch.cleaned, *batch.called_off):
            self.drop_job(job)
            self.over[job.ref] = revision
        for job in batch.finished:
            if not job.failure_reason:
                self.job_done(job.ref, int(batch.sets[job_key(job.ref)]["ended"]))

    def put_back(self, batch: WriteBatch) -> None:
        """The transaction was refused or given up for good: its contents are to be written anew."""
        self.in_flight = set()
        for job in batch.finished:
            self.to_finish[job] = None
        for job in batch.cleaned:
            self.to_clean[job] = None
        for job in batch.called_off:
            self.to_call_off[job.ref] = job
        finished_keys = {k for job in (*batch.finished, *batch.cleaned, *batch.called_off) for k in self._job_keys(job)}
        claimed = {self.layout.task_key(t.job, t.index): t.job.rank for t, _, _ in batch.claims}
        written = [(key, len(value.get("t", ()))) for key, value in batch.sets.items() if not key.startswith(JOBS)]
        parts = [part for name, rows in written for part in self._parts_of(name, rows)]
        for key in dict.fromkeys([*claimed, *parts]):
            if key in claimed:
                self.dirty.pop(key, None)
                self.urgent[key] = claimed[key]
            elif key not in self.urgent:
                self.dirty[key] = None
        for key in batch.drops:
            if key.startswith((FLEET, MODEL_KEY)):
                self.dirty[key] = None
            elif key not in finished_keys and not (key.startswith(WAITS) and key[len(WAITS) :] in self.jobs):
                self.orphans.append(key)  # waits/REF goes with the next try of the first claim
