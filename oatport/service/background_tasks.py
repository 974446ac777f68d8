"""Background tasks: none fails unseen, and a failure of one does not end the others."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

log = logging.getLogger(__name__)


class BackgroundTasks:
    """A set of background tasks that end together."""

    def __init__(self) -> None:
        self._tasks: dict[asyncio.Task[Any], None] = {}  # in the order in which they began: runs can be repeated
        self.closed = False

    def keep(self, name: str, loop: Callable[[], Awaitable[None]], pause_s: float = 0.5) -> None:
        """Run a loop for as long as the group lives; if it fails, log that and start it again."""

        async def run() -> None:
            while not self.closed:
                try:
                    await loop()
                    return
                except asyncio.CancelledError:
                    raise
                except Exception:
                    log.exception("%s failed, starting it again", name)
                await asyncio.sleep(pause_s)

        self._add(run())

    def once(self, name: str, work: Coroutine[Any, Any, Any]) -> None:
        """Run something in the background; a failure is logged."""

        async def run() -> None:
            try:
                await work
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("%s failed", name)

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
        self.closed = True
        for task in list(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()
