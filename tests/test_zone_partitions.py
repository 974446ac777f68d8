"""A zone that is cut off: who keeps its work alive, what is given up when, and what a new leader knows of it."""

from __future__ import annotations

from typing import Any

import pytest

from oatport import wire
from oatport.control.leadership.lease_proxy import ISOLATED_AFTER, LeaseProxy
from oatport.control.leadership.zone_partition import (
    MAX_REPLICAS_MOVING,
    RELEASE_UNMOVABLE_AFTER,
    ZoneEvacuation,
    tasks_alive_until,
)
from oatport.control.scaling.cloud_availability import ScaleOutRequest
from oatport.control.state.machine import Machine
from oatport.control.storage.keys import PARTITIONED_ZONES_KEY
from oatport.service.failure_detector import FailureDetector
from oatport.service.leader import Leader
from oatport.service.node import Node
from oatport.settings import Team, Tuning
from oatport.simulation.state_service import KeyStore
from oatport.simulation.worker import Worker
from oatport.times import SECOND, steady
from tests.cluster_fixture import ClusterHarness, FakeStateClient, cluster_settings, node_settings
from tests.test_node_failures import FakeLeadingNode, FakePeer, leader, peer_reply


@pytest.fixture
def state() -> KeyStore:
    return KeyStore(lambda: 0)


SETTINGS = cluster_settings()  # lease 10 s, cancellation 35 s, reports every second


def lease_proxy(contact_at: int = 100 * SECOND, age: int = 0) -> LeaseProxy:
    proxy = LeaseProxy.create(SETTINGS)
    proxy.on_watermark(7, contact_at, age)
    return proxy


def test_an_isolated_node_is_a_lease_proxy_until_a_lease_could_outlast_a_cancellation() -> None:
    proxy, lost = lease_proxy(), 103 * SECOND
    assert proxy.may_answer(7, lost, 100 * SECOND, 102 * SECOND)
    # A job cancelled just after the leader last told must be gone 35 s later, 10 s of which are the lease.
    assert 115 * SECOND < proxy.valid_until() <= 125 * SECOND
    assert not proxy.may_answer(7, proxy.valid_until(), 100 * SECOND, 102 * SECOND)
    assert not proxy.may_answer(7, 100 * SECOND + ISOLATED_AFTER - 1, 99 * SECOND, 100 * SECOND)  # the leader answers
    assert not proxy.may_answer(7, lost, 102 * SECOND, 101 * SECOND)  # the state service answers: others may lead
    assert not proxy.may_answer(8, lost, 100 * SECOND, 102 * SECOND)  # that worker knows a later leader
    assert not proxy.may_answer(6, lost, 100 * SECOND, 102 * SECOND)  # the leader never reached that worker
    assert not LeaseProxy.create(SETTINGS).may_answer(0, lost, 0, lost)  # it was never told anything


def test_an_older_cancellation_watermark_ends_a_lease_proxy_earlier() -> None:
    at_once, late = lease_proxy(), lease_proxy(age=9 * SECOND)
    assert at_once.valid_until() - late.valid_until() >= 9 * SECOND
    late.on_watermark(7, 101 * SECOND, -1)  # nothing is known
    assert late.leader_contact_at == 100 * SECOND
    at_once.on_watermark(6, 200 * SECOND, 0)  # an earlier leader that does not know yet
    assert at_once.valid_until() == lease_proxy().valid_until()


def test_the_cancellation_watermark_waits_until_tasks_are_proven_gone() -> None:
    harness = ClusterHarness()
    worker = harness.machine(1)
    ref = harness.submit(rig="standing", legs=1, driftwood=False)
    harness.settle()
    known_at = harness.now
    assert harness.cluster.job_lifecycle.cancellation_watermark(known_at) == known_at
    harness.cancel(ref, notify_leader=False)
    harness.cluster.job_lifecycle.cancel(ref, 0, known_at - SECOND)
    harness.unreachable_machines.add(worker.name)
    harness.step(3.0)
    assert (
        harness.cluster.job_lifecycle.cancellation_watermark(harness.now) == known_at - SECOND
    )  # its machine is silent
    harness.unreachable_machines.clear()
    harness.settle()
    assert harness.cluster.job_lifecycle.cancellation_watermark(harness.now) == harness.now
    held = harness.cluster.machines[worker.name]
    held.orphaned_attempts[("j-999999/0", 1)] = (0.0, 0.0, 0.0)  # whose task is that? Perhaps of a cancelled job
    assert harness.cluster.job_lifecycle.cancellation_watermark(harness.now) == 0


