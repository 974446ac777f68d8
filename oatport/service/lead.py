"""What the leader does: take work in, write ahead, send, rent and return, watch over machines.

All state is in `Cluster`, touched only between awaits: the event loop is the short lock.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Any, Protocol

import aiohttp

from oatport import wire
from oatport.clients.http import Bucket, NoAnswer, NotSent, Refused, jitter
from oatport.clients.peer import PeerClient
from oatport.clients.state import Applied, StateClient
from oatport.clients.worker import WorkerClient
from oatport.control.backlog import route_waiting
from oatport.control.cluster import Cluster
from oatport.control.mandate import Mandate, Pulse
from oatport.control.model import Job, Machine, Phase
from oatport.control.placer import Placer
from oatport.control.predictor import Predictor
from oatport.control.records import ACCEPT_KEYS, FLEET, JOBS, LEADER_KEY, LIVE, MODEL_KEY, Batch, job_key
from oatport.control.recovery import OutageClock, load, read_job
from oatport.service.fleetkeeper import FleetKeeper
from oatport.service.tasks import TaskGroup
from oatport.settings import Settings, Tuning
from oatport.times import MS, SECOND, seconds, steady, time_of_day

log = logging.getLogger(__name__)

END_DELAY = 250 * MS  # ends may wait this long for company in one transaction
BULK_WAIT = 4 * SECOND  # what can wait does so for no longer, however much is pressing
WATCH_WAIT = 1_000 * MS
PLAN_REST = 3  # times as long as a planning pass took, until the next


class Home(Protocol):
    """The node that leads."""

    types: dict[str, wire.MachineType]
    peers: dict[str, PeerClient]
    display: dict[str, tuple[int, int]]

    def lost_lead(self, why: str) -> None: ...
    def cut_off_from(self, addresses: list[str]) -> None: ...


class Deposed(Exception):
    """The leader key is not ours any more."""


class Lead:
    def __init__(
        self, home: Home, settings: Settings, tuning: Tuning, session: aiohttp.ClientSession,
        state: StateClient, token: int, lease: int, held_at: int,
    ) -> None:
        self.home = home
        self.settings = settings
        self.tuning = tuning
        self.state = state
        self.token = token
        self.lease = lease
        self._session = session
        limits = settings.cluster
        self.cluster = Cluster(token, limits, tuning, dict(home.types), Predictor())
        self.placer = Placer(self.cluster)
        self.began = steady()
        self.clock = OutageClock(limits, self.began)
        self.mandate = Mandate(tuning.us("leader_lease_s"), held_at)
        self._pulse = Pulse(self.began)
        self.group = TaskGroup()
        self.loaded = False
        self.over = False
        self.keeper = FleetKeeper(self, session)
        self._writes = Bucket(limits.state.write_rps * 0.85)  # the rest is for users' requests
        self._txn_ops = limits.state.txn_ops
        self._plan_wanted = asyncio.Event()
        self._write_wanted = asyncio.Event()
        self._send_wanted = asyncio.Event()
        self._sending: set[Machine] = set()
        self._early: list[tuple[str, str, Any, int]] = []  # told before the records were loaded
        self._watch_from = 0
        self._writing_since = 0  # when the commit under way was first tried
        self._last_display: dict[str, tuple[int, int]] = {}

    # --- lifecycle --------------------------------------------------------------------------

    async def take_over(self) -> None:
        """Load what is recorded; reports confirm it."""
        rows: list[dict[str, Any]] = []
        live, revision = await self.state.list_all(LIVE)
        fleet, _ = await self.state.list_all(FLEET)
        model = await self.state.get(MODEL_KEY)
        if model is not None:
            rows.append({"path": MODEL_KEY, "value": model[0], "entryRev": model[1]})
        if not self.cluster.types:
            await self.keeper.catalog()
        rows += fleet + live
        load(self.cluster, rows, steady(), time_of_day())
        self._watch_from = revision
        self.clock.known(steady())
        self.loaded = True
        for kind, ref, value, rev in self._early:
            self._told(kind, ref, value, rev)
        self._early.clear()
        log.info("leading with token %d: %d jobs, %d machines recorded", self.token, len(self.cluster.jobs),
                 len(self.cluster.machines))
        for name, loop in (
            ("watch", self._watch_loop), ("write", self._write_loop), ("plan", self._plan_loop),
            ("send", self._send_loop), ("display", self._display_loop), ("tick", self._tick_loop),
        ):
            self.group.keep(name, loop)
        self.keeper.start()
        for machine in list(self.cluster.machines.values()):
            if machine.address:
                self.group.once("introduce", self._introduce(machine))
        self.wake()

    def close(self) -> None:
        self.over = True
        self.group.close()

    def depose(self, why: str) -> None:
        if not self.over:
            self.over = True
            self.home.lost_lead(why)

    def now(self) -> int:
        """The steady clock. A time in which this process stood still is not counted as lived."""
        now = steady()
        gap = self._pulse.beat(now)
        if gap:
            log.warning("stood still for %.1f s", seconds(gap))
            self.cluster.stood_still(gap, now)
        return now

    def entitled(self) -> bool:
        """Nobody else can be leading: asked at the moment of acting."""
        return not self.over and self.mandate.holds(steady())

    def wake(self) -> None:
        cluster = self.cluster
        if cluster.replan:
            self._plan_wanted.set()
        if cluster.has_writes():
            self._write_wanted.set()
        if cluster.to_send:
            self._send_wanted.set()

    # --- jobs told by nodes or seen in the watch -----------------------------------------------

    def told(self, kind: str, ref: str, value: Any, revision: int) -> None:
        if not self.loaded:
            if len(self._early) < 10_000:
                self._early.append((kind, ref, value, revision))
            return
        self._told(kind, ref, value, revision)

    def _told(self, kind: str, ref: str, value: Any, revision: int) -> None:
        if kind == "cancelled":
            self.cluster.cancel_job(ref, revision)
        elif ref not in self.cluster.jobs and revision > self._watch_from:
            # An older one was seen by the load or by the watch, and may be over already.
            spec, at, _ = read_job(value)
            self._join(ref, spec, revision, at)
        self.wake()

    def _join(self, ref: str, spec: wire.Submission, revision: int, at: int) -> None:
        self.cluster.add_job(ref, spec, revision, at)
        if self._writes.available() > 0:
            # What nodes wrote to accept it is off the same budget; but a swarm makes no debt that claims wait for.
            self._writes.take(ACCEPT_KEYS)

    async def _watch_loop(self) -> None:
        """Accepted and cancelled jobs, and the moment up to which all cancellations are known."""
        while not self.over:
            asked = steady()
            try:
                found = await self.state.changes(JOBS, self._watch_from, WATCH_WAIT)
            except (NoAnswer, Refused):
                await asyncio.sleep(jitter(300 * MS))
                continue
            if found is None:
                log.warning("the watch fell too far behind")
                self.depose("the watch on jobs fell behind")
                return
            revision, news = found
            for item in news:
                key = item.get("set")
                if key is None:
                    continue
                ref = key[len(JOBS):]
                spec, at, state = read_job(item["value"])
                if state == wire.CANCELLED:
                    self.cluster.cancel_job(ref, int(item["entryRev"]))
                elif state not in wire.FINAL and ref not in self.cluster.jobs:
                    self._join(ref, spec, int(item["entryRev"]), at)
            self._watch_from = max(self._watch_from, revision)
            self.clock.known(asked)
            self.wake()

    # --- reports ----------------------------------------------------------------------------

    def answering(self) -> bool:
        """Entitled to keep workers' leases alive."""
        return self.loaded and not self.over and steady() < self.clock.until

    def take_report(self, report: wire.Report) -> dict[str, Any] | None:
        if not self.answering():
            return None
        if report.token > self.token:
            self.depose(f"a worker has seen token {report.token}")
            return None
        now = self.now()
        machine = self.heard(report, now)
        if machine is None or machine.releasing:
            return wire.report_answer(self.token, [])
        orders, starts = self.cluster.commands(machine, now, direct=False)
        if not self.entitled():
            # Tasks live on, but nothing starts while the state service can't be reached, or after standing still.
            orders = [order for order in orders if order["orderKind"] != "start"]
            starts = []
        self.cluster.sent(machine, starts, now, direct=False)
        if machine not in self._sending:
            self.cluster.to_send.discard(machine)
        return wire.report_answer(self.token, orders)

    def heard(self, report: wire.Report, now: int) -> Machine | None:
        machine = self.cluster.on_report(report, now, time_of_day())
        self.wake()
        return machine

    def state_down(self, now: int) -> bool:
        return now - self.state.ok_at > 2 * SECOND and self.state.failed_at > self.state.ok_at

    # --- writing ----------------------------------------------------------------------------

    async def _write_loop(self) -> None:
        bulk_at = steady()
        while not self.over:
            await self._write_wanted.wait()
            self._write_wanted.clear()
            while self.cluster.has_writes() and not self.over:
                if not self.cluster.has_urgent():
                    await asyncio.sleep(seconds(END_DELAY) if not self.cluster.has_urgent() else 0)
                # What can wait leaves half a second's worth to claims, and to users' requests.
                now = steady()
                budget = int(self._writes.available() - self._writes.rate / 2)
                if now - bulk_at > BULK_WAIT:
                    budget = self._txn_ops
                batch = self.cluster.take_batch(self._txn_ops, max(budget, 0))
                if not self.cluster.dirty or batch.ops > 1:
                    bulk_at = now
                if not batch.ops:
                    for job in batch.cleaned + batch.finished:
                        self.cluster.drop_job(job)
                    self.cluster.in_flight = set()
                    await asyncio.sleep(0.04)
                    continue
                await self._writes.spend(batch.ops)
                await self._commit(batch)
                self.wake()

    async def _commit(self, batch: Batch) -> None:
        """Commit a batch, trying the same transaction until its outcome is known.

        While unsure, nothing else is written: each key's version is a condition, so once the answer
        is known no earlier try can be applied any more.
        """
        conditions = {LEADER_KEY: self.token, **batch.conditions}
        tries = 0
        self._writing_since = steady()
        while not self.over:
            try:
                result = await self.state.commit(conditions, batch.sets, batch.drops)
            except (NoAnswer, Refused) as error:
                tries += 1
                if not (isinstance(error, Refused) and error.status == 429):
                    log.info("commit: %s", error)
                if isinstance(error, Refused) and error.status < 429:
                    self.depose("the state service calls a transaction malformed")
                    return
                await asyncio.sleep(jitter(min(60 * MS * tries, 400 * MS)))
                continue
            self._writing_since = 0
            if isinstance(result, Applied):
                self.cluster.committed(batch, result.revision, steady())
                return
            await self._conflict(batch, result.failed, tries)
            return

    async def _conflict(self, batch: Batch, failed: tuple[str, ...], tries: int) -> None:
        if LEADER_KEY in failed:
            self.depose("the leader key has another version")
            return
        if tries and await self._was_applied(batch):
            return
        others = [key for key in failed if not key.startswith(JOBS)]
        if others or not failed:
            # Somebody else wrote what only the leader writes: what we believe is not what is recorded.
            log.error("records differ from what was expected: %s", others)
            self.depose("records differ from what was expected")
            return
        for key in failed:
            await self._reread(key[len(JOBS):])
        self.cluster.put_back(batch)
        for key in failed:
            job = self.cluster.jobs.get(key[len(JOBS):])
            if job is not None and job.cancelled:
                job.finishing = False
                self.cluster.to_finish.pop(job, None)
                self.cluster.cancel_job(job.ref, 0)

    async def _was_applied(self, batch: Batch) -> bool:
        """After an unsure try: did it get through? Its keys then share the revision of the commit."""
        key = next(iter(batch.sets), None) or batch.drops[0]
        while not self.over:
            try:
                found = await self.state.get(key)
            except (NoAnswer, Refused):
                await asyncio.sleep(jitter(200 * MS))
                continue
            if key in batch.sets:
                applied = found is not None and found[1] > batch.conditions.get(key, 0) and found[0] == batch.sets[key]
                revision = found[1] if found is not None else 0
            else:
                applied, revision = found is None, 0
            if applied:
                self.cluster.committed(batch, revision, steady())
            return applied
        return False

    async def _reread(self, ref: str) -> None:
        while not self.over:
            try:
                found = await self.state.get(job_key(ref))
            except (NoAnswer, Refused):
                await asyncio.sleep(jitter(200 * MS))
                continue
            job = self.cluster.jobs.get(ref)
            if job is None:
                return
            state = None if found is None else found[0].get("state")
            if found is not None and state == wire.CANCELLED:
                self.cluster.cancel_job(ref, found[1])
            elif found is not None and state == wire.DONE:
                self.cluster.drop_job(job)
            return

    # --- placing and sending ------------------------------------------------------------------

    async def _plan_loop(self) -> None:
        routed_at = 0
        while not self.over:
            try:
                async with asyncio.timeout(0.5):
                    await self._plan_wanted.wait()
            except TimeoutError:
                pass
            self._plan_wanted.clear()
            now, wall = self.now(), time_of_day()
            if self.stalled(now):
                # What is claimed while the state service is away would only pile up, and what is
                # preempted for it would be lost.
                await asyncio.sleep(0.1)
                continue
            if now - routed_at > 400 * MS or any(not job.tier for job in self.cluster.waiting):
                route_waiting(self.cluster, self.keeper.fleet, now, wall)
                routed_at = now
            if self.cluster.replan or now - routed_at < 5 * MS:
                self.placer.plan(now)
            self.wake()
            # However much there is to plan, reports and renewals get most of the processor.
            took = steady() - now
            await asyncio.sleep(seconds(max(15 * MS, PLAN_REST * took)))

    def stalled(self, now: int) -> bool:
        return bool(self._writing_since and now - self._writing_since > SECOND) or not self.entitled()

    async def _send_loop(self) -> None:
        while not self.over:
            await self._send_wanted.wait()
            self._send_wanted.clear()
            for machine in list(self.cluster.to_send):
                if machine in self._sending or machine.releasing:
                    continue
                self.cluster.to_send.discard(machine)
                if machine.address and machine.session and len(self._sending) < 64:
                    self._sending.add(machine)
                    self.group.once("send", self._send(machine))

    async def _send(self, machine: Machine) -> None:
        cluster = self.cluster
        try:
            now = self.now()
            if not self.entitled() or machine.gone:
                return  # reports' answers still carry the stops
            orders, starts = cluster.commands(machine, now, direct=True)
            if not orders:
                return
            cluster.sent(machine, starts, now, direct=True)
            keys = [(task.name, task.attempt) for task in starts]
            session = machine.session
            try:
                report = await WorkerClient(self._session, machine.address).commands(self.token, session, orders)
            except NotSent:
                cluster.answered(machine, keys)  # no connection: it can't land later
                return
            except NoAnswer as error:
                log.debug("commands to %s: %s", machine.name, error)
                return
            if report.token > self.token:
                self.depose(f"a worker has seen token {report.token}")
                return
            cluster.answered(machine, keys)
            self.heard(report, steady())
        finally:
            self._sending.discard(machine)
            if machine in cluster.to_send:
                self._send_wanted.set()

    async def _introduce(self, machine: Machine) -> None:
        """Let a machine know the new token, and learn what is on it, without waiting for its report."""
        client = WorkerClient(self._session, machine.address)
        for _ in range(3):
            if self.over or machine.gone or machine.confirmed(self.token):
                return
            try:
                report = await client.show()
                self.heard(report, steady())
                if report.token < self.token:
                    self.heard(await client.commands(self.token, report.session, []), steady())
            except NoAnswer:
                await asyncio.sleep(jitter(SECOND))

    async def _tick_loop(self) -> None:
        """Repeat what went unanswered, and learn."""
        recorded_at = told_at = steady()
        while not self.over:
            await asyncio.sleep(0.5)
            now = self.now()
            self.cluster.account(now)
            for machine in self.cluster.machines.values():
                for task in machine.tasks:
                    if task.phase is Phase.PLACED and task.acked is None and task.claimed_at:
                        if task.repeat_start_at <= now:
                            self.cluster.to_send.add(machine)
                            break
            if now - recorded_at > 15 * SECOND and self.cluster.predictor.changed:
                self.cluster.predictor.changed = False
                self.cluster.dirty[MODEL_KEY] = None
                recorded_at = now
            self.cluster.replan = self.cluster.replan or bool(self.cluster.waiting)
            self.wake()
            if now - told_at > 10 * SECOND:
                told_at = now
                log.info("%s", self.keeper.status(now))

    # --- display ----------------------------------------------------------------------------

    async def _display_loop(self) -> None:
        """Tell all nodes the counts that users are shown."""
        rounds = 0
        while not self.over:
            await asyncio.sleep(1.0)
            rounds += 1
            counts = {ref: self._count(job) for ref, job in self.cluster.jobs.items()}
            everything = rounds % 10 == 0  # a node that was started meanwhile knows none
            changed = {
                ref: list(c) for ref, c in counts.items() if everything or self._last_display.get(ref) != c
            }
            ended = [ref for ref in self._last_display if ref not in counts]
            self._last_display = counts
            self.home.display.clear()
            self.home.display.update(counts)
            if changed or ended:
                for peer in self.home.peers.values():
                    self.group.once("display", _tell(peer, "display", changed, ended))

    @staticmethod
    def _count(job: Job) -> tuple[int, int]:
        running = sum(1 for t in job.tasks.values() if t.status in (wire.RUNNING, wire.SAVING))
        return len(job.done), running


async def _tell(peer: PeerClient, *message: Any) -> None:
    try:
        await peer.ask(*message)
    except NoAnswer:
        pass
