"""Which machines are silent, and what that says: a failed machine, a partitioned zone, or an isolated leader."""

from __future__ import annotations

from oatport.control.state.machine import Machine

MIN_PARTITION_MACHINES = 3  # silent machines that make a zone a partitioned one


def silent_machines(machines: list[Machine], now: int, silent_us: int) -> list[Machine]:
    """Machines that were up and from which nothing was received for a while."""
    return [
        m
        for m in machines
        if not m.releasing
        and (m.ready_at or m.was_ready)
        and now - max(m.last_heartbeat_at, m.first_known_at) > silent_us
    ]


def all_silent_machines(machines: list[Machine], now: int, report_us: int, began: int) -> list[Machine]:
    """All machines, if nothing was received from any of several for longer than between two reports of any of them.

    With many machines that takes a moment to see: a leader cut off from workers need not wait as long as for one.
    One that has just begun asks them all at once.
    """
    up = [m for m in machines if (m.ready_at or m.was_ready) and not m.releasing]
    if len(up) < MIN_PARTITION_MACHINES or any(now - max(m.last_heartbeat_at, began) <= report_us * 3 // 2 for m in up):
        return []
    return up


def partition_suspects(machines: list[Machine], now: int, silent_us: int) -> list[Machine]:
    """Machines of zones that went silent as a whole, while most of the others send heartbeats.

    Half the time is enough for them: machines fail one by one, but a cut takes a zone at once. That
    it is not this node that is cut off is for the others to confirm.
    """
    zones: dict[str, list[Machine]] = {}
    for machine in machines:
        if not machine.releasing and (machine.ready_at or machine.was_ready):
            zones.setdefault(machine.zone, []).append(machine)
    quiet = {zone: silent_machines(there, now, silent_us // 2) for zone, there in zones.items()}
    silent_zones = [zone for zone, there in zones.items() if len(quiet[zone]) == len(there) >= MIN_PARTITION_MACHINES]
    others = [zone for zone in zones if zone not in silent_zones]
    if not others or any(len(quiet[zone]) * 2 > len(zones[zone]) for zone in others):
        return []
    return [machine for zone in silent_zones for machine in quiet[zone]]


def is_isolated(silent_count: int, machines: list[Machine]) -> bool:
    """Many are silent at once: rather this node is cut off."""
    up = sum(1 for m in machines if m.ready_at or m.was_ready)
    return silent_count >= 3 and silent_count * 3 >= up
