"""The leader's view of jobs and machines: fed events and the time, it decides what to write and send.

Writing down comes first: a claim becomes a placement only when its commit is known to be applied,
and only then does its start go out. A task stays on its machine until it is proven gone.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable

from oatport import wire
from oatport.control.placement import failure_attribution
from oatport.control.placement.retry_policy import REFUSAL_REASONS
from oatport.control.state.identifiers import split_task
from oatport.control.state.job import Job, JobKind
from oatport.control.state.machine import Machine
from oatport.control.state.orphaned_attempts import OrphanedAttempts
from oatport.control.state.task import Task, TaskPhase
from oatport.control.state.utilization import FleetUtilization, account
from oatport.control.storage.write_buffer import DARK_KEY, live_key
from oatport.times import MS, SECOND, micros

log = logging.getLogger(__name__)

UNHEARD = 6 * SECOND  # after a claim: reports still don't list the task that was started
DARK_LEAST = 3  # silent machines that make a zone a dark one


class ClusterState(OrphanedAttempts):
    utilization = FleetUtilization()

    # --- machines ---------------------------------------------------------------------------

    def idle_time(self, machine: Machine) -> int:
        """How long an idle machine is kept; those with GPUs are few, and longer in coming back.

        Of those, the dear ones for less: an ordinary one costs twice or thrice what a spot one does.
        """
        idle = self.tuning.us("idle_s")
        if machine.type.gpus <= 0:
            return idle
        cheap = min(machine.type.spot_price or machine.price, machine.price)
        return max(idle, round(idle * self.tuning.gpu_idle_factor * cheap / max(machine.price, 1e-9)))

    def find_usable(self, now: int) -> list[Machine]:
        """The machines that tasks may be placed on now."""
        self.usable_machines = [
            m
            for m in self.machines.values()
            if m.usable(self.token, now, self.heartbeat_fresh_us) and m.zone not in self.partitioned_zones
        ]
        return self.usable_machines

    def may_backfill(self, job: Job, machine: Machine, now: int) -> bool:
        """May an array task without need of GPUs use a machine that has them?

        Beside work that needs them, or while the machine is kept for such work anyway and the task will
        be done by the time that it goes back: so it is never kept for the array, and whoever needs the
        GPUs stops it.
        """
        if job.kind is not JobKind.ARRAY:
            return False
        if machine.free_gpus < machine.type.gpus - 1e-9:
            return True
        return now + self.predictor.run_time(job.job_id, job.spec) < machine.gpus_idle_since + self.idle_time(machine)

    def add_machine(
        self, name: str, type_name: str, zone: str, spot: bool, address: str, now: int, wall: int, age: int = 0
    ) -> Machine | None:
        """A machine rented, listed, recorded or reporting; None if it can't be one of ours."""
        machine = self.machines.get(name)
        if machine is None:
            kind = self.types.get(type_name)
            if kind is None or name in self.released_machines:
                return None
            machine = Machine(name, kind, zone, spot, address, rented_at=now - age)
            machine.rented_at_wall = wall - age
            machine.idle_since = machine.known_since = now
            self.machines[name] = machine
            self.mark_machine_dirty(machine)
        if address and machine.address != address:
            machine.address = address
            self.mark_machine_dirty(machine)
        return machine

    def on_machine_removed(self, machine: Machine, now: int, why: str) -> None:
        """Proven gone: a release was answered, or the list says `failed`."""
        if machine.removed:
            return
        machine.removed = True
        log.info("machine %s gone: %s, %d tasks", machine.name, why, len(machine.tasks))
        self.released_machines.add(machine.name)
        self.machines.pop(machine.name, None)
        self.machines_to_command.discard(machine)
        self.mark_machine_dirty(machine)
        if machine.spot and machine.ready_at:
            self.predictor.spot_machine_ended(now - machine.rented_at, why == "taken" or bool(machine.reclaimed_at))
        self.expedite_completions(machine)
        for key in list(machine.orphaned_attempts):
            self._remove_orphan(machine, key)
        for task in list(machine.tasks):
            self.requeue(task, lost=True)
        self.planning_needed = True

    def on_process_pause(self, gap: int, now: int) -> None:
        """This process did not run for a while: nobody was silent or idle for it meanwhile."""
        for machine in self.machines.values():
            for name in ("last_heartbeat_at", "known_since", "idle_since", "gpus_idle_since"):
                at = getattr(machine, name)
                if at:
                    setattr(machine, name, min(at + gap, now))
        for job in self.pending:
            if job.unplaced_since:
                job.unplaced_since += gap
        if self._accounted_at:
            self._accounted_at += gap

    def mark_partitioned(self, silent: list[Machine], now: int) -> set[str]:
        """Silent machines that most nodes can't reach either: zones of theirs that nothing is heard from.

        Nothing is rented or placed there; what is rented would be charged and not come up before the cut ends.
        """
        found: set[str] = set()
        for zone in {m.zone for m in silent}:
            last = max(m.last_heartbeat_at for m in self.machines.values() if m.zone == zone)
            heard = last > now - self.tuning.us("silent_s") // 2
            if not heard and sum(m.zone == zone for m in silent) >= DARK_LEAST:
                found.add(zone)
                if zone not in self.partitioned_zones:
                    log.warning("zone %s is taken to be cut off", zone)
                    # Not heard of since this leader began: then it was cut off before.
                    self.partitioned_zones[zone] = last or min(m.known_since for m in silent if m.zone == zone)
                    self.dirty_keys[DARK_KEY] = None
                    self.planning_needed = True
        return found

    def mark_lease_proxied(self, zones: Iterable[str]) -> None:
        """Nodes that fell silent with these dark zones answer the workers there.

        Recorded: a leader that was started again never heard those nodes, took the zone's tasks for dead after one
        lease and gave up the machines of all replicas at once.
        """
        new = set(zones) - self.lease_proxied_zones
        if new:
            self.lease_proxied_zones |= new
            self.dirty_keys[DARK_KEY] = None

    def _on_zone_recovered(self, zone: str, now: int) -> None:
        """A zone is back: its machines were silent for its sake, and have a moment to be heard of."""
        log.info("zone %s is heard from again", zone)
        del self.partitioned_zones[zone]
        self.lease_proxied_zones.discard(zone)
        self.recovered_zones.add(zone)
        self.dirty_keys[DARK_KEY] = None
        for machine in self.machines.values():
            if machine.zone == zone:
                machine.known_since = now

    # --- reports ----------------------------------------------------------------------------

    def on_heartbeat(self, report: wire.Heartbeat, now: int, wall: int) -> Machine | None:
        """Take in a worker's report, an answer of /commands or of /show; None: not a usable machine."""
        machine = self.add_machine(
            report.machine_name, report.machine_type, report.zone, report.spot, report.address, now, wall
        )
        if machine is None:
            return None
        if (report.agent_epoch, report.heartbeat_seq) <= (machine.agent_epoch, machine.heartbeat_seq):
            self.now = now
            self.apply_late_completions(machine, report)
            return machine  # an older message that came late: of all the rest it tells nothing
        new_session = report.agent_epoch != machine.agent_epoch
        if now - machine.last_heartbeat_at > self.heartbeat_fresh_us:
            self.planning_needed = True  # its free room counts again
        machine.last_heartbeat_at = self.now = now
        self.wall_offset = wall - now
        if machine.zone in self.partitioned_zones:
            self._on_zone_recovered(machine.zone, now)
        if not machine.ready_at:
            machine.ready_at = machine.gpus_idle_since = now
            if not machine.tasks:
                machine.idle_since = now
            self.mark_machine_dirty(machine, urgent=not machine.persisted)  # nothing is placed on it before
            self.planning_needed = True
        if machine.fencing_token != report.fencing_token or new_session:
            self.planning_needed = True
        if new_session:
            if machine.agent_epoch:
                # It heard no answer for a lease, while it may have been heard all the time: empty as it is then, it
                # looks like the best place for the next tasks.
                machine.command_unreachable = True
            machine.agent_epoch_since = now
            # Starts sent under an earlier session are refused from now on, and so are those of an
            # earlier token once the worker has seen ours.
            machine.unacknowledged_starts.clear()
            machine.starts_in_response.clear()
            # Its images are kept, but a fetch that nobody waits for any more is given up.
            machine.images = {image: at for image, at in machine.images.items() if at == 1}
        elif machine.command_unreachable and now - machine.agent_epoch_since > self.lease_us:
            machine.command_unreachable = False  # else its session would have ended
        machine.agent_epoch, machine.heartbeat_seq, machine.fencing_token = (
            report.agent_epoch,
            report.heartbeat_seq,
            report.fencing_token,
        )
        if report.reclamation_notice_s is None:
            self.planning_needed = self.planning_needed or machine.reclaimed_at > 0
            machine.reclaimed_at = 0
        else:
            reclaimed_at = now + micros(max(report.reclamation_notice_s, 0.0))
            if not machine.reclaimed_at:
                machine.reclaimed_at = reclaimed_at
                self._on_reclamation_notice(machine, report.reclamation_notice_s, now)
            machine.reclaimed_at = min(machine.reclaimed_at, reclaimed_at)
        if machine.settled_heartbeat is not None and not new_session and machine.settled_heartbeat == report.tasks:
            return machine  # what it runs is as it was told before, and as it should be
        listed = {(row.task_name, row.attempt): row for row in report.tasks}
        for task in list(machine.tasks):
            if task.phase is not TaskPhase.BOUND:
                continue
            row = listed.get((task.name, task.attempt))
            if row is None:
                self._on_absent(task, machine, report, now)
                continue
            self._on_listed(task, machine, row, report, now)
        self._on_unbound_attempts(machine, report.tasks, now)
        if machine.tasks or machine.orphaned_attempts:
            machine.idle_since = 0
        elif not machine.idle_since:
            machine.idle_since = now
        machine.settled_heartbeat = report.tasks if self._is_settled(machine, len(report.tasks)) else None
        return machine

    @staticmethod
    def _is_settled(machine: Machine, listed: int) -> bool:
        """The same report once more would change nothing: all that should be there is, and nothing else.

        `Work` and `sent` take this back with whatever they change about the machine.
        """
        return (
            not machine.orphaned_attempts
            and not machine.terminated_attempts
            and not machine.unacknowledged_starts
            and listed == len(machine.tasks)
            and all(
                task.start_acknowledged is not None
                and task.stop_grace_s is None
                and not task.job.suspected_faulty
                and not task.job.cancelled
                for task in machine.tasks
            )
        )

    def _on_listed(self, task: Task, machine: Machine, row: wire.TaskReport, report: wire.Heartbeat, now: int) -> None:
        if task.start_acknowledged is None and task.start_epoch == report.agent_epoch:
            machine.command_unreachable = False
        task.start_acknowledged = (report.agent_epoch, report.heartbeat_seq)
        self.unacknowledged_tasks.discard(task)
        if row.status != wire.TaskStatus.EXITED:
            if row.status != wire.TaskStatus.FETCHING_IMAGE:
                machine.images[task.job.spec.image] = 1  # it has it
            if row.status == wire.TaskStatus.RUNNING and not task.running_since:
                task.running_since = now
                self.job_statistics.began(task.job)
                if task.binding_at:
                    log.debug(
                        "task %s %s runs on %s %d ms after its claim",
                        task.name,
                        task.job.kind,
                        machine.name,
                        (now - task.binding_at) // MS,
                    )
            job = task.job
            if task.status != row.status:
                task.status = row.status
                self.jobs_with_changed_counts[job] = None
            if job.suspected_faulty and job.kind is JobKind.SERVICE and failure_attribution.has_succeeded(job, now):
                failure_attribution.record_success(job, machine, self.machines, now)
            if task.job.cancelled and task.stop_grace_s is None:
                self.stop(task, 0.0)
            return
        self._on_exit(task, machine, row, now)

    def _on_exit(self, task: Task, machine: Machine, row: wire.TaskReport, now: int) -> None:
        job, why = task.job, row.exit_reason
        log.debug("task %s attempt %d on %s ended: %s", task.name, task.attempt, machine.name, why)
        if why == wire.ExitReason.COMPLETED and job.kind is not JobKind.SERVICE:
            self.complete_task(task, now)
            return
        wanted = task.stop_grace_s is not None
        if why == wire.ExitReason.ERROR:
            if failure_attribution.record_failure(job, machine, self.machines, task.attempt, now):
                self.dirty_keys.setdefault(live_key(job.job_id), None)  # for the next leader
        elif why == wire.ExitReason.INSUFFICIENT_CAPACITY:
            machine.cordoned_until = now + 3 * SECOND
        elif why == wire.ExitReason.UNKNOWN_TASK:
            job.retry_at = now + 2 * SECOND
        elif why == wire.ExitReason.OTHER_ATTEMPT_PRESENT:
            machine.cordoned_until = now + SECOND
        self.requeue(
            task,
            lost=not wanted and why in (wire.ExitReason.GANG_MEMBER_LOST, wire.ExitReason.STOPPED),
            unexecuted=why in REFUSAL_REASONS,
        )

    def _on_absent(self, task: Task, machine: Machine, report: wire.Heartbeat, now: int) -> None:
        """A placed task that the newest report does not list: gone only if nothing can still bring it."""
        if report.fencing_token != self.token:
            return  # a start of an earlier leader may still land
        key = (task.name, task.attempt)
        if task.binding_at and not task.start_epoch:
            self.machines_to_command.add(machine)  # placed by this leader, its first start is just due
            return
        if task.start_epoch and report.agent_epoch <= task.start_epoch:
            if (
                task.job.cancelled
                and task.start_acknowledged is None
                and not (machine.unacknowledged_starts.get(key) or key in machine.starts_in_response)
            ):
                pass  # no start of it is under way, and none goes out any more: it isn't there and won't be
            elif task.start_acknowledged is None or machine.unacknowledged_starts.get(key):
                self.machines_to_command.add(machine)  # our start is on its way or was lost: repeat it
                if task.binding_at and now - task.binding_at > UNHEARD:
                    machine.command_unreachable = True
                return
        log.info("task %s attempt %d is not on %s any more", task.name, task.attempt, machine.name)
        # In the session in which it was claimed, and never seen by this leader: no start of it was executed.
        unexecuted = (
            task.start_acknowledged is None
            and report.agent_epoch == task.binding_epoch
            and not machine.unacknowledged_starts.get(key)
        )
        self.requeue(task, lost=bool(task.start_epoch), unexecuted=unexecuted)

    def _on_unbound_attempts(self, machine: Machine, rows: list[wire.TaskReport], now: int) -> None:
        """Tasks in the report that no record puts there."""
        ended: set[tuple[str, int]] = set()
        strays: dict[tuple[str, int], None] = {}
        here = {(t.name, t.attempt) for t in machine.tasks if t.phase is not TaskPhase.PENDING}
        for row in rows:
            key = (row.task_name, row.attempt)
            if row.status == wire.TaskStatus.EXITED:
                ended.add(key)
                continue
            if key not in here:
                strays[key] = None
        machine.terminated_attempts = ended
        for key in [key for key in machine.orphaned_attempts if key not in strays]:
            self._remove_orphan(machine, key)
        for key in strays:
            if key not in machine.orphaned_attempts:
                self._add_orphan(machine, key)
        if machine.reclaimed_at:
            self.expedite_completions(machine)  # soon it can't tell of them any more

    def _on_reclamation_notice(self, machine: Machine, notice_s: float, now: int) -> None:
        """The cloud takes it back soon: what can't finish in time leaves now, saving if it can.

        What may not run again stays: it may just be done before.
        """
        log.info("machine %s will be taken back in %.0f s", machine.name, notice_s)
        self.planning_needed = True
        left = micros(notice_s)
        for task in list(machine.tasks):
            self.drain_task(task, left, now)

    def drain_task(self, task: Task, left: int, now: int) -> None:
        job, spec = task.job, task.job.spec
        if task.phase is not TaskPhase.BOUND or job.at_most_once:
            return
        if job.kind is not JobKind.SERVICE:
            ran = now - task.running_since if task.running_since else 0
            remaining = max(self.predictor.run_time(job.job_id, spec) - ran, 0)
            if task.running_since and remaining < left * 3 // 4:
                return  # it will be done before
        grace = spec.stop_grace_s
        if micros(grace) > left:
            grace = 0.0
        if job.kind is JobKind.GANG:
            for mate in list(job.tasks.values()):
                if mate.phase is TaskPhase.BOUND:
                    self.stop(mate, grace)
        else:
            self.stop(task, grace)

    def account(self, now: int) -> None:
        """Count machines and money, for the status line."""
        self.utilization = account(self, now, self._accounted_at)
        self._accounted_at = now

    # --- commands ---------------------------------------------------------------------------

    def commands_for(self, machine: Machine, now: int, *, direct: bool) -> tuple[list[wire.Command], list[Task]]:
        """What to tell a machine now, and the tasks whose start is among it."""
        orders: list[wire.Command] = []
        starts: list[Task] = []
        confirmed = machine.fencing_token == self.token
        for task in machine.tasks:
            if task.phase is not TaskPhase.BOUND:
                continue
            never_sent = not task.start_epoch
            if never_sent and (not confirmed or task.binding_at == 0):
                # Of an earlier leader's: its first report under our token tells whether it is there.
                if task.stop_grace_s is not None:
                    orders.append(wire.StopCommand(task.name, task.attempt, task.stop_grace_s))
                continue
            waits_for_retry = direct and task.start_retry_at > now
            if task.start_acknowledged is None and not waits_for_retry and self._may_start(task, now):
                orders.append(wire.StartCommand(task.name, task.attempt))
                starts.append(task)
            if task.stop_grace_s is not None:
                orders.append(wire.StopCommand(task.name, task.attempt, task.stop_grace_s))
        for name, attempt in machine.orphaned_attempts:
            orders.append(wire.StopCommand(name, attempt, 0.0))
        if confirmed:
            for name, attempt in machine.terminated_attempts:
                if self._may_forget(machine, name, attempt):
                    orders.append(wire.ForgetCommand(name, attempt))
        return orders, starts

    def _may_start(self, task: Task, now: int) -> bool:
        """A gang starts whole: all its claims must be committed.

        Of a cancelled job a start that may be under way is repeated, and stopped at once: so the attempt is known
        there, and what comes late does nothing. But not when its user was told long ago, as after an outage.
        """
        job = task.job
        if job.cancelled and not job.failure_reason and now >= self.lease_renewal_bound(job):
            return False
        if job.kind is not JobKind.GANG:
            return True
        return all(mate.phase is not TaskPhase.BINDING for mate in job.tasks.values())

    def must_let_lease_expire(self, machine: Machine, now: int) -> bool:
        """May a start of a cancelled job still land there, so late that only another session is proof against it?

        A start that a link holds for long is neither there to be stopped nor proven lost: the machine's lease has to
        end before `cancel_s` is over.
        """
        return bool(machine.unacknowledged_starts) and any(
            task.job.cancelled
            and not task.job.failure_reason
            and task.start_acknowledged is None
            and task.start_epoch == machine.agent_epoch
            and machine.unacknowledged_starts.get((task.name, task.attempt))
            and now >= self.lease_renewal_bound(task.job)
            for task in machine.tasks
        )

    def _may_forget(self, machine: Machine, name: str, attempt: int) -> bool:
        """Not while a start of it may land (it would start again), nor before its end is committed."""
        if machine.unacknowledged_starts.get((name, attempt)) or (name, attempt) in machine.starts_in_response:
            return False
        parts = split_task(name)
        if parts is None:
            return False
        job = self.jobs.get(parts[0])
        if job is None:
            return True
        if job.completing:
            return False
        task = job.tasks.get(parts[1])
        if task is not None and task.machine is machine and task.attempt == attempt:
            return False
        return not self.is_unwritten(job, parts[1])

    def on_heartbeat_delivered(self, machine: Machine, report: wire.Heartbeat) -> None:
        """A report that is about to be answered. A worker has one in flight at a time: what the answer to an earlier
        one told it has been executed by now, or is dropped (PROTOCOL, "Workers -> controller nodes")."""
        number = (report.agent_epoch, report.heartbeat_seq)
        if number > machine.answered_heartbeat:  # not one that a cut held
            machine.answered_heartbeat = number
            machine.starts_in_response.clear()

    def on_commands_sent(self, machine: Machine, starts: Iterable[Task], now: int, *, direct: bool) -> None:
        """Starts are about to go out under the machine's present session."""
        for task in starts:
            task.start_epoch = machine.agent_epoch
            self.unacknowledged_tasks.add(task)
            if direct:
                key = (task.name, task.attempt)
                machine.unacknowledged_starts[key] = machine.unacknowledged_starts.get(key, 0) + 1
                task.start_retry_at = now + SECOND
            else:
                # On a slow link direct commands overtake an answer: a task was started by one, stopped and forgotten,
                # and then started again by the answer, while it ran elsewhere.
                machine.starts_in_response.add((task.name, task.attempt))

    def on_contact(self, machine: Machine) -> None:
        """It answered something that it was asked directly."""
        if machine.command_unreachable:
            machine.command_unreachable = False
            self.planning_needed = True

    def on_commands_answered(self, machine: Machine, starts: Iterable[tuple[str, int]]) -> None:
        """A direct command was answered, whether executed or refused: its starts can't land later."""
        for key in starts:
            count = machine.unacknowledged_starts.get(key, 0) - 1
            if count > 0:
                machine.unacknowledged_starts[key] = count
            else:
                machine.unacknowledged_starts.pop(key, None)
