"""The status of peers: when they last answered, and whether the state service answers them."""

from __future__ import annotations

from dataclasses import dataclass, field

from oatport.settings import Settings
from oatport.times import SECOND, steady

STATUS_VALIDITY = 3 * SECOND


@dataclass(frozen=True, slots=True)
class StateServiceStatus:
    """Holds whether the state service answers a peer, as the peer reported at `as_of` (steady)."""

    answers: bool
    as_of: int


@dataclass(slots=True)
class PeerStatus:
    """Holds the peers' status from pings in both directions; `state_service_answers` lacks unreachable peers."""

    settings: Settings
    state_service_answers: dict[str, StateServiceStatus] = field(default_factory=dict)
    last_contact_at: dict[str, int] = field(default_factory=dict)  # when each peer last answered (steady)
    successor_answered_at: int = field(default_factory=steady)  # when the successor of this node last answered (steady)

    def update(self, node_name: str, answers: bool) -> None:
        """Records a peer's report of whether the state service answers it."""
        self.state_service_answers[node_name] = StateServiceStatus(answers, steady())

    def record_contact(self, node_name: str) -> None:
        """Records that a peer answered."""
        self.last_contact_at[node_name] = steady()

    def mark_unreachable(self, node_name: str) -> None:
        """Removes the status of a peer that does not answer."""
        self.state_service_answers.pop(node_name, None)

    def any_reaches_state_service(self, now: int) -> bool:
        """Returns whether the state service answers any peer, by reports no older than `STATUS_VALIDITY`."""
        return any(
            status.answers and now - status.as_of < STATUS_VALIDITY for status in self.state_service_answers.values()
        )

    def contact_times_by_zone(self) -> dict[str, list[int]]:
        """Returns the times of the peers' last answers (steady), by zone."""
        times: dict[str, list[int]] = {}
        for peer in self.settings.peers:
            if peer.node_name in self.last_contact_at:
                times.setdefault(peer.zone, []).append(self.last_contact_at[peer.node_name])
        return times
