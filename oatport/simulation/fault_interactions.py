"""Fault plans in which two faults interact, at times drawn around leases, `cancel_s`, takeovers and handovers.

Each function adds the faults of one interaction that docs/fault-interactions.md lists.
"""

from __future__ import annotations

from collections.abc import Callable

from oatport.simulation.fault_plan import LEADER, Plan
from oatport.simulation.plan_builder import CANCEL_S, LEASE_S, PlanBuilder


def slow_state_service(builder: PlanBuilder) -> None:
    """Slows the state service, refuses one node and then stops the service, while users cancel and poll."""
    rng = builder.rng
    at_s, span_s = builder.random_time_s(80), rng.uniform(1, 6)
    builder.add("state_slow", at_s - 3, span_s + 6, amount=rng.uniform(0.3, 0.95))
    builder.add("node_refused", at_s, span_s + rng.uniform(-0.5, 6), node=rng.choice([LEADER, *builder.node_names]))
    builder.cancel_jobs(at_s - 1, span_s + 1)
    short_outage_s, long_outage_s = rng.uniform(2, 20), CANCEL_S + rng.uniform(-3, 8)
    builder.add("state_down", at_s + span_s, rng.choice([short_outage_s, long_outage_s]))
    builder.cancel_jobs(at_s + span_s + 1, 5.0, 1)


def staggered_completions(builder: PlanBuilder) -> None:
    """Changes the leader while jobs of few tasks complete at different times, and their completions may be lost."""
    rng = builder.rng
    for at_s in builder.wave_times_s():
        builder.add("rush", at_s - 6, 6.0, name="local", amount=rng.uniform(6, 15))
        failover_kind = rng.randrange(4)
        if failover_kind == 0:
            builder.crash_leader(at_s)
        elif failover_kind == 1:
            builder.add("node_refused", at_s - 2, rng.uniform(2, 6))
        elif failover_kind == 2:
            builder.add("node_freeze", at_s, rng.uniform(2.5, 6))
        else:
            builder.add("node_cut", at_s, rng.uniform(1, 5), what="state", mode="lost", way="to")
            builder.crash_leader(at_s + rng.uniform(0.3, 3))
        builder.add("late_writes", at_s - 1, 3.0, amount=rng.choice([0.0, 0.4]))


def repeated_handovers(builder: PlanBuilder) -> None:
    """Hands leadership over and back, then crashes all nodes, which restart at different times."""
    rng = builder.rng
    at_s = builder.random_time_s(70)
    for _ in range(rng.randint(2, 4)):
        builder.add("node_refused", at_s, rng.uniform(2.2, 5))
        at_s += rng.uniform(2.5, 8)
    builder.add("links_lossy", at_s - 6, 6, source="node", target="node", amount=rng.uniform(0, 0.6))
    for name in builder.node_names:
        builder.add("node_crash", at_s, rng.choice([rng.uniform(0.05, 1), rng.uniform(1, 9)]), node=name)
    if rng.random() < 0.5:
        builder.add("late_writes", at_s - 4, 8, amount=rng.uniform(0.2, 0.7))
    builder.crash_leader(at_s + rng.uniform(0.5, 5))


def stale_heartbeats(builder: PlanBuilder) -> None:
    """Delivers stale copies of heartbeats: of an earlier worker epoch, attempt or leader's term."""
    rng = builder.rng
    at_s = builder.random_time_s(60)
    builder.add("report_copies", at_s - 5, 45, amount=rng.choice([4.0, LEASE_S + 2, 2 * LEASE_S, 50.0]))
    for fault in rng.sample(("restart", "deaf", "hang", "reclaim", "leader crash", "cut"), 3):
        begin_s = at_s + rng.uniform(0, 20)
        if fault == "restart":
            builder.add("machine_blink", begin_s, count=builder.tenth_of_machines * 2, amount=rng.choice([0.0, 1.0]))
        elif fault == "deaf":
            builder.add("machine_deaf", begin_s, LEASE_S + rng.uniform(-3, 6), count=builder.tenth_of_machines * 2)
        elif fault == "hang":
            builder.add("machine_hang", begin_s, LEASE_S + rng.uniform(-6, 6), count=builder.tenth_of_machines * 2)
        elif fault == "reclaim":
            builder.add("machines_taken", begin_s, count=builder.tenth_of_machines, amount=rng.choice([0.0, 4.0]))
        elif fault == "leader crash":
            builder.crash_leader(begin_s)
        else:
            builder.add("machine_cut", begin_s, LEASE_S + rng.uniform(-3, 4), count=builder.tenth_of_machines * 2)


