"""Unusual requests of users: cancellations at chosen times, reads right after status changes, invalid submissions."""

from __future__ import annotations

import asyncio

from oatport.simulation.fault_plan import Fault
from oatport.simulation.faults import EndFault, Handlers
from oatport.simulation.faults.machines import MachineFaults
from oatport.simulation.simulated_deployment import SimulatedDeployment
from oatport.simulation.submitted_job import SubmittedJob
from oatport.times import SECOND

MAX_HUNG_MACHINES = 8  # machines that hang when running jobs are cancelled at once
DEPENDENCY_CANCEL_SHARE = 0.7  # share that is cancelled at completion, of the jobs that others depend on


class UserFaults:
    """Sends users' requests at times at which they interact with other events."""

    def __init__(self, deployed: SimulatedDeployment, machine_faults: MachineFaults) -> None:
        self._deployed, self._machine_faults = deployed, machine_faults
        self._loop, self._rng, self._checker = deployed.loop, deployed.rng, deployed.checker
        self.handlers: Handlers = {
            "rush": self.ignore_workload_fault,
            "singles": self.ignore_workload_fault,
            "long_lists": self.ignore_workload_fault,
            "small_tasks": self.ignore_workload_fault,
            "users_cancel": self.cancel_unfinished_jobs,
            "cancel_now": self.cancel_running_jobs,
            "cancel_needed": self.cancel_dependencies,
            "cancel_at_end": self.cancel_at_completion,
            "close_looks": self.read_after_status_changes,
            "odd_requests": self.send_odd_requests,
        }

    def ignore_workload_fault(self, fault: Fault) -> None:
        """Does nothing: the workload generator has already included the jobs of this fault."""

    # --- cancellations -------------------------------------------------------------------------

    def _cancel(self, job: SubmittedJob) -> None:
        self._loop.create_task(self._deployed.users[job.job_id].cancel(), context=self._deployed.users_host.context)

    def _cancel_at(self, job: SubmittedJob, now: float, at: float) -> None:
        job.cancel_at = at
        self._loop.call_later_us(round((at - now) * SECOND), None, self._cancel, job)

    def cancel_unfinished_jobs(self, fault: Fault) -> None:
        """Makes the users of `count` unfinished jobs cancel within `amount` seconds; 0: at their next poll."""
        now = self._loop.time()
        jobs = [job for job in self._checker.jobs.values() if job.is_cancellable]
        for job in self._rng.sample(jobs, min(fault.count, len(jobs))):
            if fault.amount > 0:
                self._cancel_at(job, now, now + self._rng.uniform(0, fault.amount))
            else:
                job.cancel_at = now

    def cancel_running_jobs(self, fault: Fault) -> None:
        """Makes users cancel `count` running jobs at once; some of the jobs' machines hang for `amount` seconds."""
        now = self._loop.time()
        running = {task.rsplit("/", 1)[0]: location.worker for task, location in self._checker.locations.items()}
        jobs = [job for job_id, job in self._checker.jobs.items() if job_id in running and job.is_cancellable]
        jobs = self._rng.sample(jobs, min(fault.count, len(jobs)))
        for job in jobs:
            self._cancel_at(job, now, now + self._rng.uniform(0, 0.2))
        if fault.amount > 0:
            machines = self._deployed.machines.machines
            names = list(dict.fromkeys(running[job.job_id].name for job in jobs))[:MAX_HUNG_MACHINES]
            self._machine_faults.hang([machines[name] for name in names if name in machines], fault.amount)

    def _dependencies(self) -> list[SubmittedJob]:
        """Returns the jobs that others depend on, each once."""
        return list(
            {
                id(dependency): dependency for job in self._checker.jobs.values() for dependency in job.dependencies
            }.values()
        )

    def cancel_dependencies(self, fault: Fault) -> None:
        """Makes the users of `count` jobs that others depend on cancel them at once."""
        now = self._loop.time()
        jobs = [job for job in self._dependencies() if job.is_cancellable]
        for job in self._rng.sample(jobs, min(fault.count, len(jobs))):
            job.cancel_at = now
            self._cancel(job)

    def cancel_at_completion(self, fault: Fault) -> EndFault:
        """Makes users cancel jobs as the last task ends; the first recorded completion or cancellation counts."""
        previous_handler = self._checker.on_job_completed
        dependencies = {job.job_id for job in self._dependencies()}

        def on_completed(job: SubmittedJob) -> None:
            probability = fault.amount or (DEPENDENCY_CANCEL_SHARE if job.job_id in dependencies else 0.0)
            if (
                probability
                and job.cancel_at is None
                and job.accepted_at is not None
                and self._rng.random() < probability
            ):
                job.cancel_at = self._loop.time()
                # The completion is reported and written at about this time.
                delay = self._rng.randrange(400_000) if fault.amount else 0
                self._loop.call_later_us(delay, None, self._cancel, job)

        def end() -> None:
            self._checker.on_job_completed = previous_handler

        self._checker.on_job_completed = on_completed
        return end

    # --- reads and odd requests ----------------------------------------------------------------

    def read_after_status_changes(self, fault: Fault) -> EndFault:
        """Makes users poll all nodes as soon as a job is accepted, done or cancelled; some cancel at once."""

        def on_status_change(job: SubmittedJob) -> None:
            self._loop.call_later_us(self._rng.randrange(5_000), None, self._query_all_nodes, job)

        def end() -> None:
            self._checker.on_status_change = lambda job: None

        self._checker.on_status_change = on_status_change
        return end

    def _query_all_nodes(self, job: SubmittedJob) -> None:
        user = self._deployed.users[job.job_id]
        query = user.query_all_nodes(self._deployed.nodes.user_addresses, self._rng.random() < 0.1)
        self._loop.create_task(query, context=self._deployed.users_host.context)

    def send_odd_requests(self, fault: Fault) -> None:
        """Sends repeated submissions, cancellations of completed jobs, and jobs that can't run or lack a field."""
        ends_at = self._loop.time() + fault.for_s

        async def send() -> None:
            number = 0
            while self._loop.time() < ends_at:
                await asyncio.sleep(self._rng.uniform(0.1, 0.5))
                number += 1
                jobs = [job for job in self._checker.jobs.values() if job.accepted_at is not None]
                if jobs:
                    await self._send_odd_request(self._rng.choice(jobs), f"j-{950_000 + number:06d}")

        self._loop.create_task(send(), context=self._deployed.users_host.context)

    async def _send_odd_request(self, job: SubmittedJob, new_job_id: str) -> None:
        kind, user = self._rng.randrange(4), self._deployed.users[job.job_id]
        if kind == 0:
            await user.resubmit()
        elif kind == 1:
            if job.done_at is not None:
                await user.cancel()
        else:
            body = {**job.body, "ref": new_job_id}
            if kind == 2:
                body["cores"] = 10_000.0
            else:
                del body[self._rng.choice(["cargo", "crew", "rig", "legs", "cores", "hull"])]
            status = await user.submit_other(body)
            self._checker.on_invalid_submission(body, status, (422,) if kind == 2 else (400,))