async def test_a_lease_proxy_renews_leases_and_starts_nothing(state: KeyStore) -> None:
    """Half of all tasks were once killed by their leases while a node stood beside them."""
    node = Node(node_settings(), Tuning())
    node.state = client = FakeStateClient(state)  # type: ignore[assignment]
    lead, _, _ = leader(state)
    lead.lease_renewal_limit.cancellations_read_at = steady()
    peer = FakePeer(["carried out", lead.token, lead.cancellation_watermark_age()])
    await node.lease_proxy.refresh_from_leader(peer)  # type: ignore[arg-type]
    node.lease_proxy.proxy.leader_contact_at -= 3 * SECOND
    worker = Worker(lambda: 0, "vm-000001", "h:1", "m8", "a", False, 8.0, lambda ref: None)
    worker.token = lead.token
    report: Any = worker.report()

    assert (
        node.answer_heartbeat(wire.decode_heartbeat(report)) is None
    )  # it is not out of touch: the state service answers
    client.last_success_at, client.last_failure_at = steady() - 3 * SECOND, steady()
    assert node.answer_heartbeat(wire.decode_heartbeat(report)) == {"helm": lead.token, "orders": []}
    assert (await peer_reply(node, ["carried out"])) == ["no"]  # only the leader knows


async def test_a_restarted_node_learns_the_watermark_from_another_lease_proxy(state: KeyStore) -> None:
    """A zone was lost though its second node never ended: the first one back sent its workers into the cut."""
    old, new = Node(node_settings(), Tuning()), Node(node_settings(), Tuning())
    for node in (old, new):
        node.state = FakeStateClient(state)  # type: ignore[assignment]
        node.state.last_success_at, node.state.last_failure_at = 0, steady()
        node.election.leader_name = "n1"  # outside the cut
    worker = Worker(lambda: 0, "vm-000001", "h:1", "m8", "a", False, 8.0, lambda ref: None)
    worker.token = 7
    report = wire.decode_heartbeat(worker.report())
    assert await peer_reply(old, ["kept"]) == ["no"]  # it was never told anything
    old.lease_proxy.proxy.on_watermark(7, steady() - 3 * SECOND, 0)
    peer = FakePeer(None, "n2")
    for answer in (None, ["no"], ["kept", 7], ["kept", "x", 0, 0, True], ["pong"]):  # cut, an older node, a strange one
        peer.answer = answer
        await new.lease_proxy.refresh_from_proxy(peer)  # type: ignore[arg-type]
        assert new.answer_heartbeat(report) is None
        assert new.leader_name() == "n1"
    peer.answer = await peer_reply(old, ["kept"])
    await new.lease_proxy.refresh_from_proxy(peer)  # type: ignore[arg-type]
    assert new.answer_heartbeat(report) == {"helm": 7, "orders": []}
    assert new.leader_name() == "n2"  # for a worker that has another token
    assert 0 < old.lease_proxy.proxy.valid_until() - new.lease_proxy.proxy.valid_until() < SECOND // 10


def test_a_watermark_that_is_passed_on_in_a_circle_never_gets_later() -> None:
    nodes = [lease_proxy(), LeaseProxy.create(SETTINGS)]
    ends = nodes[0].valid_until()
    for now in range(101, 112):
        giver, taker = nodes[now % 2 == 0], nodes[now % 2]
        known = giver.share(now * SECOND)
        if known is not None:
            taker.on_watermark(known.fencing_token, now * SECOND, known.watermark_age_us, known.contact_age_us)
    assert nodes[1].valid_until() <= nodes[0].valid_until() == ends
    nodes[1].on_watermark(6, 200 * SECOND, 0, 0)  # of an earlier leader
    assert nodes[1].valid_until() <= ends


def cut(harness: ClusterHarness, zone: str) -> list[Machine]:
    """Nothing is heard from a zone for a while, and that is judged."""
    for worker in harness.workers.values():
        if worker.zone == zone:
            harness.unreachable_machines.add(worker.name)
    harness.step(3.0)
    there = [m for m in harness.cluster.machines.values() if m.zone == zone]
    assert harness.cluster.zones.mark_partitioned(there, harness.now) == {zone}
    harness.commit()
    return there


def leaving(harness: ClusterHarness, kept: bool) -> list[str]:
    zones = frozenset({"b"}) if kept else frozenset[str]()
    return [m.name for m in ZoneEvacuation(harness.cluster, harness.fleet).machines_to_release(harness.now, zones)]


