"""A machine's worker by PROTOCOL: tasks, images, gangs, tokens and its lease, on an injected clock (microseconds)."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from oatport import wire
from oatport.times import SECOND, micros

Key = tuple[str, int]  # task and attempt

DONE, STOPPED, PEERS, ALONE = "done", "halted", "mates_gone", "incomplete"


@dataclass(eq=False)
class Attempt:
    """A task on a machine, in the wire's own terms."""

    status: str
    why: str | None = None
    ends_at: int | None = None  # when it completes, if it runs on
    fails_at: int | None = None  # when it ends with an error, if it does
    cores: float = 0.0
    job: dict[str, Any] = field(default_factory=dict)
    image_at: int = 0  # when its image is there
    began_at: int = 0
    stopped_at: int | None = None  # its progress stops with the first stop
    saved_at: int = 0  # when what it saves is safe
    stored: bool | None = None
    present: bool = False  # it has its image, and is on the machine as the rules count


class GangCoordinator:
    """What tasks of one attempt know of each other, wherever they are."""

    def __init__(self, wait_us: int, peer_us: int) -> None:
        self.wait_us, self.peer_us = wait_us, peer_us
        self.members: dict[tuple[str, int], dict[str, tuple[Worker, Attempt]]] = {}
        self.mutated: dict[tuple[str, int], int] = {}  # since when a task of the attempt is gone
        self.first_image: dict[tuple[str, int], int] = {}
        self.on_done: Callable[[list[Worker]], None] = lambda mates: None  # one is done; where the others are
        self.stopped: set[tuple[str, int]] = set()  # attempts of which a task was told to stop: no progress since

    def join(self, task: str, attempt: int, worker: Worker, held: Attempt) -> None:
        key = (task.rsplit("/", 1)[0], attempt)
        self.members.setdefault(key, {})[task] = (worker, held)

    def ready(self, task: str, attempt: int, now: int) -> bool:
        """All its tasks have their image: they start together."""
        ref = task.rsplit("/", 1)[0]
        there = self.members.get((ref, attempt), {})
        self.first_image.setdefault((ref, attempt), now)
        held = next(h for _, h in there.values())
        whole = len(there) == int(held.job["legs"])
        return whole and all(h.status in ("waiting", "running") for _, h in there.values())

    def left(self, task: str, attempt: int, now: int, *, done: bool) -> None:
        key = (task.rsplit("/", 1)[0], attempt)
        there = self.members.get(key, {})
        there.pop(task, None)
        if done:
            # They complete together: if one is done, all are.
            mates = [worker for worker, held in there.values() if held.status != "ended"]
            for mate, (worker, held) in list(there.items()):
                if held.status != "ended":
                    worker.complete((mate, attempt), held)
            if mates:
                self.on_done(mates)
        else:
            self.mutated.setdefault(key, now)
            for worker, _ in there.values():
                worker.stirred()

    def stands(self, task: str, attempt: int) -> bool:
        """Its progress has stopped: a task of the attempt is gone, or was told to stop."""
        key = (task.rsplit("/", 1)[0], attempt)
        return key in self.mutated or key in self.stopped


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
        self.kind = kind
        self.gangs = gangs
        self._job_of = job_of
        self.lease_us = lease_us
        self.session = 1
        self.seq = 0
        self.token = 0
        self.reclaimed_at: int | None = None
        self.notice_s: float | None = None
        self.tasks: dict[Key, Attempt] = {}
        self.images: set[str] = set()
        self.fetching: dict[str, int] = {}  # image -> when it is there
        self.results: set[str] = set()  # tasks that completed: kept, shared by all machines
        self.results_lost: dict[str, str] = {}  # ends that it can't tell of any more, and why
        self.progress: dict[str, int] = {}  # what tasks saved, shared by all machines (us of run time)
        self.speed = 1.0
        self.answered_at = clock()
        self.starts: list[Key] = []  # every start that was executed
        self.killed = 0  # tasks that the lease ended
        self.on_begin: Callable[[Worker, str, int], None] = lambda worker, task, attempt: None
        self.on_end: Callable[[Worker, str, int, str], None] = lambda worker, task, attempt, why: None
        self.stirred: Callable[[], None] = lambda: None  # something is to be looked at again
        self.fails_us: Callable[[str, dict[str, Any]], int | None] = lambda task, job: None
        self.run_us: Callable[[str, dict[str, Any]], int] = lambda task, job: micros(float(job["voyageS"]))

    # --- time -------------------------------------------------------------------------------

    def advance(self) -> None:
        """Let what is due happen: the lease runs out, images arrive, tasks start, save and complete."""
        now = self._clock()
        if now - self.answered_at > self.lease_us:
            self.kill("lease")
            self.session += 1
            self.answered_at = now
        for image in [image for image, at in self.fetching.items() if at <= now]:
            del self.fetching[image]
            self.images.add(image)
        for key, held in list(self.tasks.items()):
            if held.status == "pulling" and held.image_at <= now:
                self._image_there(key, held, now)
            if held.status == "waiting":
                self._wait_for_mates(key, held, now)
            if held.status == "running" and held.job.get("rig") == "gang" and self._mates_gone(key, now):
                self._end(key, held, PEERS)
            if held.status == "running" and held.fails_at is not None and now >= held.fails_at:
                self._end(key, held, "error")
            if (
                held.status == "running"
                and held.ends_at is not None
                and now >= held.ends_at
                and not self._stands(key, held)
            ):
                self._end(key, held, DONE)
            if held.status == "flushing" and now >= held.saved_at:
                held.stored = True
                self._end(key, held, STOPPED)

    def next_at(self) -> int:
        """When `advance` has something to do, if nothing else happens."""
        times = [self.answered_at + self.lease_us + 1, *self.fetching.values()]
        for key, held in self.tasks.items():
            if held.status == "pulling":
                times.append(held.image_at)
            elif held.status == "running":
                ends_at = None if self._stands(key, held) else held.ends_at
                times += [at for at in (ends_at, held.fails_at) if at is not None]
            elif held.status == "flushing":
                times.append(held.saved_at)
            if self.gangs is not None and held.job.get("rig") == "gang" and held.status in ("waiting", "running"):
                attempt = (key[0].rsplit("/", 1)[0], key[1])
                if attempt in self.gangs.mutated:
                    times.append(self.gangs.mutated[attempt] + self.gangs.peer_us)
                if held.status == "waiting":
                    times.append(self.gangs.first_image.get(attempt, 0) + self.gangs.wait_us)
        return min(times)

    def hung(self, for_us: int) -> None:
        """It executed nothing for a while."""
        for held in self.tasks.values():
            if held.status == "running" and held.ends_at is not None:
                held.ends_at += for_us

    def kill(self, why: str) -> None:
        """All tasks are gone at once: the lease ran out, or the machine is no more."""
        for (task, attempt), held in list(self.tasks.items()):
            if held.status != "ended":
                self.killed += why == "lease"
                self._gone(task, attempt, held, why)
            elif held.why == DONE:
                self.results_lost[task] = why
        self.tasks.clear()
        self.fetching.clear()

    def blink(self, *, anew: bool) -> None:
        """The machine ended and is back at once, empty, under its name and address; `anew`: its sessions too."""
        self.kill("died")
        self.images.clear()
        self.token = 0
        self.session = 1 if anew else self.session + 1
        self.seq = 0 if anew else self.seq
        self.answered_at = self._clock()
        self.stirred()

    def _image_there(self, key: Key, held: Attempt, now: int) -> None:
        held.present = True
        self.on_begin(self, *key)
        if key[0] in self.results:
            self._end(key, held, DONE)
        elif held.job["rig"] == "gang" and self.gangs is not None:
            held.status = "waiting"
            self.gangs.first_image.setdefault((key[0].rsplit("/", 1)[0], key[1]), now)
            for worker, _ in list(self.gangs.members.get((key[0].rsplit("/", 1)[0], key[1]), {}).values()):
                worker.stirred()
        else:
            self._run(key, held, now)

    def _run(self, key: Key, held: Attempt, now: int) -> None:
        held.status, held.began_at = "running", now
        fails = self.fails_us(key[0], held.job)
        held.fails_at = None if fails is None else now + fails
        if held.job["rig"] != "standing":
            left = self.run_us(key[0], held.job) - self.progress.get(key[0], 0)
            held.ends_at = now + round(max(left, 0) / self.speed)

    def _wait_for_mates(self, key: Key, held: Attempt, now: int) -> None:
        assert self.gangs is not None
        attempt = (key[0].rsplit("/", 1)[0], key[1])
        if attempt in self.gangs.mutated:
            if now >= self.gangs.mutated[attempt] + self.gangs.peer_us:
                self._end(key, held, PEERS)
        elif self.gangs.ready(key[0], key[1], now):
            for mate, (worker, its) in list(self.gangs.members[attempt].items()):
                if its.status == "waiting":
                    worker._run((mate, key[1]), its, now)
                    worker.stirred()
        elif now >= self.gangs.first_image.get(attempt, now) + self.gangs.wait_us:
            self._end(key, held, ALONE)

    def _stands(self, key: Key, held: Attempt) -> bool:
        return held.job.get("rig") == "gang" and self.gangs is not None and self.gangs.stands(*key)

    def complete(self, key: Key, held: Attempt) -> None:
        """Its gang has completed."""
        self._end(key, held, DONE)
        self.stirred()

    def _mates_gone(self, key: Key, now: int) -> bool:
        since = self.gangs.mutated.get((key[0].rsplit("/", 1)[0], key[1])) if self.gangs is not None else None
        return since is not None and self.gangs is not None and now >= since + self.gangs.peer_us

    def _end(self, key: Key, held: Attempt, why: str) -> None:
        if why == DONE:
            self.results.add(key[0])
        self._gone(*key, held, why)
        held.status, held.why = "ended", why

    def _gone(self, task: str, attempt: int, held: Attempt, why: str) -> None:
        every = micros(float(held.job.get("mooringS") or 0.0))
        if held.ends_at is not None and every and why != DONE and held.status in ("running", "flushing"):
            until = self._clock() if held.stopped_at is None else held.stopped_at
            ran = round((until - held.began_at) * self.speed)
            saved = self.progress.get(task, 0) + ran
            self.progress[task] = saved if held.stored else max(self.progress.get(task, 0), saved // every * every)
        if held.present:
            held.present = False
            self.on_end(self, task, attempt, why)
        if held.job.get("rig") == "gang" and self.gangs is not None:
            self.gangs.left(task, attempt, self._clock(), done=why == DONE)

    # --- messages ---------------------------------------------------------------------------

    def report(self) -> dict[str, Any]:
        self.advance()
        self.seq += 1
        legs: list[dict[str, Any]] = []
        for (name, attempt), held in self.tasks.items():
            leg: dict[str, Any] = {"leg": name, "sailing": attempt, "status": held.status}
            if held.why:
                leg["wreckCause"] = held.why
            if held.stored:
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
        self.answered_at = max(self.answered_at, sent_at)
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
                if held.why == DONE:
                    self.results_lost[key[0]] = "forgotten"

    def _stop(self, key: Key, held: Attempt, slack_s: float) -> None:
        if held.status == "running" and held.job.get("rig") == "gang" and self.gangs is not None:
            self.gangs.stopped.add((key[0].rsplit("/", 1)[0], key[1]))
        saves = float(held.job.get("mooringS") or 0.0) > 0 and slack_s >= float(held.job.get("stowS") or 0.0)
        if held.status == "running" and saves:
            held.status, held.stopped_at = "flushing", self._clock()
            held.saved_at = held.stopped_at + micros(float(held.job["stowS"]))
        elif held.status != "flushing" or slack_s <= 0:
            self._end(key, held, STOPPED)
            image = str(held.job.get("hull"))
            if not any(h.status == "pulling" and h.job.get("hull") == image for h in self.tasks.values()):
                self.fetching.pop(image, None)  # nobody waits for it any more

    def _start(self, key: Key) -> None:
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
        self.starts.append(key)
        now = self._clock()
        image = str(job["hull"])
        ready = now
        if self.kind is not None and image not in self.images:
            fetch = micros(float(job["sizeGb"]) / max(self.kind.image_fetch_gb_per_s, 0.01))
            ready = self.fetching.setdefault(image, now + fetch * (1 + len(self.fetching)))
        held = self.tasks[key] = Attempt("pulling", cores=float(job["cores"]), job=job, image_at=ready)
        if job["rig"] == "gang" and self.gangs is not None:
            self.gangs.join(task, key[1], self, held)
        if ready <= now:
            self._image_there(key, held, now)
        self.stirred()

    def fits(self, job: dict[str, Any]) -> bool:
        """A task of this job finds room here now."""
        return self._has_room(job, [held for held in self.tasks.values() if held.status != "ended"])

    def _has_room(self, job: dict[str, Any], live: list[Attempt]) -> bool:
        if sum(h.cores for h in live) + float(job["cores"]) > self.cores + 1e-9:
            return False
        if self.kind is None:
            return True
        gpus = sum(float(h.job["accelerators"]) for h in live) + float(job["accelerators"])
        memory = sum(float(h.job["memoryGb"]) for h in live) + float(job["memoryGb"])
        return gpus <= self.kind.gpus + 1e-9 and memory <= self.kind.memory_gb + 1e-9
