"""Failure detection: distinguishes failed machines, partitioned zones and an isolated leader."""

from __future__ import annotations

from oatport.control.state.machine import Machine

MIN_PARTITION_MACHINES = 3  # silent machines required to consider a zone partitioned


def silent_machines(machines: list[Machine], now: int, silent_us: int) -> list[Machine]:
    """Returns the machines that were up and from which nothing was received for longer than `silent_us`."""
    return [
        m
        for m in machines
        if not m.releasing
        and (m.ready_at or m.was_ready)
        and now - max(m.last_heartbeat_at, m.first_known_at) > silent_us
    ]


def all_silent_machines(
    machines: list[Machine], now: int, heartbeat_interval_us: int, leading_since: int
) -> list[Machine]:
    """Returns all machines if none of them sent a heartbeat for 1.5 heartbeat intervals; otherwise an empty list.

    With several machines, this detects a leader that is cut off from its workers sooner than the timeout of a single
    machine would. A new leader contacts all machines at once, so the time counts from `leading_since` at the earliest.
    """
    up = [m for m in machines if (m.ready_at or m.was_ready) and not m.releasing]
    if len(up) < MIN_PARTITION_MACHINES or any(
        now - max(m.last_heartbeat_at, leading_since) <= heartbeat_interval_us * 3 // 2 for m in up
    ):
        return []
    return up


def partition_suspects(machines: list[Machine], now: int, silent_us: int) -> list[Machine]:
    """Returns the machines of zones that are silent as a whole, if most machines of all other zones send heartbeats.

    Half the silence timeout is enough for this: machines fail one by one, but a partition affects a whole zone at once.
    The other nodes must confirm that it is not this node that is cut off.
    """
    zones: dict[str, list[Machine]] = {}
    for machine in machines:
        if not machine.releasing and (machine.ready_at or machine.was_ready):
            zones.setdefault(machine.zone, []).append(machine)
    silent_by_zone = {
        zone: silent_machines(zone_machines, now, silent_us // 2) for zone, zone_machines in zones.items()
    }
    silent_zones = [
        zone
        for zone, zone_machines in zones.items()
        if len(silent_by_zone[zone]) == len(zone_machines) >= MIN_PARTITION_MACHINES
    ]
    others = [zone for zone in zones if zone not in silent_zones]
    if not others or any(len(silent_by_zone[zone]) * 2 > len(zones[zone]) for zone in others):
        return []
    return [machine for zone in silent_zones for machine in silent_by_zone[zone]]


def is_isolated(silent_count: int, machines: list[Machine]) -> bool:
    """Returns whether so many machines are silent at once that this node itself is probably cut off."""
    up = sum(1 for m in machines if m.ready_at or m.was_ready)
    return silent_count >= 3 and silent_count * 3 >= up
