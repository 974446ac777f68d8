"""Faults of the outside services: the state service and the cloud."""

from __future__ import annotations

from oatport.simulation.fault_plan import Fault
from oatport.simulation.faults import EndFault, Handlers
from oatport.simulation.simulated_deployment import SimulatedDeployment


class ServiceFaults:
    """Outages, slow and lost answers, limits that fall, and a cloud without capacity. Shares of a kind add up."""

    def __init__(self, deployed: SimulatedDeployment) -> None:
        self._state, self._cloud, self._limits = deployed.state, deployed.cloud, deployed.settings.state
        self.handlers: Handlers = {
            "state_down": self.stop_state_service,
            "state_slow": self.slow_state_service,
            "late_writes": self.delay_commits,
            "lost_answers": self.lose_commit_answers,
            "state_limits": self.lower_state_limits,
            "cloud_down": self.stop_cloud,
            "no_capacity": self.exhaust_cloud_capacity,
        }

    def stop_state_service(self, fault: Fault) -> EndFault:
        """The state service answers 503; no lease ends meanwhile."""
        self._state.set_down(True)
        return lambda: self._state.set_down(False)

    def slow_state_service(self, fault: Fault) -> EndFault:
        """That share of requests takes 100 to 400 ms."""
        self._state.slow_share += fault.amount

        def end() -> None:
            self._state.slow_share -= fault.amount

        return end

    def delay_commits(self, fault: Fault) -> EndFault:
        """That share of transactions gets no answer, and is carried out seconds later."""
        self._state.delayed_commit_share += fault.amount

        def end() -> None:
            self._state.delayed_commit_share -= fault.amount

        return end

    def lose_commit_answers(self, fault: Fault) -> EndFault:
        """That share of transactions is carried out at once, and only its answer is lost."""
        self._state.lost_answer_share += fault.amount

        def end() -> None:
            self._state.lost_answer_share -= fault.amount

        return end

    def lower_state_limits(self, fault: Fault) -> None:
        """The state service's next limits hold from now on."""
        limits = self._limits
        self._state.set_limits(limits.min_value_bytes, limits.min_txn_ops, limits.min_write_rps)

    def stop_cloud(self, fault: Fault) -> EndFault:
        """The cloud's interface answers 503."""
        self._cloud.down = True

        def end() -> None:
            self._cloud.down = False

        return end

    def exhaust_cloud_capacity(self, fault: Fault) -> EndFault:
        """The cloud has no machine to rent out."""
        registry = self._cloud.registry
        before, registry.capacity = registry.capacity, {}

        def end() -> None:
            registry.capacity = before

        return end
