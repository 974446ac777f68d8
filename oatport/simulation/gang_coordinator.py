"""What the tasks of one attempt of a gang know of each other, wherever they run."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from oatport.simulation.attempt import Attempt, AttemptKey, GangAttempt

if TYPE_CHECKING:
    from oatport.simulation.worker import Worker


class GangCoordinator:
    """Starts the tasks of a gang together, ends them together, and knows which attempts are broken.

    `wait_us`: how long a task with its image waits for the others; `peer_us`: how long one goes on after it lost one.
    """

    def __init__(self, wait_us: int, peer_us: int) -> None:
        self.wait_us, self.peer_us = wait_us, peer_us
        self.members: dict[GangAttempt, dict[str, tuple[Worker, Attempt]]] = {}
        self.broken_at: dict[GangAttempt, int] = {}  # since when a task of the attempt is gone
        self.first_image_at: dict[GangAttempt, int] = {}
        self.on_completed: Callable[[list[Worker]], None] = lambda mates: None  # one is done; where the others are
        self._stopping: set[GangAttempt] = set()  # attempts of which a task was told to stop: no progress since

    def join(self, key: AttemptKey, worker: Worker, attempt: Attempt) -> None:
        """A task of the gang is being started on a worker."""
        self.members.setdefault(key.gang_attempt, {})[key.task] = (worker, attempt)

    def on_image_ready(self, key: AttemptKey, now: int) -> None:
        """A task has its image and waits for the others."""
        self.first_image_at.setdefault(key.gang_attempt, now)
        for worker, _ in list(self.members.get(key.gang_attempt, {}).values()):
            worker.on_change()

    def is_ready(self, key: AttemptKey, now: int) -> bool:
        """All tasks have their image: they start together."""
        members = self.members.get(key.gang_attempt, {})
        self.first_image_at.setdefault(key.gang_attempt, now)
        first = next(attempt for _, attempt in members.values())
        complete = len(members) == int(first.job["legs"])
        return complete and all(attempt.status in ("waiting", "running") for _, attempt in members.values())

    def start_all(self, key: AttemptKey, now: int) -> None:
        """Start the tasks that wait."""
        for mate, (worker, attempt) in list(self.members[key.gang_attempt].items()):
            if attempt.status == "waiting":
                worker.run_attempt(AttemptKey(mate, key.attempt), attempt, now)
                worker.on_change()

    def on_task_gone(self, key: AttemptKey, now: int, *, done: bool) -> None:
        """A task left its machine: they complete together, so if it is done, all are; else the attempt is broken."""
        members = self.members.get(key.gang_attempt, {})
        members.pop(key.task, None)
        if done:
            self._complete_mates(key, members)
        else:
            self.broken_at.setdefault(key.gang_attempt, now)
            for worker, _ in members.values():
                worker.on_change()

    def _complete_mates(self, key: AttemptKey, members: dict[str, tuple[Worker, Attempt]]) -> None:
        workers = [worker for worker, attempt in members.values() if not attempt.is_ended]
        for mate, (worker, attempt) in list(members.items()):
            if not attempt.is_ended:
                worker.complete_with_gang(AttemptKey(mate, key.attempt), attempt)
        if workers:
            self.on_completed(workers)

    def on_stop_ordered(self, key: AttemptKey) -> None:
        """A task was told to stop: the gang makes no progress from now on."""
        self._stopping.add(key.gang_attempt)

    def has_stopped(self, key: AttemptKey) -> bool:
        """Its progress has stopped: a task of the attempt is gone, or was told to stop."""
        return key.gang_attempt in self.broken_at or key.gang_attempt in self._stopping

    # --- deadlines -----------------------------------------------------------------------------

    def gives_up_at(self, key: AttemptKey) -> int | None:
        """When a task that lost a mate ends; None: no mate is gone."""
        broken_at = self.broken_at.get(key.gang_attempt)
        return None if broken_at is None else broken_at + self.peer_us

    def waits_until(self, key: AttemptKey, default: int) -> int:
        """Until when a task with its image waits for the others; from `default` on if none was noted to have one."""
        return self.first_image_at.get(key.gang_attempt, default) + self.wait_us
