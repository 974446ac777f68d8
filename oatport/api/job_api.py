"""Users: submit, show, cancel, ready. Any node answers; all it needs is the state service."""

from __future__ import annotations

import logging
from typing import Any, Protocol

from oatport import wire
from oatport.api.concurrency_limit import ConcurrencyLimit, OverloadedError
from oatport.api.job_status_cache import WITHIN, JobStatusCache, Known
from oatport.api.server import Answer, BodyReader, later
from oatport.api.submission_batcher import CREATED, TRIES, UNSURE, Share, SubmissionBatcher
from oatport.clients.http import NoResponseError, RequestRefusedError
from oatport.clients.state import Applied, StateClient
from oatport.control.limits.rate_limiter import AdaptiveRateLimiter
from oatport.control.queueing.dependency_tracker import list_job_ids
from oatport.control.state.capacity import feasible_machine_types
from oatport.control.state.job import JobKind
from oatport.control.storage.job_records import encode_submission
from oatport.control.storage.keys import cancel_key, job_key
from oatport.control.storage.overflow_records import split_overflow
from oatport.settings import Settings
from oatport.times import time_of_day

log = logging.getLogger(__name__)

BUSY_LIMIT = 250
IDLE, IDLE_LATER_S = "idle", 3
NEEDS_SHOWN = 20
SLOTS = 24  # calls of users' requests on the state service at a time


class ControllerNode(Protocol):
    """What the users' interface needs of its node."""

    types: dict[str, wire.MachineType]
    job_progress: dict[str, tuple[int, int]]

    def ready(self) -> bool: ...
    def notify_accepted(self, ref: str, record: dict[str, Any], revision: int) -> None: ...
    def notify_cancelled(self, ref: str, revision: int = 0) -> None: ...


