"""What the parts of a leader may ask of it: so that none of them has to know the others."""

from __future__ import annotations

from typing import Protocol

from oatport import wire
from oatport.clients.peer import PeerClient
from oatport.clients.state import StateClient
from oatport.control.state.cluster_state import ClusterState
from oatport.control.state.completions import Completion
from oatport.control.state.machine import Machine
from oatport.control.storage.recovery import LeaseRenewalLimit
from oatport.service.background_tasks import BackgroundTasks
from oatport.settings import Settings, Tuning


class LeadingNode(Protocol):
    """The node that leads."""

    types: dict[str, wire.MachineType]
    peers: dict[str, PeerClient]
    job_progress: dict[str, tuple[int, int]]
    node_name: str
    boot_id: str  # tells its process from earlier ones of the same name

    def step_down(self, why: str) -> None: ...

    async def completions_before(self, token: int) -> tuple[list[Completion], bool]:
        """What earlier leaders took in and may not have recorded; and whether that may be all."""

    def peer_contact_times(self) -> dict[str, list[int]]:
        """When the other nodes last answered (steady), by zone."""

    def mark_workers_unreachable(self, addresses: list[str]) -> None: ...


class LeaderContext(Protocol):
    """The leader, as its parts see it."""

    node: LeadingNode
    settings: Settings
    tuning: Tuning
    state: StateClient
    token: int
    cluster: ClusterState
    background: BackgroundTasks
    led_since: int  # when it took the lead (steady)
    lease_renewal_limit: LeaseRenewalLimit
    stopped: bool

    def step_down(self, why: str) -> None: ...

    def now(self) -> int:
        """The steady clock. A time in which this process stood still is not counted as lived."""

    def holds_lease(self) -> bool:
        """Nobody else can be leading: asked at the moment of acting."""

    def decisions_paused(self, now: int) -> bool:
        """Nothing new is to be decided: the state service is away, or it may not lead any more."""

    def wake(self) -> None: ...
    def receive_heartbeat(self, report: wire.Heartbeat, now: int) -> Machine | None: ...