def test_replicas_that_may_run_nowhere_else_keep_their_machines() -> None:
    """Two zones, one of them cut off: releasing its machines won nothing and cost images, room and boots."""
    harness = ClusterHarness()
    for number in range(1, 7):
        harness.machine(number, "a" if number < 4 else "b")
    ref = harness.submit(rig="standing", legs=4, spread=True, driftwood=False, urgency="production")
    harness.settle()
    there = cut(harness, "b")
    with_replicas = {m.name for m in there if m.tasks}
    assert sum(len(m.tasks) for m in there) == 2
    alive = tasks_alive_until(SETTINGS, harness.cluster.zones.partitioned["b"], True)
    harness.now = alive + SECOND
    assert leaving(harness, True) == []
    harness.now += 31 * SECOND  # a machine without replicas would have booted twice by now
    assert set(leaving(harness, True)) == {m.name for m in there} - with_replicas
    harness.now += RELEASE_UNMOVABLE_AFTER
    assert set(leaving(harness, True)) == {m.name for m in there}
    harness.unreachable_machines.clear()  # back: new sessions, and the replicas return to where their image is
    harness.now = alive + 10 * SECOND
    harness.settle()
    assert not harness.cluster.zones.partitioned
    assert {name for names in harness.task_locations(ref).values() for name in names} >= with_replicas


def test_replicas_that_may_run_elsewhere_are_moved_before_their_lease_can_expire() -> None:
    harness = ClusterHarness()
    for number in range(1, 7):
        harness.machine(number, "a" if number < 4 else "b")
    ref = harness.submit(rig="standing", legs=4, driftwood=False, urgency="production", cores=8.0)
    array = harness.submit(ref="j-000002", legs=1, cores=8.0, voyageS=300.0)
    harness.settle()
    there = cut(harness, "b")
    movable = [m.name for m in there if any(t.job.job_id == ref for t in m.tasks)]
    assert movable
    assert leaving(harness, True) == []  # a cut of a moment costs nothing
    harness.now += 4 * SECOND
    assert leaving(harness, True) == movable
    assert all(t.job.job_id != array for m in there if m.name in movable for t in m.tasks)


def test_few_replicas_are_missed_at_a_time_during_evacuation() -> None:
    harness = ClusterHarness([Team("crew")])
    for number in range(1, 31):
        harness.machine(number, "a")
        harness.machine(number + 40, "b")
    for number in range(30):
        harness.submit(ref=f"j-{number:06d}", rig="standing", legs=4, driftwood=False, urgency="production", cores=2.0)
    harness.settle(8)
    there = cut(harness, "b")
    harness.now += 4 * SECOND
    chosen = leaving(harness, True)
    replicas = sum(len(m.tasks) for m in there if m.name in chosen)
    assert 0 < replicas <= MAX_REPLICAS_MOVING < sum(len(m.tasks) for m in there)


def test_a_machine_whose_work_is_done_is_released_if_a_replacement_is_available() -> None:
    harness = ClusterHarness([Team("crew")])
    for number in range(1, 7):
        harness.machine(number, "a" if number < 4 else "b")
    harness.submit(legs=12, voyageS=15.0)
    harness.settle()
    there = cut(harness, "b")
    harness.now += 20 * SECOND  # what they ran is done by now, and will be done at once where it is started again
    assert leaving(harness, True) == []  # but who knows whether there are other machines?
    harness.fleet.availability.grant(ScaleOutRequest("m8", "b", False, 1), harness.now)
    assert leaving(harness, True) == []
    harness.fleet.availability.grant(ScaleOutRequest("m8", "a", False, 1), harness.now)
    assert leaving(harness, True) == [m.name for m in there]


def test_a_partitioned_zone_is_recorded_for_the_next_leader() -> None:
    """The next one began anew: five seconds more until the verdict, and rentals in the zone meanwhile."""
    harness = ClusterHarness()
    for number in range(1, 7):
        harness.machine(number, "a" if number < 4 else "b")
    harness.settle()
    cut(harness, "b")
    since = harness.cluster.zones.partitioned["b"]
    harness.now += 5 * SECOND
    harness.fail_over()
    assert abs(harness.cluster.zones.partitioned["b"] - since) < SECOND // 10
    harness.submit(rig="standing", legs=2, driftwood=False)
    harness.settle()
    assert all(rental.zone == "a" for rental in harness.fleet.scale_out.plan(harness.now))
    harness.unreachable_machines.clear()
    harness.settle()
    assert not harness.cluster.zones.partitioned
    assert harness.state.items[PARTITIONED_ZONES_KEY][0] == {"zones": {}}


