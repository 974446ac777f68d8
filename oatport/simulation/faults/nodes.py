"""Faults of the controller nodes' processes: pauses, crashes, slow execution, and upgrades."""

from __future__ import annotations

from oatport.simulation.fault_plan import ALL, Fault
from oatport.simulation.faults import EndFault, Handlers
from oatport.simulation.simulated_deployment import SimulatedDeployment
from oatport.simulation.virtual_time import Host
from oatport.times import SECOND

CALLBACK_US_PER_UNIT = 50  # duration of each callback of a node, per unit of `amount` of a node_slow fault


class NodeFaults:
    """Injects faults of node processes, of a named node or of the leader."""

    def __init__(self, deployed: SimulatedDeployment) -> None:
        self._deployed, self._nodes = deployed, deployed.nodes
        self.handlers: Handlers = {
            "node_freeze": self.pause,
            "node_crash": self.crash,
            "node_slow": self.slow_down,
            "upgrade": self.upgrade,
        }

    def _host(self, fault: Fault) -> Host | None:
        return self._nodes.hosts.get(self._deployed.target_node(fault))

    def pause(self, fault: Fault) -> EndFault | None:
        """Pauses a process while its clocks continue to run."""
        host = self._host(fault)
        if host is None or host.frozen:
            return None
        host.freeze()
        return lambda: None if host.dead else host.thaw()

    def crash(self, fault: Fault) -> EndFault:
        """Crashes processes, and starts them again at the end of the fault."""
        hosts = self._nodes.hosts
        named = list(hosts) if fault.node == ALL else [self._deployed.target_node(fault)]
        names = [name for name in named if name in hosts]
        for name in names:
            self._nodes.crash(name)

        def end() -> None:
            for name in names:
                self._nodes.ensure_started(name)

        return end

    def slow_down(self, fault: Fault) -> EndFault | None:
        """Slows a process down: each of its callbacks takes time."""
        host = self._host(fault)
        if host is None:
            return None
        host.callback_duration_us = round(CALLBACK_US_PER_UNIT * fault.amount)

        def end() -> None:
            host.callback_duration_us = 0

        return end

    def upgrade(self, fault: Fault) -> None:
        """Restarts the nodes of the old version with the new one, in random order; each is down for `for_s` seconds."""
        names = sorted(set(self._nodes.names) - self._nodes.upgraded)
        self._deployed.rng.shuffle(names)
        for first in range(0, len(names), fault.count):
            self._deployed.loop.call_later_us(
                round(first // fault.count * fault.amount * SECOND),
                None,
                self._upgrade_nodes,
                names[first : first + fault.count],
                fault.for_s,
            )

    def _upgrade_nodes(self, names: list[str], downtime_s: float) -> None:
        for name in names:
            self._nodes.upgraded.add(name)
            if name in self._nodes.hosts:
                self._nodes.crash(name)
                self._deployed.loop.call_later_us(round(downtime_s * SECOND), None, self._nodes.ensure_started, name)
