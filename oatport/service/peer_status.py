"""What a node knows of the others: when they last answered, and whether the state service answers them."""

from __future__ import annotations

from dataclasses import dataclass, field

from oatport.settings import Settings
from oatport.times import SECOND, steady

STATUS_IS_FRESH = 3 * SECOND


@dataclass(frozen=True, slots=True)
class StateServiceStatus:
    """Whether the state service answers a peer, as it said at a moment (steady)."""

    answers: bool
    as_of: int


@dataclass(slots=True)
class PeerStatus:
    """Filled by pings in both directions; a peer that does not answer is taken off `state_service_answers`."""

    settings: Settings
    state_service_answers: dict[str, StateServiceStatus] = field(default_factory=dict)
    contact_at: dict[str, int] = field(default_factory=dict)  # when each peer last answered (steady)
    successor_answered_at: int = field(default_factory=steady)  # when the node after this one last answered

    def update(self, node_name: str, answers: bool) -> None:
        """A peer said whether the state service answers it."""
        self.state_service_answers[node_name] = StateServiceStatus(answers, steady())

    def contacted(self, node_name: str) -> None:
        """A peer answered."""
        self.contact_at[node_name] = steady()

    def lost(self, node_name: str) -> None:
        """A peer does not answer."""
        self.state_service_answers.pop(node_name, None)

    def any_reaches_state_service(self, now: int) -> bool:
        """The state service answers a peer, as that said a moment ago."""
        return any(
            status.answers and now - status.as_of < STATUS_IS_FRESH for status in self.state_service_answers.values()
        )

    def contact_times_by_zone(self) -> dict[str, list[int]]:
        """When the peers last answered (steady), by zone."""
        times: dict[str, list[int]] = {}
        for peer in self.settings.peers:
            if peer.node_name in self.contact_at:
                times.setdefault(peer.zone, []).append(self.contact_at[peer.node_name])
        return times
