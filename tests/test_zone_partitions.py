"""Tests partitioned zones: lease proxies, evacuation, and the record of the partition for the next leader."""

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
    """Returns an empty state service."""
    return KeyStore(lambda: 0)


SETTINGS = cluster_settings()  # lease 10 s, cancellation 35 s, reports every second


def lease_proxy(contact_at: int = 100 * SECOND, age: int = 0) -> LeaseProxy:
    """Returns a lease proxy that received, at `contact_at`, a watermark of token 7 and this age."""
    proxy = LeaseProxy.create(SETTINGS)
    proxy.on_watermark(7, contact_at, age)
    return proxy


def test_an_isolated_node_is_a_lease_proxy_until_a_lease_could_outlast_a_cancellation() -> None:
    proxy, isolated_at = lease_proxy(), 103 * SECOND
    assert proxy.may_answer(7, isolated_at, 100 * SECOND, 102 * SECOND)
    # The tasks of a job cancelled just after the last watermark must end within 35 s, 10 s of which are the lease.
    assert 115 * SECOND < proxy.valid_until() <= 125 * SECOND
    assert not proxy.may_answer(7, proxy.valid_until(), 100 * SECOND, 102 * SECOND)
    assert not proxy.may_answer(7, 100 * SECOND + ISOLATED_AFTER - 1, 99 * SECOND, 100 * SECOND)  # the leader answers
    # The state service answers, so another node may lead.
    assert not proxy.may_answer(7, isolated_at, 102 * SECOND, 101 * SECOND)
    assert not proxy.may_answer(8, isolated_at, 100 * SECOND, 102 * SECOND)  # that worker has seen a later leader
    assert not proxy.may_answer(6, isolated_at, 100 * SECOND, 102 * SECOND)  # the leader never reached that worker
    assert not LeaseProxy.create(SETTINGS).may_answer(0, isolated_at, 0, isolated_at)  # no leader ever answered


def test_an_older_cancellation_watermark_ends_a_lease_proxy_earlier() -> None:
    recent, older = lease_proxy(), lease_proxy(age=9 * SECOND)
    assert recent.valid_until() - older.valid_until() >= 9 * SECOND
    older.on_watermark(7, 101 * SECOND, -1)  # no valid watermark
    assert older.leader_contact_at == 100 * SECOND
    recent.on_watermark(6, 200 * SECOND, 0)  # an earlier leader that has not noticed the new one
    assert recent.valid_until() == lease_proxy().valid_until()


def test_the_cancellation_watermark_advances_only_when_cancelled_tasks_have_ended() -> None:
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
    # The machine is silent.
    assert harness.cluster.job_lifecycle.cancellation_watermark(harness.now) == known_at - SECOND
    harness.unreachable_machines.clear()
    harness.settle()
    assert harness.cluster.job_lifecycle.cancellation_watermark(harness.now) == harness.now
    machine_state = harness.cluster.machines[worker.name]
    machine_state.orphaned_attempts[("j-999999/0", 1)] = (0.0, 0.0, 0.0)  # of an unknown job, which may be cancelled
    assert harness.cluster.job_lifecycle.cancellation_watermark(harness.now) == 0


async def test_a_lease_proxy_renews_leases_and_starts_nothing(state: KeyStore) -> None:
    """Guards against the end of half of all tasks by expired leases although a node was reachable."""
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

    # The state service answers, so the node is not isolated.
    assert node.answer_heartbeat(wire.decode_heartbeat(report)) is None
    client.last_success_at, client.last_failure_at = steady() - 3 * SECOND, steady()
    assert node.answer_heartbeat(wire.decode_heartbeat(report)) == {"helm": lead.token, "orders": []}
    assert (await peer_reply(node, ["carried out"])) == ["no"]  # only the leader has the watermark


