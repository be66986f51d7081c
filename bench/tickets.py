"""Time from a ticket's sending until every instance has it in force."""

import json
import shutil
import tempfile
import threading
import time
from pathlib import Path

from bench.report import emit
from bench.workload import compute_quantile
from standins.cell import Cell, request_json

TICKETS = 60


def measure(replicas=3, entries=9):
    """Measure with twelve instances on one machine."""
    folder = Path(tempfile.mkdtemp(prefix="bluebellyoke-bench-"))
    cell = Cell(folder, replicas=replicas, entries=entries)
    try:
        cell.start(60)
        spans = [apply(cell, number) for number in range(1, TICKETS + 1)]
    finally:
        cell.kill_all()
        shutil.rmtree(folder)
    size = {"instances": replicas + entries, "tickets": TICKETS}
    for name, fraction in (("p50", 0.5), ("p99", 0.99), ("max", 1.0)):
        emit(f"tickets.in_force_{name}", compute_quantile(spans, fraction), "s", **size)


def apply(cell, number):
    """Apply a ticket and return the seconds until all instances have it."""
    ticket = {"number": number, "workspaces": [{"name": "w", "share": number}]}
    began = time.monotonic()
    address = cell.addresses[number % len(cell.addresses)]
    status, _ = request_json(
        address, "/v1/tickets", "POST", json.dumps(ticket).encode()
    )
    assert status == 200
    ends = []

    def watch(address):
        while request_json(address, "/v1/instance")[1].get("ticket", 0) < number:
            time.sleep(0.002)
        ends.append(time.monotonic() - began)

    threads = [threading.Thread(target=watch, args=(x,)) for x in cell.addresses]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return max(ends)


def main():
    """Measure the size of today."""
    measure()


if __name__ == "__main__":
    main()
