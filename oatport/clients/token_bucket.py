"""A token bucket: a rate per second, with bursts of up to one second's tokens."""

from __future__ import annotations

import asyncio

from oatport.times import SECOND, seconds, steady

MIN_RATE_PER_S = 0.1


class TokenBucket:
    """Limits a rate; tokens can be reserved in advance, which makes `tokens` negative."""

    def __init__(self, rate_per_s: float) -> None:
        self.rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        self.tokens = self.rate_per_s
        self.refilled_at = steady()

    def available(self) -> float:
        """Returns the number of tokens that can be used without waiting; negative if more are reserved."""
        now = steady()
        refill = (now - self.refilled_at) * self.rate_per_s / SECOND
        self.tokens = min(self.rate_per_s, self.tokens + refill)
        self.refilled_at = now
        return self.tokens

    def reserve(self, count: float = 1.0) -> int:
        """Reserves `count` tokens and returns the time to wait before using them."""
        self.available()
        self.tokens -= count
        return 0 if self.tokens >= 0 else round(-self.tokens / self.rate_per_s * SECOND)

    async def acquire(self, count: float = 1.0) -> None:
        """Reserves `count` tokens and waits until they can be used."""
        wait = self.reserve(count)
        if wait:
            await asyncio.sleep(seconds(wait))
