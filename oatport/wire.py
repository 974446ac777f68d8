"""The wire: CBOR bodies, typed messages, and the platform's odd names, which live only here.

Inside, the field's own terms are used (job, task, machine, attempt, lease, token, spot).
"""

from __future__ import annotations

import io
import math
from typing import Any, Literal

import cbor2
import msgspec

from oatport.errors import OatportError

BODY_LIMIT = 64 * 1024
CBOR_TYPE = "application/cbor"

# Paths that oatport serves.
SUBMISSIONS = "/submissions"
READY = "/ready"
REPORT = "/hello"
PEER = "/peer"
# Paths that oatport calls.
COMMANDS = "/commands"
SHOW = "/show"
CATALOG = "/catalog"
HOSTS = "/hosts"
RELEASE = "/hosts/release"
STORE = "/store"
COMMIT = "/commit"
HOLDS = "/holds"
CHANGES = "/changes"


class InvalidMessageError(OatportError, ValueError):
    """A message that can't be read; the sender gets 400."""


def dumps(value: Any) -> bytes:
    return cbor2.dumps(value)


def loads(body: bytes) -> Any:
    """One CBOR value of the kinds that the protocol allows."""
    try:
        stream = io.BytesIO(body)
        value = cbor2.CBORDecoder(stream).decode()
        # Trailing bytes mean that the body is not one value.
        if stream.read(1):
            raise InvalidMessageError("more than one value")
        return value
    except InvalidMessageError:
        raise
    except Exception as error:  # whatever a decoder throws at strange bytes is the sender's doing
        raise InvalidMessageError(f"not CBOR: {type(error).__name__}") from None


NEEDS, TYPES, KIND, SERVICE = "waitsOn", "berthKinds", "rig", "standing"  # as records have them too


class Submission(msgspec.Struct, frozen=True, kw_only=True):
    """POST /submissions: a job as its user describes it."""

    ref: str
    job_class: str = msgspec.field(name="cargo")
    team: str = msgspec.field(name="crew")
    kind: Literal["array", "gang", "standing"] = msgspec.field(name=KIND)
    priority: Literal["production", "high", "normal", "idle"] = msgspec.field(name="urgency")
    tasks: int = msgspec.field(name="legs")
    cpus: float = msgspec.field(name="cores")
    gpus: float = msgspec.field(name="accelerators")
    memory_gb: float = msgspec.field(name="memoryGb")
    image: str = msgspec.field(name="hull")
    image_gb: float = msgspec.field(name="sizeGb")
    types: list[str] | None = msgspec.field(name=TYPES, default=None)
    zone: str | None = msgspec.field(name="harbor", default=None)
    one_zone: bool = msgspec.field(name="samePlace")
    spread: bool
    spot: bool = msgspec.field(name="driftwood")
    estimate_s: float = msgspec.field(name="voyageS")
    checkpoint_s: float = msgspec.field(name="mooringS")
    save_s: float = msgspec.field(name="stowS")
    deadline_s: float | None = msgspec.field(name="tideS", default=None)
    needs: list[str] | None = msgspec.field(name=NEEDS, default=None)  # jobs to be done before any task starts

    @property
    def grace_s(self) -> float:
        """How long a task gets to leave when it is stopped: as long as it takes to save, if it saves at all."""
        return self.save_s + 1.0 if self.checkpoint_s > 0 else 0.0


_REF_LIMIT = 64


def valid_ref(ref: str) -> bool:
    """`j-` and digits: the one form that job ids have (PROTOCOL, POST /submissions)."""
    return ref.startswith("j-") and ref[2:].isascii() and ref[2:].isdigit() and len(ref) <= _REF_LIMIT


def submission(value: Any) -> Submission:
    """A submission from a decoded body, all fields checked."""
    if not isinstance(value, dict):
        raise InvalidMessageError("not a map")
    try:
        job = msgspec.convert(value, Submission, strict=True)
    except msgspec.ValidationError as error:
        raise InvalidMessageError(str(error)) from None
    if not valid_ref(job.ref):
        raise InvalidMessageError("ref: not a job id")
    if not 1 <= job.tasks <= 100_000:
        raise InvalidMessageError("legs: must be 1 to 100000")
    for name, number, low in (
        ("cores", job.cpus, True),
        ("accelerators", job.gpus, False),
        ("memoryGb", job.memory_gb, False),
        ("sizeGb", job.image_gb, False),
        ("voyageS", job.estimate_s, False),
        ("mooringS", job.checkpoint_s, False),
        ("stowS", job.save_s, False),
        ("tideS", job.deadline_s or 0.0, False),
    ):
        if not math.isfinite(number) or number < 0 or number > 1e9 or (low and number == 0):
            raise InvalidMessageError(f"{name}: out of range")
    if not job.image or any(len(text) > 200 for text in (job.image, job.job_class, job.team, job.zone or "")):
        raise InvalidMessageError("a text is empty or too long")
    if job.types is not None and (len(job.types) > 64 or any(len(name) > 64 for name in job.types)):
        raise InvalidMessageError("berthKinds: too long")
    if job.needs is None:
        return job
    for ref in job.needs:
        if not valid_ref(ref):
            raise InvalidMessageError(f"{NEEDS}: not a job id")
        if ref == job.ref:
            raise InvalidMessageError(f"{NEEDS}: a job can't wait for itself")
    return msgspec.structs.replace(job, needs=list(dict.fromkeys(job.needs)) or None)


