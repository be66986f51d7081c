"""Whether a run is started again only once the one before it cannot go on any more.

Forwarders stand between the instances, which are real processes, and some workers. What
they do to connections tells nothing about the workers' runs. Each test checks the
ledgers of the workers: two runs of a task must never overlap.
"""

import time

import pytest

from standins.cell import wait_until
from standins.forwarder import Forwarder
from tests.integration.deployment import WAIT_S, create_job

#: Run time of a task, in seconds: it outlasts the faults that are shorter than a lease.
RUN_S = 4.0

JOB = "0000000000000001"

#: Tasks that fill a worker at first, and the four workers.
TASKS_PER_WORKER = 4
TASKS = 16
TASK_CPU = 500


class ForwardedDeployment:
    """A deployment with two more workers, which are behind forwarders."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.forwarders = [Forwarder() for _ in range(2)]
        for number, forwarder in enumerate(self.forwarders, start=3):
            deployment.add_worker(f"w{number}", forwarder=forwarder)
        self.forwarded_workers = deployment.workers[2:]
        for worker in deployment.workers:
            worker.run_s = RUN_S

    def fill_workers(self):
        """Submit a job that fills all workers, then make room beside the forwarders."""
        self.set_capacity(self.deployment.workers, TASKS_PER_WORKER * TASK_CPU)
        job = create_job([{"Count": TASKS, "Cpu": TASK_CPU}])
        assert self.deployment.call_queue("POST", JOB, job)[0] == 200
        wait_until(lambda: self.count("start") >= TASKS, WAIT_S, "the tasks to start")
        self.set_capacity(self.deployment.workers[:2], TASKS * TASK_CPU)
        assert all(worker.running for worker in self.forwarded_workers)

    def set_capacity(self, workers, cpu_millis):
        for worker in workers:
            worker.cpu_millis = cpu_millis
        wait_until(
            lambda: all(
                x.fencing_token and x.acknowledged_cpu_millis == cpu_millis
                for x in workers
            ),
            WAIT_S,
            "the leader to know the workers",
        )

    def count(self, kind):
        """Return the number of entries of a kind in the ledgers."""
        return sum(
            entry[1] == kind
            for worker in self.deployment.workers
            for entry in list(worker.ledger)
        )

    def check(self):
        """Wait for the job and check that no task was started beside a run of it."""
        wait_until(
            lambda: self.deployment.find_state(JOB) == "completed", WAIT_S, "the job"
        )
        assert len(self.deployment.check_ledgers()) == TASKS

    def close(self):
        for forwarder in self.forwarders:
            forwarder.close()


@pytest.fixture
def forwarded(deployment):
    """Four workers, two of which are behind forwarders, with a running job."""
    forwarded = ForwardedDeployment(deployment)
    forwarded.fill_workers()
    yield forwarded
    forwarded.close()


# Guards against a second run beside the first: a forwarder that is restarted closes its
# connections in order and refuses new ones as a host does whose process has ended.
def test_closed_and_refused_connections_do_not_end_runs(forwarded):
    for forwarder in forwarded.forwarders:
        assert forwarder.refuse()
    time.sleep(3.0)
    for forwarder in forwarded.forwarders:
        forwarder.accept()
    forwarded.check()
