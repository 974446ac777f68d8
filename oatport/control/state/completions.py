"""Completions that leaders received and had not recorded yet, as replicated to the other nodes.

That a task is completed is true for good: whoever leads next may go by it, under whatever token it was reported.
Without it a task whose machine hung, or was released, after its completion was reported ran again under the next
leader.
"""

from __future__ import annotations

from collections import deque
from typing import Any

Completion = tuple[str, int, int]  # job, task index and the attempt that was completed

MAX_COMPLETIONS = 2_000  # in one message, and kept of one leader
MAX_LEADERS = 4  # whose completions are kept: the newest


def decode_completions(rows: Any) -> list[Completion]:
    """From a peer message. Raises ValueError or TypeError where they are none."""
    if not isinstance(rows, list) or len(rows) > MAX_COMPLETIONS:
        raise ValueError("not a list of ends")
    found: list[Completion] = []
    for job_id, index, attempt in rows:
        if not isinstance(job_id, str) or type(index) is not int or type(attempt) is not int:
            raise ValueError("not an end")
        found.append((job_id, index, attempt))
    return found


class CompletionLog:
    """What this node knows of completions that earlier leaders may not have recorded."""

    def __init__(self) -> None:
        # Fencing token -> what that leader received last; some of it is recorded by now.
        self._by_token: dict[int, deque[Completion]] = {}

    def add(self, token: int, completions: list[Completion]) -> None:
        """What the leader with this fencing token received."""
        self._by_token.setdefault(token, deque(maxlen=MAX_COMPLETIONS)).extend(completions)
        while len(self._by_token) > MAX_LEADERS:
            del self._by_token[min(self._by_token)]

    def before_token(self, token: int) -> list[Completion] | None:
        """What earlier leaders may not have recorded, of the newest first; None: nothing is known of any."""
        tokens = sorted((known for known in self._by_token if known < token), reverse=True)
        if not tokens:
            return None
        return [completion for known in tokens for completion in reversed(self._by_token[known])][:MAX_COMPLETIONS]
