"""A machine's worker by PROTOCOL: tasks, images, gangs, tokens and its lease, on an injected clock (microseconds)."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from oatport import wire
from oatport.times import SECOND, micros

AttemptKey = tuple[str, int]  # task and attempt

EXIT_DONE, EXIT_STOPPED, EXIT_GANG_LOST, EXIT_GANG_INCOMPLETE = "done", "halted", "mates_gone", "incomplete"


@dataclass(eq=False)
class Attempt:
    """A task on a machine, in the wire's own terms."""

    status: str
    exit_reason: str | None = None
    completes_at: int | None = None  # when it completes, if it runs on
    fails_at: int | None = None  # when it ends with an error, if it does
    cores: float = 0.0
    job: dict[str, Any] = field(default_factory=dict)
    image_ready_at: int = 0  # when its image is there
    started_at: int = 0
    stopped_at: int | None = None  # its progress stops with the first stop
    checkpoint_done_at: int = 0  # when what it saves is safe
    checkpoint_stored: bool | None = None
    on_machine: bool = False  # it has its image, and is on the machine as the rules count


class GangCoordinator:
    """What tasks of one attempt know of each other, wherever they are."""

    def __init__(self, wait_us: int, peer_us: int) -> None:
        self.wait_us, self.peer_us = wait_us, peer_us
        self.members: dict[tuple[str, int], dict[str, tuple[Worker, Attempt]]] = {}
        self.broken_at: dict[tuple[str, int], int] = {}  # since when a task of the attempt is gone
        self.first_image_at: dict[tuple[str, int], int] = {}
        self.on_completed: Callable[[list[Worker]], None] = lambda mates: None  # one is done; where the others are
        self.stopping: set[tuple[str, int]] = set()  # attempts of which a task was told to stop: no progress since

    def join(self, task: str, attempt: int, worker: Worker, held: Attempt) -> None:
        key = (task.rsplit("/", 1)[0], attempt)
        self.members.setdefault(key, {})[task] = (worker, held)

    def ready(self, task: str, attempt: int, now: int) -> bool:
        """All its tasks have their image: they start together."""
        ref = task.rsplit("/", 1)[0]
        there = self.members.get((ref, attempt), {})
        self.first_image_at.setdefault((ref, attempt), now)
        held = next(h for _, h in there.values())
        whole = len(there) == int(held.job["legs"])
        return whole and all(h.status in ("waiting", "running") for _, h in there.values())

    def on_task_gone(self, task: str, attempt: int, now: int, *, done: bool) -> None:
        key = (task.rsplit("/", 1)[0], attempt)
        there = self.members.get(key, {})
        there.pop(task, None)
        if done:
            # They complete together: if one is done, all are.
            mates = [worker for worker, held in there.values() if held.status != "ended"]
            for mate, (worker, held) in list(there.items()):
                if held.status != "ended":
                    worker.complete_with_gang((mate, attempt), held)
            if mates:
                self.on_completed(mates)
        else:
            self.broken_at.setdefault(key, now)
            for worker, _ in there.values():
                worker.on_change()

    def has_stopped(self, task: str, attempt: int) -> bool:
        """Its progress has stopped: a task of the attempt is gone, or was told to stop."""
        key = (task.rsplit("/", 1)[0], attempt)
        return key in self.broken_at or key in self.stopping


