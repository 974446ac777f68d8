"""Supervised background tasks: no failure goes unnoticed, and a failure of one task does not end the others.

This is no `asyncio.TaskGroup`: that cancels all its tasks when one of them fails, and waits for them where it is left.
Here a loop that fails is logged and started again, since a leader that goes on without one of its loops for half a
second is better than one that steps down; tasks are added from callbacks, without a block that they belong to; and
`close` ends them from within one of them, without waiting, as a leader that steps down has to.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

log = logging.getLogger(__name__)


class BackgroundTasks:
    """A set of background tasks that are cancelled together; the names are for the log."""

    def __init__(self) -> None:
        self._tasks: dict[asyncio.Task[Any], None] = {}  # in the order in which they began: runs can be repeated
        self.closed = False

    def supervise(self, name: str, loop: Callable[[], Awaitable[None]], pause_s: float = 0.5) -> None:
        """Run a loop for as long as the group lives; if it fails, log that and start it again `pause_s` later."""

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
        """Run something in the background; a failure is logged."""

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
        # Cancelled before its first step, `run` never gets to `work`: a deposed leader left coroutines behind
        # that were never awaited. Closing one that ran changes nothing.
        self._add(run()).add_done_callback(lambda _: work.close())

    def _add(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))
        return task

    def close(self) -> None:
        """Cancel all tasks but the one that calls this."""
        self.closed = True
        for task in list(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()
