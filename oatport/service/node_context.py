"""What the parts of a node may ask of it, so that none of them has to know the others."""

from __future__ import annotations

from typing import Protocol

from oatport.clients.peer import PeerClient
from oatport.clients.state import StateClient
from oatport.service.background_tasks import BackgroundTasks
from oatport.service.leader import Leader
from oatport.service.leader_context import LeadingNode
from oatport.settings import Settings, Tuning


class NodeContext(LeadingNode, Protocol):
    """A node, as its parts see it."""

    settings: Settings
    tuning: Tuning
    state: StateClient
    background: BackgroundTasks

    @property
    def leader(self) -> Leader | None:
        """What acts as the leader on this node; None while it does not lead."""

    @property
    def last_other_leader(self) -> str:
        """The last leader known beside this node; "" if there was none."""

    def leading_peer(self) -> PeerClient | None:
        """The peer that leads, as far as this node knows."""

    def state_service_answers(self) -> bool:
        """The state service answers this node."""
