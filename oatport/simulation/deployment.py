"""Settings of a simulated deployment: nodes, zones, machine types, teams and limits."""

from __future__ import annotations

from oatport import wire
from oatport.settings import (
    CloudLimits,
    ClusterSettings,
    NextLimits,
    Objective,
    Peer,
    Services,
    Settings,
    StateLimits,
    Team,
    Workers,
)
from oatport.simulation.fault_plan import Plan

ZONES = ("a", "b")
STATE_SERVICE_ADDRESS, CLOUD_ADDRESS = "10.2.0.1:2379", "10.2.0.2:8443"
CATALOG = [
    {
        "label": "m8",
        "cores": 8.0,
        "accelerators": 0.0,
        "memoryGb": 32.0,
        "cacheGb": 100.0,
        "fetchGbPerS": 1.0,
        "price": 1.0,
        "marketPrice": 0.4,
        "startupS": 8.0,
        "harbors": list(ZONES),
    },
    {
        "label": "g16",
        "cores": 16.0,
        "accelerators": 4.0,
        "memoryGb": 64.0,
        "cacheGb": 100.0,
        "fetchGbPerS": 1.0,
        "price": 8.0,
        "marketPrice": 3.0,
        "startupS": 12.0,
        "harbors": list(ZONES),
    },
]
MACHINE_TYPES = wire.decode_catalog({"berthKinds": CATALOG})


def cluster_settings(plan: Plan) -> ClusterSettings:
    """Returns the settings that all nodes share; the limits grow with the number of machines."""
    cpus = 8.0 * plan.machines
    write_rps = max(60.0, plan.machines / 5)
    next_limits = (
        NextLimits(write_rps=write_rps * 0.7, value_kb=2.0, txn_ops=4) if plan.lowers_state_limits else NextLimits()
    )
    return ClusterSettings(
        workers=Workers(report_s=1.5, lease_s=12.0, gang_wait_s=30.0, gang_peer_s=4.0, cancel_s=36.0),
        state=StateLimits(
            rps=max(150.0, plan.machines / 2), write_rps=write_rps, value_kb=32.0, txn_ops=16, next=next_limits
        ),
        cloud=CloudLimits(rps=4.0, list_lag_s=3.0),
        size=plan.nodes,
        zones=list(ZONES),
        clock_off_ms=5.0,
        teams=_teams(plan, cpus),
        objectives=[
            Objective(kind="wait", job_class="serve", within_s=8.0),
            Objective(kind="deadline", job_class="batch"),
            Objective(kind="deadline", job_class="settle"),
            Objective(kind="wait", job_class="train", within_s=40.0),
        ],
    )


def _teams(plan: Plan, cpus: float) -> list[Team]:
    """Returns the teams.

    A plan that reduces the teams' share also limits GPUs, to no fewer than the largest gang needs.
    """
    share = plan.team_share
    gpus = max(4.0, round(0.2 * plan.machines * share)) if share < 1 else 0.0
    return [
        Team("north", cpus=cpus * 0.3 * share, cpus_max=max(cpus * 0.7 * share, 12.0), gpus_max=gpus),
        Team("south", cpus=cpus * 0.3 * share, cpus_max=cpus * 0.6 * share),
        Team("east", cpus_max=cpus * 0.25 * share),
    ]


def node_addresses(plan: Plan) -> dict[str, tuple[str, str]]:
    """Returns for each node name the address for users and workers and the address for the other nodes."""
    return {f"n{i}": (f"10.0.0.{i + 1}:8080", f"10.0.0.{i + 1}:8081") for i in range(plan.nodes)}


def node_zone(name: str) -> str:
    """Returns the zone of a node, by the number in its name."""
    return ZONES[int(name[1:]) % len(ZONES)]


def node_settings(plan: Plan, name: str, cluster: ClusterSettings) -> Settings:
    """Returns the settings of one node."""
    addresses = node_addresses(plan)
    return Settings(
        node_name=name,
        bind=addresses[name][0],
        internal_addr=addresses[name][1],
        zone=node_zone(name),
        cluster=cluster,
        services=Services(cloud=CLOUD_ADDRESS, state=STATE_SERVICE_ADDRESS),
        peers=[
            Peer(other, internal_address, node_zone(other))
            for other, (_, internal_address) in addresses.items()
            if other != name
        ],
    )


def capacity(plan: Plan) -> dict[tuple[str, str, bool], int]:
    """Returns the cloud's capacity by type, zone and spot; a tenth are large machines, and half are spot machines."""
    capacities: dict[tuple[str, str, bool], int] = {}
    for number in range(plan.machines):
        type_name = "g16" if number % 10 == 9 else "m8"
        offering = (type_name, ZONES[number % 2], number % 4 in (1, 2))
        capacities[offering] = capacities.get(offering, 0) + 1
    return capacities
