"""Cancellations that were confirmed to users, and the bound that they put on the renewal of workers' leases.

A leader whose requests the state service refuses can't read the cancellations that other nodes confirm. Each node
therefore logs the cancellations that it confirmed to its own users, however it learnt of them, and adds the entry
before it sends the response. The leader requests these logs from all nodes and stops the jobs listed. The leader's
watermark is the time up to which all confirmed cancellations are known: it advances to the time at which the request
was sent once every configured node returned a log that is complete since the previous watermark. A node that can't be
reached, that started later, that dropped entries or that runs an earlier version leaves the watermark, and with it the
bound, unchanged.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from oatport.settings import Workers
from oatport.times import MS, SECOND, micros, shortened_by_drift

RENEWAL_MARGIN = 2 * SECOND  # for clock drift and timer delays in `renewals_allowed_until`
# Limit of one response: 64 KiB of job ids. No supported state service records as many cancellations within `cancel_s`.
MAX_LOG_ENTRIES = 4_000
REQUEST_DELAY_ALLOWANCE = 2 * SECOND  # added to the requested age: upper bound on the transit time of the request
MAX_RESPONSE_TIME = 1_500 * MS  # after a slower response, the transit of the request may have exceeded that bound


def renewals_allowed_until(workers: Workers, known_at: int) -> int:
    """Returns until when (steady, us) a leader that knows all cancellations up to `known_at` may answer heartbeats.

    Another node may confirm a cancellation at any time, and the job's tasks must be gone `cancel_s` later. A worker
    that receives nothing more kills its tasks `lease_s` after it *sent* its heartbeat, which precedes the response,
    however late the response goes out. With K = `known_at`, a response at t < K + cancel_s - lease_s - margin renews a
    lease that ends before K + cancel_s - margin, and an unknown cancellation was confirmed after K. A start command
    delayed by a partition finds its worker epoch still valid for no longer than that. The response itself stops the
    tasks of known cancellations. The margin covers clock drift (0.05% of both spans, 20 ms) and timer delays.
    """
    return known_at + shortened_by_drift(micros(workers.cancel_s - workers.lease_s)) - RENEWAL_MARGIN


@dataclass(frozen=True, slots=True)
class ConfirmedCancellations:
    """Holds one node's response: jobs whose cancellation it confirmed, and the age (us) back to which these are all."""

    job_ids: list[str]
    complete_within_us: int

    def is_complete_since(self, since: int, requested_at: int, responded_at: int) -> bool:
        """Returns whether the list has all confirmations after `since`; times are on the requester's steady clock (us).

        The node's clock may run fast, and the node responded no later than `responded_at`, when its response arrived.
        """
        return (
            responded_at - requested_at <= MAX_RESPONSE_TIME
            and responded_at - shortened_by_drift(self.complete_within_us) <= since
        )


@dataclass(slots=True)
class CancellationLog:
    """Holds the cancellations that this node confirmed: each job once, with its first confirmation time (steady, us).

    The first time suffices: a leader knows all cancellations up to its watermark, and a later leader reads the records,
    which contain a cancellation before it is confirmed to any user. Confirmations by an earlier process, before
    `started_at`, are not in the log.
    """

    started_at: int
    retention_us: int  # no lease depends on whether an older cancellation is known
    max_entries: int = MAX_LOG_ENTRIES
    _confirmed: dict[str, int] = field(default_factory=dict)  # job id -> time of confirmation, oldest first
    _complete_since: int = field(init=False)  # the log has all confirmations after this time

    def __post_init__(self) -> None:
        self._complete_since = self.started_at

    def record(self, job_id: str, now: int) -> bool:
        """Adds a cancellation that is about to be confirmed to its user; returns False if the log has it already."""
        while self._confirmed and next(iter(self._confirmed.values())) < now - self.retention_us:
            self._drop_oldest()
        if job_id in self._confirmed:
            return False
        if len(self._confirmed) >= self.max_entries:
            self._drop_oldest()
        self._confirmed[job_id] = now
        return True

    def _drop_oldest(self) -> None:
        self._complete_since = self._confirmed.pop(next(iter(self._confirmed)))

    def confirmed_within(self, now: int, age: int) -> ConfirmedCancellations:
        """Returns the cancellations confirmed in the `age` us, by the requester's clock, before it sent its request."""
        cutoff = now - age - age // 500 - REQUEST_DELAY_ALLOWANCE
        return ConfirmedCancellations(
            [job_id for job_id, at in self._confirmed.items() if at > cutoff], max(0, now - self._complete_since)
        )

    def quiet_us(self, now: int) -> int:
        """Returns the time (us) since the last new confirmation, which leaders of versions before 0.8 rely on."""
        return now - max([self._complete_since, *list(self._confirmed.values())[-1:]])
