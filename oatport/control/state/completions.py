"""Task completions that leaders received but had not recorded yet, as replicated to the other nodes.

A completion is final, so a later leader may rely on it, whatever fencing token it was reported under. Without the
replicas, a task whose machine hung or was released after it reported the completion ran again under the next leader.
"""

from __future__ import annotations

from collections import deque
from typing import Any

Completion = tuple[str, int, int]  # job id, task index and the completed attempt

MAX_COMPLETIONS = 2_000  # per message, and stored per leader
MAX_LEADERS = 4  # leaders whose completions are stored, the newest ones


def decode_completions(rows: Any) -> list[Completion]:
    """Returns the completions of a peer message; raises ValueError or TypeError if they are malformed."""
    if not isinstance(rows, list) or len(rows) > MAX_COMPLETIONS:
        raise ValueError("not a list of ends")
    decoded: list[Completion] = []
    for job_id, index, attempt in rows:
        if not isinstance(job_id, str) or type(index) is not int or type(attempt) is not int:
            raise ValueError("not an end")
        decoded.append((job_id, index, attempt))
    return decoded


class CompletionLog:
    """Holds the completions known to this node that leaders may not have recorded."""

    def __init__(self) -> None:
        # Fencing token -> the last completions that this leader received; some of them are recorded by now.
        self._by_token: dict[int, deque[Completion]] = {}
        self._restored: list[Completion] | None = None  # copied from other nodes after the start of this process

    def add(self, token: int, completions: list[Completion]) -> None:
        """Adds completions that the leader with this fencing token received."""
        self._by_token.setdefault(token, deque(maxlen=MAX_COMPLETIONS)).extend(completions)
        while len(self._by_token) > MAX_LEADERS:
            del self._by_token[min(self._by_token)]

    def restore(self, completions: list[Completion]) -> None:
        """Adds what another node holds, of any earlier leaders: this process has not received it from them."""
        self._restored = list(dict.fromkeys([*(self._restored or ()), *completions]))[:MAX_COMPLETIONS]

    def before_token(self, token: int) -> list[Completion] | None:
        """Returns completions that leaders before `token` may not have recorded, newest first; None without entries."""
        tokens = sorted((earlier for earlier in self._by_token if earlier < token), reverse=True)
        if not tokens and self._restored is None:
            return None
        received = [completion for earlier in tokens for completion in reversed(self._by_token[earlier])]
        return [*received, *(self._restored or ())][:MAX_COMPLETIONS]
