"""Interface of a node for its components, which keeps them independent of each other."""

from __future__ import annotations

from typing import Protocol

from oatport.clients.peer import PeerClient
from oatport.clients.state import StateClient
from oatport.service.background_tasks import BackgroundTasks
from oatport.service.leader import Leader
from oatport.service.leader_context import LeadingNode
from oatport.settings import Settings, Tuning


class NodeContext(LeadingNode, Protocol):
    """Defines what the components of a node use of the node."""

    settings: Settings
    tuning: Tuning
    state: StateClient
    background: BackgroundTasks

    @property
    def leader(self) -> Leader | None:
        """Returns the `Leader` of this node, or None while the node does not lead."""

    @property
    def last_other_leader(self) -> str:
        """Returns the name of the last known leader other than this node, or "" if there was none."""

    def leading_peer(self) -> PeerClient | None:
        """Returns the peer that leads, or None if no leading peer is known."""

    def state_service_answers(self) -> bool:
        """Returns whether the state service answers this node."""
