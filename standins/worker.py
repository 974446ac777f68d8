"""A stand-in for one machine's worker, on an injected clock (microseconds)."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any


@dataclass
class FakeTask:
    status: str
    why: str | None = None
    ends_at: int | None = None
    cores: float = 0.0


class FakeWorker:
    def __init__(
        self, clock: Callable[[], int], name: str, address: str, type_name: str, zone: str, spot: bool,
        cores: float, job_of: Callable[[str], dict[str, Any] | None], lease_us: int = 10_000_000,
    ) -> None:
        self._clock = clock
        self.name, self.address, self.type, self.zone, self.spot = name, address, type_name, zone, spot
        self.cores = cores
        self._job_of = job_of
        self.lease_us = lease_us
        self.session = 1
        self.seq = 0
        self.token = 0
        self.notice_s: float | None = None
        self.tasks: dict[tuple[str, int], FakeTask] = {}
        self.answered_at = clock()
        self.starts: list[tuple[str, int]] = []  # every start that was executed, for the tests

    def advance(self) -> None:
        """Let tasks complete and the lease run out."""
        now = self._clock()
        if now - self.answered_at > self.lease_us:
            self.tasks.clear()
            self.session += 1
            self.answered_at = now
        for task in self.tasks.values():
            if task.status == "running" and task.ends_at is not None and now >= task.ends_at:
                task.status, task.why = "ended", "done"

    def report(self) -> dict[str, Any]:
        self.advance()
        self.seq += 1
        legs: list[dict[str, Any]] = []
        for (name, attempt), task in self.tasks.items():
            leg: dict[str, Any] = {"leg": name, "sailing": attempt, "status": task.status}
            if task.why:
                leg["wreckCause"] = task.why
            legs.append(leg)
        return {
            "berth": self.name, "address": self.address, "berthKind": self.type, "harbor": self.zone,
            "driftwood": self.spot, "watch": self.session, "logline": self.seq, "helm": self.token,
            "recallS": self.notice_s, "legs": legs,
        }

    def answer(self, sent_at: int, session: int, body: dict[str, Any]) -> None:
        """A 200 to a report."""
        if body.get("helm", -1) < self.token or session != self.session:
            return
        self.token = body["helm"]
        self.answered_at = sent_at
        self._execute(body["orders"])

    def commands(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self.advance()
        if body["helm"] < self.token or body["watch"] != self.session:
            return 409, self.report()
        self.token = body["helm"]
        self._execute(body["orders"])
        return 200, self.report()

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["leg"], order["sailing"])
            if order["orderKind"] == "start":
                self._start(key)
            elif order["orderKind"] == "stop" and key in self.tasks and self.tasks[key].status != "ended":
                self.tasks[key].status, self.tasks[key].why = "ended", "halted"
            elif order["orderKind"] == "forget" and key in self.tasks and self.tasks[key].status == "ended":
                del self.tasks[key]

    def _start(self, key: tuple[str, int]) -> None:
        if key in self.tasks:
            return
        job = self._job_of(key[0].rsplit("/", 1)[0])
        if job is None:
            self.tasks[key] = FakeTask("ended", "unknown")
            return
        if any(k[0] == key[0] and t.status != "ended" for k, t in self.tasks.items()):
            self.tasks[key] = FakeTask("ended", "in_use")
            return
        used = sum(t.cores for t in self.tasks.values() if t.status != "ended")
        if used + job["cores"] > self.cores + 1e-9:
            self.tasks[key] = FakeTask("ended", "full")
            return
        self.starts.append(key)
        run = float(job["voyageS"])
        ends = self._clock() + round(run * 1_000_000) if job["rig"] != "standing" else None
        self.tasks[key] = FakeTask("running", None, ends, float(job["cores"]))
