"""What a world is made of before anything happens: settings, machine types and the jobs of a day."""

from __future__ import annotations

import random
from typing import Any

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
from oatport.simulation.submitted_job import SubmittedJob

ZONES = ("a", "b")
STATE, CLOUD = "10.2.0.1:2379", "10.2.0.2:8443"
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
TYPES = wire.decode_catalog({"berthKinds": CATALOG})
# class -> its share of the jobs; what one is like is drawn in `_job`
CLASSES = {"serve": 0.12, "batch": 0.5, "train": 0.08, "guest": 0.2, "local": 0.1}
TEAMS = {"serve": "north", "batch": "south", "train": "north", "guest": "east", "local": "east"}
SERVICES_AT_START = 0.15  # for each machine
JOBS_FROM_S = 4.0  # nothing is submitted before


def cluster_settings(plan: Plan) -> ClusterSettings:
    cpus = 8.0 * plan.machines
    write_rps = max(60.0, plan.machines / 5)
    later = NextLimits(write_rps=write_rps * 0.7, value_kb=2.0, txn_ops=4) if plan.limits_fall else NextLimits()
    return ClusterSettings(
        workers=Workers(report_s=1.5, lease_s=12.0, gang_wait_s=30.0, gang_peer_s=4.0, cancel_s=36.0),
        state=StateLimits(
            rps=max(150.0, plan.machines / 2), write_rps=write_rps, value_kb=32.0, txn_ops=16, next=later
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
    """With less than their usual share a limit on GPUs too, of no less than the largest gang needs."""
    share = plan.team_share
    gpus = max(4.0, round(0.2 * plan.machines * share)) if share < 1 else 0.0
    return [
        Team("north", cpus=cpus * 0.3 * share, cpus_max=max(cpus * 0.7 * share, 12.0), gpus_max=gpus),
        Team("south", cpus=cpus * 0.3 * share, cpus_max=cpus * 0.6 * share),
        Team("east", cpus_max=cpus * 0.25 * share),
    ]


def node_addresses(plan: Plan) -> dict[str, tuple[str, str]]:
    """Name of each node -> where it serves users and workers, and where the other nodes."""
    return {f"n{i}": (f"10.0.0.{i + 1}:8080", f"10.0.0.{i + 1}:8081") for i in range(plan.nodes)}


def node_zone(name: str) -> str:
    return ZONES[int(name[1:]) % len(ZONES)]


def node_settings(plan: Plan, name: str, cluster: ClusterSettings) -> Settings:
    places = node_addresses(plan)
    return Settings(
        node_name=name,
        bind=places[name][0],
        internal_addr=places[name][1],
        zone=node_zone(name),
        cluster=cluster,
        services=Services(cloud=CLOUD, state=STATE),
        peers=[Peer(other, inside, node_zone(other)) for other, (_, inside) in places.items() if other != name],
    )


def capacity(plan: Plan) -> dict[tuple[str, str, bool], int]:
    """How many machines the cloud has of each sort."""
    found: dict[tuple[str, str, bool], int] = {}
    for number in range(plan.machines):
        kind = "g16" if number % 10 == 9 else "m8"
        sort = (kind, ZONES[number % 2], number % 4 in (1, 2))
        found[sort] = found.get(sort, 0) + 1
    return found


def jobs(plan: Plan, rng: random.Random, begins: float) -> list[SubmittedJob]:
    """The jobs of a day, in the order in which they come; some are cancelled by their users."""
    asks: list[SubmittedJob] = []
    for name, share in CLASSES.items():
        rate = plan.jobs_a_minute * share / 60
        rushes = [f for f in plan.faults if f.kind == "rush" and f.name == name]
        most = max([1.0, *(f.amount for f in rushes)])
        at = 0.0
        while rate > 0:
            # Drawn at the highest rate and thinned: else a rush shorter than the usual gap would be passed over.
            at += rng.expovariate(rate * most)
            if at >= plan.for_s:
                break
            times = max([f.amount for f in rushes if 0 <= JOBS_FROM_S + at - f.at_s < f.for_s], default=1.0)
            if rng.random() * most < times:
                asks.append(SubmittedJob(_job(rng, name, plan), begins + at))
    for fault in plan.faults:
        if fault.kind == "singles":
            count = round(fault.amount * fault.for_s)
            asks += [
                SubmittedJob(
                    _job(rng, "local", plan) | {"legs": 1, "cores": 1.0, "voyageS": rng.uniform(1, 8)},
                    begins + fault.at_s - JOBS_FROM_S + rng.uniform(0, fault.for_s),
                )
                for _ in range(count)
            ]
    asks += [
        SubmittedJob(_job(rng, "serve", plan), begins + rng.uniform(0, 1))
        for _ in range(round(SERVICES_AT_START * plan.machines))
    ]
    asks.sort(key=lambda ask: ask.submit_at)
    for number, ask in enumerate(asks):
        ask.body["ref"] = f"j-{number + 1:06d}"
        ask.always_fails = ask.body["rig"] != "standing" and rng.random() < 0.04
        single = ask.body["rig"] == "array" and ask.body["legs"] == 1
        if ask.always_fails or rng.random() < (0.25 if single else 0.12):
            ask.cancel_at = ask.submit_at + rng.uniform(2, 50)
    return asks


# Stages of a pipeline: class, team, priority, tasks, run time, and which earlier stages it needs.
STAGES: tuple[tuple[str, str, str, tuple[int, int], tuple[float, float], tuple[int, ...]], ...] = (
    ("gather", "south", "idle", (2, 6), (2, 8), ()),
    ("scan", "south", "idle", (8, 130), (3, 12), (0,)),
    ("scan", "east", "idle", (3, 16), (3, 12), (0,)),
    ("fit", "north", "normal", (2, 3), (3, 10), (1,)),
    ("settle", "north", "high", (1, 4), (2, 5), (0, 2, 3)),
)


def pipelines(plan: Plan, rng: random.Random, begins: float) -> list[SubmittedJob]:
    """Stages that their users submit one after another; some last ones only when the others are over."""
    asks: list[SubmittedJob] = []
    at = plan.pipelines_from_s
    while plan.pipelines_a_minute > 0:
        at += rng.expovariate(plan.pipelines_a_minute / 60)
        if at >= plan.for_s:
            break
        stages: list[SubmittedJob] = []
        earlier = [ask for ask in asks if ask.ends_pipeline and rng.random() < 0.1][:1]  # some need what is long over
        for number, (name, team, urgency, tasks, run, needs) in enumerate(STAGES):
            mean = rng.uniform(*run)
            job = _job(rng, "local", plan) | {
                "ref": f"j-{700_000 + len(asks) + number}",
                "cargo": name,
                "crew": team,
                "urgency": urgency,
                "cores": 0.5,
                "legs": rng.randint(*tasks),
                "voyageS": mean,
                "harbor": None,
                "berthKinds": None,
                "driftwood": True,
                "hull": f"img-{name}",
                "sizeGb": 0.5,
            }
            if name == "fit":
                job |= {"rig": "gang", "samePlace": True, "driftwood": False, "mooringS": 4.0, "stowS": 1.0}
            needed = [stages[i] for i in needs] + (earlier if not needs else [])
            if needed:
                job["waitsOn"] = [ask.job_id for ask in needed]
            ask = SubmittedJob(job, begins + at, dependencies=needed)
            stages.append(ask)
        last = stages[-1]
        last.body["tideS"] = 75.0
        last.ends_pipeline, last.submitted_after_dependencies = True, rng.random() < 0.15
        if rng.random() < 0.2:
            rng.choice(stages).cancel_at = begins + at + rng.uniform(0.5, 45)
        asks += stages
    return asks


def _job(rng: random.Random, name: str, plan: Plan) -> dict[str, Any]:
    job: dict[str, Any] = {
        "ref": "",
        "cargo": name,
        "crew": TEAMS[name],
        "rig": "array",
        "urgency": "normal",
        "legs": 1,
        "cores": 1.0,
        "accelerators": 0.0,
        "memoryGb": 2.0,
        "hull": f"img-{name}-{rng.randrange(3)}",
        "sizeGb": rng.uniform(0.3, 2.5),
        "berthKinds": None,
        "harbor": None,
        "samePlace": False,
        "spread": False,
        "driftwood": True,
        "voyageS": 10.0,
        "mooringS": 0.0,
        "stowS": 0.0,
        "tideS": None,
    }
    if name == "serve":
        job |= {
            "rig": "standing",
            "legs": rng.randint(2, 4),
            "cores": 2.0,
            "urgency": "production",
            "spread": True,
            "driftwood": False,
            "voyageS": 0.0,
        }
    elif name == "batch":
        run = rng.uniform(6, 30)
        job |= {
            "legs": rng.randint(2, max(4, min(40, plan.machines // 3))),
            "cores": rng.choice([2.0, 4.0]),
            "voyageS": run,
            "tideS": run * 3 + 40,
        }
        if rng.random() < 0.3:
            job |= {"mooringS": 4.0, "stowS": 2.0}
    elif name == "train":
        job |= {
            "rig": "gang",
            "legs": rng.randint(1, 2),
            "cores": 6.0,
            "accelerators": 2.0,
            "memoryGb": 16.0,
            "urgency": "high",
            "samePlace": rng.random() < 0.7,
            "voyageS": rng.uniform(15, 40),
            "mooringS": 5.0,
            "stowS": 2.0,
        }
    elif name == "guest":
        job |= {"legs": rng.randint(4, 30), "urgency": "idle", "voyageS": rng.uniform(3, 12)}
        if plan.old_nodes:  # records that the old version writes larger than the next limits allow
            job |= {"legs": rng.randint(60, 140), "cores": 0.25, "voyageS": rng.uniform(20, 60)}
    else:
        job |= {
            "legs": rng.randint(1, 4),
            "cores": 2.0,
            "voyageS": rng.uniform(5, 20),
            "harbor": rng.choice(ZONES),
            "driftwood": rng.random() < 0.5,
            "berthKinds": ["m8"],
        }
    return job