def isolated_leader(builder: PlanBuilder) -> None:
    """Cuts the leader off from state service and peers, not from workers and users; users cancel at other nodes."""
    rng = builder.rng
    at_s = builder.random_time_s(70)
    duration_s = rng.choice([rng.uniform(4, 20), CANCEL_S - LEASE_S + rng.uniform(-4, 6), 50.0])
    builder.add("node_alone", at_s, duration_s, mode=rng.choice(["hold", "lost"]))
    builder.cancel_jobs(at_s + rng.uniform(0, 5), rng.uniform(1, 8))
    builder.cancel_jobs(at_s + duration_s * 0.8, duration_s * 0.3, 2)
    if rng.random() < 0.4:
        builder.add("state_down", at_s + rng.uniform(2, 10), rng.uniform(5, 45))


def delayed_commands(builder: PlanBuilder) -> None:
    """Delays commands or their responses for seconds while tasks are cancelled, stopped and moved."""
    rng = builder.rng
    for at_s in builder.wave_times_s():
        name = rng.choice(["batch", "local", "train"])
        builder.add("rush", at_s - 1.5, 2.5, name=name, amount=rng.uniform(6, 20))
        delay_kind = rng.randrange(3)
        if delay_kind == 0:
            builder.add(
                "links_slow",
                at_s,
                rng.uniform(1, 3),
                source="node",
                target="worker",
                amount=rng.uniform(2, 9),
            )
        elif delay_kind == 1:
            builder.add(
                "links_cut",
                at_s,
                rng.uniform(2, LEASE_S - 1),
                source=rng.choice(["node", "worker"]),
                target=rng.choice(["worker", "node"]),
                mode="hold",
            )
        else:
            builder.add("machine_hang", at_s, rng.uniform(2, LEASE_S), count=builder.tenth_of_machines * 3)
        builder.cancel_jobs(at_s + rng.uniform(0, 2), 1.0)
        builder.add(
            "machines_taken",
            at_s + rng.uniform(1, 4),
            count=builder.tenth_of_machines,
            amount=rng.choice([0.0, 5.0]),
        )
    if rng.random() < 0.5:
        builder.add("state_down", rng.uniform(20, 60), rng.uniform(3, 40))


def unreachable_machines(builder: PlanBuilder) -> None:
    """Crashes the leader while machines are unreachable or do not receive the responses of the new leader."""
    rng = builder.rng
    at_s = builder.random_time_s(70)
    kind = rng.choice(["machine_deaf", "machine_cut", "machine_hang"])
    builder.add(kind, at_s - rng.uniform(0, 4), LEASE_S * rng.uniform(0.5, 2.5), count=builder.tenth_of_machines * 3)
    if rng.random() < 0.4:
        builder.add("machine_deaf", at_s, LEASE_S * rng.uniform(0.5, 2), zone=rng.choice(builder.zones))
    builder.crash_leader(at_s)
    if rng.random() < 0.5:
        builder.crash_leader(at_s + rng.uniform(2, 8))
    builder.cancel_jobs(at_s + rng.uniform(-2, 6), 4.0)


def delayed_transactions(builder: PlanBuilder) -> None:
    """Delays transactions whose responses are lost, so that they are applied after newer ones of the same node."""
    rng = builder.rng
    at_s = builder.random_time_s(60)
    builder.add("late_writes", at_s, rng.uniform(5, 25), amount=rng.uniform(0.1, 0.8))
    builder.cancel_jobs(at_s + 1, 6.0)
    builder.add("cancel_at_end", at_s, 20.0)
    builder.add("rush", at_s, 6.0, name="local", amount=5.0)
    failover_kind = rng.randrange(4)
    if failover_kind == 0:
        builder.crash_random_node(at_s + rng.uniform(2, 12))
    elif failover_kind == 1:
        builder.add("node_refused", at_s + rng.uniform(2, 12), rng.uniform(2.2, 8))
    elif failover_kind == 2:
        builder.add("node_freeze", at_s + rng.uniform(2, 12), rng.uniform(2, 9))
    else:
        builder.add("state_down", at_s + rng.uniform(2, 12), rng.uniform(2, 20))


