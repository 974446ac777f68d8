"""The model of a worker that follows PROTOCOL: tasks, images, gangs, tokens and lease, on an injected clock (us)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from oatport import wire
from oatport.simulation.attempt import (
    EXIT_DONE,
    EXIT_GANG_INCOMPLETE,
    EXIT_GANG_LOST,
    EXIT_STOPPED,
    Attempt,
    AttemptKey,
)
from oatport.simulation.gang_coordinator import GangCoordinator
from oatport.times import SECOND, micros

CAPACITY_TOLERANCE = 1e-9


class Worker:
    """Runs the tasks of one machine.

    Without `hardware` images are ready at once, and only CPUs limit the capacity; without `gangs` the tasks of gangs
    run independently.
    """

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
        hardware: wire.MachineType | None = None,
        gangs: GangCoordinator | None = None,
    ) -> None:
        self._clock = clock
        self.name, self.address, self.type, self.zone, self.spot = name, address, type_name, zone, spot
        self.cores, self.machine_type, self.gang_coordinator = cores, hardware, gangs
        self._job_of = job_of
        self.lease_us = lease_us
        self.session = 1  # the worker epoch
        self.heartbeat_seq = 0
        self.token = 0  # highest fencing token received
        self.reclaimed_at: int | None = None
        self.notice_s: float | None = None
        self.tasks: dict[AttemptKey, Attempt] = {}
        self.cached_images: set[str] = set()
        self.images_ready_at: dict[str, int] = {}  # image -> time at which its fetch completes
        self.completed_tasks: set[str] = set()  # completed tasks, shared by all machines; completions are never dropped
        self.lost_completions: dict[str, str] = {}  # task -> reason why its completion can no longer be reported
        self.progress: dict[str, int] = {}  # task -> run time saved in checkpoints (us), shared by all machines
        self.speed = 1.0
        self.lease_renewed_at = clock()
        self.started_attempts: list[AttemptKey] = []  # all executed start commands
        self.lease_kill_count = 0  # tasks that ended because the lease expired
        self.on_task_started: Callable[[Worker, str, int], None] = lambda worker, task, attempt: None
        self.on_task_stopped: Callable[[Worker, str, int, str], None] = lambda worker, task, attempt, reason: None
        self.on_change: Callable[[], None] = lambda: None  # called when `advance` or a heartbeat may be due
        self.failure_delay_us: Callable[[str, dict[str, Any]], int | None] = lambda task, job: None
        self.runtime_us: Callable[[str, dict[str, Any]], int] = lambda task, job: micros(float(job["voyageS"]))

    # --- time ----------------------------------------------------------------------------------

    def advance(self) -> None:
        """Processes all due events: lease expiry, image fetches, and starts, checkpoints and ends of tasks."""
        now = self._clock()
        if now - self.lease_renewed_at > self.lease_us:
            self.kill("lease")
            self.session += 1
            self.lease_renewed_at = now
        for image in [image for image, at in self.images_ready_at.items() if at <= now]:
            del self.images_ready_at[image]
            self.cached_images.add(image)
        for key, attempt in list(self.tasks.items()):
            if attempt.status == "pulling" and attempt.image_ready_at <= now:
                self._on_image_ready(key, attempt, now)
            if attempt.status == "waiting":
                self._advance_waiting(key, attempt, now)
            if attempt.status == "running":
                self._advance_running(key, attempt, now)
            if attempt.status == "flushing" and now >= attempt.checkpoint_done_at:
                attempt.checkpoint_stored = True
                self._exit(key, attempt, EXIT_STOPPED)

    def _advance_waiting(self, key: AttemptKey, attempt: Attempt, now: int) -> None:
        assert self.gang_coordinator is not None
        peer_loss_deadline = self.gang_coordinator.peer_loss_deadline(key)
        if peer_loss_deadline is not None:
            if now >= peer_loss_deadline:
                self._exit(key, attempt, EXIT_GANG_LOST)
        elif self.gang_coordinator.is_ready(key, now):
            self.gang_coordinator.start_all(key, now)
        elif now >= self.gang_coordinator.assembly_deadline(key, now):
            self._exit(key, attempt, EXIT_GANG_INCOMPLETE)

    def _advance_running(self, key: AttemptKey, attempt: Attempt, now: int) -> None:
        gang = self._gang_of(attempt)
        peer_loss_deadline = gang.peer_loss_deadline(key) if gang is not None else None
        if peer_loss_deadline is not None and now >= peer_loss_deadline:
            self._exit(key, attempt, EXIT_GANG_LOST)
        elif attempt.fails_at is not None and now >= attempt.fails_at:
            self._exit(key, attempt, "error")
        else:
            completes_at = self._completes_at(key, attempt)
            if completes_at is not None and now >= completes_at:
                self._exit(key, attempt, EXIT_DONE)

    def next_event_at(self) -> int:
        """Returns when `advance` must be called next if no message arrives before."""
        times = [self.lease_renewed_at + self.lease_us + 1, *self.images_ready_at.values()]
        for key, attempt in self.tasks.items():
            if attempt.status == "pulling":
                times.append(attempt.image_ready_at)
            elif attempt.status == "running":
                times += [at for at in (self._completes_at(key, attempt), attempt.fails_at) if at is not None]
            elif attempt.status == "flushing":
                times.append(attempt.checkpoint_done_at)
            gang = self._gang_of(attempt)
            if gang is not None and attempt.status in ("waiting", "running"):
                times += [at for at in (gang.peer_loss_deadline(key),) if at is not None]
                if attempt.status == "waiting":
                    times.append(gang.assembly_deadline(key, 0))
        return min(times)

    def _gang_of(self, attempt: Attempt) -> GangCoordinator | None:
        """Returns the gang coordinator of an attempt; None: the attempt runs independently."""
        return self.gang_coordinator if attempt.is_gang_member else None

    def _completes_at(self, key: AttemptKey, attempt: Attempt) -> int | None:
        """Returns when a running attempt completes; None: never, or its gang has stopped making progress."""
        gang = self._gang_of(attempt)
        return None if gang is not None and gang.has_stopped(key) else attempt.completes_at

    def on_resumed_after_hang(self, duration_us: int) -> None:
        """Delays the completion of running tasks by the duration of a hang."""
        for attempt in self.tasks.values():
            if attempt.status == "running" and attempt.completes_at is not None:
                attempt.completes_at += duration_us

    def kill(self, reason: str) -> None:
        """Ends all tasks at once because the lease has expired or the machine is gone; `reason` is the exit reason."""
        for key, attempt in list(self.tasks.items()):
            if not attempt.is_ended:
                self.lease_kill_count += reason == "lease"
                self._remove(key, attempt, reason)
            elif attempt.exit_reason == EXIT_DONE:
                self.lost_completions[key[0]] = reason
        self.tasks.clear()
        self.images_ready_at.clear()

    def restart(self, *, reset_epoch: bool) -> None:
        """Restarts the machine at once without tasks and images, with the same name and address.

        With `reset_epoch`, the worker epoch and heartbeat numbers begin at their first values again; otherwise the
        epoch increases by one.
        """
        self.kill("died")
        self.cached_images.clear()
        self.token = 0
        self.session = 1 if reset_epoch else self.session + 1
        self.heartbeat_seq = 0 if reset_epoch else self.heartbeat_seq
        self.lease_renewed_at = self._clock()
        self.on_change()

    # --- lifecycle of an attempt ---------------------------------------------------------------

    def _on_image_ready(self, key: AttemptKey, attempt: Attempt, now: int) -> None:
        attempt.is_on_machine = True
        self.on_task_started(self, *key)
        gang = self._gang_of(attempt)
        if key.task in self.completed_tasks:
            self._exit(key, attempt, EXIT_DONE)
        elif gang is not None:
            attempt.status = "waiting"
            gang.on_image_ready(key, now)
        else:
            self.run_attempt(key, attempt, now)

    def run_attempt(self, key: AttemptKey, attempt: Attempt, now: int) -> None:
        """Runs a task from its last checkpoint."""
        attempt.status, attempt.started_at = "running", now
        failure_delay = self.failure_delay_us(key.task, attempt.job)
        attempt.fails_at = None if failure_delay is None else now + failure_delay
        if attempt.job["rig"] != "standing":
            remaining_us = self.runtime_us(key.task, attempt.job) - self.progress.get(key.task, 0)
            attempt.completes_at = now + round(max(remaining_us, 0) / self.speed)

    def complete_with_gang(self, key: AttemptKey, attempt: Attempt) -> None:
        """Completes an attempt because another task of its gang has completed."""
        self._exit(key, attempt, EXIT_DONE)
        self.on_change()

    def _exit(self, key: AttemptKey, attempt: Attempt, reason: str) -> None:
        if reason == EXIT_DONE:
            self.completed_tasks.add(key.task)
        self._remove(key, attempt, reason)
        attempt.status, attempt.exit_reason = "ended", reason

    def _remove(self, key: AttemptKey, attempt: Attempt, reason: str) -> None:
        """Removes an attempt from the machine; its checkpointed progress is kept."""
        if reason != EXIT_DONE:
            self._save_progress(key.task, attempt)
        if attempt.is_on_machine:
            attempt.is_on_machine = False
            self.on_task_stopped(self, *key, reason)
        gang = self._gang_of(attempt)
        if gang is not None:
            gang.on_task_gone(key, self._clock(), done=reason == EXIT_DONE)

    def _save_progress(self, task: str, attempt: Attempt) -> None:
        interval = attempt.checkpoint_interval_us
        if attempt.completes_at is None or not interval or attempt.status not in ("running", "flushing"):
            return
        progress_until = self._clock() if attempt.stopped_at is None else attempt.stopped_at
        saved_us = self.progress.get(task, 0)
        reached_us = saved_us + round((progress_until - attempt.started_at) * self.speed)
        self.progress[task] = (
            reached_us if attempt.checkpoint_stored else max(saved_us, reached_us // interval * interval)
        )

    # --- messages ------------------------------------------------------------------------------

    def report(self) -> dict[str, Any]:
        """Returns a heartbeat with the machine and all its attempts."""
        self.advance()
        self.heartbeat_seq += 1
        legs: list[dict[str, Any]] = []
        for (name, number), attempt in self.tasks.items():
            leg: dict[str, Any] = {"leg": name, "sailing": number, "status": attempt.status}
            if attempt.exit_reason:
                leg["wreckCause"] = attempt.exit_reason
            if attempt.checkpoint_stored:
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
            "logline": self.heartbeat_seq,
            "helm": self.token,
            "recallS": self.notice_s,
            "legs": legs,
        }

    def on_heartbeat_response(self, sent_at: int, worker_epoch: int, body: dict[str, Any]) -> bool:
        """Processes a 200 response to a heartbeat; returns False if the response is dropped.

        A response from an earlier leader or for an earlier worker epoch is dropped.
        """
        self.advance()
        if body.get("helm", -1) < self.token or worker_epoch != self.session:
            return False
        self.token = body["helm"]
        self.lease_renewed_at = max(self.lease_renewed_at, sent_at)
        self._execute(body["orders"])
        return True

    def commands(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Executes a leader's commands and returns status and response.

        Status 409 means that the commands are from an earlier leader or for another worker epoch.
        """
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
            key = AttemptKey(order["leg"], order["sailing"])
            attempt = self.tasks.get(key)
            if order["orderKind"] == "start":
                if attempt is None:
                    self._start(key)
            elif attempt is None:
                continue
            elif order["orderKind"] == "stop" and not attempt.is_ended:
                self._stop(key, attempt, float(order.get("slackS") or 0.0))
            elif order["orderKind"] == "forget" and attempt.is_ended:
                del self.tasks[key]
                if attempt.exit_reason == EXIT_DONE:
                    self.lost_completions[key.task] = "forgotten"

    def _stop(self, key: AttemptKey, attempt: Attempt, grace_s: float) -> None:
        """Stops a task.

        A running task saves a checkpoint first if it supports checkpoints and the grace period is long enough.
        """
        gang = self._gang_of(attempt)
        if attempt.status == "running" and gang is not None:
            gang.on_stop_ordered(key)
        saves_checkpoint = attempt.checkpoint_interval_us > 0 and grace_s >= float(attempt.job.get("stowS") or 0.0)
        if attempt.status == "running" and saves_checkpoint:
            attempt.status, attempt.stopped_at = "flushing", self._clock()
            attempt.checkpoint_done_at = attempt.stopped_at + micros(float(attempt.job["stowS"]))
        elif attempt.status != "flushing" or grace_s <= 0:
            self._exit(key, attempt, EXIT_STOPPED)
            self._cancel_unused_image_fetch(str(attempt.job.get("hull")))

    def _cancel_unused_image_fetch(self, image: str) -> None:
        """Cancels the fetch of an image that no task waits for any more."""
        if not any(other.status == "pulling" and other.job.get("hull") == image for other in self.tasks.values()):
            self.images_ready_at.pop(image, None)

    def _start(self, key: AttemptKey) -> None:
        job = self._job_of(key.job_id)
        rejection_reason = self._rejection_reason(key, job)
        if job is None or rejection_reason:
            self.tasks[key] = Attempt("ended", rejection_reason)
            return
        self.started_attempts.append(key)
        now = self._clock()
        ready_at = self._image_ready_at(job, now)
        attempt = Attempt("pulling", cores=float(job["cores"]), job=job, image_ready_at=ready_at)
        self.tasks[key] = attempt
        gang = self._gang_of(attempt)
        if gang is not None:
            gang.join(key, self, attempt)
        if ready_at <= now:
            self._on_image_ready(key, attempt, now)
        self.on_change()

    def _rejection_reason(self, key: AttemptKey, job: dict[str, Any] | None) -> str:
        """Returns the exit reason of a task that can't be started; empty if the task can be started."""
        if job is None:
            return "unknown"
        live = [(other, attempt) for other, attempt in self.tasks.items() if not attempt.is_ended]
        if any(other[0] == key.task for other, _ in live):
            return "in_use"
        return "" if self._has_capacity(job, [attempt for _, attempt in live]) else "full"

    def _image_ready_at(self, job: dict[str, Any], now: int) -> int:
        """Returns when the job's image is ready; images are fetched one after the other."""
        image = str(job["hull"])
        if self.machine_type is None or image in self.cached_images:
            return now
        fetch_us = micros(float(job["sizeGb"]) / max(self.machine_type.image_fetch_gb_per_s, 0.01))
        return self.images_ready_at.setdefault(image, now + fetch_us * (1 + len(self.images_ready_at)))

    # --- capacity ------------------------------------------------------------------------------

    def fits(self, job: dict[str, Any]) -> bool:
        """Returns whether the machine has capacity for a task of the job now."""
        return self._has_capacity(job, [attempt for attempt in self.tasks.values() if not attempt.is_ended])

    def _has_capacity(self, job: dict[str, Any], live: list[Attempt]) -> bool:
        if sum(attempt.cores for attempt in live) + float(job["cores"]) > self.cores + CAPACITY_TOLERANCE:
            return False
        if self.machine_type is None:
            return True
        gpus = sum(float(attempt.job["accelerators"]) for attempt in live) + float(job["accelerators"])
        memory_gb = sum(float(attempt.job["memoryGb"]) for attempt in live) + float(job["memoryGb"])
        return (
            gpus <= self.machine_type.gpus + CAPACITY_TOLERANCE
            and memory_gb <= self.machine_type.memory_gb + CAPACITY_TOLERANCE
        )
