"""The users' interface: submit, show and cancel jobs, and the readiness check.

Every node serves it, since the requests need only the state service, not the leader.
"""

from __future__ import annotations

import logging
from typing import Any, Protocol

from oatport import wire
from oatport.api.concurrency_limit import ConcurrencyLimit, OverloadedError
from oatport.api.job_status import JobSnapshot
from oatport.api.job_status_cache import READ_TIMEOUT, JobStatusCache
from oatport.api.server import BodyReader, Response, retry_later
from oatport.api.submission_batcher import COMMIT_TIMEOUTS, BestEffortShare, SubmissionBatcher, SubmitOutcome
from oatport.clients.http import NoResponseError, RequestRefusedError
from oatport.clients.state import Applied, StateClient
from oatport.control.limits.rate_limiter import AdaptiveRateLimiter
from oatport.control.queueing.dependency_tracker import format_job_ids
from oatport.control.state.capacity import feasible_machine_types
from oatport.control.state.job import JobKind
from oatport.control.storage.job_records import encode_submission
from oatport.control.storage.keys import cancel_key, job_key
from oatport.control.storage.overflow_records import split_overflow
from oatport.control.storage.record_layout import HEAD_RECORD_OVERHEAD_BYTES, max_record_bytes
from oatport.settings import Settings
from oatport.sizes import json_size
from oatport.times import time_of_day

log = logging.getLogger(__name__)

MAX_CONCURRENT_REQUESTS = 250
OVERLOADED_RETRY_S = 2
BEST_EFFORT_PRIORITY = "idle"
BEST_EFFORT_RETRY_S = 3
MAX_DEPENDENCIES_SHOWN = 20
MAX_CONCURRENT_STATE_CALLS = 24  # made for users' requests
QUOTA_TOLERANCE = 1e-9
DESCRIPTION_TOO_LARGE = "the job's description is too large to be stored"

STATE_SERVICE_ERRORS = (NoResponseError, RequestRefusedError, OverloadedError)


class ControllerNode(Protocol):
    """Defines what `JobApi` uses of its node."""

    types: dict[str, wire.MachineType]
    job_progress: dict[str, tuple[int, int]]  # job id -> completed and running tasks, as last published by the leader

    def is_ready(self) -> bool:
        """Returns whether the node can serve users."""

    def notify_accepted(self, job_id: str, record: dict[str, Any], revision: int) -> None:
        """Notifies the leader that this node accepted a job."""

    def notify_cancelled(self, job_id: str, revision: int = 0) -> None:
        """Records a cancellation that is about to be confirmed to a user, and notifies the leader."""


