"""Which lost tasks may run again: what a class of jobs allows, and what proves that an attempt never began.

Ordinarily a lost task is retried (`any`). A class may forbid that: `before_start`, once the attempt may have begun;
`never`, once its start was sent at all. Such a job then ends as lost. What counts as proof that nothing began:

- its start was never sent: the binding was not committed, or this leader sent nothing for it;
- the worker refused it (`full`, `in_use`, `unknown`), or a gang never became whole (`incomplete`);
- the worker doesn't list it under the leader's own fencing token and in the agent epoch in which it was bound: an
  executed start stays listed until a `forget`, which goes out only after its completion was recorded, and starts under
  an earlier token are refused from then on.

Everything else may have begun: a machine that is gone, a lease that ended, an error, a stop, an earlier leader's
binding to a worker whose epoch changed since.
"""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path

from oatport import wire
from oatport.control.state.job import JobKind
from oatport.control.state.task import Task, TaskPhase
from oatport.settings import SettingsError, read_ini

SECTION = "repeat"
REFUSAL_REASONS = frozenset(
    (
        wire.ExitReason.INSUFFICIENT_CAPACITY,
        wire.ExitReason.OTHER_ATTEMPT_PRESENT,
        wire.ExitReason.UNKNOWN_TASK,
        wire.ExitReason.GANG_INCOMPLETE,
    )
)


class RetryPolicy(StrEnum):
    """When a lost task of a class may run again; the values are those of the tuning file."""

    ANY = "any"
    BEFORE_START = "before_start"
    NEVER = "never"


RetryPolicies = dict[str, RetryPolicy]  # by class; classes that aren't listed are retried always


def was_never_sent(task: Task) -> bool:
    """No start of this attempt was sent: its binding was not committed, or this leader has not sent it."""
    return task.phase is not TaskPhase.BOUND or bool(task.binding_at and not task.start_epoch)


def may_retry(policy: RetryPolicy, task: Task, unexecuted: bool) -> bool:
    """May a task that left its machine incomplete want another? `unexecuted`: that it never began is proven."""
    if policy is RetryPolicy.ANY or task.job.kind is JobKind.SERVICE or was_never_sent(task):
        return True
    return policy is RetryPolicy.BEFORE_START and unexecuted


def load_retry_policies(path: str | Path | None) -> RetryPolicies:
    """The section `[repeat]` of the tuning file: class = any, before_start or never.

    Raises SettingsError if a policy is none of these.
    """
    if path is None:
        return {}
    parser = read_ini(path, keep_case=True)
    policies: RetryPolicies = {}
    for job_class, text in parser.items(SECTION) if parser.has_section(SECTION) else ():
        try:
            policies[job_class] = RetryPolicy(text)
        except ValueError:
            allowed = ", ".join(RetryPolicy)
            raise SettingsError(f"{path}: [{SECTION}] {job_class}: must be {allowed}, got {text!r}") from None
    return policies