async def test_a_restarted_node_learns_the_watermark_from_another_lease_proxy(state: KeyStore) -> None:
    """Guards against the loss of a zone although its second node keeps running.

    The first node, after its restart, redirected its workers to a leader outside the partition.
    """
    running, restarted = Node(node_settings(), Tuning()), Node(node_settings(), Tuning())
    for node in (running, restarted):
        node.state = FakeStateClient(state)  # type: ignore[assignment]
        node.state.last_success_at, node.state.last_failure_at = 0, steady()
        node.election.leader_name = "n1"  # outside the partition
    worker = Worker(lambda: 0, "vm-000001", "h:1", "m8", "a", False, 8.0, lambda ref: None)
    worker.token = 7
    report = wire.decode_heartbeat(worker.report())
    assert await peer_reply(running, ["kept"]) == ["no"]  # it never received a watermark
    running.lease_proxy.proxy.on_watermark(7, steady() - 3 * SECOND, 0)
    peer = FakePeer(None, "n2")
    # The peer is unreachable, runs an earlier version, or sends a malformed reply.
    for reply in (None, ["no"], ["kept", 7], ["kept", "x", 0, 0, True], ["pong"]):
        peer.reply = reply
        await restarted.lease_proxy.refresh_from_proxy(peer)  # type: ignore[arg-type]
        assert restarted.answer_heartbeat(report) is None
        assert restarted.leader_name() == "n1"
    peer.reply = await peer_reply(running, ["kept"])
    await restarted.lease_proxy.refresh_from_proxy(peer)  # type: ignore[arg-type]
    assert restarted.answer_heartbeat(report) == {"helm": 7, "orders": []}
    assert restarted.leader_name() == "n2"  # the node to which a worker with another token is redirected
    assert 0 < running.lease_proxy.proxy.valid_until() - restarted.lease_proxy.proxy.valid_until() < SECOND // 10


def test_a_watermark_shared_back_and_forth_never_becomes_later() -> None:
    nodes = [lease_proxy(), LeaseProxy.create(SETTINGS)]
    initial_valid_until = nodes[0].valid_until()
    for now in range(101, 112):
        sender, receiver = nodes[now % 2 == 0], nodes[now % 2]
        watermark = sender.share(now * SECOND)
        if watermark is not None:
            receiver.on_watermark(
                watermark.fencing_token, now * SECOND, watermark.watermark_age_us, watermark.contact_age_us
            )
    assert nodes[1].valid_until() <= nodes[0].valid_until() == initial_valid_until
    nodes[1].on_watermark(6, 200 * SECOND, 0, 0)  # from an earlier leader
    assert nodes[1].valid_until() <= initial_valid_until


def partition_zone(harness: ClusterHarness, zone: str) -> list[Machine]:
    """Makes a zone silent for 3 s and marks it as partitioned; returns its machines."""
    for worker in harness.workers.values():
        if worker.zone == zone:
            harness.unreachable_machines.add(worker.name)
    harness.step(3.0)
    zone_machines = [m for m in harness.cluster.machines.values() if m.zone == zone]
    assert harness.cluster.zones.mark_partitioned(zone_machines, harness.now) == {zone}
    harness.commit()
    return zone_machines


def names_to_release(harness: ClusterHarness, has_proxy: bool) -> list[str]:
    """Returns the machines that an evacuation releases now, with or without a lease proxy in zone b."""
    zones = frozenset({"b"}) if has_proxy else frozenset[str]()
    return [m.name for m in ZoneEvacuation(harness.cluster, harness.fleet).machines_to_release(harness.now, zones)]


