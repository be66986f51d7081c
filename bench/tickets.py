"""Time from sending a ticket until it is in force on every instance."""

import json
import shutil
import tempfile
import threading
import time
from pathlib import Path

from bench.report import emit
from bench.workload import compute_quantile
from standins.cell import Cell, request_json

TICKET_COUNT = 60


def measure_deployment(replicas=3, non_replicas=9):
    """Measure with 12 instances on one host."""
    folder = Path(tempfile.mkdtemp(prefix="bluebellyoke-bench-"))
    cell = Cell(folder, replicas=replicas, non_replicas=non_replicas)
    try:
        cell.start(60)
        durations_s = [
            measure_propagation(cell, number) for number in range(1, TICKET_COUNT + 1)
        ]
    finally:
        cell.kill_all()
        shutil.rmtree(folder)
    parameters = {"instances": replicas + non_replicas, "tickets": TICKET_COUNT}
    for name, fraction in (("p50", 0.5), ("p99", 0.99), ("max", 1.0)):
        emit(
            f"tickets.in_force_{name}",
            compute_quantile(durations_s, fraction),
            "s",
            **parameters,
        )


def measure_propagation(cell, number):
    """Apply a ticket and return the seconds until it is in force on all instances."""
    ticket = {"number": number, "workspaces": [{"name": "w", "share": number}]}
    started_at = time.monotonic()
    address = cell.addresses[number % len(cell.addresses)]
    status, _ = request_json(
        address, "/v1/tickets", "POST", json.dumps(ticket).encode()
    )
    assert status == 200
    delays_s = []

    def wait_for_ticket(address):
        while request_json(address, "/v1/instance")[1].get("ticket", 0) < number:
            time.sleep(0.002)
        delays_s.append(time.monotonic() - started_at)

    threads = [
        threading.Thread(target=wait_for_ticket, args=(x,)) for x in cell.addresses
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return max(delays_s)


def main():
    """Measure with the users' current number of instances."""
    measure_deployment()


if __name__ == "__main__":
    main()
