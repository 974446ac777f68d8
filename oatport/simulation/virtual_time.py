"""An event loop in virtual time, with hosts that can be paused, slowed down or ended.

Virtual time advances only when no callback is ready. Each callback belongs to the host in whose context it was created:
a paused host runs none of its callbacks until it is resumed, while its clocks and all other hosts continue.
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
    """Raised if neither a callback nor a timer is left."""


class Host:
    """Represents the computer of a node, worker, service or of the users. Link rules refer to hosts by their `tags`."""

    def __init__(self, loop: VirtualLoop, name: str, *tags: str, drift: float = 0.0, clock_offset_us: int = 0) -> None:
        self.loop, self.name = loop, name
        self.tags = frozenset((name, *tags))
        self.drift, self.clock_offset_us = drift, clock_offset_us
        self.dead = False
        self.frozen = False
        self.callback_duration_us = 0  # duration of each callback on a slow host; 0: callbacks take no time
        self.busy_until_s = 0.0
        self.deferred: deque[asyncio.Handle] = deque()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.context = contextvars.copy_context()
        self.context.run(HOST.set, self)
        self.context.run(CLOCK.set, self)
        loop.hosts.append(self)

    def steady(self) -> int:
        """Returns the steady clock in whole microseconds; it runs fast by `drift`, up to 0.05 %."""
        return round(self.loop.time() * (1 + self.drift) * SECOND)

    def time_of_day(self) -> int:
        """Returns the time of day in whole microseconds, off by `clock_offset_us`."""
        return self.loop.now() + self.clock_offset_us + 1_000_000 * SECOND

    def freeze(self) -> None:
        """Pauses the host: its callbacks are deferred, while its clocks continue."""
        self.frozen = True

    def thaw(self) -> None:
        """Resumes the host after a pause."""
        self.frozen = False
        self.loop.run_deferred(self)

    def end(self) -> None:
        """Ends the host's process: no callback runs any more, not even cleanup code."""
        self.dead = True


class SequencedTimer(asyncio.TimerHandle):
    """A timer that goes after all that are due earlier, and after those due at the same time but scheduled before."""

    __slots__ = ("sequence_number",)

    def __init__(
        self,
        when: float,
        callback: Callable[..., Any],
        args: tuple[Any, ...],
        loop: VirtualLoop,
        context: contextvars.Context | None,
        sequence_number: int,
    ) -> None:
        super().__init__(when, callback, args, loop, context)
        self.sequence_number = sequence_number

    def __lt__(self, other: object) -> bool:
        if not isinstance(other, SequencedTimer):
            return NotImplemented
        return (self.when(), self.sequence_number) < (other.when(), other.sequence_number)


