"""Interface of the leader for its controllers, which keeps them independent of each other."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from oatport import wire
from oatport.clients.peer import PeerClient
from oatport.clients.state import StateClient
from oatport.control.leadership.lease_renewal import LeaseRenewalLimit
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.completions import Completion
from oatport.control.state.machine import Machine
from oatport.service.background_tasks import BackgroundTasks
from oatport.settings import Settings, Tuning


@dataclass(frozen=True, slots=True)
class EarlierCompletions:
    """Holds completions that earlier leaders may not have recorded; `complete` means that no node can hold more."""

    completions: list[Completion]
    complete: bool


class LeadingNode(Protocol):
    """Defines what a leader and its controllers use of their node."""

    types: dict[str, wire.MachineType]
    peers: dict[str, PeerClient]
    job_progress: dict[str, tuple[int, int]]  # job id -> counts of completed and running tasks, as shown to users
    node_name: str
    boot_id: str  # distinguishes this process from earlier ones of the same node name

    def step_down(self, reason: str) -> None:
        """Stops leading, so that other nodes can take over."""

    async def completions_before(self, token: int) -> EarlierCompletions:
        """Returns the completions that leaders before this token received and may not have recorded."""

    def peer_contact_times(self) -> dict[str, list[int]]:
        """Returns the times of the peers' last answers (steady), by zone."""

    def mark_workers_unreachable(self, addresses: list[str]) -> None:
        """Records that a peer reaches these workers and this node does not."""


class LeaderContext(Protocol):
    """Defines what the controllers use of their leader.

    All controllers share `cluster`. It is changed only between awaits, so the event loop serves as the lock. After each
    await a controller must therefore re-check the state on which its decision depends.
    """

    node: LeadingNode
    settings: Settings
    tuning: Tuning
    state: StateClient
    token: int  # the fencing token: the revision of the leader key
    cluster: ClusterState
    background: BackgroundTasks  # cancelled when the leader steps down
    led_since: int  # when this leader took the leader key (steady)
    lease_renewal_limit: LeaseRenewalLimit
    loaded: bool  # the records were loaded; no decision may be made before
    stopped: bool  # no longer leading: loops end, and results of pending awaits are ignored

    def step_down(self, reason: str) -> None:
        """Stops leading."""

    def now(self) -> int:
        """Returns the steady time; if this process was paused, the pause is discounted from all timeouts first."""

    def holds_lease(self) -> bool:
        """Returns whether no other node can be leading; must be checked right before each action."""

    def are_decisions_paused(self, now: int) -> bool:
        """Returns whether new decisions must wait: a commit is unanswered, or the leader lease is not held."""

    def wake(self) -> None:
        """Wakes the loops that have pending planning, writes or commands."""

    def receive_heartbeat(self, heartbeat: wire.Heartbeat, now: int) -> Machine | None:
        """Applies a machine's heartbeat; returns None if the machine is unknown and cannot be added."""
