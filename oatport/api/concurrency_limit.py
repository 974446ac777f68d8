"""How many calls of users' requests are under way at a time."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from oatport.errors import OatportError
from oatport.times import MS, seconds

WITHIN = 150 * MS


class OverloadedError(OatportError):
    """Too many calls are under way: the caller is told to come back."""


class ConcurrencyLimit:
    def __init__(self, most: int) -> None:
        self._free = asyncio.Semaphore(most)

    @asynccontextmanager
    async def one(self) -> AsyncIterator[None]:
        """One of the calls; Busy if there is none soon."""
        try:
            async with asyncio.timeout(seconds(WITHIN)):
                await self._free.acquire()
        except TimeoutError:
            raise OverloadedError from None
        try:
            yield
        finally:
            self._free.release()
