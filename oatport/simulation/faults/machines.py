"""Faults of rented machines: hangs, deaths, reclamations, restarts within a moment, and unusually quick boots."""

from __future__ import annotations

from oatport.simulation.fault_plan import Fault
from oatport.simulation.faults import EndFault, Handlers
from oatport.simulation.machine_host import MachineHost
from oatport.simulation.simulated_deployment import SimulatedDeployment
from oatport.simulation.worker import Worker
from oatport.times import SECOND, micros


class MachineFaults:
    """What happens to machines, most of them chosen at random."""

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
        """Some machines hang for the time of the fault."""
        self.hang(self._machines.sample(fault.count), fault.for_s)

    def hang(self, machines: list[MachineHost], for_s: float) -> None:
        """Machines execute nothing for a while; then they go on."""
        hung = [machine for machine in machines if not machine.host.frozen]
        for machine in hung:
            machine.host.freeze()
            self._end_at_lease(machine)

        def end() -> None:
            for machine in hung:
                if not machine.host.dead:
                    machine.worker.on_resumed_after_hang(micros(for_s))
                    machine.host.thaw()

        self._deployed.loop.call_later_us(round(for_s * SECOND), None, end)

    def _end_at_lease(self, machine: MachineHost) -> None:
        """Within its lease a machine that hangs may go on at any time (PROTOCOL); after it nothing is left to go on."""
        if not machine.host.frozen or machine.host.dead:
            return
        left = machine.worker.lease_renewed_at + machine.worker.lease_us - machine.host.steady()
        if left < 0:
            machine.worker.kill("lease")
        else:
            self._deployed.loop.call_later_us(left + 1000, None, self._end_at_lease, machine)

    def kill_some(self, fault: Fault) -> None:
        """Some machines die."""
        for machine in self._machines.sample(fault.count):
            self._machines.kill(machine.host.name)

    def kill_at_gang_completion(self, fault: Fault) -> EndFault:
        """A gang has completed, and a machine of it dies before it can report it."""
        gangs, rng = self._machines.gangs, self._deployed.rng
        before = gangs.on_completed

        def on_completed(mates: list[Worker]) -> None:
            name = rng.choice(mates).name
            if rng.random() < fault.amount and name in self._machines.machines:
                self._deployed.loop.call_later_us(0, None, self._machines.kill, name)

        def end() -> None:
            gangs.on_completed = before

        gangs.on_completed = on_completed
        return end

    def reclaim_spot_machines(self, fault: Fault) -> None:
        """The cloud takes some spot machines back."""
        spot = [machine for machine in self._machines.sample(10**6) if machine.worker.spot]
        for machine in spot[: fault.count]:
            self._machines.reclaim(machine, fault.amount)

    def restart_some(self, fault: Fault) -> None:
        """Some machines end and are back at once, empty; `amount`: their agent epochs begin anew."""
        for machine in self._machines.sample(fault.count):
            if not machine.host.frozen:
                machine.worker.restart(anew=fault.amount > 0)

    def boot_quickly(self, fault: Fault) -> EndFault:
        """New machines are up within two seconds."""
        self._machines.quick_boots = True

        def end() -> None:
            self._machines.quick_boots = False

        return end