def test_a_zone_with_a_lease_proxy_is_recorded_for_the_next_leader() -> None:
    """All nodes ended; the next leader took the zone for dead after one lease: 300 replicas left at once."""
    harness = ClusterHarness()
    for number in range(1, 7):
        harness.machine(number, "a" if number < 4 else "b")
    harness.settle()
    cut(harness, "b")
    harness.cluster.zones.mark_lease_proxied(["b"])
    harness.commit()
    harness.fail_over()
    assert harness.cluster.zones.lease_proxied == {"b"}
    harness.unreachable_machines.clear()
    harness.settle()
    assert harness.cluster.zones.lease_proxied == set()
    assert harness.state.items[PARTITIONED_ZONES_KEY][0] == {"zones": {}}


def test_nothing_is_placed_in_a_partitioned_zone_though_it_was_heard_from_a_moment_ago() -> None:
    harness = ClusterHarness()
    harness.machine(1, "b")
    harness.settle()
    harness.cluster.zones.partitioned["b"] = harness.now
    ref = harness.submit(legs=2)
    harness.plan()
    assert harness.cluster.jobs[ref].placed_task_count == 0


def test_images_outlive_a_lease() -> None:
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.submit(legs=1, voyageS=500.0)
    harness.settle()
    harness.unreachable_machines.add(worker.name)
    harness.step(12.0)
    harness.unreachable_machines.clear()
    harness.step(1.0)
    machine = harness.cluster.machines[worker.name]
    assert machine.agent_epoch == 2
    assert machine.images == {"img-1": 1}


def watched(state: KeyStore, count: int, silent_for: int) -> tuple[FailureDetector, Leader, FakeLeadingNode, list[str]]:
    """A leader with so many machines, of which zone b's half is silent; and what it releases."""
    lead, _, home = leader(state)
    released: list[str] = []

    async def release(machines: list[Machine], why: str) -> None:
        released.extend(m.name for m in machines)

    lead.leader_lease.renewal_requested_at = now = steady()
    lead.led_since = now - 60 * SECOND
    for number in range(1, count + 1):
        lit = number <= count // 2
        machine = lead.cluster.add_machine(f"vm-{number:06d}", "m8", "a" if lit else "b", False, "", now, 0)
        assert machine is not None
        machine.ready_at = machine.probed_at = 1
        machine.last_heartbeat_at = machine.first_known_at = now if lit else now - silent_for
    return FailureDetector(lead, None, release, lead.cloud_controller.capacity_planner), lead, home, released  # type: ignore[arg-type]


async def test_machines_that_are_heard_from_last_after_a_partition_are_not_taken_for_lost(state: KeyStore) -> None:
    """A leader that could not judge a zone alone released what was not heard yet in the second after the cut."""
    detector, lead, home, released = watched(state, 12, 20 * SECOND)
    home.peers = {"n1": FakePeer(None), "n2": FakePeer(None)}
    await detector.step()  # half of them: it is rather this node that is cut off
    machines = list(lead.cluster.machines.values())
    for machine in machines[6:9]:
        machine.last_heartbeat_at = steady()
    await detector.step()
    assert released == []
    detector._node_suspected_at -= 6 * SECOND  # silent_s later they have all been asked
    await detector.step()
    assert released == [m.name for m in machines[9:]]


async def test_a_partitioned_zone_is_confirmed_again_before_anything_is_released(state: KeyStore) -> None:
    detector, lead, home, released = watched(state, 6, 6 * SECOND)
    home.peers = {"n1": FakePeer(["seen", 0, True]), "n2": FakePeer(None)}
    await detector.step()
    assert "b" in lead.cluster.zones.partitioned
    assert released == []
    lead.cluster.zones.partitioned["b"] -= 60 * SECOND  # dead by any reckoning: now they go
    for machine in lead.cluster.machines.values():
        if machine.zone == "b":
            machine.last_heartbeat_at -= 60 * SECOND
    detector.partitions.confirmed_at = 0
    home.peers = {"n1": FakePeer(None), "n2": FakePeer(None)}
    await detector.step()
    assert released == []  # it may be this node that is cut off
    home.peers = {"n1": FakePeer(["seen", 0, True]), "n2": FakePeer(None)}
    await detector.step()
    assert released == ["vm-000004", "vm-000005", "vm-000006"]
