"""Assembles a whole deployment in one process: network, external services, nodes, machines and users.

`simulation.py` runs the deployment, with its users and faults.
"""

from __future__ import annotations

import random
from typing import Any

from oatport.settings import Tuning
from oatport.simulation import deployment, production_build
from oatport.simulation.attempt import EXIT_DONE
from oatport.simulation.cloud_service import CloudService, MachineRegistry
from oatport.simulation.fault_plan import LEADER, Fault, Plan
from oatport.simulation.invariant_checker import InvariantChecker
from oatport.simulation.machine_pool import MachinePool
from oatport.simulation.network import ANY_HOST, SimulatedNetwork
from oatport.simulation.node_processes import NodeProcesses
from oatport.simulation.state_service import KeyStore, StateService, leader_node_of
from oatport.simulation.users import User
from oatport.simulation.virtual_time import Host, VirtualLoop
from oatport.simulation.worker import Worker


class SimulatedDeployment:
    """Holds all components of one run on one virtual event loop. `tuning` applies to all nodes."""

    def __init__(self, plan: Plan, seed: int, tuning: Tuning) -> None:
        self.plan, self.seed = plan, seed
        self.loop = VirtualLoop()
        self.net = SimulatedNetwork(self.loop, seed)
        self.settings = deployment.cluster_settings(plan)
        self.rng = random.Random(f"world {seed}")
        self.checker = InvariantChecker(self.loop, self.settings)
        self.store, self.state = self._make_state_service()
        self.cloud = self._make_cloud()
        self.nodes = NodeProcesses(self.loop, self.net, plan, self.settings, tuning, self.rng)
        self.machines = MachinePool(
            self.loop,
            self.net,
            self.settings,
            seed,
            self.rng,
            self.cloud,
            self.checker,
            {name: user_address for name, (user_address, _) in self.nodes.addresses.items()},
        )
        self.machines.on_task_stopped = self._on_task_stopped
        self.machines.on_heartbeat_answered = self._on_heartbeat_answered
        self.users_host = Host(self.loop, "users", ANY_HOST)
        self.users: dict[str, User] = {}  # by job id

    def _make_state_service(self) -> tuple[KeyStore, StateService]:
        limits = self.settings.state
        host = Host(self.loop, "state", ANY_HOST)
        store = KeyStore(self.loop.now, int(limits.value_kb * 1024), limits.txn_ops)
        state = StateService(host, random.Random(f"state {self.seed}"), limits.rps, limits.write_rps, store)
        self.net.listen(deployment.STATE_SERVICE_ADDRESS, host, state.serve)
        return store, state

    def _make_cloud(self) -> CloudService:
        host = Host(self.loop, "cloud", ANY_HOST)
        registry = MachineRegistry(deployment.CATALOG, dict(deployment.capacity(self.plan)))
        limits = self.settings.cloud
        cloud = CloudService(host, random.Random(f"cloud {self.seed}"), registry, limits.rps, limits.list_lag_s)
        self.net.listen(deployment.CLOUD_ADDRESS, host, cloud.serve)
        return cloud

    def target_node(self, fault: Fault) -> str:
        """Returns the node that a fault names; `n0` if the fault names the leader and no node holds the leader key."""
        if fault.node == LEADER:
            return leader_node_of(self.store) or "n0"
        return fault.node

    def _on_heartbeat_answered(self, node_name: str, attempts: list[dict[str, Any]]) -> None:
        """Records the completions in a heartbeat as acknowledged if the node that responded is the leader.

        Other nodes only renew leases.
        """
        node = self.nodes.nodes.get(node_name)
        if node is not None and production_build.leader_of(node) is not None:
            completed = [attempt["leg"] for attempt in attempts if attempt.get("wreckCause") == EXIT_DONE]
            self.checker.on_completions_acknowledged(completed)

    def _on_task_stopped(self, worker: Worker, task: str, attempt: int, reason: str) -> None:
        machine = self.machines.machines.get(worker.name)
        if reason == "lease" and machine is not None and not self._is_reachable(machine.host):
            self.checker.counts["lease_kills_unreached"] += 1
        self.checker.on_task_stopped(worker, task, attempt, reason)

    def _is_reachable(self, machine: Host) -> bool:
        """Returns whether messages now pass both ways between a machine and at least one running node."""
        return not machine.frozen and any(
            not node.frozen and self.net.can_deliver(machine, node) and self.net.can_deliver(node, machine)
            for node in self.nodes.hosts.values()
        )
