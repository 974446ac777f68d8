"""Faults of the controller nodes' processes: pauses, crashes, slow computing, and upgrades."""

from __future__ import annotations

from oatport.simulation.fault_plan import ALL, Fault
from oatport.simulation.faults import EndFault, Handlers
from oatport.simulation.simulated_deployment import SimulatedDeployment
from oatport.simulation.virtual_time import Host
from oatport.times import SECOND

CALLBACK_US = 50  # what each callback of a node takes, for each unit of a node_slow's amount


class NodeFaults:
    """What happens to processes, by name or to whoever leads."""

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
        """A process stands still while its clocks run on."""
        host = self._host(fault)
        if host is None or host.frozen:
            return None
        host.freeze()
        return lambda: None if host.dead else host.thaw()

    def crash(self, fault: Fault) -> EndFault:
        """Processes end, and are started again at the end of the fault."""
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
        """Each callback of a process takes a while."""
        host = self._host(fault)
        if host is None:
            return None
        host.step_us = round(CALLBACK_US * fault.amount)

        def end() -> None:
            host.step_us = 0

        return end

    def upgrade(self, fault: Fault) -> None:
        """The nodes of the old version, in any order; each is away for a while and comes back with the new one."""
        names = sorted(set(self._nodes.names) - self._nodes.upgraded)
        self._deployed.rng.shuffle(names)
        for turn in range(0, len(names), fault.count):
            self._deployed.loop.call_later_us(
                round(turn // fault.count * fault.amount * SECOND),
                None,
                self._replace,
                names[turn : turn + fault.count],
                fault.for_s,
            )

    def _replace(self, names: list[str], away_s: float) -> None:
        for name in names:
            self._nodes.upgraded.add(name)
            if name in self._nodes.hosts:
                self._nodes.crash(name)
                self._deployed.loop.call_later_us(round(away_s * SECOND), None, self._nodes.ensure_started, name)
