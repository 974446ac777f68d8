"""Decides which lost tasks may be retried: the policies of the job classes, and the proof that an attempt never began.

By default a lost task is retried (`any`). The policy of a class may forbid a retry: `before_start` once the attempt may
have begun, `never` once its start command was sent. Such a job then ends as lost. An attempt provably never began if:

- its start was never sent: the binding was not committed, or this leader sent no start for it;
- the worker refused it (`full`, `in_use`, `unknown`), or its gang never became complete (`incomplete`);
- the worker does not list it under the leader's own fencing token and in the worker epoch in which it was bound. An
  executed start stays listed until a `forget`, which is sent only after its completion was recorded, and starts of
  earlier leaders are refused.

Any other attempt may have begun: its machine is gone, its lease expired, it ended with an error or was stopped, or an
earlier leader bound it to a worker whose epoch has changed since.
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
    """Defines when a lost task of a class may be retried; the values are those of the tuning file."""

    ANY = "any"
    BEFORE_START = "before_start"
    NEVER = "never"


RetryPolicies = dict[str, RetryPolicy]  # by class; tasks of classes that are not listed are always retried


def was_never_sent(task: Task) -> bool:
    """Returns whether no start of this attempt was sent: its binding was not committed, or this leader sent none."""
    return task.phase is not TaskPhase.BOUND or bool(task.binding_at and not task.start_epoch)


def may_retry(policy: RetryPolicy, task: Task, unexecuted: bool) -> bool:
    """Returns whether a task that left its machine without completing may be retried.

    `unexecuted`: it is proven that the attempt never began.
    """
    if policy is RetryPolicy.ANY or task.job.kind is JobKind.SERVICE or was_never_sent(task):
        return True
    return policy is RetryPolicy.BEFORE_START and unexecuted


def load_retry_policies(path: str | Path | None) -> RetryPolicies:
    """Returns the policies in the section `[repeat]` of the tuning file: class = any, before_start or never.

    Raises SettingsError if a policy has any other value.
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
