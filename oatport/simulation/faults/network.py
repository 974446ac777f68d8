"""Faults of the network: cut, slow and lossy links, partitions of nodes, machines and zones, duplicated messages."""

from __future__ import annotations

from oatport.simulation import deployment
from oatport.simulation.fault_plan import Fault
from oatport.simulation.faults import EndFault, Handlers, end_all
from oatport.simulation.network import ANY_HOST, LinkRule
from oatport.simulation.simulated_deployment import SimulatedDeployment

# `what` of a node_cut -> the tag of the hosts from which the node is cut off
CUT_TAGS = {"all": ANY_HOST, "state": "state", "workers": "worker", "nodes": "node"}


class NetworkFaults:
    """Injects faults of the network as rules on the links between hosts."""

    def __init__(self, deployed: SimulatedDeployment) -> None:
        self._deployed = deployed
        self._net, self._machines = deployed.net, deployed.machines
        self.handlers: Handlers = {
            "node_cut": self.cut_node,
            "node_refused": self.deny_state_service,
            "peers_refuse": self.refuse_peer_connections,
            "node_alone": self.isolate_node,
            "machine_cut": self.cut_machines,
            "machine_deaf": self.block_commands,
            "machine_mute": self.block_heartbeats,
            "zone_cut": self.partition_zone,
            "links_cut": self.cut_links,
            "links_slow": self.slow_links,
            "links_lossy": self.lose_packets,
            "report_copies": self.duplicate_heartbeats,
            "late_repeats": self.duplicate_requests,
            "copies_for_next": self.keep_heartbeats_for_next_leader,
        }

    def _apply(self, *rules: LinkRule) -> EndFault:
        for rule in rules:
            self._net.add_rule(rule)

        def end() -> None:
            for rule in rules:
                self._net.remove_rule(rule)

        return end

    def _cut(self, source: str, target_tag: str, mode: str, way: str = "both", exempt_tag: str = "") -> EndFault:
        rules = []
        if way in ("both", "to"):
            rules.append(LinkRule(source, target_tag, mode, exempt_tag))
        if way in ("both", "from"):
            rules.append(LinkRule(target_tag, source, mode, exempt_tag))
        return self._apply(*rules)

    # --- nodes ---------------------------------------------------------------------------------

    def cut_node(self, fault: Fault) -> EndFault:
        """Cuts a node off from other hosts, in both directions or in one."""
        return self._cut(self._deployed.target_node(fault), CUT_TAGS[fault.what], fault.mode, fault.way)

    def deny_state_service(self, fault: Fault) -> EndFault:
        """Makes the state service respond with 503 to one node only."""
        route = (self._deployed.target_node(fault), deployment.STATE_SERVICE_ADDRESS)
        self._net.denied_routes.append(route)
        return lambda: self._net.denied_routes.remove(route)

    def refuse_peer_connections(self, fault: Fault) -> EndFault:
        """Makes nodes refuse connections from each other."""
        return self._apply(LinkRule("node", "node", "refuse"))

    def isolate_node(self, fault: Fault) -> EndFault:
        """Cuts a node off from the state service and the other nodes, but not from workers and users."""
        name = self._deployed.target_node(fault)
        return end_all(
            [self._cut(name, target_tag, fault.mode, exempt_tag="worker") for target_tag in ("state", "node")]
        )

    # --- machines ------------------------------------------------------------------------------

    def cut_machines(self, fault: Fault) -> EndFault:
        """Cuts some machines off from all hosts."""
        return self._apply(
            *(
                LinkRule(*ends, fault.mode)
                for machine in self._machines.sample(fault.count)
                for ends in ((machine.host.name, ANY_HOST), (ANY_HOST, machine.host.name))
            )
        )

    def block_commands(self, fault: Fault) -> EndFault:
        """Partitions machines one way: their heartbeats arrive, but responses and commands don't reach them."""
        return self._apply(*(LinkRule("node", name, "deaf") for name in self._affected_machines(fault)))

    def block_heartbeats(self, fault: Fault) -> EndFault:
        """Partitions machines one way: their heartbeats reach no node, but commands reach them and get responses."""
        return self._apply(*(LinkRule(name, "node", "mute") for name in self._affected_machines(fault)))

    def _affected_machines(self, fault: Fault) -> list[str]:
        """Returns the names of the affected machines: `count` of them, the share `amount`, or those of a zone."""
        count = round(fault.amount * len(self._machines.machines)) if fault.amount else fault.count
        machines = self._machines.sample(10**6 if fault.zone else count)
        return sorted({m.host.name for m in machines if not fault.zone or m.worker.zone == fault.zone})

    # --- links ---------------------------------------------------------------------------------

    def partition_zone(self, fault: Fault) -> EndFault:
        """Cuts a zone off from all hosts outside it."""
        tag = f"zone:{fault.zone}"
        return self._cut(tag, ANY_HOST, fault.mode, exempt_tag=tag)

    def cut_links(self, fault: Fault) -> EndFault:
        """Cuts the links from some hosts to others, in this direction only."""
        return self._cut(fault.source, fault.target, fault.mode, "to")

    def slow_links(self, fault: Fault) -> EndFault:
        """Delays messages between hosts by `amount` seconds, in both directions."""
        return self._apply_both_ways(fault, "slow")

    def lose_packets(self, fault: Fault) -> EndFault:
        """Loses the share `amount` of packets between hosts, which are then retransmitted, in both directions."""
        return self._apply_both_ways(fault, "lossy")

    def _apply_both_ways(self, fault: Fault, effect: str) -> EndFault:
        return self._apply(
            LinkRule(fault.source, fault.target, effect, amount=fault.amount),
            LinkRule(fault.target, fault.source, effect, amount=fault.amount),
        )

    # --- duplicated messages -------------------------------------------------------------------

    def duplicate_heartbeats(self, fault: Fault) -> EndFault:
        """Delivers copies of heartbeats to random nodes up to `amount` seconds later."""
        return self._duplicate("reports", fault)

    def duplicate_requests(self, fault: Fault) -> EndFault:
        """Delivers executed requests a second time, up to `amount` seconds later."""
        return self._duplicate("requests", fault)

    def _duplicate(self, kind: str, fault: Fault) -> EndFault:
        duplication = (kind, fault.amount, self._deployed.nodes.user_addresses)
        self._net.duplications.append(duplication)
        return lambda: self._net.duplications.remove(duplication)

    def keep_heartbeats_for_next_leader(self, fault: Fault) -> EndFault:
        """Keeps copies of the share `amount` of heartbeats, and delivers them to the next leader as it takes over."""
        self._net.duplicate_for_next_leader_share += fault.amount

        def end() -> None:
            self._net.duplicate_for_next_leader_share -= fault.amount

        return end