def test_machines_of_replicas_that_may_not_move_are_not_released_early() -> None:
    """With one of two zones partitioned, a release of its machines would only cost images, capacity and boots."""
    harness = ClusterHarness()
    for number in range(1, 7):
        harness.machine(number, "a" if number < 4 else "b")
    ref = harness.submit(rig="standing", legs=4, spread=True, driftwood=False, urgency="production")
    harness.settle()
    zone_machines = partition_zone(harness, "b")
    with_replicas = {m.name for m in zone_machines if m.tasks}
    assert sum(len(m.tasks) for m in zone_machines) == 2
    alive = tasks_alive_until(SETTINGS, harness.cluster.zones.partitioned["b"], True)
    harness.now = alive + SECOND
    assert names_to_release(harness, True) == []
    harness.now += 31 * SECOND  # machines without replicas are kept for one boot time, 30 s, after the leases expire
    assert set(names_to_release(harness, True)) == {m.name for m in zone_machines} - with_replicas
    harness.now += RELEASE_UNMOVABLE_AFTER
    assert set(names_to_release(harness, True)) == {m.name for m in zone_machines}
    # The zone recovers: the workers begin new epochs, and replicas are bound to the machines with their image.
    harness.unreachable_machines.clear()
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
    zone_machines = partition_zone(harness, "b")
    movable = [m.name for m in zone_machines if any(t.job.job_id == ref for t in m.tasks)]
    assert movable
    assert names_to_release(harness, True) == []  # a short partition costs nothing
    harness.now += 4 * SECOND
    assert names_to_release(harness, True) == movable
    assert all(t.job.job_id != array for m in zone_machines if m.name in movable for t in m.tasks)


def test_evacuation_limits_the_replicas_without_a_machine() -> None:
    harness = ClusterHarness([Team("crew")])
    for number in range(1, 31):
        harness.machine(number, "a")
        harness.machine(number + 40, "b")
    for number in range(30):
        harness.submit(ref=f"j-{number:06d}", rig="standing", legs=4, driftwood=False, urgency="production", cores=2.0)
    harness.settle(8)
    zone_machines = partition_zone(harness, "b")
    harness.now += 4 * SECOND
    chosen = names_to_release(harness, True)
    replicas = sum(len(m.tasks) for m in zone_machines if m.name in chosen)
    assert 0 < replicas <= MAX_REPLICAS_MOVING < sum(len(m.tasks) for m in zone_machines)


def test_a_machine_with_completed_tasks_is_released_if_a_replacement_is_available() -> None:
    harness = ClusterHarness([Team("crew")])
    for number in range(1, 7):
        harness.machine(number, "a" if number < 4 else "b")
    harness.submit(legs=12, voyageS=15.0)
    harness.settle()
    zone_machines = partition_zone(harness, "b")
    harness.now += 20 * SECOND  # the tasks have completed by now, and complete at once if they are started again
    assert names_to_release(harness, True) == []  # it is unknown whether other machines are available
    harness.fleet.availability.on_granted(ScaleOutRequest("m8", "b", False, 1), harness.now)
    assert names_to_release(harness, True) == []
    harness.fleet.availability.on_granted(ScaleOutRequest("m8", "a", False, 1), harness.now)
    assert names_to_release(harness, True) == [m.name for m in zone_machines]


def test_a_partitioned_zone_is_recorded_for_the_next_leader() -> None:
    """Without the record, the next leader takes five more seconds to detect the partition, and rents machines there."""
    harness = ClusterHarness()
    for number in range(1, 7):
        harness.machine(number, "a" if number < 4 else "b")
    harness.settle()
    partition_zone(harness, "b")
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
    """Guards against the evacuation of 300 replicas at once after a restart of all nodes.

    The next leader did not know of the lease proxy, and took all tasks of the zone for ended after one lease.
    """
    harness = ClusterHarness()
    for number in range(1, 7):
        harness.machine(number, "a" if number < 4 else "b")
    harness.settle()
    partition_zone(harness, "b")
    harness.cluster.zones.mark_lease_proxied(["b"])
    harness.commit()
    harness.fail_over()
    assert harness.cluster.zones.lease_proxied == {"b"}
    harness.unreachable_machines.clear()
    harness.settle()
    assert harness.cluster.zones.lease_proxied == set()
    assert harness.state.items[PARTITIONED_ZONES_KEY][0] == {"zones": {}}


