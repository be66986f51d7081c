"""Fixtures that start real cells."""

import json
import signal
import time

import pytest

from standins.cell import Cell, request_json, wait_until
from tests.integration import callers

TICKET = {
    "number": 1,
    "workspaces": [{"name": "depot"}, {"name": "yard"}],
    "services": [{"name": "estimates", "deadline_s": 5, "idempotent_methods": ["GET"]}],
}


class Bench:
    """A cell with its outside, and what was asked of it."""

    def __init__(self, cell):
        self.cell = cell
        self.jobs = {}
        self.stopped = {}

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

    def show(self, job_id):
        for address in self.cell.addresses:
            status, value = request_json(address, f"/v1/jobs/{job_id}")
            if status == 200:
                return value
        return {}

    def wait_finished(self, job_id, wait_s=40.0):
        wait_until(
            lambda: self.show(job_id).get("finished_at"), wait_s, f"{job_id} to finish"
        )
        return self.show(job_id)

    def wait_known(self, upstreams, workers, wait_s=30.0):
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
        self.stopped.setdefault(name, []).append((time.time(), float("inf")))

    def wake_worker(self, name):
        began, _ = self.stopped[name].pop()
        self.stopped[name].append((began, time.time()))
        self.cell.signal(name, signal.SIGCONT)

    def kill_worker(self, name):
        self.cell.kill(name)
        self.stopped.setdefault(name, []).append((time.time(), time.time()))

    def check(self, records=()):
        callers.check_requests(self.cell, list(records))
        callers.check_tasks(self.cell, self.jobs, stopped=self.stopped)


@pytest.fixture
def start_bench(tmp_path):
    """Return a function that starts a cell with upstreams and workers."""
    cells = []

    def start(*, upstreams=2, workers=2, **options):
        cell = Cell(tmp_path / "cell", **options)
        cells.append(cell)
        cell.start()
        bench = Bench(cell)
        assert bench.apply_ticket(TICKET)[0] == 200
        for number in range(upstreams):
            cell.start_upstream(f"u{number}", "estimates")
        for number in range(workers):
            cell.start_worker(f"w{number}", rack=f"r{number}")
        if upstreams or workers:
            bench.wait_known(upstreams, workers)
        return bench

    yield start
    for cell in cells:
        cell.kill_all()
