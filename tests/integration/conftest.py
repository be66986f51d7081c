"""Fixtures that start cells of real processes."""

import json
import signal
import time

import pytest

from standins.cell import Cell, request_json, wait_until
from tests.integration import callers
from tests.integration.deployment import run_deployment

TICKET = {
    "number": 1,
    "workspaces": [{"name": "depot"}, {"name": "yard"}],
    "services": [{"name": "estimates", "deadline_s": 5, "idempotent_methods": ["GET"]}],
}


class CellHarness:
    """A cell with stand-ins that records the submitted jobs and stopped workers.

    Attributes:
        cell: The cell.
        jobs: Accepted jobs, by ID.
        stopped_spans: Spans (start, end) in which a worker was frozen, by worker; both
            times are equal if it was killed.
    """

    def __init__(self, cell):
        self.cell = cell
        self.jobs = {}
        self.stopped_spans = {}

    def apply_ticket(self, ticket, address=None):
        body = json.dumps(ticket).encode()
        return request_json(
            address or self.cell.addresses[0], "/v1/tickets", "POST", body
        )

    def submit(self, job_id, *, address=None, run_s=0.3, **fields):
        job = {
            "id": job_id,
            "workspace": "depot",
            "need": {"cpu_millis": 1000, "memory_mb": 100},
            "payload": json.dumps({"run_s": run_s}),
            **fields,
        }
        body = json.dumps(job).encode()
        status, value = request_json(
            address or self.cell.addresses[-1], "/v1/jobs", "POST", body
        )
        if status == 202:
            self.jobs[job_id] = job
        return status, value

    def get_job(self, job_id):
        for address in self.cell.addresses:
            status, value = request_json(address, f"/v1/jobs/{job_id}")
            if status == 200:
                return value
        return {}

    def wait_for_job(self, job_id, wait_s=40.0):
        wait_until(
            lambda: self.get_job(job_id).get("finished_at"),
            wait_s,
            f"{job_id} to finish",
        )
        return self.get_job(job_id)

    def wait_for_announcements(self, upstreams, workers, wait_s=30.0):
        def is_known():
            status, value = request_json(self.cell.addresses[-1], "/v1/status")
            return (
                status == 200
                and len(value["upstreams"]) >= upstreams
                and value["workers"]["live"] >= workers
            )

        wait_until(is_known, wait_s, "upstreams and workers")

    def freeze_worker(self, name):
        self.cell.signal(name, signal.SIGSTOP)
        self.stopped_spans.setdefault(name, []).append((time.time(), float("inf")))

    def resume_worker(self, name):
        started_at, _ = self.stopped_spans[name].pop()
        self.stopped_spans[name].append((started_at, time.time()))
        self.cell.signal(name, signal.SIGCONT)

    def kill_worker(self, name):
        self.cell.kill(name)
        self.stopped_spans.setdefault(name, []).append((time.time(), time.time()))

    def check(self, records=()):
        callers.check_requests(self.cell, list(records))
        callers.check_tasks(self.cell, self.jobs, stopped_spans=self.stopped_spans)


@pytest.fixture
def start_harness(tmp_path):
    """Return a function that starts a cell with upstreams and workers.

    All processes are killed after the test.
    """
    cells = []

    def start(*, upstreams=2, workers=2, **options):
        cell = Cell(tmp_path / "cell", **options)
        cells.append(cell)
        cell.start()
        harness = CellHarness(cell)
        assert harness.apply_ticket(TICKET)[0] == 200
        for number in range(upstreams):
            cell.start_upstream(f"u{number}", "estimates")
        for number in range(workers):
            cell.start_worker(f"w{number}", rack=f"r{number}")
        if upstreams or workers:
            harness.wait_for_announcements(upstreams, workers)
        return harness

    yield start
    for cell in cells:
        cell.kill_all()


@pytest.fixture
def deployment(tmp_path):
    """Three instances with a disk and one without, two workers and a queue."""
    with run_deployment(tmp_path) as deployment:
        yield deployment
