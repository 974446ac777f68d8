"""Polls the price feed: sends one request at a time, each with a timeout and within a rate limit."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import aiohttp

from oatport import wire
from oatport.clients.http import jitter
from oatport.clients.token_bucket import TokenBucket
from oatport.times import SECOND, micros, seconds, time_of_day
from oatport.windows.feed import JSON_TYPE, MAX_BODY_BYTES, decode_series
from oatport.windows.prices import InvalidPriceSeriesError, PriceBook

log = logging.getLogger(__name__)

MIN_RETRY, MAX_RETRY = 5 * SECOND, 300 * SECOND
MAX_DOUBLINGS = 16  # of the retry interval
MAX_REQUESTS_PER_S = 0.5  # a limit that holds for any `poll_s` in the settings


class FeedClient:
    """Updates a price book from the feed, and calls `changed` when the price of any coming hour has changed."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        zone: str,
        book: PriceBook,
        poll_s: float,
        timeout_s: float,
        changed: Callable[[], None],
    ) -> None:
        self._session = session
        self._url = url
        self._zone = zone
        self._book = book
        self._poll = micros(poll_s)
        self._timeout_s = timeout_s
        self._changed = changed
        self._rate = TokenBucket(MAX_REQUESTS_PER_S)
        self.failures = 0  # consecutive

    async def loop(self) -> None:
        """Polls the feed until cancelled."""
        while True:
            pause = await self.poll()
            await asyncio.sleep(pause)

    async def poll(self) -> float:
        """Sends one request; returns the time until the next one, in seconds."""
        await self._rate.acquire()
        try:
            body, content_type = await self._fetch()
            intervals, made_at = decode_series(body, content_type, self._zone)
            changed = self._book.add_series(intervals, made_at, time_of_day())
        except (InvalidPriceSeriesError, aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            self.failures += 1
            self._book.last_error = f"{type(error).__name__}: {error}"[:200]
            log.warning('price feed failed failures=%d error="%s"', self.failures, self._book.last_error)
            return jitter(
                min(MIN_RETRY << min(self.failures - 1, MAX_DOUBLINGS), MAX_RETRY, max(self._poll, MIN_RETRY))
            )
        self.failures = 0
        if changed:
            self._changed()
        return seconds(self._poll) * 0.9 + jitter(self._poll) * 0.1

    async def _fetch(self) -> tuple[bytes, str]:
        """Returns the body and its content type; raises TimeoutError unless all of it arrives in time."""
        async with asyncio.timeout(self._timeout_s):
            async with self._session.get(
                self._url,
                headers={"Accept": f"{wire.CBOR_CONTENT_TYPE}, {JSON_TYPE}"},
                allow_redirects=False,
            ) as response:
                if response.status != 200:
                    raise InvalidPriceSeriesError(f"status {response.status}, expected 200")
                chunks: list[bytes] = []
                size = 0
                async for chunk in response.content.iter_any():
                    size += len(chunk)
                    if size > MAX_BODY_BYTES:
                        raise InvalidPriceSeriesError(f"body of more than {MAX_BODY_BYTES} bytes")
                    chunks.append(chunk)
                return b"".join(chunks), response.content_type
