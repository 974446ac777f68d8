"""Supervised background tasks: every failure is logged, and a failure of one task does not end the others.

`asyncio.TaskGroup` does not fit: it cancels all its tasks when one of them fails, and waits for them on exit. Here a
failed loop is logged and restarted, since a leader that runs without one of its loops for half a second is better than
one that steps down. Tasks are added from callbacks, outside of any `async with` block. `close` can be called from one
of the tasks and does not wait, as a leader that steps down requires.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

log = logging.getLogger(__name__)


class BackgroundTasks:
    """Holds background tasks that are cancelled together; their names appear only in the log."""

    def __init__(self) -> None:
        self._tasks: dict[asyncio.Task[Any], None] = {}  # in start order, so that simulation runs are reproducible
        self.closed = False

    def supervise(self, name: str, loop: Callable[[], Awaitable[None]], pause_s: float = 0.5) -> None:
        """Runs a loop until the group is closed; a loop that fails is logged and restarted `pause_s` later."""

        async def run() -> None:
            while not self.closed:
                try:
                    await loop()
                    return
                except asyncio.CancelledError:
                    raise
                except Exception:
                    log.exception("background loop failed, restarting it loop=%r", name)
                await asyncio.sleep(pause_s)

        self._add(run())

    def spawn(self, name: str, work: Coroutine[Any, Any, Any]) -> None:
        """Runs a coroutine in the background; a failure is logged."""

        async def run() -> None:
            try:
                await work
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("background task failed task=%r", name)

        if self.closed:
            work.close()
            return
        # If `run` is cancelled before its first step, `work` is never awaited: deposed leaders left such coroutines
        # behind. Closing a coroutine that has finished has no effect.
        self._add(run()).add_done_callback(lambda _: work.close())

    def _add(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))
        return task

    def close(self) -> None:
        """Cancels all tasks except the one that calls this method."""
        self.closed = True
        for task in list(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()