class Worker:
    def __init__(
        self,
        clock: Callable[[], int],
        name: str,
        address: str,
        type_name: str,
        zone: str,
        spot: bool,
        cores: float,
        job_of: Callable[[str], dict[str, Any] | None],
        lease_us: int = 10 * SECOND,
        kind: wire.MachineType | None = None,
        gangs: GangCoordinator | None = None,
    ) -> None:
        self._clock = clock
        self.name, self.address, self.type, self.zone, self.spot = name, address, type_name, zone, spot
        self.cores = cores
        self.machine_type = kind
        self.gang_coordinator = gangs
        self._job_of = job_of
        self.lease_us = lease_us
        self.session = 1
        self.seq = 0
        self.token = 0
        self.reclaimed_at: int | None = None
        self.notice_s: float | None = None
        self.tasks: dict[AttemptKey, Attempt] = {}
        self.cached_images: set[str] = set()
        self.images_ready_at: dict[str, int] = {}  # image -> when it is there
        self.completed_tasks: set[str] = set()  # tasks that completed: kept, shared by all machines
        self.lost_completions: dict[str, str] = {}  # ends that it can't tell of any more, and why
        self.progress: dict[str, int] = {}  # what tasks saved, shared by all machines (us of run time)
        self.speed = 1.0
        self.lease_renewed_at = clock()
        self.started_attempts: list[AttemptKey] = []  # every start that was executed
        self.lease_kill_count = 0  # tasks that the lease ended
        self.on_task_started: Callable[[Worker, str, int], None] = lambda worker, task, attempt: None
        self.on_task_stopped: Callable[[Worker, str, int, str], None] = lambda worker, task, attempt, why: None
        self.on_change: Callable[[], None] = lambda: None  # something is to be looked at again
        self.failure_delay_us: Callable[[str, dict[str, Any]], int | None] = lambda task, job: None
        self.runtime_us: Callable[[str, dict[str, Any]], int] = lambda task, job: micros(float(job["voyageS"]))

    # --- time -------------------------------------------------------------------------------

    def advance(self) -> None:
        """Let what is due happen: the lease runs out, images arrive, tasks start, save and complete."""
        now = self._clock()
        if now - self.lease_renewed_at > self.lease_us:
            self.kill("lease")
            self.session += 1
            self.lease_renewed_at = now
        for image in [image for image, at in self.images_ready_at.items() if at <= now]:
            del self.images_ready_at[image]
            self.cached_images.add(image)
        for key, held in list(self.tasks.items()):
            if held.status == "pulling" and held.image_ready_at <= now:
                self._on_image_ready(key, held, now)
            if held.status == "waiting":
                self._advance_waiting(key, held, now)
            if held.status == "running" and held.job.get("rig") == "gang" and self._gang_lost(key, now):
                self._exit(key, held, EXIT_GANG_LOST)
            if held.status == "running" and held.fails_at is not None and now >= held.fails_at:
                self._exit(key, held, "error")
            if (
                held.status == "running"
                and held.completes_at is not None
                and now >= held.completes_at
                and not self._has_stopped(key, held)
            ):
                self._exit(key, held, EXIT_DONE)
            if held.status == "flushing" and now >= held.checkpoint_done_at:
                held.checkpoint_stored = True
                self._exit(key, held, EXIT_STOPPED)

    def next_event_at(self) -> int:
        """When `advance` has something to do, if nothing else happens."""
        times = [self.lease_renewed_at + self.lease_us + 1, *self.images_ready_at.values()]
        for key, held in self.tasks.items():
            if held.status == "pulling":
                times.append(held.image_ready_at)
            elif held.status == "running":
                ends_at = None if self._has_stopped(key, held) else held.completes_at
                times += [at for at in (ends_at, held.fails_at) if at is not None]
            elif held.status == "flushing":
                times.append(held.checkpoint_done_at)
            if (
                self.gang_coordinator is not None
                and held.job.get("rig") == "gang"
                and held.status in ("waiting", "running")
            ):
                attempt = (key[0].rsplit("/", 1)[0], key[1])
                if attempt in self.gang_coordinator.broken_at:
                    times.append(self.gang_coordinator.broken_at[attempt] + self.gang_coordinator.peer_us)
                if held.status == "waiting":
                    times.append(self.gang_coordinator.first_image_at.get(attempt, 0) + self.gang_coordinator.wait_us)
        return min(times)

    def on_resumed_after_hang(self, for_us: int) -> None:
        """It executed nothing for a while."""
        for held in self.tasks.values():
            if held.status == "running" and held.completes_at is not None:
                held.completes_at += for_us

    def kill(self, why: str) -> None:
        """All tasks are gone at once: the lease ran out, or the machine is no more."""
        for (task, attempt), held in list(self.tasks.items()):
            if held.status != "ended":
                self.lease_kill_count += why == "lease"
                self._remove(task, attempt, held, why)
            elif held.exit_reason == EXIT_DONE:
                self.lost_completions[task] = why
        self.tasks.clear()
        self.images_ready_at.clear()

    def restart(self, *, anew: bool) -> None:
        """The machine ended and is back at once, empty, under its name and address; `anew`: its sessions too."""
        self.kill("died")
        self.cached_images.clear()
        self.token = 0
        self.session = 1 if anew else self.session + 1
        self.seq = 0 if anew else self.seq
        self.lease_renewed_at = self._clock()
        self.on_change()

    def _on_image_ready(self, key: AttemptKey, held: Attempt, now: int) -> None:
        held.on_machine = True
        self.on_task_started(self, *key)
        if key[0] in self.completed_tasks:
            self._exit(key, held, EXIT_DONE)
        elif held.job["rig"] == "gang" and self.gang_coordinator is not None:
            held.status = "waiting"
            self.gang_coordinator.first_image_at.setdefault((key[0].rsplit("/", 1)[0], key[1]), now)
            for worker, _ in list(self.gang_coordinator.members.get((key[0].rsplit("/", 1)[0], key[1]), {}).values()):
                worker.on_change()
        else:
            self._run(key, held, now)

    def _run(self, key: AttemptKey, held: Attempt, now: int) -> None:
        held.status, held.started_at = "running", now
        fails = self.failure_delay_us(key[0], held.job)
        held.fails_at = None if fails is None else now + fails
        if held.job["rig"] != "standing":
            left = self.runtime_us(key[0], held.job) - self.progress.get(key[0], 0)
            held.completes_at = now + round(max(left, 0) / self.speed)

    def _advance_waiting(self, key: AttemptKey, held: Attempt, now: int) -> None:
        assert self.gang_coordinator is not None
        attempt = (key[0].rsplit("/", 1)[0], key[1])
        if attempt in self.gang_coordinator.broken_at:
            if now >= self.gang_coordinator.broken_at[attempt] + self.gang_coordinator.peer_us:
                self._exit(key, held, EXIT_GANG_LOST)
        elif self.gang_coordinator.ready(key[0], key[1], now):
            for mate, (worker, its) in list(self.gang_coordinator.members[attempt].items()):
                if its.status == "waiting":
                    worker._run((mate, key[1]), its, now)
                    worker.on_change()
        elif now >= self.gang_coordinator.first_image_at.get(attempt, now) + self.gang_coordinator.wait_us:
            self._exit(key, held, EXIT_GANG_INCOMPLETE)

    def _has_stopped(self, key: AttemptKey, held: Attempt) -> bool:
        return (
            held.job.get("rig") == "gang"
            and self.gang_coordinator is not None
            and self.gang_coordinator.has_stopped(*key)
        )

    def complete_with_gang(self, key: AttemptKey, held: Attempt) -> None:
        """Its gang has completed."""
        self._exit(key, held, EXIT_DONE)
        self.on_change()

    def _gang_lost(self, key: AttemptKey, now: int) -> bool:
        since = (
            self.gang_coordinator.broken_at.get((key[0].rsplit("/", 1)[0], key[1]))
            if self.gang_coordinator is not None
            else None
        )
        return since is not None and self.gang_coordinator is not None and now >= since + self.gang_coordinator.peer_us

    def _exit(self, key: AttemptKey, held: Attempt, why: str) -> None:
        if why == EXIT_DONE:
            self.completed_tasks.add(key[0])
        self._remove(*key, held, why)
        held.status, held.exit_reason = "ended", why

    def _remove(self, task: str, attempt: int, held: Attempt, why: str) -> None:
        every = micros(float(held.job.get("mooringS") or 0.0))
        if held.completes_at is not None and every and why != EXIT_DONE and held.status in ("running", "flushing"):
            until = self._clock() if held.stopped_at is None else held.stopped_at
            ran = round((until - held.started_at) * self.speed)
            saved = self.progress.get(task, 0) + ran
            self.progress[task] = (
                saved if held.checkpoint_stored else max(self.progress.get(task, 0), saved // every * every)
            )
        if held.on_machine:
            held.on_machine = False
            self.on_task_stopped(self, task, attempt, why)
        if held.job.get("rig") == "gang" and self.gang_coordinator is not None:
            self.gang_coordinator.on_task_gone(task, attempt, self._clock(), done=why == EXIT_DONE)

    # --- messages ---------------------------------------------------------------------------

    def report(self) -> dict[str, Any]:
        self.advance()
        self.seq += 1
        legs: list[dict[str, Any]] = []
        for (name, attempt), held in self.tasks.items():
            leg: dict[str, Any] = {"leg": name, "sailing": attempt, "status": held.status}
            if held.exit_reason:
                leg["wreckCause"] = held.exit_reason
            if held.checkpoint_stored:
                leg["stored"] = True
            legs.append(leg)
        if self.reclaimed_at is not None:
            self.notice_s = max(0.0, (self.reclaimed_at - self._clock()) / SECOND)
        return {
            "berth": self.name,
            "address": self.address,
            "berthKind": self.type,
            "harbor": self.zone,
            "driftwood": self.spot,
            "watch": self.session,
            "logline": self.seq,
            "helm": self.token,
            "recallS": self.notice_s,
            "legs": legs,
        }

    def answer(self, sent_at: int, session: int, body: dict[str, Any]) -> bool:
        """A 200 to a report; False if it is dropped."""
        self.advance()
        if body.get("helm", -1) < self.token or session != self.session:
            return False
        self.token = body["helm"]
        self.lease_renewed_at = max(self.lease_renewed_at, sent_at)
        self._execute(body["orders"])
        return True

    def commands(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self.advance()
        if "helm" not in body or "watch" not in body:
            return 400, self.report()
        if body["helm"] < self.token or body["watch"] != self.session:
            return 409, self.report()
        self.token = body["helm"]
        self._execute(body["orders"])
        return 200, self.report()

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["leg"], order["sailing"])
            held = self.tasks.get(key)
            if order["orderKind"] == "start":
                if held is None:
                    self._start(key)
            elif held is None:
                continue
            elif order["orderKind"] == "stop" and held.status != "ended":
                self._stop(key, held, float(order.get("slackS") or 0.0))
            elif order["orderKind"] == "forget" and held.status == "ended":
                del self.tasks[key]
                if held.exit_reason == EXIT_DONE:
                    self.lost_completions[key[0]] = "forgotten"

    def _stop(self, key: AttemptKey, held: Attempt, slack_s: float) -> None:
        if held.status == "running" and held.job.get("rig") == "gang" and self.gang_coordinator is not None:
            self.gang_coordinator.stopping.add((key[0].rsplit("/", 1)[0], key[1]))
        saves = float(held.job.get("mooringS") or 0.0) > 0 and slack_s >= float(held.job.get("stowS") or 0.0)
        if held.status == "running" and saves:
            held.status, held.stopped_at = "flushing", self._clock()
            held.checkpoint_done_at = held.stopped_at + micros(float(held.job["stowS"]))
        elif held.status != "flushing" or slack_s <= 0:
            self._exit(key, held, EXIT_STOPPED)
            image = str(held.job.get("hull"))
            if not any(h.status == "pulling" and h.job.get("hull") == image for h in self.tasks.values()):
                self.images_ready_at.pop(image, None)  # nobody waits for it any more

    def _start(self, key: AttemptKey) -> None:
        task = key[0]
        job = self._job_of(task.rsplit("/", 1)[0])
        if job is None:
            self.tasks[key] = Attempt("ended", "unknown")
            return
        live = [(k, held) for k, held in self.tasks.items() if held.status != "ended"]
        if any(k[0] == task for k, _ in live):
            self.tasks[key] = Attempt("ended", "in_use")
            return
        if not self._has_room(job, [held for _, held in live]):
            self.tasks[key] = Attempt("ended", "full")
            return
        self.started_attempts.append(key)
        now = self._clock()
        image = str(job["hull"])
        ready = now
        if self.machine_type is not None and image not in self.cached_images:
            fetch = micros(float(job["sizeGb"]) / max(self.machine_type.image_fetch_gb_per_s, 0.01))
            ready = self.images_ready_at.setdefault(image, now + fetch * (1 + len(self.images_ready_at)))
        held = self.tasks[key] = Attempt("pulling", cores=float(job["cores"]), job=job, image_ready_at=ready)
        if job["rig"] == "gang" and self.gang_coordinator is not None:
            self.gang_coordinator.join(task, key[1], self, held)
        if ready <= now:
            self._on_image_ready(key, held, now)
        self.on_change()

    def fits(self, job: dict[str, Any]) -> bool:
        """A task of this job finds room here now."""
        return self._has_room(job, [held for held in self.tasks.values() if held.status != "ended"])

    def _has_room(self, job: dict[str, Any], live: list[Attempt]) -> bool:
        if sum(h.cores for h in live) + float(job["cores"]) > self.cores + 1e-9:
            return False
        if self.machine_type is None:
            return True
        gpus = sum(float(h.job["accelerators"]) for h in live) + float(job["accelerators"])
        memory = sum(float(h.job["memoryGb"]) for h in live) + float(job["memoryGb"])
        return gpus <= self.machine_type.gpus + 1e-9 and memory <= self.machine_type.memory_gb + 1e-9
