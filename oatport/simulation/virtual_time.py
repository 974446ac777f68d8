"""An event loop in virtual time, and hosts that can be paused, slowed down or ended on it.

Time passes only when nothing is left to do. Each callback belongs to the host in whose context it was made, so a host
that is paused simply runs none of its own until it goes on, while its clocks (and everybody else) do.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
from collections import deque
from collections.abc import Callable
from typing import Any

from oatport.times import CLOCK, SECOND

HOST: contextvars.ContextVar[Host | None] = contextvars.ContextVar("host", default=None)


class SimulationStuckError(RuntimeError):
    """Nothing is left that could ever happen."""


class Host:
    """A simulated computer: of a node, a worker, a service or the users. `tags`: what link rules name it by."""

    def __init__(self, loop: VirtualLoop, name: str, *tags: str, drift: float = 0.0, clock_offset_us: int = 0) -> None:
        self.loop, self.name = loop, name
        self.tags = frozenset((name, *tags))
        self.drift, self.clock_offset_us = drift, clock_offset_us
        self.dead = False
        self.frozen = False
        self.step_us = 0  # what each callback takes, for one that computes slowly
        self.busy_until = 0.0
        self.parked: deque[asyncio.Handle] = deque()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.context = contextvars.copy_context()
        self.context.run(HOST.set, self)
        self.context.run(CLOCK.set, self)
        loop.hosts.append(self)

    def steady(self) -> int:
        """Whole microseconds; a steady clock runs up to 0.05% fast."""
        return round(self.loop.time() * (1 + self.drift) * SECOND)

    def time_of_day(self) -> int:
        """Whole microseconds, off by `clock_offset_us`."""
        return self.loop.now() + self.clock_offset_us + 1_000_000 * SECOND

    def freeze(self) -> None:
        """Pause: callbacks are kept back, clocks run on."""
        self.frozen = True

    def thaw(self) -> None:
        """Go on after a pause."""
        self.frozen = False
        self.loop.unpark(self)

    def end(self) -> None:
        """Its process is gone: nothing of it runs any more, not even what would tidy up."""
        self.dead = True


class VirtualLoop(asyncio.BaseEventLoop):
    """Runs what is ready; when nothing is, the time moves to the next timer."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 1_000.0
        self.callback_count = 0
        self.hosts: list[Host] = []
        self.errors: list[str] = []
        self.set_task_factory(self._make_task)
        self.set_exception_handler(self._on_error)

    def time(self) -> float:
        """Seconds of virtual time; a run begins at 1000."""
        return self._now_s

    def now(self) -> int:
        """Whole microseconds since the world began, plus a constant."""
        return round(self._now_s * SECOND)

    def _make_task(self, loop: Any, work: Any, **more: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.Task(work, loop=self, **more)
        host = HOST.get() if more.get("context") is None else more["context"].get(HOST)
        if host is not None:
            host.tasks.add(task)
            task.add_done_callback(host.tasks.discard, context=self._bare)
        return task

    _bare = contextvars.Context()

    def cancel_all_tasks(self) -> None:
        """At the end of a run: cancel all tasks of all hosts, also of those that ended, and close the loop."""
        for host in self.hosts:
            host.dead, host.frozen, host.step_us = False, False, 0
            self.unpark(host)

        async def cancel() -> None:
            for _ in range(20):
                tasks = [task for host in self.hosts for task in host.tasks]
                if not tasks:
                    return
                for task in tasks:
                    task.cancel()
                await asyncio.wait(tasks, timeout=1.0)

        self.run_until_complete(asyncio.Task(cancel(), loop=self, context=contextvars.Context()))
        self.close()

    def unpark(self, host: Host) -> None:
        """Run what was kept back."""
        while host.parked:
            self._ready.append(host.parked.popleft())  # type: ignore[attr-defined]

    def _on_error(self, loop: Any, context: dict[str, Any]) -> None:
        self.errors.append(f"{context.get('message')}: {context.get('exception')!r}")

    def _run_once(self) -> None:
        """One pass of the event loop, in place of the base class's, which would wait on sockets and real clocks."""
        ready: deque[asyncio.Handle] = self._ready  # type: ignore[attr-defined]
        if not ready:
            self._advance_to_next_timer()
        self._move_due_timers(ready)
        for _ in range(len(ready)):
            handle = ready.popleft()
            if not handle._cancelled and not self._park(handle):
                self.callback_count += 1
                handle._run()

    def _advance_to_next_timer(self) -> None:
        timers: list[asyncio.TimerHandle] = self._scheduled  # type: ignore[attr-defined]
        while timers and timers[0]._cancelled:
            heapq.heappop(timers)._scheduled = False  # type: ignore[attr-defined]
        if not timers and not self._stopping:  # type: ignore[attr-defined]
            raise SimulationStuckError("nothing is left to happen")
        if timers:
            self._now_s = max(self._now_s, timers[0].when())

    def _move_due_timers(self, ready: deque[asyncio.Handle]) -> None:
        timers: list[asyncio.TimerHandle] = self._scheduled  # type: ignore[attr-defined]
        while timers and timers[0].when() <= self._now_s:
            handle = heapq.heappop(timers)
            handle._scheduled = False  # type: ignore[attr-defined]
            if not handle._cancelled:
                ready.append(handle)

    def _park(self, handle: asyncio.Handle) -> bool:
        """Keep a callback back if its host is dead, paused, or busy; True if it was."""
        host = handle._context.get(HOST)  # type: ignore[attr-defined]
        if host is None:
            return False
        if host.dead or host.frozen or host.parked:
            host.parked.append(handle)
            return True
        if host.step_us:
            if host.busy_until > self._now_s:
                host.parked.append(handle)
                self.call_at(host.busy_until, self._run_parked, host, context=self._bare)
                return True
            host.busy_until = self._now_s + host.step_us / SECOND
        return False

    def _run_parked(self, host: Host) -> None:
        """A slow host takes up the next callback."""
        if host.dead or host.frozen or not host.parked:
            return
        handle = host.parked.popleft()
        if not handle._cancelled:
            host.busy_until = self._now_s + host.step_us / SECOND
            handle._run()
        if host.parked:
            if host.step_us:
                self.call_at(host.busy_until, self._run_parked, host, context=self._bare)
            else:
                self.unpark(host)

    def _process_events(self, events: Any) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    def call_later_us(
        self, delay_us: int, host: Host | None, call: Callable[..., Any], *args: Any
    ) -> asyncio.TimerHandle:
        """Call something on a host after a while."""
        context = host.context if host is not None else self._bare
        return self.call_at(self._now_s + delay_us / SECOND, call, *args, context=context)
