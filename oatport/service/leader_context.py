"""What the controllers of a leader may ask of it, so that none of them has to know the others."""

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
    """What earlier leaders received and may not have recorded; `complete`: no node knows more."""

    completions: list[Completion]
    complete: bool


class LeadingNode(Protocol):
    """The node that leads."""

    types: dict[str, wire.MachineType]
    peers: dict[str, PeerClient]
    job_progress: dict[str, tuple[int, int]]  # job -> completed and running tasks, as users are shown
    node_name: str
    boot_id: str  # tells its process from earlier ones of the same name

    def step_down(self, reason: str) -> None:
        """Stop leading, and let others take over."""

    async def completions_before(self, token: int) -> EarlierCompletions:
        """What earlier leaders received and may not have recorded."""

    def peer_contact_times(self) -> dict[str, list[int]]:
        """When the other nodes last answered (steady), by zone."""

    def mark_workers_unreachable(self, addresses: list[str]) -> None:
        """These workers are reached by another node, but not by this one."""


class LeaderContext(Protocol):
    """The leader, as its controllers see it.

    `cluster` is the view that all of them share. It is changed between awaits only: on one event loop that takes the
    place of a lock, so after each await a controller has to look again at what it goes by.
    """

    node: LeadingNode
    settings: Settings
    tuning: Tuning
    state: StateClient
    token: int  # the fencing token: the version of the leader key
    cluster: ClusterState
    background: BackgroundTasks  # ends with the leader
    led_since: int  # when it became the leader (steady)
    lease_renewal_limit: LeaseRenewalLimit
    loaded: bool  # the records were read; nothing may be decided before
    stopped: bool  # it leads no more: loops end, and what was awaited counts no more

    def step_down(self, reason: str) -> None:
        """Stop leading."""

    def now(self) -> int:
        """The steady clock. A time in which this process was paused is not counted as lived."""

    def holds_lease(self) -> bool:
        """Nobody else can be leading: asked at the moment of acting."""

    def decisions_paused(self, now: int) -> bool:
        """Nothing new is to be decided: the state service is away, or it may not lead any more."""

    def wake(self) -> None:
        """Start whatever there is to plan, to write and to send."""

    def receive_heartbeat(self, report: wire.Heartbeat, now: int) -> Machine | None:
        """Take in what a machine reports; None if it is unknown and can't be added."""