class JobApi:
    """Handles users' requests."""

    def __init__(self, settings: Settings, state: StateClient, node: ControllerNode) -> None:
        self._state = state
        self._node = node
        self._teams = {team.name: team for team in settings.cluster.teams}
        self._zones = set(settings.cluster.zones)
        limits = settings.cluster.state
        self._state_calls = ConcurrencyLimit(MAX_CONCURRENT_STATE_CALLS)
        self._jobs = JobStatusCache(state, self._state_calls, limits.min_rps)
        limiter = AdaptiveRateLimiter(limits.write_rps, settings.cluster.size, limits.min_write_rps)
        self._batcher = SubmissionBatcher(state, limits.min_txn_ops, limiter)
        self._max_record_bytes = max_record_bytes(limits.min_value_bytes)
        self._best_effort_share = BestEffortShare(limits.write_rps)
        self._active_requests = 0

    async def handle(self, method: str, path: str, body: BodyReader) -> Response:
        """Returns the response to one request.

        Raises wire.InvalidMessageError and BodyTooLargeError, which the server turns into error responses.
        """
        if path == wire.READY_PATH:
            return self._ready(method)
        parts = path.strip("/").split("/")
        if "/" + parts[0] != wire.SUBMISSIONS_PATH or len(parts) > 3 or (len(parts) == 3 and parts[2] != "cancel"):
            return Response(404, {"error": "no such path"})
        allowed = "GET" if len(parts) == 2 else "POST"
        if method != allowed:
            return Response(405, {"error": "wrong method"}, {"Allow": allowed})
        # Requests that need no state service call get their response under full load too.
        submission = wire.decode_submission(await body.read()) if len(parts) == 1 else None
        if submission is None and not wire.is_job_id(parts[1]):
            return Response(404, {"error": "no such job"})
        if self._active_requests >= MAX_CONCURRENT_REQUESTS:
            return retry_later(OVERLOADED_RETRY_S)
        self._active_requests += 1
        try:
            if submission is not None:
                response = await self.submit(submission)
            elif len(parts) == 2:
                response = await self.show(parts[1])
            else:
                response = await self.cancel(parts[1])
            return self._notify_if_cancelled(response)
        finally:
            self._active_requests -= 1

    def _ready(self, method: str) -> Response:
        if method not in ("GET", "HEAD"):
            return Response(405, None, {"Allow": "GET"})
        return Response(200, {"ready": True}) if self._node.is_ready() else retry_later()

    def _notify_if_cancelled(self, response: Response) -> Response:
        """Returns the response after recording the cancellation that it reports, if any.

        Every response about a job passes through this method, so a cancellation is recorded before the response is
        sent, however this node observed it: committed, read back, seen by a poll, cached, or implied by a cancelled
        dependency. A leader that can't read the records relies on this: cancellations that another node had observed
        and confirmed during an outage were in no list, and the tasks ran on.
        """
        if isinstance(response.value, dict) and response.value.get("status") == wire.JobStatus.CANCELLED:
            self._node.notify_cancelled(str(response.value["ref"]))
        return response

    # --- submit -----------------------------------------------------------------------------

    async def submit(self, submission: wire.Submission) -> Response:
        """Returns the response to POST /submissions."""
        if not self._node.types:
            return retry_later()  # without the machine types the submission can't be validated
        reason = self.infeasibility_reason(submission)
        if reason is not None:
            return await self._refuse_unless_accepted(submission.job_id, reason)
        if submission.dependencies and not self._jobs.snapshot(submission.job_id):
            refused = await self._check_dependencies(submission, submission.dependencies)
            if refused is not None:
                return refused
        return await self._accept(submission)

    async def _refuse_unless_accepted(self, job_id: str, reason: str, status: int = 422) -> Response:
        """Returns the job's status if it was accepted earlier, otherwise a refusal with `reason`.

        An accepted job is never refused, even if the machine types have changed since (rule `forgotten`).
        """
        value = await self._read(job_id)
        if value is None:
            return retry_later()
        return Response(200, value) if value else Response(status, {"error": reason})

    async def _check_dependencies(self, submission: wire.Submission, dependencies: list[str]) -> Response | None:
        """Returns a refusal if the job can't depend on one of `dependencies`, otherwise None."""
        try:
            unusable = await self._jobs.find_unusable(dependencies)
        except STATE_SERVICE_ERRORS:
            return retry_later()
        if unusable.never_accepted is not None:
            reason = f"{unusable.never_accepted} was never accepted"
        elif unusable.service is not None:
            reason = f"{unusable.service} is a service, which is never done"
        else:
            return None
        return await self._refuse_unless_accepted(submission.job_id, f"{wire.DEPENDENCIES_FIELD}: {reason}")

    def infeasibility_reason(self, submission: wire.Submission) -> str | None:
        """Returns why the job could never run, or None if it could."""
        team = self._teams.get(submission.team)
        if team is None:
            return "unknown team"
        if submission.zone is not None and self._zones and submission.zone not in self._zones:
            return "unknown zone"
        if not feasible_machine_types(submission, self._node.types):
            return "a task fits no allowed machine type"
        tasks_at_once = 1 if JobKind(submission.kind) is JobKind.ARRAY else submission.task_count
        for demand, limit in (
            (submission.cpus * tasks_at_once, team.cpus_max),
            (submission.gpus * tasks_at_once, team.gpus_max),
        ):
            if limit > 0 and demand > limit + QUOTA_TOLERANCE:
                return "the job needs more than its team's limit"
        return None

    async def _accept(self, submission: wire.Submission) -> Response:
        """Commits the job and returns the response, which says when to retry if the job can't be accepted now."""
        job_id = submission.job_id
        if self._batcher.is_full():
            value = await self._read(job_id) if self._jobs.snapshot(job_id) else None
            return Response(200, value) if value else retry_later(self._batcher.retry_after_s())
        best_effort = self._is_best_effort(submission)
        if best_effort and not (self._batcher.has_capacity_for_best_effort() and self._best_effort_share.try_acquire()):
            return retry_later(BEST_EFFORT_RETRY_S)  # other submissions and the leader's bindings have priority
        record = encode_submission(submission, time_of_day(), wire.JobStatus.QUEUED)
        record, overflow = split_overflow(record, self._max_record_bytes)
        if json_size(record) + HEAD_RECORD_OVERHEAD_BYTES > self._max_record_bytes:
            return await self._refuse_unless_accepted(job_id, DESCRIPTION_TOO_LARGE, 400)
        if overflow and not await self._batcher.write_overflow(job_id, overflow):
            return retry_later()
        eviction_count = self._jobs.eviction_count()
        result = await self._batcher.submit(job_id, record, best_effort=best_effort)
        if result.outcome is SubmitOutcome.CREATED:
            self._jobs.on_created(job_id, record, result.revision, eviction_count)
            self._node.notify_accepted(job_id, record, result.revision)
            if submission.dependencies:
                dependencies = format_job_ids(submission.dependencies)
                log.info("job accepted as blocked job=%s dependencies=%s", job_id, dependencies)
            return Response(201, {"ref": job_id, "status": wire.JobStatus.QUEUED})
        if result.outcome is SubmitOutcome.REFUSED:
            return await self._refuse_unless_accepted(job_id, DESCRIPTION_TOO_LARGE, 400)
        value = None if result.outcome is SubmitOutcome.UNKNOWN else await self._read(job_id)
        if value:
            return Response(200, value)
        return retry_later(self._batcher.retry_after_s() if self._batcher.is_throttled() else 1)

    def _is_best_effort(self, submission: wire.Submission) -> bool:
        """Returns whether other submissions have priority over this one.

        A job with dependencies is not best-effort whatever its priority: a user waits for its pipeline.
        """
        return (
            submission.priority == BEST_EFFORT_PRIORITY
            and not submission.dependencies
            and not self._jobs.snapshot(submission.job_id)
        )

    # --- show -------------------------------------------------------------------------------

    async def show(self, job_id: str) -> Response:
        """Returns the response to GET /submissions/ID."""
        value = await self._read(job_id)
        if value is None:
            return retry_later()
        return Response(200, value) if value else Response(404, {"error": "no such job"})

    async def _read(self, job_id: str) -> dict[str, Any] | None:
        """Returns the status of a job from its record; {} if there is no record, None if it can't be read."""
        try:
            snapshot = await self._jobs.find(job_id)
        except STATE_SERVICE_ERRORS:
            return None
        return self._status_value(job_id, snapshot) if snapshot else {}

    def _status_value(self, job_id: str, snapshot: JobSnapshot) -> dict[str, Any]:
        if snapshot.is_terminal:
            completed = snapshot.task_count if snapshot.state == wire.JobStatus.COMPLETED else 0
            return {"ref": job_id, "status": snapshot.state, "done": completed, "running": 0}
        completed, running = self._node.job_progress.get(job_id, (0, 0))
        value: dict[str, Any] = {
            "ref": job_id,
            "status": wire.JobStatus.RUNNING if running else wire.JobStatus.QUEUED,
            "done": min(completed, snapshot.task_count),
            "running": running,
        }
        if snapshot.dependencies and not (completed or running):
            # Completed dependencies are left out.
            value[wire.DEPENDENCIES_FIELD] = list(snapshot.dependencies[:MAX_DEPENDENCIES_SHOWN])
        return value

    # --- cancel -----------------------------------------------------------------------------

    async def cancel(self, job_id: str) -> Response:
        """Returns the response to POST /submissions/ID/cancel."""
        # The second attempt reads the record again, which resolves a commit of unknown outcome and a conflict with
        # another change.
        for timeout_us in COMMIT_TIMEOUTS:
            terminal_response = self._terminal_response(job_id)
            if terminal_response is not None:
                return terminal_response
            try:
                response = await self._try_cancel(job_id, timeout_us)
            except NoResponseError:
                continue
            except (RequestRefusedError, OverloadedError):
                return retry_later()
            if response is not None:
                return response
        return self._terminal_response(job_id) or retry_later()

    def _terminal_response(self, job_id: str) -> Response | None:
        """Returns the response for a job whose cached state is terminal, otherwise None."""
        snapshot = self._jobs.snapshot(job_id)
        return Response(200, {"ref": job_id, "status": snapshot.state}) if snapshot and snapshot.is_terminal else None

    async def _try_cancel(self, job_id: str, timeout_us: int) -> Response | None:
        """Commits the cancellation on top of the current record.

        Returns None if the job is terminal or another change of the record conflicts.
        """
        eviction_count = self._jobs.eviction_count()
        async with self._state_calls.acquire():
            stored = await self._state.get(job_key(job_id), timeout_us=READ_TIMEOUT)
            if stored is None:
                return Response(404, {"error": "no such job"})
            record, revision = stored
            if self._jobs.update_job(job_id, record, revision, eviction_count).is_terminal:
                return None
            # The second key lets a later leader find the cancellation among the live jobs.
            cancelled = {**record, "state": wire.JobStatus.CANCELLED}
            result = await self._state.commit(
                {job_key(job_id): revision, cancel_key(job_id): 0},
                {job_key(job_id): cancelled, cancel_key(job_id): {"at": time_of_day()}},
                timeout_us=timeout_us,
            )
        if not isinstance(result, Applied):
            return None
        self._jobs.update_job(job_id, cancelled, result.revision, eviction_count)
        self._node.notify_cancelled(job_id, result.revision)
        return Response(200, {"ref": job_id, "status": wire.JobStatus.CANCELLED})
