"""Ends of tasks that leaders took in and had not recorded yet, as they told the other nodes.

That a task is done is true for good: whoever leads next may go by it, under whatever token it was reported. Without it
a task whose machine hung, or was returned, after its end was reported ran again under the next leader.
"""

from __future__ import annotations

from collections import deque
from typing import Any

Completion = tuple[str, int, int]  # job, task and the attempt that is done

ROWS_MOST = 2_000  # told at a time
LEADS_MOST = 4  # of so many leads ends are kept, the newest


def parse(rows: Any) -> list[Completion]:
    """Raises ValueError or TypeError where they are not ends."""
    if not isinstance(rows, list) or len(rows) > ROWS_MOST:
        raise ValueError("not a list of ends")
    found: list[Completion] = []
    for ref, index, attempt in rows:
        if not isinstance(ref, str) or type(index) is not int or type(attempt) is not int:
            raise ValueError("not an end")
        found.append((ref, index, attempt))
    return found


class CompletionLog:
    def __init__(self) -> None:
        self._by_token: dict[
            int, deque[Completion]
        ] = {}  # token -> what that leader took in last; some of it is recorded by now

    def add(self, token: int, ends: list[Completion]) -> None:
        self._by_token.setdefault(token, deque(maxlen=ROWS_MOST)).extend(ends)
        while len(self._by_token) > LEADS_MOST:
            del self._by_token[min(self._by_token)]

    def before_token(self, token: int) -> list[Completion] | None:
        """What earlier leaders may not have recorded, of the newest first; None: nothing is known of any."""
        tokens = sorted((told for told in self._by_token if told < token), reverse=True)
        if not tokens:
            return None
        return [end for told in tokens for end in reversed(self._by_token[told])][:ROWS_MOST]