class JobApi:
    def __init__(self, settings: Settings, state: StateClient, backstage: ControllerNode) -> None:
        self._state = state
        self._backstage = backstage
        self._teams = {team.name: team for team in settings.cluster.teams}
        self._zones = set(settings.cluster.zones)
        limits = settings.cluster.state
        self._slots = ConcurrencyLimit(SLOTS)
        self._view = JobStatusCache(state, self._slots, limits.least_rps)
        limiter = AdaptiveRateLimiter(limits.write_rps, settings.cluster.size, limits.least_write_rps)
        self._intake = SubmissionBatcher(state, limits.least_txn_ops, limiter)
        self._value_bytes = limits.least_value_bytes
        self._idle_share = Share(limits.write_rps)
        self._busy = 0

    async def handle(self, method: str, path: str, body: BodyReader) -> Answer:
        if path == wire.READY_PATH:
            if method not in ("GET", "HEAD"):
                return Answer(405, None, {"Allow": "GET"})
            return Answer(200, {"ready": True}) if self._backstage.ready() else later()
        parts = path.strip("/").split("/")
        if "/" + parts[0] != wire.SUBMISSIONS_PATH or len(parts) > 3 or (len(parts) == 3 and parts[2] != "cancel"):
            return Answer(404, {"error": "no such path"})
        allowed = "GET" if len(parts) == 2 else "POST"
        if method != allowed:
            return Answer(405, {"error": "wrong method"}, {"Allow": allowed})
        # What can be told without the state service is told under full load too.
        job = wire.decode_submission(await body.read()) if len(parts) == 1 else None
        if job is None and not wire.is_job_id(parts[1]):
            return Answer(404, {"error": "no such job"})
        if self._busy >= BUSY_LIMIT:
            return later(2)
        self._busy += 1
        try:
            if job is not None:
                return self._gate(await self.submit(job))
            if len(parts) == 2:
                return self._gate(await self.show(parts[1]))
            return self._gate(await self.cancel(parts[1]))
        finally:
            self._busy -= 1

    def _gate(self, answer: Answer) -> Answer:
        """All that users are told of a job goes through here. That it is cancelled is noted before it leaves, whichever
        way this node knows: committed, read back, learnt by a poll, kept from before, or following from a needed job.

        A leader that can't read the records counts on it: what another node had learnt, and told in the middle of an
        outage, was in no list, and the tasks ran on.
        """
        if isinstance(answer.value, dict) and answer.value.get("status") == wire.JobStatus.CANCELLED:
            self._backstage.notify_cancelled(str(answer.value["ref"]))
        return answer

    # --- submit -----------------------------------------------------------------------------

    async def submit(self, job: wire.Submission) -> Answer:
        if not self._backstage.types:
            return later()  # the machine types are not known yet: it can't be judged
        problem = self.never_runs(job)
        if problem:
            # A known job is never refused, whatever the types have become meanwhile (rule `forgotten`).
            known = await self._read(job.job_id)
            if known is None:
                return later()
            return Answer(200, known) if known else Answer(422, {"error": problem})
        if job.dependencies and not self._view.known(job.job_id):
            refused = await self._check_needs(job)
            if refused is not None:
                return refused
        return await self._accept(job)

    async def _check_needs(self, job: wire.Submission) -> Answer | None:
        """The answer to a submission that names jobs it can't wait for; None if it can wait for all of them."""
        assert job.dependencies is not None
        try:
            never, service = await self._view.named(job.dependencies)
        except (NoResponseError, RequestRefusedError, OverloadedError):
            return later()
        if never is None and service is None:
            return None
        # A known job is never refused.
        known = await self._read(job.job_id)
        if known is None:
            return later()
        if known:
            return Answer(200, known)
        return Answer(
            422,
            {
                "error": f"{wire.DEPENDENCIES_FIELD}: {never} was never accepted"
                if never is not None
                else f"{wire.DEPENDENCIES_FIELD}: {service} is a service, which is never done"
            },
        )

    def never_runs(self, job: wire.Submission) -> str | None:
        team = self._teams.get(job.team)
        if team is None:
            return "unknown team"
        if job.zone is not None and self._zones and job.zone not in self._zones:
            return "unknown zone"
        if not feasible_machine_types(job, self._backstage.types):
            return "a task fits no allowed machine type"
        at_once = 1 if JobKind(job.kind) is JobKind.ARRAY else job.task_count
        for need, most in ((job.cpus * at_once, team.cpus_max), (job.gpus * at_once, team.gpus_max)):
            if most > 0 and need > most + 1e-9:
                return "the job needs more than its team's limit"
        return None

    async def _accept(self, job: wire.Submission) -> Answer:
        """Commit the job, or say at once when to come back."""
        if self._intake.full():
            known = await self._read(job.job_id) if self._view.known(job.job_id) else None
            return Answer(200, known) if known else later(self._intake.comes_back())
        # What names others is part of a pipeline that somebody waits for, whatever its own priority.
        idle = job.priority == IDLE and not job.dependencies and not self._view.known(job.job_id)
        if idle and not (self._intake.spare() and self._idle_share.take()):
            return later(IDLE_LATER_S)  # the others' submissions and the leader's claims go first
        record, parts = split_overflow(encode_submission(job, time_of_day(), wire.JobStatus.QUEUED), self._value_bytes)
        if parts and not await self._intake.ahead(job.job_id, parts):
            return later()
        mark = self._view.mark()
        outcome, revision = await self._intake.add(job.job_id, record, idle)
        if outcome == CREATED:
            self._view.created(job.job_id, record, revision, mark)
            self._backstage.notify_accepted(job.job_id, record, revision)
            if job.dependencies:
                log.info("job %s waits for %s", job.job_id, list_job_ids(job.dependencies))
            return Answer(201, {"ref": job.job_id, "status": wire.JobStatus.QUEUED})
        known = None if outcome == UNSURE else await self._read(job.job_id)
        return Answer(200, known) if known else later(self._intake.comes_back() if self._intake.short() else 1)

    # --- show -------------------------------------------------------------------------------

    async def _read(self, ref: str) -> dict[str, Any] | None:
        """The answer for a job as its record has it; {} if there is none, None if that can't be told."""
        try:
            found = await self._view.find(ref)
        except (NoResponseError, RequestRefusedError, OverloadedError):
            return None
        return self._shape(ref, found) if found else {}

    def _shape(self, ref: str, known: Known) -> dict[str, Any]:
        state, total = known.state, known.tasks
        if state in wire.PUBLIC_TERMINAL_STATUSES:
            return {
                "ref": ref,
                "status": state,
                "done": total if state == wire.JobStatus.COMPLETED else 0,
                "running": 0,
            }
        done, running = self._backstage.job_progress.get(ref, (0, 0))
        value: dict[str, Any] = {
            "ref": ref,
            "status": wire.JobStatus.RUNNING if running else wire.JobStatus.QUEUED,
            "done": min(done, total),
            "running": running,
        }
        if known.needs and not (done or running):
            value[wire.DEPENDENCIES_FIELD] = list(known.needs[:NEEDS_SHOWN])  # those that it still waits for
        return value

    async def show(self, ref: str) -> Answer:
        value = await self._read(ref)
        if value is None:
            return later()
        return Answer(200, value) if value else Answer(404, {"error": "no such job"})

    # --- cancel -----------------------------------------------------------------------------

    async def cancel(self, ref: str) -> Answer:
        # The second round settles an unsure commit by reading it back, or one that lost a race to another change.
        for timeout_us in TRIES:
            known = self._view.known(ref)
            if known and known[0] in wire.PUBLIC_TERMINAL_STATUSES:
                return Answer(200, {"ref": ref, "status": known[0]})
            mark = self._view.mark()
            try:
                async with self._slots.one():
                    found = await self._state.get(job_key(ref), timeout_us=WITHIN)
                    if found is None:
                        return Answer(404, {"error": "no such job"})
                    record, version = found
                    if self._view.learn(ref, record, version, mark)[0] in wire.PUBLIC_TERMINAL_STATUSES:
                        continue
                    # The mark tells a later leader of it among the live work.
                    cancelled = {**record, "state": wire.JobStatus.CANCELLED}
                    result = await self._state.commit(
                        {job_key(ref): version, cancel_key(ref): 0},
                        {job_key(ref): cancelled, cancel_key(ref): {"at": time_of_day()}},
                        timeout_us=timeout_us,
                    )
            except NoResponseError:
                continue
            except (RequestRefusedError, OverloadedError):
                return later()
            if isinstance(result, Applied):
                self._view.learn(ref, cancelled, result.revision, mark)
                self._backstage.notify_cancelled(ref, result.revision)
                return Answer(200, {"ref": ref, "status": wire.JobStatus.CANCELLED})
        known = self._view.known(ref)
        return (
            Answer(200, {"ref": ref, "status": known[0]})
            if known and known[0] in wire.PUBLIC_TERMINAL_STATUSES
            else later()
        )