class TaskReport(msgspec.Struct, frozen=True):
    """One task in a worker's report."""

    task: str = msgspec.field(name="leg")
    attempt: int = msgspec.field(name="sailing")
    status: str
    why: str | None = msgspec.field(name="wreckCause", default=None)
    saved: bool | None = msgspec.field(name="stored", default=None)


class Report(msgspec.Struct, frozen=True):
    """POST /hello, and the body of every answer of /commands and /show."""

    machine: str = msgspec.field(name="berth")
    address: str
    type: str = msgspec.field(name="berthKind")
    zone: str = msgspec.field(name="harbor")
    spot: bool = msgspec.field(name="driftwood")
    session: int = msgspec.field(name="watch")
    seq: int = msgspec.field(name="logline")
    token: int = msgspec.field(name="helm")
    tasks: list[TaskReport] = msgspec.field(name="legs")
    notice_s: float | None = msgspec.field(name="recallS", default=None)


def report(value: Any) -> Report:
    try:
        return msgspec.convert(value, Report, strict=True)
    except msgspec.ValidationError as error:
        raise InvalidMessageError(str(error)) from None


EXITED = "ended"
SAVING = "flushing"
RUNNING = "running"
FETCHING = "pulling"
WAITING = "waiting"

WHY_DONE = "done"
WHY_STOPPED = "halted"
WHY_PEERS = "mates_gone"
WHY_ALONE = "incomplete"
WHY_ERROR = "error"
WHY_NO_ROOM = "full"
WHY_BUSY = "in_use"
WHY_UNKNOWN = "unknown"

Command = dict[str, Any]


def start(task: str, attempt: int) -> Command:
    return {"orderKind": "start", "leg": task, "sailing": attempt}


def stop(task: str, attempt: int, grace_s: float) -> Command:
    return {"orderKind": "stop", "leg": task, "sailing": attempt, "slackS": grace_s}


def forget(task: str, attempt: int) -> Command:
    return {"orderKind": "forget", "leg": task, "sailing": attempt}


def report_answer(token: int, commands: list[Command]) -> dict[str, Any]:
    return {"helm": token, "orders": commands}


def commands_body(token: int, session: int, commands: list[Command]) -> dict[str, Any]:
    return {"helm": token, "watch": session, "orders": commands}


def redirect(leader: str | None) -> dict[str, Any]:
    return {"harbormaster": leader} if leader else {}


QUEUED, RUNNING_JOB, DONE, CANCELLED = "queued", "running", "done", "aborted"
FINAL = frozenset((DONE, CANCELLED))
# In records only: the job ended, since a task of it may not run again. PROTOCOL has no word for that, so users who
# poll are told `queued`, which is true: none of its tasks runs, and it is neither done nor cancelled.
LOST = "lost"
OVER = FINAL | {LOST}


class MachineType(msgspec.Struct, frozen=True):
    """One machine type of GET /catalog."""

    name: str = msgspec.field(name="label")
    cpus: float = msgspec.field(name="cores")
    gpus: float = msgspec.field(name="accelerators")
    memory_gb: float = msgspec.field(name="memoryGb")
    price: float
    spot_price: float = msgspec.field(name="marketPrice")
    boot_s: float = msgspec.field(name="startupS")
    zones: list[str] = msgspec.field(name="harbors")
    cache_gb: float = msgspec.field(name="cacheGb", default=0.0)
    fetch_gb_per_s: float = msgspec.field(name="fetchGbPerS", default=1.0)


def catalog(value: Any) -> dict[str, MachineType]:
    """The machine types by name, from a decoded GET /catalog."""
    try:
        types = msgspec.convert(value["berthKinds"], list[MachineType], strict=False)
    except (msgspec.ValidationError, KeyError, TypeError) as error:
        raise InvalidMessageError(f"catalog: {error}") from None
    return {t.name: t for t in types}


class Listed(msgspec.Struct, frozen=True):
    """One machine of GET /hosts."""

    machine: str = msgspec.field(name="ref")
    address: str
    type: str = msgspec.field(name="berthKind")
    zone: str = msgspec.field(name="harbor")
    spot: bool = msgspec.field(name="driftwood")
    status: str
    age_s: float = msgspec.field(name="ageS", default=0.0)


BOOTING, FAILED = "booting", "failed"


def listed(value: Any) -> tuple[list[Listed], bool]:
    try:
        return msgspec.convert(value["berths"], list[Listed], strict=False), bool(value.get("hasNext"))
    except (msgspec.ValidationError, KeyError, TypeError, AttributeError) as error:
        raise InvalidMessageError(f"machine list: {error}") from None


def rental(request: str, type_name: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    return {"charter": request, "berthKind": type_name, "harbor": zone, "driftwood": spot, "howMany": count}
