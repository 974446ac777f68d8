"""Coordination between the tasks of one attempt of a gang, across the workers that run them."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from oatport.simulation.attempt import Attempt, AttemptKey, GangAttempt

if TYPE_CHECKING:
    from oatport.simulation.worker import Worker


class GangCoordinator:
    """Starts and completes the tasks of a gang together, and records which attempts have lost a task.

    `assembly_timeout_us` is how long a task that has its image waits for the others, `peer_loss_timeout_us` how long a
    task continues after another task of its attempt is gone.
    """

    def __init__(self, assembly_timeout_us: int, peer_loss_timeout_us: int) -> None:
        self.assembly_timeout_us, self.peer_loss_timeout_us = assembly_timeout_us, peer_loss_timeout_us
        self.members: dict[GangAttempt, dict[str, tuple[Worker, Attempt]]] = {}
        self.broken_at: dict[GangAttempt, int] = {}  # when the first task of the attempt was lost
        self.first_image_at: dict[GangAttempt, int] = {}
        # Called when one task has completed, with the workers of the other tasks.
        self.on_completed: Callable[[list[Worker]], None] = lambda workers: None
        self._stop_ordered: set[GangAttempt] = set()  # attempts with a stop command for a task: no progress since

    def join(self, key: AttemptKey, worker: Worker, attempt: Attempt) -> None:
        """Adds an attempt that a worker starts to its gang."""
        self.members.setdefault(key.gang_attempt, {})[key.task] = (worker, attempt)

    def on_image_ready(self, key: AttemptKey, now: int) -> None:
        """Records that a task has its image and waits for the others, and notifies the workers of the gang."""
        self.first_image_at.setdefault(key.gang_attempt, now)
        for worker, _ in list(self.members.get(key.gang_attempt, {}).values()):
            worker.on_change()

    def is_ready(self, key: AttemptKey, now: int) -> bool:
        """Returns whether all tasks of the gang have their images, so that the gang can start."""
        members = self.members.get(key.gang_attempt, {})
        self.first_image_at.setdefault(key.gang_attempt, now)
        first = next(attempt for _, attempt in members.values())
        complete = len(members) == int(first.job["legs"])
        return complete and all(attempt.status in ("waiting", "running") for _, attempt in members.values())

    def start_all(self, key: AttemptKey, now: int) -> None:
        """Starts all waiting tasks of the attempt."""
        for member, (worker, attempt) in list(self.members[key.gang_attempt].items()):
            if attempt.status == "waiting":
                worker.run_attempt(AttemptKey(member, key.attempt), attempt, now)
                worker.on_change()

    def on_task_gone(self, key: AttemptKey, now: int, *, done: bool) -> None:
        """Handles a task that left its machine.

        The tasks of a gang complete together: if the task is done, all others complete; otherwise the attempt is
        broken from now on.
        """
        members = self.members.get(key.gang_attempt, {})
        members.pop(key.task, None)
        if done:
            self._complete_other_members(key, members)
        else:
            self.broken_at.setdefault(key.gang_attempt, now)
            for worker, _ in members.values():
                worker.on_change()

    def _complete_other_members(self, key: AttemptKey, members: dict[str, tuple[Worker, Attempt]]) -> None:
        workers = [worker for worker, attempt in members.values() if not attempt.is_ended]
        for member, (worker, attempt) in list(members.items()):
            if not attempt.is_ended:
                worker.complete_with_gang(AttemptKey(member, key.attempt), attempt)
        if workers:
            self.on_completed(workers)

    def on_stop_ordered(self, key: AttemptKey) -> None:
        """Records that a task was ordered to stop: the gang makes no progress from then on."""
        self._stop_ordered.add(key.gang_attempt)

    def has_stopped(self, key: AttemptKey) -> bool:
        """Returns whether the gang makes no progress: a task of the attempt is gone or was ordered to stop."""
        return key.gang_attempt in self.broken_at or key.gang_attempt in self._stop_ordered

    # --- deadlines -----------------------------------------------------------------------------

    def peer_loss_deadline(self, key: AttemptKey) -> int | None:
        """Returns the time at which a task ends because another task of its attempt is gone; None: no task is gone."""
        broken_at = self.broken_at.get(key.gang_attempt)
        return None if broken_at is None else broken_at + self.peer_loss_timeout_us

    def assembly_deadline(self, key: AttemptKey, default: int) -> int:
        """Returns the time until which a task that has its image waits for the others.

        The wait begins with the first image of the attempt, or at `default` if no task has reported one.
        """
        return self.first_image_at.get(key.gang_attempt, default) + self.assembly_timeout_us