def reads_after_status_changes(builder: PlanBuilder) -> None:
    """Makes users poll all nodes right after each status change, during slow responses and changes of the leader."""
    rng = builder.rng
    at_s = builder.random_time_s(60)
    builder.add("close_looks", 6.0, builder.for_s - 30)
    builder.add("odd_requests", 8.0, builder.for_s - 40)
    builder.cancel_jobs(at_s, 10.0)
    builder.add("cancel_at_end", max(6.0, at_s - 15), 40.0)
    for kind, amount in rng.sample(
        [
            ("state_slow", 0.5),
            ("lost_answers", 0.4),
            ("late_writes", 0.4),
            ("node_refused", 0.0),
            ("node_crash", 0.0),
            ("peers_refuse", 0.0),
        ],
        3,
    ):
        begin_s = at_s + rng.uniform(-6, 6)
        if kind == "node_crash":
            builder.add(kind, begin_s, builder.restart_after_s(), node=builder.random_node())
        elif kind == "node_refused":
            builder.add(kind, begin_s, rng.uniform(0.5, 8), node=builder.random_node())
        elif kind == "peers_refuse":
            builder.add(kind, begin_s, rng.uniform(2, 12))
        else:
            builder.add(kind, begin_s, rng.uniform(3, 12), amount=amount)


def lost_commit_answers(builder: PlanBuilder) -> None:
    """Applies transactions at once but loses their responses, while other nodes read the written values."""
    rng = builder.rng
    at_s = builder.random_time_s(50)
    builder.add("lost_answers", at_s, rng.uniform(4, 20), amount=rng.choice([0.3, 0.7, 1.0]))
    builder.add("close_looks", max(6.0, at_s - 8), 40.0)
    builder.add("rush", max(1.0, at_s - 2), 8.0, name=rng.choice(["local", "batch"]), amount=rng.uniform(4, 12))
    builder.cancel_jobs(at_s + 0.5, 8.0)
    builder.add("cancel_at_end", at_s, 20.0)
    if rng.random() < 0.6:
        builder.crash_random_node(at_s + rng.uniform(0.5, 12))


def cancellations_in_failover(builder: PlanBuilder) -> None:
    """Cancels jobs in the seconds in which the leader crashes and another node takes over."""
    rng = builder.rng
    for at_s in builder.wave_times_s():
        builder.add(
            "rush",
            max(1.0, at_s - 4),
            4.0,
            name=rng.choice(["local", "batch", "train"]),
            amount=rng.uniform(5, 15),
        )
        downtime_s = builder.restart_after_s()
        builder.add("node_crash", at_s, downtime_s)
        builder.cancel_jobs(at_s - rng.uniform(0.2, 1.0), 1.0 + rng.uniform(1, 5), 6)
        if rng.random() < 0.4:
            builder.add(
                "links_slow",
                at_s - 1,
                4.0,
                source="node",
                target=rng.choice(["worker", "state", "node"]),
                amount=rng.uniform(0.1, 0.5),
            )


def single_task_job_burst(builder: PlanBuilder) -> None:
    """Submits four single-task jobs a second for a minute, a quarter of which are cancelled."""
    rng = builder.rng
    at_s = rng.uniform(8, 20)
    builder.add("singles", at_s, 60.0, amount=4.0)
    builder.crash_random_node(at_s + rng.uniform(10, 50))
    if rng.random() < 0.5:
        builder.add("late_writes", at_s + rng.uniform(5, 50), 5.0, amount=0.3)


def zone_bound_jobs(builder: PlanBuilder) -> None:
    """Makes machines that run jobs bound to one zone, array jobs included, fail or become unreachable."""
    rng = builder.rng
    at_s = builder.random_time_s(60)
    for name in ("local", "train"):
        builder.add("rush", max(1.0, at_s - 10), 25.0, name=name, amount=rng.uniform(4, 10))
    for _ in range(rng.randint(2, 4)):
        kind = rng.choice(["machine_die", "machines_taken", "machine_hang", "machine_cut", "machine_mute"])
        begin_s = at_s + rng.uniform(-3, 15)
        builder.add(kind, begin_s, LEASE_S * rng.uniform(0.4, 1.5), count=builder.tenth_of_machines * 3)
    if rng.random() < 0.6:
        builder.crash_random_node(at_s + rng.uniform(0, 12))


