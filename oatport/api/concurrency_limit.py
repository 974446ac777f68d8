"""How many calls of users' requests on the state service are under way at a time."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from oatport.errors import OatportError
from oatport.times import MS, seconds

MAX_WAIT = 150 * MS  # for one of the calls


class OverloadedError(OatportError):
    """Too many calls are under way: the caller is told to come back."""


class ConcurrencyLimit:
    """Lets a bounded number of calls run at a time; the others wait, but not for long."""

    def __init__(self, max_calls: int) -> None:
        self._free = asyncio.Semaphore(max_calls)

    @asynccontextmanager
    async def acquire(self) -> AsyncIterator[None]:
        """Run the body as one of the calls. Raises OverloadedError if there is none soon."""
        try:
            async with asyncio.timeout(seconds(MAX_WAIT)):
                await self._free.acquire()
        except TimeoutError as error:
            raise OverloadedError("too many calls are under way") from error
        try:
            yield
        finally:
            self._free.release()
