"""Which lost tasks may run again: what a class of jobs allows, and what proves that an attempt never began.

Ordinarily a lost task runs again (`any`). A class may forbid that: `before_start`, once the attempt may have begun;
`never`, once its start went out at all. Such a job then ends as lost. What counts as proof that nothing began:

- its start was never sent: the claim was not committed, or this leader sent nothing for it;
- the worker refused it (`full`, `in_use`, `unknown`), or a gang never became whole (`incomplete`);
- the worker doesn't list it under the leader's own token and in the session in which it was claimed: an executed
  start stays listed until a `forget`, which goes out only after its end was recorded, and starts under an earlier
  token are refused from then on.

Everything else may have begun: a machine that is gone, a lease that ended, an error, a stop, an earlier leader's claim
on a worker whose session changed since.
"""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path

from oatport import wire
from oatport.control.state.job import JobKind
from oatport.control.state.task import Task, TaskPhase
from oatport.settings import SettingsError, read_ini

SECTION = "repeat"
REFUSED = frozenset(
    (
        wire.ExitReason.INSUFFICIENT_CAPACITY,
        wire.ExitReason.OTHER_ATTEMPT_PRESENT,
        wire.ExitReason.UNKNOWN_TASK,
        wire.ExitReason.GANG_INCOMPLETE,
    )
)


class RetryPolicy(StrEnum):
    ANY = "any"
    BEFORE_START = "before_start"
    NEVER = "never"


RetryPolicies = dict[str, RetryPolicy]  # class -> what it allows; others allow any


def never_sent(task: Task) -> bool:
    """No start of this attempt went out: it was not committed, or this leader has not sent it."""
    return task.phase is not TaskPhase.BOUND or bool(task.binding_at and not task.start_epoch)


def may_repeat(repeat: RetryPolicy, task: Task, unexecuted: bool) -> bool:
    """May a task that left its machine without being done want another? `unexecuted`: proven, see above."""
    if repeat is RetryPolicy.ANY or task.job.kind is JobKind.SERVICE or never_sent(task):
        return True
    return repeat is RetryPolicy.BEFORE_START and unexecuted


def load(path: str | Path | None) -> RetryPolicies:
    """The section `[repeat]` of the tuning file: class = any, before_start or never. Raises SettingsError."""
    if path is None:
        return {}
    parser = read_ini(path, keep_case=True)
    repeats: RetryPolicies = {}
    for name, text in parser.items(SECTION) if parser.has_section(SECTION) else ():
        try:
            repeats[name] = RetryPolicy(text)
        except ValueError:
            raise SettingsError(f"{path}: [{SECTION}] {name}: must be {', '.join(RetryPolicy)}, got {text!r}") from None
    return repeats
