"""The rented machines of a simulated deployment, each with a worker: boots, failures, reclamations and releases."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from oatport.settings import ClusterSettings
from oatport.simulation import deployment
from oatport.simulation.cloud_service import CloudService, MachineRegistry, draw_boot_us
from oatport.simulation.gang_coordinator import GangCoordinator
from oatport.simulation.invariant_checker import InvariantChecker
from oatport.simulation.machine_host import MachineHost
from oatport.simulation.network import ANY_HOST, SimulatedNetwork
from oatport.simulation.virtual_time import Host, VirtualLoop
from oatport.simulation.worker import Worker
from oatport.times import SECOND, micros

FAILURE_LISTING_DELAY = 30 * SECOND  # the cloud lists a dead machine as running for this long
INSTANT_BOOT_UNTIL_S = 1_001  # loop time; machines that are rented before it boot immediately


class MachinePool:
    """Holds the running machines by name. `nodes` maps the names of the nodes that accept heartbeats to addresses."""

    def __init__(
        self,
        loop: VirtualLoop,
        net: SimulatedNetwork,
        settings: ClusterSettings,
        seed: int,
        rng: random.Random,
        cloud: CloudService,
        checker: InvariantChecker,
        nodes: dict[str, str],
    ) -> None:
        self._loop, self._net, self._settings, self._seed, self._rng = loop, net, settings, seed, rng
        self._cloud, self._checker, self._nodes = cloud, checker, nodes
        self.machines: dict[str, MachineHost] = {}
        self.quick_boots = False  # new machines boot within two seconds
        self.gangs = GangCoordinator(micros(settings.workers.gang_wait_s), micros(settings.workers.gang_peer_s))
        # Called when a task has stopped, with worker, task, attempt and reason.
        self.on_task_stopped: Callable[[Worker, str, int, str], None] = checker.on_task_stopped
        # Called when a node has responded to a heartbeat, with the node's name and the attempts in the heartbeat.
        self.on_heartbeat_answered: Callable[[str, list[dict[str, Any]]], None] = lambda node, attempts: None
        self._completed_tasks: set[str] = set()
        self._progress: dict[str, int] = {}
        self.registry.on_rent, self.registry.on_release = self._on_rented, self.release

    @property
    def registry(self) -> MachineRegistry:
        """Returns the cloud's registry of rented machines."""
        return self._cloud.registry

    # --- lifecycle ----------------------------------------------------------------------------

    def _on_rented(self, row: dict[str, Any]) -> None:
        self._cloud.rented_at[row["ref"]] = self._loop.time()
        startup_s = deployment.MACHINE_TYPES[row["berthKind"]].boot_time_s
        delay = draw_boot_us(self._rng, startup_s) if self._loop.time() > INSTANT_BOOT_UNTIL_S else 0
        if self.quick_boots and delay:
            delay = round(self._rng.uniform(0.2, 2.0) * SECOND)
        if self._rng.random() < 0.01:
            return  # the machine never boots, but is charged until it is released
        self._loop.call_later_us(delay, None, self._boot, row)

    def _boot(self, row: dict[str, Any]) -> None:
        name = row["ref"]
        if name not in self.registry.machines:
            return
        number = int(name[3:])
        row["address"], row["status"] = f"10.1.{number // 250}.{number % 250}:9000", "running"
        rng = random.Random(f"machine {self._seed} {number}")
        host = Host(self._loop, name, ANY_HOST, "worker", f"zone:{row['harbor']}", drift=rng.uniform(0, 0.0005))
        worker = self._make_worker(row, host, rng)
        machine = MachineHost(self._net, host, worker, self._nodes, self._settings.workers, rng)
        machine.on_heartbeat_answered = self.on_heartbeat_answered
        self.machines[name] = machine
        machine.start()

    def _make_worker(self, row: dict[str, Any], host: Host, rng: random.Random) -> Worker:
        """Returns a new worker. 3 % of workers are slow, and 4 % fail most of their tasks."""
        machine_type = deployment.MACHINE_TYPES[row["berthKind"]]
        worker = Worker(
            host.steady,
            row["ref"],
            row["address"],
            machine_type.name,
            row["harbor"],
            row["driftwood"],
            machine_type.cpus,
            self._job_body,
            micros(self._settings.workers.lease_s),
            machine_type,
            self.gangs,
        )
        worker.completed_tasks, worker.progress = self._completed_tasks, self._progress
        worker.speed = rng.uniform(0.92, 1.05) if rng.random() > 0.03 else 0.3
        worker.runtime_us = self._runtime_us
        worker.failure_delay_us = self._make_failure_delay(rng, faulty=rng.random() < 0.04)
        worker.on_task_started, worker.on_task_stopped = self._checker.on_task_started, self.on_task_stopped
        return worker

    def _make_failure_delay(self, rng: random.Random, *, faulty: bool) -> Callable[[str, dict[str, Any]], int | None]:
        """Returns a function that draws the time after which a task of this worker fails; None: it does not fail."""

        def failure_delay_us(task: str, job: dict[str, Any]) -> int | None:
            is_flaky = random.Random(f"flaky {self._seed} {task}").random() < 0.06 and rng.random() < 0.6
            if self._checker.jobs[str(job["ref"])].always_fails or (faulty and rng.random() < 0.7) or is_flaky:
                return rng.randrange(200_000, 4_000_000)
            return None

        return failure_delay_us

    def _job_body(self, job_id: str) -> dict[str, Any] | None:
        job = self._checker.jobs.get(job_id)
        return job.body if job is not None and job.submit_at <= self._loop.time() else None

    def _runtime_us(self, task: str, job: dict[str, Any]) -> int:
        """Returns a task's actual run time: 0.6 to 1.5 times the estimate, since estimates are off by half and more."""
        return micros(float(job["voyageS"]) * random.Random(f"{self._seed} {task}").uniform(0.6, 1.5))

    # --- termination ---------------------------------------------------------------------------

    def release(self, name: str, reason: str = "released") -> None:
        """Terminates a machine that the cloud has removed from its registry, with all its tasks."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            machine.terminate(reason)

    def kill(self, name: str) -> None:
        """Terminates a machine; the cloud lists it as failed `FAILURE_LISTING_DELAY` later."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            machine.terminate("died")
            self._loop.call_later_us(FAILURE_LISTING_DELAY, None, self._list_as_failed, name)

    def _list_as_failed(self, name: str) -> None:
        if name in self.registry.machines:
            self.registry.machines[name]["status"] = "failed"

    def reclaim(self, machine: MachineHost, notice_s: float) -> None:
        """Reclaims a spot machine after a notice; 0 means without notice."""
        if notice_s > 0:
            machine.worker.reclaimed_at = machine.host.steady() + micros(notice_s)
            machine.worker.on_change()
        self._loop.call_later_us(micros(notice_s), None, self._complete_reclaim, machine.host.name)

    def _complete_reclaim(self, name: str) -> None:
        if self.registry.machines.pop(name, None) is not None:
            self.release(name, "taken")

    # --- sampling ------------------------------------------------------------------------------

    def sample(self, count: int) -> list[MachineHost]:
        """Returns up to `count` machines, chosen at random and in random order."""
        names = sorted(self.machines)
        return [self.machines[name] for name in self._rng.sample(names, min(count, len(names)))]
