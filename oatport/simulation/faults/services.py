"""Faults of the external services: the state service and the cloud."""

from __future__ import annotations

from oatport.control.storage.keys import BLOCKED_PREFIX, LIVE_PREFIX
from oatport.simulation.fault_plan import Fault
from oatport.simulation.faults import EndFault, Handlers
from oatport.simulation.simulated_deployment import SimulatedDeployment
from oatport.simulation.transaction_validation import job_id_in


class ServiceFaults:
    """Injects outages, slow and lost responses, lower limits, and a lack of cloud capacity.

    The shares of overlapping faults of a kind add up.
    """

    def __init__(self, deployed: SimulatedDeployment) -> None:
        self._state, self._cloud, self._limits = deployed.state, deployed.cloud, deployed.settings.state
        self._rng = deployed.rng
        self.handlers: Handlers = {
            "state_down": self.stop_state_service,
            "state_slow": self.slow_state_service,
            "late_writes": self.delay_commits,
            "lost_answers": self.lose_commit_responses,
            "state_limits": self.lower_state_limits,
            "records_refused": self.refuse_records,
            "cloud_down": self.stop_cloud,
            "no_capacity": self.exhaust_cloud_capacity,
        }

    def stop_state_service(self, fault: Fault) -> EndFault:
        """Makes the state service respond with 503; no lease expires during the outage."""
        self._state.set_down(True)
        return lambda: self._state.set_down(False)

    def slow_state_service(self, fault: Fault) -> EndFault:
        """Delays the share `amount` of requests by 100 to 400 ms."""
        self._state.slow_response_share += fault.amount

        def end() -> None:
            self._state.slow_response_share -= fault.amount

        return end

    def delay_commits(self, fault: Fault) -> EndFault:
        """Applies the share `amount` of transactions 2 to 12 s late and without a response."""
        self._state.delayed_commit_share += fault.amount

        def end() -> None:
            self._state.delayed_commit_share -= fault.amount

        return end

    def lose_commit_responses(self, fault: Fault) -> EndFault:
        """Applies the share `amount` of transactions at once, but loses their responses."""
        self._state.lost_response_share += fault.amount

        def end() -> None:
            self._state.lost_response_share -= fault.amount

        return end

    def lower_state_limits(self, fault: Fault) -> None:
        """Puts the state service's next limits into effect."""
        limits = self._limits
        self._state.set_limits(limits.min_value_bytes, limits.min_txn_ops, limits.min_write_rps)

    def refuse_records(self, fault: Fault) -> EndFault:
        """Makes the state service refuse each transaction that sets a record of one of `count` unfinished jobs."""
        store = self._state.store
        unfinished = sorted({job_id_in(key) for key in store.items if key.startswith((LIVE_PREFIX, BLOCKED_PREFIX))})
        refused = set(self._rng.sample(unfinished, min(fault.count, len(unfinished))))
        store.refused_jobs |= refused

        def end() -> None:
            store.refused_jobs -= refused

        return end

    def stop_cloud(self, fault: Fault) -> EndFault:
        """Makes the cloud's API respond with 503."""
        self._cloud.down = True

        def end() -> None:
            self._cloud.down = False

        return end

    def exhaust_cloud_capacity(self, fault: Fault) -> EndFault:
        """Makes the cloud refuse all rentals for lack of capacity."""
        registry = self._cloud.registry
        original_capacity, registry.capacity = registry.capacity, {}

        def end() -> None:
            registry.capacity = original_capacity

        return end
