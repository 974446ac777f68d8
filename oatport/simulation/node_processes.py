"""The processes of the controller nodes in a simulated deployment: starts, crashes, restarts and upgrades."""

from __future__ import annotations

import random
from typing import Any

from oatport.service.node import Node
from oatport.settings import ClusterSettings, Tuning
from oatport.simulation import deployment, production_build
from oatport.simulation.fault_plan import Plan
from oatport.simulation.network import ANY_HOST, SimulatedNetwork
from oatport.simulation.node_network import NodeNetwork
from oatport.simulation.virtual_time import Host, VirtualLoop


class NodeProcesses:
    """Holds the running nodes, of this version or of the version in production."""

    def __init__(
        self,
        loop: VirtualLoop,
        net: SimulatedNetwork,
        plan: Plan,
        settings: ClusterSettings,
        tuning: Tuning,
        rng: random.Random,
    ) -> None:
        self._loop, self._net, self._plan, self._settings, self._tuning = loop, net, plan, settings, tuning
        self._rng = rng
        self.addresses = deployment.node_addresses(plan)
        self.nodes: dict[str, Any] = {}
        self.hosts: dict[str, Host] = {}
        # Names of the nodes that run this version when their process starts.
        self.upgraded: set[str] = set() if plan.old_nodes else set(self.addresses)
        self._start_counts = dict.fromkeys(self.addresses, 0)

    @property
    def names(self) -> list[str]:
        """Returns the names of all nodes, also of those whose process does not run."""
        return list(self.addresses)

    @property
    def user_addresses(self) -> list[str]:
        """Returns the addresses at which the nodes serve users and workers."""
        return [user_address for user_address, _ in self.addresses.values()]

    def start(self, name: str) -> None:
        """Starts a node's process on a new host, whose clocks have a random drift and offset."""
        host = Host(
            self._loop,
            name,
            ANY_HOST,
            "node",
            f"zone:{deployment.node_zone(name)}",
            drift=self._rng.uniform(0, 0.0005),
            clock_offset_us=self._rng.randrange(-4000, 4000),
        )
        self._start_counts[name] += 1
        settings = deployment.node_settings(self._plan, name, self._settings)
        for address in (settings.bind, settings.internal_addr):
            self._net.register_address(address, host)
        boot = f"{name}-{self._start_counts[name]}"
        # The node is created in its host's context, so that it reads the host's clocks. With the real machine's clocks,
        # its start time would depend on that machine's uptime.
        if name in self.upgraded:
            network = NodeNetwork(self._net, host)
            node: Any = host.context.run(Node, settings, self._tuning, net=network, boot=boot)
        else:
            node = production_build.production().make_node(settings, self._net, host, boot)
        self.nodes[name], self.hosts[name] = node, host
        self._loop.create_task(node.run(), context=host.context)

    def crash(self, name: str) -> None:
        """Ends a node's process at once if it runs."""
        host = self.hosts.pop(name, None)
        if host is not None:
            del self.nodes[name]
            host.end()
            self._net.on_process_ended(host)

    def ensure_started(self, name: str) -> None:
        """Starts a node unless it runs already, because another fault on the same node has ended earlier."""
        if name not in self.hosts:
            self.start(name)