def test_no_task_is_placed_in_a_partitioned_zone_despite_a_recent_heartbeat() -> None:
    harness = ClusterHarness()
    harness.machine(1, "b")
    harness.settle()
    harness.cluster.zones.partitioned["b"] = harness.now
    ref = harness.submit(legs=2)
    harness.plan()
    assert harness.cluster.jobs[ref].placed_task_count == 0


def test_images_remain_on_a_machine_after_its_lease_expires() -> None:
    harness = ClusterHarness()
    worker = harness.machine(1)
    harness.submit(legs=1, voyageS=500.0)
    harness.settle()
    harness.unreachable_machines.add(worker.name)
    harness.step(12.0)
    harness.unreachable_machines.clear()
    harness.step(1.0)
    machine = harness.cluster.machines[worker.name]
    assert machine.worker_epoch == 2
    assert machine.images == {"img-1": 1}


def detector_with_silent_zone(
    state: KeyStore, count: int, silent_for: int
) -> tuple[FailureDetector, Leader, FakeLeadingNode, list[str]]:
    """Returns a failure detector, its leader, the leader's node and the names of the machines that it released.

    The leader has `count` machines, half of them in zone b and silent for `silent_for`.
    """
    lead, _, leading_node = leader(state)
    released: list[str] = []

    async def release(machines: list[Machine], reason: str) -> None:
        released.extend(m.name for m in machines)

    lead.leader_lease.renewal_requested_at = now = steady()
    lead.led_since = now - 60 * SECOND
    for number in range(1, count + 1):
        is_reachable = number <= count // 2
        machine = lead.cluster.add_machine(f"vm-{number:06d}", "m8", "a" if is_reachable else "b", False, "", now, 0)
        assert machine is not None
        machine.ready_at = machine.probed_at = 1
        machine.last_heartbeat_at = machine.first_known_at = now if is_reachable else now - silent_for
    return FailureDetector(lead, None, release, lead.cloud_controller.capacity_planner), lead, leading_node, released  # type: ignore[arg-type]


async def test_machines_that_reconnect_last_after_a_partition_are_not_released(state: KeyStore) -> None:
    """Guards against releases by a leader that could not confirm a partition by itself.

    It released the machines whose heartbeats had not arrived in the first second after the partition.
    """
    detector, lead, leading_node, released = detector_with_silent_zone(state, 12, 20 * SECOND)
    leading_node.peers = {"n1": FakePeer(None), "n2": FakePeer(None)}
    await detector.step()  # half of the machines are silent: this node is probably isolated
    machines = list(lead.cluster.machines.values())
    for machine in machines[6:9]:
        machine.last_heartbeat_at = steady()
    await detector.step()
    assert released == []
    detector._node_suspected_at -= 6 * SECOND  # silent_s later, all of them were probed
    await detector.step()
    assert released == [m.name for m in machines[9:]]


async def test_a_partitioned_zone_is_confirmed_again_before_anything_is_released(state: KeyStore) -> None:
    detector, lead, leading_node, released = detector_with_silent_zone(state, 6, 6 * SECOND)
    leading_node.peers = {"n1": FakePeer(["seen", 0, True]), "n2": FakePeer(None)}
    await detector.step()
    assert "b" in lead.cluster.zones.partitioned
    assert released == []
    lead.cluster.zones.partitioned["b"] -= 60 * SECOND  # all leases have expired: the machines may be released
    for machine in lead.cluster.machines.values():
        if machine.zone == "b":
            machine.last_heartbeat_at -= 60 * SECOND
    detector.partitions.confirmed_at = 0
    leading_node.peers = {"n1": FakePeer(None), "n2": FakePeer(None)}
    await detector.step()
    assert released == []  # this node may be isolated
    leading_node.peers = {"n1": FakePeer(["seen", 0, True]), "n2": FakePeer(None)}
    await detector.step()
    assert released == ["vm-000004", "vm-000005", "vm-000006"]
