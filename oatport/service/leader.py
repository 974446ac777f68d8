"""What the leader does: take work in, write ahead, send, rent and return, watch over machines.

All state is in `Cluster`, touched only between awaits: the event loop is the short lock.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING, Any

from oatport import wire
from oatport.clients.http import NoResponseError, RequestNotSentError, RequestRefusedError, jitter
from oatport.clients.peer import PeerClient
from oatport.clients.state import StateClient
from oatport.clients.worker import WorkerClient
from oatport.control.leadership.leader_lease import LeaderLease, PauseDetector
from oatport.control.placement.placer import Placer
from oatport.control.placement.retry_policy import RetryPolicies
from oatport.control.queueing.pending_job_router import PendingJobRouter
from oatport.control.queueing.runtime_predictor import RuntimePredictor
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.completions import Completion
from oatport.control.state.job import Job
from oatport.control.state.machine import Machine
from oatport.control.storage.overflow_records import lies_apart, note_slim
from oatport.control.storage.recovery import LeaseRenewalLimit, load, read_job, types_recorded
from oatport.control.storage.write_buffer import JOBS, MODEL_KEY, job_key
from oatport.peer_messages import JobAccepted, JobCancelled, JobProgressUpdate, PeerMessage
from oatport.service.background_tasks import BackgroundTasks
from oatport.service.catalog import read_types
from oatport.service.cloud_controller import CloudController
from oatport.service.dependency_controller import DependencyController
from oatport.service.failover import introduce_all, read_records, read_whole
from oatport.service.group_commit import GroupCommit
from oatport.service.leader_context import LeadingNode
from oatport.service.network import Network
from oatport.settings import Settings, Tuning
from oatport.times import MS, SECOND, seconds, steady, time_of_day

if TYPE_CHECKING:
    from oatport.service.window_controller import WindowController
    from oatport.windows.settings import WindowSettings

log = logging.getLogger(__name__)

WATCH_WAIT = 1_000 * MS
ACCOUNT_EVERY = 5 * SECOND
TICK_S = 0.5
LOOKED_UP_MOST = 4  # unknown jobs at a time
SENDING_MOST = 64  # machines that are told something at a time
PLAN_GAP = 30 * MS
PLAN_REST = 3  # times as long as a planning pass took, until the next


class Leader:
    def __init__(
        self,
        home: LeadingNode,
        settings: Settings,
        tuning: Tuning,
        net: Network,
        state: StateClient,
        token: int,
        lease: int,
        held_at: int,
        windows: WindowSettings | None = None,
        repeats: RetryPolicies | None = None,
    ) -> None:
        self.node = home
        self.settings = settings
        self.tuning = tuning
        self.state = state
        self.token = token
        self.lease = lease
        self._net = net
        limits = settings.cluster
        self.cluster = ClusterState(token, limits, tuning, dict(home.types), RuntimePredictor())
        self.cluster.retry_policies = repeats or {}
        self.placer = Placer(self.cluster)
        self.led_since = steady()
        self.lease_renewal_limit = LeaseRenewalLimit(limits, self.led_since)
        self.leader_lease = LeaderLease(tuning.us("leader_lease_s"), held_at)
        self._pause_detector = PauseDetector(self.led_since)
        self.background = BackgroundTasks()
        self.loaded = False
        self.stopped = False
        self.cloud_controller = CloudController(self, net)
        self.commits = GroupCommit(self)
        self.dependency_controller = DependencyController(self)
        self.window_controller: WindowController | None = None
        if windows is not None and windows.on:
            from oatport.service.window_controller import WindowController

            self.window_controller = WindowController(self, net, windows)
            self.cluster.dependencies.on_released = self.window_controller.joined
        self._plan_wanted = asyncio.Event()
        self._send_wanted = asyncio.Event()
        self._sending: set[Machine] = set()
        self._commanded = 0  # requests to workers since the last tick
        self._early_hints: list[JobAccepted | JobCancelled] = []  # told before the records were loaded
        self._watch_from = 0
        self._reading: set[str] = set()  # ids of jobs that are looked up

    # --- lifecycle --------------------------------------------------------------------------

    async def fail_over(self) -> None:
        """Load what is recorded; reports confirm it."""
        asked = steady()  # cancellations told while the records are read may not be among them
        (rows, revision), (ended, complete) = await asyncio.gather(
            read_records(self.state), self.node.completions_before(self.token)
        )
        await self._know_types(types_recorded(rows))
        load(self.cluster, rows, steady(), time_of_day())
        self.cluster.now = steady()
        self.cluster.completions.apply(ended)
        self.cluster.completions.earlier_may_be_lost = not complete
        if self.window_controller is not None:
            await self.window_controller.fail_over()
        self._watch_from = revision
        self.lease_renewal_limit.known(asked)
        self.loaded = True
        for hint in self._early_hints:
            self._apply_job_hint(hint)
        self._early_hints.clear()
        log.info(
            "leading with token %d: %d jobs, %d machines recorded",
            self.token,
            len(self.cluster.jobs),
            len(self.cluster.machines),
        )
        for name, loop in (
            ("watch", self._watch_loop),
            ("write", self.commits.loop),
            ("plan", self._plan_loop),
            ("send", self._send_loop),
            ("display", self._display_loop),
            ("tick", self._tick_loop),
        ):
            self.background.keep(name, loop)
        self.cloud_controller.start()
        self.dependency_controller.start()
        if self.window_controller is not None:
            self.window_controller.start()
        self._net.expect(len(self.cluster.machines), len(self.cluster.machines))  # at first each is told something
        introduce_all(self, self._net)
        self.wake()

    async def _know_types(self, needed: set[str]) -> None:
        """The machine types: known to this node, recorded, or from the cloud.

        A process that leads at once may not have read them yet. Without them it took every machine for gone while
        the cloud was down, and started all that ran there again.
        """
        types = self.cluster.catalog.types  # changed in place by what is learnt
        if not types or not needed <= types.keys():
            found = await read_types(self.state)
            if found is not None:
                self.cluster.catalog.update({**types, **found[0]})
        if not types or not needed <= types.keys():
            await self.cloud_controller.catalog()

    def close(self) -> None:
        self.stopped = True
        self.background.close()

    def step_down(self, why: str) -> None:
        if not self.stopped:
            self.stopped = True
            self.node.step_down(why)

    def now(self) -> int:
        """The steady clock. A time in which this process stood still is not counted as lived."""
        now = steady()
        gap = self._pause_detector.beat(now)
        if gap:
            log.warning("stood still for %.1f s", seconds(gap))
            self.cluster.on_process_pause(gap, now)
        return now

    def holds_lease(self) -> bool:
        """Nobody else can be leading: asked at the moment of acting."""
        return not self.stopped and self.leader_lease.holds(steady())

    def explain(self, ref: str) -> dict[str, Any]:
        """Why a job waits or is held, for operators."""
        waits = self.cluster.dependencies.explain(ref)
        if waits:
            return {
                "job": ref,
                "held": False,
                "why": waits,
                "waitsOn": self.cluster.dependencies.graph.waits(ref)[:100],
            }
        if self.window_controller is not None:
            return self.window_controller.explain(ref)
        job = self.cluster.jobs.get(ref)
        if job is None:
            return {"job": ref, "held": False, "why": "no unfinished job of this id"}
        return {"job": ref, "held": False, "why": "windows are off: it is routed as ever", "pending": job.pending}

    def wake(self) -> None:
        cluster = self.cluster
        if cluster.planning_needed:
            self._plan_wanted.set()
        if cluster.writes.has_writes():
            self.commits.wanted.set()
        if cluster.machines_to_command:
            self._send_wanted.set()

    # --- jobs told by nodes or seen in the watch -----------------------------------------------

    def on_job_hint(self, hint: JobAccepted | JobCancelled) -> None:
        if not self.loaded:
            if len(self._early_hints) < 10_000:
                self._early_hints.append(hint)
            return
        self._apply_job_hint(hint)

    def _apply_job_hint(self, hint: JobAccepted | JobCancelled) -> None:
        if isinstance(hint, JobCancelled):
            self.cluster.job_lifecycle.cancel_confirmed(hint.job_id, hint.revision, self.lease_renewal_limit.known_at)
        elif not self._knows_job(hint.job_id) and hint.revision > self._watch_from and "more" not in hint.record:
            # An older one was seen by the load or by the watch, and may be over already.
            self._admit(hint.job_id, hint.record, hint.revision)
        self.wake()

    def _knows_job(self, ref: str) -> bool:
        """It is at work, or its end is recorded, which the watch has not told yet.

        Taken up again from an older change, a job that is over cost the lead: its claims fail on keys that are gone.
        """
        return (
            ref in self.cluster.jobs
            or ref in self.cluster.dependencies.blocked_jobs
            or ref in self.cluster.writes.terminal_revisions
        )

    def _admit(self, ref: str, value: Any, revision: int) -> None:
        spec, at, _ = read_job(value)
        if lies_apart(value):
            job = Job(ref, spec, revision, at)
            note_slim(job, value)
            self.cluster.dependencies.add_blocked(job)
            self.commits.joined()
            return
        job = self.cluster.job_lifecycle.add(ref, spec, revision, at)
        if self.window_controller is not None:
            self.window_controller.joined(job)
        self.commits.joined()

    async def _watch_loop(self) -> None:
        """Accepted and cancelled jobs, and the moment up to which all cancellations are known."""
        while not self.stopped:
            asked = steady()
            try:
                found = await self.state.changes(JOBS, self._watch_from, WATCH_WAIT)
            except (NoResponseError, RequestRefusedError):
                await asyncio.sleep(jitter(300 * MS))
                continue
            if found is None:
                log.warning("the watch fell too far behind")
                self.step_down("the watch on jobs fell behind")
                return
            revision, news = found
            last = {item["set"]: item for item in news if "set" in item}
            try:
                for item in last.values():
                    if "more" in item["value"] and item["value"]["state"] not in wire.TERMINAL_STATUSES:
                        item["value"] = await read_whole(self.state, item["value"])
            except (NoResponseError, RequestRefusedError):
                await asyncio.sleep(jitter(300 * MS))
                continue
            # Of each job only the last: one that came and ended meanwhile is not taken up again.
            for key, item in last.items():
                ref, state = key[len(JOBS) :], str(item["value"]["state"])
                if state == wire.JobStatus.CANCELLED:
                    self.cluster.job_lifecycle.cancel(ref, int(item["entryRev"]), self.lease_renewal_limit.known_at)
                elif state == wire.JobStatus.COMPLETED:
                    self.cluster.dependencies.on_completion_recorded(ref, int(item["value"].get("ended", 0)))
                elif state not in wire.TERMINAL_STATUSES and not self._knows_job(ref):
                    self._admit(ref, item["value"], int(item["entryRev"]))
            self._watch_from = max(self._watch_from, revision)
            for ref in [ref for ref, at in self.cluster.writes.terminal_revisions.items() if at <= self._watch_from]:
                del self.cluster.writes.terminal_revisions[ref]
            self.lease_renewal_limit.known(asked)
            self.wake()

    def apply_completions(self, ends: list[Completion]) -> None:
        """An earlier leader tells what it did not record."""
        if self.loaded:
            self.cluster.completions.apply(ends)
            self.wake()

    # --- reports ----------------------------------------------------------------------------

    def may_answer_heartbeats(self) -> bool:
        """Entitled to keep workers' leases alive."""
        return self.loaded and not self.stopped and steady() < self.lease_renewal_limit.until

    def cancellation_watermark_age(self) -> int:
        """How long ago was the moment up to which cancellations told are carried out; -1: there is none.

        What other nodes keep workers' leases by if they are cut off (`control/leadership/lease_proxy.py`).
        """
        done = (
            self.cluster.job_lifecycle.cancellation_watermark(self.lease_renewal_limit.known_at)
            if self.loaded and not self.stopped
            else 0
        )
        return steady() - done if done > 0 else -1

    def answer_heartbeat(self, report: wire.Heartbeat) -> dict[str, Any] | None:
        if not self.may_answer_heartbeats():
            return None
        if report.fencing_token > self.token:
            self.step_down(f"a worker has seen token {report.fencing_token}")
            return None
        now = self.now()
        known = self.cluster.machines.get(report.machine_name)
        late = known is not None and (report.agent_epoch, report.heartbeat_seq) <= (
            known.agent_epoch,
            known.heartbeat_seq,
        )
        machine = self.receive_heartbeat(report, now)
        if machine is None:
            return wire.heartbeat_response(self.token, [])
        self.cluster.commands.on_heartbeat_delivered(machine, report)
        if machine.command_unreachable:
            self.cloud_controller.watcher.ask([machine], now)
        if self.cluster.commands.must_let_lease_expire(machine, now):
            log.warning("machine %s is not answered: a start of a cancelled job may be on its way there", machine.name)
            return None
        orders, starts = self.cluster.commands.for_machine(machine, now, direct=False)
        # A late copy of a report, or one that a command's answer overtook: where the answer goes isn't known, so that
        # no start in it counts as sent.
        if late or not self.holds_lease() or machine.releasing:
            # Tasks live on, but nothing starts while the state service can't be reached, or after standing still. What
            # is to be returned is still told to stop: without the cloud's answer it may go on for long, and with
            # every answer lives the lease of a task whose job's user was told that it is cancelled.
            orders = [order for order in orders if not isinstance(order, wire.StartCommand)]
            starts = []
        self.cluster.commands.on_sent(machine, starts, now, direct=False)
        if machine not in self._sending:
            self.cluster.machines_to_command.discard(machine)
        return wire.heartbeat_response(self.token, orders)

    def receive_heartbeat(self, report: wire.Heartbeat, now: int) -> Machine | None:
        machine = self.cluster.heartbeats.receive(report, now, time_of_day())
        if self.cluster.quotas.unknown:
            self._read_orphaned_jobs()
        self.wake()
        return machine

    def state_service_down(self, now: int) -> bool:
        return now - self.state.ok_at > 2 * SECOND and self.state.failed_at > self.state.ok_at

    # --- placing and sending ------------------------------------------------------------------

    async def _plan_loop(self) -> None:
        router = PendingJobRouter(self.cluster, self.cloud_controller.fleet.availability)
        while not self.stopped:
            try:
                async with asyncio.timeout(0.5):
                    await self._plan_wanted.wait()
            except TimeoutError:
                pass
            self._plan_wanted.clear()
            now, wall = self.now(), time_of_day()
            if self.decisions_paused(now):
                # What is claimed while the state service is away would only pile up, and what is
                # preempted for it would be lost.
                await asyncio.sleep(0.1)
                continue
            router.step(now, wall)
            if self.placer.due(now):
                self.placer.plan(now)
                self.wake()
            # However much there is to plan, reports and renewals get most of the processor.
            took = steady() - now
            await asyncio.sleep(seconds(max(PLAN_GAP, PLAN_REST * took)))

    def decisions_paused(self, now: int) -> bool:
        return self.commits.stuck(now) or not self.holds_lease()

    async def _send_loop(self) -> None:
        while not self.stopped:
            await self._send_wanted.wait()
            self._send_wanted.clear()
            now = self.now()
            for machine in list(self.cluster.machines_to_command):
                if len(self._sending) >= SENDING_MOST:
                    break  # the others keep their place; once half a second passed until they were thought of again
                if machine in self._sending or machine.releasing:
                    continue
                self.cluster.machines_to_command.discard(machine)
                if not machine.address or not machine.agent_epoch:
                    continue
                if self.cluster.commands.for_machine(machine, now, direct=True)[
                    0
                ]:  # mostly what it is to be told is on its way
                    self._sending.add(machine)
                    self.background.once("send", self._send(machine))

    async def _send(self, machine: Machine) -> None:
        cluster = self.cluster
        try:
            now = self.now()
            if not self.holds_lease() or machine.removed:
                return  # reports' answers still carry the stops
            orders, starts = cluster.commands.for_machine(machine, now, direct=True)
            if not orders:
                return
            cluster.commands.on_sent(machine, starts, now, direct=True)
            keys = [(task.name, task.attempt) for task in starts]
            session = machine.agent_epoch
            self._commanded += 1
            try:
                report = await WorkerClient(self._net, machine.address).commands(self.token, session, orders)
            except RequestNotSentError:
                cluster.commands.on_answered(machine, keys)  # no connection: it can't land later
                return
            except NoResponseError as error:
                log.debug("commands to %s: %s", machine.name, error)
                return
            if report.fencing_token > self.token:
                self.step_down(f"a worker has seen token {report.fencing_token}")
                return
            cluster.commands.on_answered(machine, keys)
            cluster.commands.on_contact(machine)
            self.receive_heartbeat(report, steady())
        finally:
            self._sending.discard(machine)
            if machine in cluster.machines_to_command or len(self._sending) == SENDING_MOST - 1:
                self._send_wanted.set()

    async def _tick_loop(self) -> None:
        """Repeat what went unanswered, and learn."""
        recorded_at = told_at = accounted_at = steady()
        busiest = 0
        while not self.stopped:
            await asyncio.sleep(TICK_S)
            now = self.now()
            busiest, self._commanded = max(busiest, self._commanded), 0
            if now - accounted_at > ACCOUNT_EVERY:
                accounted_at = now
                self._net.expect(len(self.cluster.machines), busiest / TICK_S)
                busiest = 0
                self.cluster.accounting.update(now)
            for task in self.cluster.unacknowledged_tasks:
                if task.start_acknowledged is None and task.machine is not None and task.start_retry_at <= now:
                    self.cluster.machines_to_command.add(task.machine)
            self._read_orphaned_jobs()
            self.cluster.completions.to_replicate()  # what is recorded by now is left out
            if now - recorded_at > 15 * SECOND and self.cluster.predictor.changed:
                self.cluster.predictor.changed = False
                self.cluster.writes.dirty_keys[MODEL_KEY] = None
                recorded_at = now
            self.wake()
            if now - told_at > 10 * SECOND:
                told_at = now
                log.info("%s", self.cloud_controller.status(now))
                log.info("%s", self.cluster.job_statistics.line())

    def _read_orphaned_jobs(self) -> None:
        """Of which teams are tasks that machines tell of, and no record? Until that is known none has room."""
        for ref in [ref for ref in self.cluster.quotas.unknown if ref not in self._reading]:
            if len(self._reading) >= LOOKED_UP_MOST:
                return  # old copies may tell of hundreds that are long over; renewals and users go first
            self._reading.add(ref)
            self.background.once("stray", self._read_orphaned_job(ref))

    async def _read_orphaned_job(self, ref: str) -> None:
        try:
            found = await self.state.get(job_key(ref)) if wire.is_job_id(ref) else None
        except (NoResponseError, RequestRefusedError):
            return  # asked again with the next tick
        finally:
            self._reading.discard(ref)
        self.cluster.orphans.resolve(ref, None if found is None else read_job(found[0])[0])
        self._read_orphaned_jobs()
        self.wake()

    # --- display ----------------------------------------------------------------------------

    async def _display_loop(self) -> None:
        """Tell all nodes the counts that users are shown."""
        rounds = 0
        counts = self.node.job_progress
        counts.clear()
        while not self.stopped:
            await asyncio.sleep(1.0)
            rounds += 1
            jobs = self.cluster.jobs
            everything = rounds % 10 == 0  # a node that was started meanwhile knows none
            stirred = list(self.cluster.jobs_with_changed_counts)
            self.cluster.jobs_with_changed_counts.clear()
            changed: dict[str, tuple[int, int]] = {}
            for job in jobs.values() if everything else stirred:
                count = self._count(job)
                if job.job_id in jobs and (everything or counts.get(job.job_id) != count):
                    counts[job.job_id] = count
                    changed[job.job_id] = count
            ended = [ref for ref in counts if ref not in jobs]
            for ref in ended:
                del counts[ref]
            if changed or ended:
                for peer in self.node.peers.values():
                    self.background.once("display", _tell(peer, JobProgressUpdate(changed, ended)))

    @staticmethod
    def _count(job: Job) -> tuple[int, int]:
        running = sum(
            1 for t in job.tasks.values() if t.status in (wire.TaskStatus.RUNNING, wire.TaskStatus.CHECKPOINTING)
        )
        return len(job.completed), running


async def _tell(peer: PeerClient, message: PeerMessage) -> None:
    with contextlib.suppress(NoResponseError):
        await peer.notify(message)