class VirtualLoop(asyncio.BaseEventLoop):
    """Runs ready callbacks; when none is ready, virtual time advances to the next timer."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 1_000.0
        self.callback_count = 0
        self._timer_count = 0
        self.hosts: list[Host] = []
        self.errors: list[str] = []
        self.set_task_factory(self._make_task)
        self.set_exception_handler(self._on_error)

    def time(self) -> float:
        """Returns virtual time in seconds; a run begins at 1000."""
        return self._now_s

    def now(self) -> int:
        """Returns virtual time in whole microseconds; a run begins at 1000 s."""
        return round(self._now_s * SECOND)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., Any], *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedules a callback. Timers that are due at one time go in the order in which they were scheduled.

        The base class leaves their order to the heap's shape, so that one timer less, as of a fault that is left out
        of a plan, changed the order of others before it.
        """
        self._timer_count += 1
        timer = SequencedTimer(when, callback, args, self, context, self._timer_count)
        heapq.heappush(self._scheduled, timer)  # type: ignore[attr-defined]
        timer._scheduled = True  # type: ignore[attr-defined]
        return timer

    def _make_task(self, loop: Any, coroutine: Any, **options: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.Task(coroutine, loop=self, **options)
        host = HOST.get() if options.get("context") is None else options["context"].get(HOST)
        if host is not None:
            host.tasks.add(task)
            task.add_done_callback(host.tasks.discard, context=self._empty_context)
        return task

    _empty_context = contextvars.Context()

    def cancel_all_tasks(self) -> None:
        """Cancels all tasks of all hosts, including ended ones, and closes the loop. Called at the end of a run."""
        for host in self.hosts:
            host.dead, host.frozen, host.callback_duration_us = False, False, 0
            self.run_deferred(host)

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

    def run_deferred(self, host: Host) -> None:
        """Makes all deferred callbacks of a host ready."""
        while host.deferred:
            self._ready.append(host.deferred.popleft())  # type: ignore[attr-defined]

    def _on_error(self, loop: Any, context: dict[str, Any]) -> None:
        self.errors.append(f"{context.get('message')}: {context.get('exception')!r}")

    def _run_once(self) -> None:
        """Runs one pass of the event loop; replaces the base class's method, which waits on sockets and real clocks."""
        ready: deque[asyncio.Handle] = self._ready  # type: ignore[attr-defined]
        if not ready:
            self._advance_to_next_timer()
        self._move_due_timers(ready)
        for _ in range(len(ready)):
            handle = ready.popleft()
            if not handle._cancelled and not self._defer_if_blocked(handle):
                self.callback_count += 1
                handle._run()

    def _advance_to_next_timer(self) -> None:
        timers: list[asyncio.TimerHandle] = self._scheduled  # type: ignore[attr-defined]
        while timers and timers[0]._cancelled:
            heapq.heappop(timers)._scheduled = False  # type: ignore[attr-defined]
        if not timers and not self._stopping:  # type: ignore[attr-defined]
            raise SimulationStuckError("no callback is ready and no timer is scheduled")
        if timers:
            self._now_s = max(self._now_s, timers[0].when())

    def _move_due_timers(self, ready: deque[asyncio.Handle]) -> None:
        timers: list[asyncio.TimerHandle] = self._scheduled  # type: ignore[attr-defined]
        while timers and timers[0].when() <= self._now_s:
            handle = heapq.heappop(timers)
            handle._scheduled = False  # type: ignore[attr-defined]
            if not handle._cancelled:
                ready.append(handle)

    def _defer_if_blocked(self, handle: asyncio.Handle) -> bool:
        """Defers a callback if its host is dead, paused or busy; returns whether it was deferred."""
        host = handle._context.get(HOST)  # type: ignore[attr-defined]
        if host is None:
            return False
        if host.dead or host.frozen or host.deferred:
            host.deferred.append(handle)
            return True
        if host.callback_duration_us:
            if host.busy_until_s > self._now_s:
                host.deferred.append(handle)
                self.call_at(host.busy_until_s, self._run_next_deferred, host, context=self._empty_context)
                return True
            host.busy_until_s = self._now_s + host.callback_duration_us / SECOND
        return False

    def _run_next_deferred(self, host: Host) -> None:
        """Runs the next deferred callback of a slow host and schedules the one after it."""
        if host.dead or host.frozen or not host.deferred:
            return
        handle = host.deferred.popleft()
        if not handle._cancelled:
            host.busy_until_s = self._now_s + host.callback_duration_us / SECOND
            handle._run()
        if host.deferred:
            if host.callback_duration_us:
                self.call_at(host.busy_until_s, self._run_next_deferred, host, context=self._empty_context)
            else:
                self.run_deferred(host)

    def _process_events(self, events: Any) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    def call_later_us(
        self, delay_us: int, host: Host | None, callback: Callable[..., Any], *args: Any
    ) -> asyncio.TimerHandle:
        """Schedules `callback` in a host's context after a delay; without a host, outside of any host's context."""
        context = host.context if host is not None else self._empty_context
        return self.call_at(self._now_s + delay_us / SECOND, callback, *args, context=context)
