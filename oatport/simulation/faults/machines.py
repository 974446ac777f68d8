"""Faults of rented machines: hangs, crashes, reclamations, immediate restarts, and unusually quick boots."""

from __future__ import annotations

from oatport.simulation.fault_plan import Fault
from oatport.simulation.faults import EndFault, Handlers
from oatport.simulation.machine_host import MachineHost
from oatport.simulation.simulated_deployment import SimulatedDeployment
from oatport.simulation.worker import Worker
from oatport.times import SECOND, micros


class MachineFaults:
    """Injects faults of machines, most of which are chosen at random."""

    def __init__(self, deployed: SimulatedDeployment) -> None:
        self._deployed, self._machines = deployed, deployed.machines
        self.handlers: Handlers = {
            "machine_hang": self.hang_some,
            "machine_die": self.kill_some,
            "die_at_end": self.kill_at_gang_completion,
            "machines_taken": self.reclaim_spot_machines,
            "machine_blink": self.restart_some,
            "quick_boots": self.boot_quickly,
        }

    def hang_some(self, fault: Fault) -> None:
        """Makes some machines hang for the duration of the fault."""
        self.hang(self._machines.sample(fault.count), fault.for_s)

    def hang(self, machines: list[MachineHost], for_s: float) -> None:
        """Suspends machines for a number of seconds, after which they continue."""
        hung = [machine for machine in machines if not machine.host.frozen]
        for machine in hung:
            machine.host.freeze()
            self._kill_at_lease_end(machine)

        def end() -> None:
            for machine in hung:
                if not machine.host.dead:
                    machine.worker.on_resumed_after_hang(micros(for_s))
                    machine.host.thaw()

        self._deployed.loop.call_later_us(round(for_s * SECOND), None, end)

    def _kill_at_lease_end(self, machine: MachineHost) -> None:
        """Kills the tasks of a hanging machine when its lease ends.

        A machine that hangs may continue at any time within its lease (PROTOCOL); after the lease no task is left.
        """
        if not machine.host.frozen or machine.host.dead:
            return
        remaining_us = machine.worker.lease_renewed_at + machine.worker.lease_us - machine.host.steady()
        if remaining_us < 0:
            machine.worker.kill("lease")
        else:
            self._deployed.loop.call_later_us(remaining_us + 1000, None, self._kill_at_lease_end, machine)

    def kill_some(self, fault: Fault) -> None:
        """Terminates some machines without notice."""
        for machine in self._machines.sample(fault.count):
            self._machines.kill(machine.host.name)

    def kill_at_gang_completion(self, fault: Fault) -> EndFault:
        """Terminates a machine of the share `amount` of completed gangs before it can report the completion."""
        gangs, rng = self._machines.gangs, self._deployed.rng
        previous_handler = gangs.on_completed

        def on_completed(members: list[Worker]) -> None:
            name = rng.choice(members).name
            if rng.random() < fault.amount and name in self._machines.machines:
                self._deployed.loop.call_later_us(0, None, self._machines.kill, name)

        def end() -> None:
            gangs.on_completed = previous_handler

        gangs.on_completed = on_completed
        return end

    def reclaim_spot_machines(self, fault: Fault) -> None:
        """Makes the cloud reclaim some spot machines; `amount` is its notice in seconds."""
        spot = [machine for machine in self._machines.sample(10**6) if machine.worker.spot]
        for machine in spot[: fault.count]:
            self._machines.reclaim(machine, fault.amount)

    def restart_some(self, fault: Fault) -> None:
        """Restarts some machines at once without their tasks; if `amount` > 0 their worker epochs begin at 1 again.

        Copies of direct messages that they executed before arrive afterwards.
        """
        for machine in self._machines.sample(fault.count):
            if not machine.host.frozen:
                machine.restart(reset_epoch=fault.amount > 0)

    def boot_quickly(self, fault: Fault) -> EndFault:
        """Makes new machines boot within two seconds."""
        self._machines.quick_boots = True

        def end() -> None:
            self._machines.quick_boots = False

        return end