def zone_partition(builder: PlanBuilder) -> None:
    """Partitions a zone with workers and a controller for longer than a lease, while jobs are cancelled."""
    rng = builder.rng
    at_s, duration_s = rng.uniform(12, 30), LEASE_S * rng.uniform(1.1, 4.2)
    builder.add("zone_cut", at_s, duration_s, zone=rng.choice(builder.zones), mode=rng.choice(["hold", "lost"]))
    builder.cancel_jobs(at_s + rng.uniform(-1, 4), 6.0)
    builder.cancel_jobs(at_s + duration_s * 0.7, duration_s * 0.5, 2)
    if rng.random() < 0.5:
        builder.crash_random_node(at_s + rng.uniform(0, duration_s))


def requests_at_last_completion(builder: PlanBuilder) -> None:
    """Sends cancellations, polls and repeated submissions as the last task of a job ends, without other faults."""
    builder.add("cancel_at_end", 6.0, builder.for_s - 20, amount=builder.rng.choice([0.2, 0.6]))
    builder.add("close_looks", 6.0, builder.for_s - 20)
    builder.add("odd_requests", 6.0, builder.for_s - 20)


def frequent_failovers(builder: PlanBuilder) -> None:
    """Changes the leader ten times in two minutes, possibly during an outage of the state service."""
    rng = builder.rng
    at_s = rng.uniform(10, 14)
    for _ in range(10):
        if rng.random() < 0.6:
            builder.crash_leader(at_s)
        else:
            builder.add("node_refused", at_s, rng.uniform(2.2, 6))
        at_s += rng.uniform(3.5, 7.5)
    if rng.random() < 0.6:
        builder.add("state_down", rng.uniform(15, 50), rng.uniform(5, LEASE_S + 8))
    builder.cancel_jobs(rng.uniform(15, 60), 10.0)
    if rng.random() < 0.5:
        builder.add("copies_for_next", 10.0, 60.0, amount=0.3)


def overload_on_slow_links(builder: PlanBuilder) -> None:
    """Submits more jobs than the machines can run, of all priorities, over slow links."""
    rng = builder.rng
    at_s = builder.random_time_s(60)
    for name in ("batch", "guest", "train", "serve"):
        builder.add("rush", max(1.0, at_s - 8), 25.0, name=name, amount=rng.uniform(3, 8))
    builder.add("no_capacity", at_s - 6, 40.0)
    for target in rng.sample(["worker", "state", "node"], 2):
        builder.add(
            "links_slow",
            at_s,
            rng.uniform(8, 25),
            source="node",
            target=target,
            amount=rng.uniform(0.05, 0.5),
        )
    if rng.random() < 0.5:
        builder.crash_random_node(at_s + rng.uniform(0, 15))


FAULT_INTERACTIONS: tuple[Callable[[PlanBuilder], None], ...] = (
    slow_state_service,
    staggered_completions,
    repeated_handovers,
    stale_heartbeats,
    isolated_leader,
    delayed_commands,
    unreachable_machines,
    delayed_transactions,
    reads_after_status_changes,
    lost_commit_answers,
    cancellations_in_failover,
    single_task_job_burst,
    zone_bound_jobs,
    zone_partition,
    requests_at_last_completion,
    frequent_failovers,
    overload_on_slow_links,
)


def fault_interaction_plan(
    seed: int, nodes: int = 3, machines: int = 40, zones: tuple[str, ...] = ("a", "b"), for_s: float = 120.0
) -> Plan:
    """Returns a plan with one interaction; consecutive seeds go through FAULT_INTERACTIONS in order.

    A quarter of the plans has a second interaction, another quarter a crash of a random node.
    """
    builder = PlanBuilder(seed, nodes, machines, zones, for_s)
    rng = builder.rng
    FAULT_INTERACTIONS[seed % len(FAULT_INTERACTIONS)](builder)
    second_fault_draw = rng.random()
    if second_fault_draw < 0.25:
        rng.choice(FAULT_INTERACTIONS)(builder)
    elif second_fault_draw < 0.5:
        builder.crash_random_node(builder.random_time_s())
    jobs_a_minute = machines * rng.choice([0.5, 1])
    builder.add_late_copies()
    return builder.build(jobs_a_minute)
