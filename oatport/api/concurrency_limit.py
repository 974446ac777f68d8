"""Limits how many state service calls made for users' requests run concurrently."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from oatport.errors import OatportError
from oatport.times import MS, seconds

ACQUIRE_TIMEOUT = 150 * MS


class OverloadedError(OatportError):
    """Too many operations are in progress; the caller has to retry later."""


class ConcurrencyLimit:
    """Runs a bounded number of calls concurrently; further calls wait for up to `ACQUIRE_TIMEOUT`."""

    def __init__(self, max_calls: int) -> None:
        self._slots = asyncio.Semaphore(max_calls)

    @asynccontextmanager
    async def acquire(self) -> AsyncIterator[None]:
        """Holds a slot while the body runs. Raises OverloadedError if no slot is free within `ACQUIRE_TIMEOUT`."""
        try:
            async with asyncio.timeout(seconds(ACQUIRE_TIMEOUT)):
                await self._slots.acquire()
        except TimeoutError as error:
            raise OverloadedError("too many concurrent state service calls") from error
        try:
            yield
        finally:
            self._slots.release()
