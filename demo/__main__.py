"""Starts a small cell, sends it the users' main requests and prints the results.

Exits with status 0 only if every check passed.
"""

import json
import shutil
import sys
import tempfile
import threading
import time
from pathlib import Path

import httpcore

from standins.cell import Cell, request_json, wait_until
from standins.ledger import read_ledger

SCAN_COUNT = 24
RECONCILIATION_TASKS = 6


class Demo:
    """A run of the demonstration.

    Args:
        folder: Folder for settings, data and ledgers.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.cell = Cell(folder)
        self.failures: list[str] = []

    def run(self) -> None:
        """Run all steps."""
        started_at = time.monotonic()
        self.start_cell()
        self.apply_ticket()
        self.start_upstreams_and_workers()
        self.scan_pallets()
        self.send_keyed_request_twice()
        self.run_batch()
        self.run_gang()
        self.stop_gracefully()
        print_line(f"finished in {time.monotonic() - started_at:.1f} s")

    def check(self, condition: bool, description: str) -> None:
        """Print and record a failure unless the condition is true."""
        if not condition:
            self.failures.append(description)
            print_line(f"  FAILED: {description}")

    def start_cell(self) -> None:
        """Check the settings and start five instances."""
        for name in self.cell.names:
            self.cell.write_settings(name)
        paths = [str(self.cell.get_settings_path(name)) for name in self.cell.names]
        print_line(self.cell.run_cli("check-settings", *paths).strip())
        self.cell.start()
        print_line(
            f"cell serves: leader {self.cell.find_leader()}, instances "
            f"{', '.join(self.cell.names)}"
        )

    def apply_ticket(self) -> None:
        """Apply ticket 1 and wait until it is in force on all instances."""
        ticket = {
            "number": 1,
            "workspaces": [
                {"name": "depot-ipoh", "share": 1},
                {"name": "depot-kulim", "share": 1},
            ],
            "services": [{"name": "estimates", "deadline_s": 5}],
        }
        path = self.folder / "ticket-1.json"
        path.write_text(json.dumps(ticket))
        server = self.cell.addresses[4]
        answer = self.cell.run_cli("ticket", "apply", str(path), "--server", server)
        print_line(f"ticket 1: {answer.splitlines()[2].removeprefix('reason: ')}")
        started_at = time.monotonic()
        wait_until(self.is_in_force, 5.0, "ticket 1 in force everywhere")
        print_line(
            f"ticket 1 is in force on all instances after "
            f"{time.monotonic() - started_at:.2f} s"
        )

    def is_in_force(self) -> bool:
        """Return whether ticket 1 is in force on every instance."""
        return all(
            request_json(x, "/v1/instance")[1]["ticket"] == 1
            for x in self.cell.addresses
        )

    def start_upstreams_and_workers(self) -> None:
        """Start upstreams and workers and wait until the cell knows them."""
        for number in (1, 2):
            self.cell.start_upstream(
                f"u{number}", "estimates", data_centre=f"dc{number}"
            )
        for number in (1, 2, 3):
            self.cell.start_worker(f"w{number}", rack=f"r{number}")

        def is_known() -> bool:
            status, value = request_json(self.cell.addresses[0], "/v1/status")
            return (
                status == 200
                and len(value["upstreams"]) == 2
                and value["workers"]["live"] == 3
            )

        wait_until(is_known, 20.0, "upstreams and workers")
        print_line("2 upstreams and 3 workers have announced themselves")

    def scan_pallets(self) -> None:
        """Send scans through all instances and check that each gets its own answer."""
        latencies_s = []
        for number in range(SCAN_COUNT):
            address = self.cell.addresses[number % len(self.cell.addresses)]
            scan = json.dumps({"pallet": number}).encode()
            started_at = time.monotonic()
            status, headers, answer = post(
                address,
                "/services/estimates/scan",
                scan,
                {"bluebellyoke-workspace": "depot-ipoh", "x-caller": f"scan-{number}"},
            )
            latencies_s.append(time.monotonic() - started_at)
            is_correct = status == 200 and answer["caller"] == f"scan-{number}"
            is_correct = is_correct and answer["body"] == scan.decode()
            self.check(is_correct, f"scan {number}: {status} {answer}")
            self.check(
                headers.get("bluebellyoke-outcome") == "done", "a scan is not done"
            )
        latencies_s.sort()
        print_line(
            f"{SCAN_COUNT} pallet scans through 5 instances: all answered, median "
            f"{latencies_s[len(latencies_s) // 2] * 1e3:.1f} ms, "
            f"longest {latencies_s[-1] * 1e3:.1f} ms"
        )

    def send_keyed_request_twice(self) -> None:
        """Send a request with an idempotency key twice and check that it runs once."""
        headers = {
            "bluebellyoke-workspace": "depot-kulim",
            "idempotency-key": "slip-77",
            "x-caller": "slip-77",
        }
        answers = [
            post(address, "/services/estimates/slip", b"{}", headers)
            for address in self.cell.addresses[:2]
        ]
        runs = sum(
            event["event"] == "start" and event["caller"] == "slip-77"
            for name in ("u1", "u2")
            for event in read_ledger(self.folder / f"{name}.ledger")
        )
        self.check(runs == 1, f"slip 77 ran {runs} times")
        self.check(answers[0][2] == answers[1][2], "the two answers to slip 77 differ")
        print_line(
            f"slip 77 sent twice through two instances: ran {runs} time, the second "
            f"answer was replayed: {answers[1][1].get('bluebellyoke-replayed')}"
        )

    def submit(self, job: dict) -> None:
        """Submit a job through the command line."""
        path = self.folder / f"{job['id']}.json"
        path.write_text(json.dumps(job))
        self.cell.run_cli(
            "job", "submit", str(path), "--server", self.cell.addresses[3]
        )

    def wait_for_job(self, job_id: str) -> dict:
        """Wait until a job has finished and return its report."""
        report: dict = {}

        def has_finished() -> bool:
            status, value = request_json(self.cell.addresses[1], f"/v1/jobs/{job_id}")
            report.update(value)
            return status == 200 and bool(value["finished_at"])

        wait_until(has_finished, 20.0, f"{job_id} to finish")
        return report

    def list_runs(self, job_id: str) -> dict[int, list[tuple[str, float, float]]]:
        """Return (worker, start, end) of each run of a job, by task."""
        runs: dict[int, list] = {}
        for name in ("w1", "w2", "w3"):
            starts = {}
            for event in read_ledger(self.folder / f"{name}.ledger"):
                if event["job"] != job_id:
                    continue
                if event["event"] == "start":
                    starts[event["task"]] = event["at"]
                else:
                    run_started_at = starts[event["task"]]
                    runs.setdefault(event["task"], []).append(
                        (name, run_started_at, event["at"])
                    )
        return runs

    def run_batch(self) -> None:
        """Submit a batch job twice and check that each task runs once."""
        job = {
            "id": "stock-night",
            "workspace": "depot-ipoh",
            "kind": "batch",
            "tasks": RECONCILIATION_TASKS,
            "need": {"cpu_millis": 4000, "memory_mb": 1000},
            "payload": json.dumps({"run_s": 0.3}),
        }
        self.submit(job)
        self.submit(job)
        report = self.wait_for_job("stock-night")
        runs = self.list_runs("stock-night")
        ran_once = all(len(items) == 1 for items in runs.values())
        self.check(report["state"] == "done", f"batch is {report['state']}")
        self.check(len(runs) == RECONCILIATION_TASKS and ran_once, f"batch ran {runs}")
        placements = ", ".join(
            f"{task} on {x[0][0]}" for task, x in sorted(runs.items())
        )
        wait = report["first_start_at"] - report["submitted_at"]
        print_line(
            f"batch stock-night, submitted twice: every task ran once ({placements}), "
            f"first placed after {wait * 1e3:.0f} ms"
        )

    def run_gang(self) -> None:
        """Run a gang job and check that all members run at the same time."""
        job = {
            "id": "dossier-gang",
            "workspace": "depot-kulim",
            "kind": "gang",
            "tasks": 5,
            "need": {"cpu_millis": 8000, "memory_mb": 2000},
            "payload": json.dumps({"run_s": 1.0}),
        }
        self.submit(job)
        report = self.wait_for_job("dossier-gang")
        runs = self.list_runs("dossier-gang")
        starts = [items[0][1] for items in runs.values()]
        ends = [items[0][2] for items in runs.values()]
        ran_together = len(runs) == 5 and max(starts) < min(ends)
        self.check(report["state"] == "done", f"gang is {report['state']}")
        self.check(ran_together, f"gang members did not run together: {runs}")
        print_line(
            f"gang dossier-gang: 5 members on {len({x[0][0] for x in runs.values()})} "
            f"workers, started within {(max(starts) - min(starts)) * 1e3:.0f} ms"
        )

    def stop_gracefully(self) -> None:
        """Drain an instance with requests in flight, then stop all processes."""
        address = self.cell.addresses[4]
        outcomes: list[tuple[int, str]] = []

        def call() -> None:
            status, headers, _ = post(
                address,
                "/services/estimates/sleep/1.0",
                b"",
                {"bluebellyoke-workspace": "depot-ipoh"},
            )
            outcomes.append((status, headers.get("bluebellyoke-outcome", "")))

        callers = [threading.Thread(target=call) for _ in range(4)]
        for caller in callers:
            caller.start()
        time.sleep(0.3)
        self.cell.run_cli("drain", "--server", address)
        for caller in callers:
            caller.join()
        all_done = outcomes == [(200, "done")] * 4
        self.check(all_done, f"requests during the drain: {outcomes}")
        codes = self.cell.stop_all()
        self.check(not any(codes.values()), f"exit codes {codes}")
        print_line(
            "instance i5 drained with 4 requests in flight: none was aborted; "
            "everything stopped gracefully"
        )


def post(address: str, path: str, body: bytes, headers: dict[str, str]):
    """Send a request and return status, headers and JSON answer."""
    with httpcore.ConnectionPool() as pool:
        response = pool.request(
            "POST", f"http://{address}{path}", headers=headers, content=body
        )
    response_headers = {k.decode().lower(): v.decode() for k, v in response.headers}
    return response.status, response_headers, json.loads(response.content)


def print_line(line: str) -> None:
    """Print a line and flush the output."""
    print(line, flush=True)


def main() -> None:
    """Run the demonstration in a temporary folder."""
    folder = Path(tempfile.mkdtemp(prefix="bluebellyoke-demo-"))
    demo = Demo(folder)
    try:
        demo.run()
    except (TimeoutError, RuntimeError, httpcore.NetworkError) as error:
        demo.failures.append(str(error))
        print_line(f"FAILED: {error}")
    finally:
        demo.cell.kill_all()
    if demo.failures:
        print_line(f"{len(demo.failures)} checks failed; logs are in {folder}")
        sys.exit(1)
    shutil.rmtree(folder)
    print_line("all checks passed")


if __name__ == "__main__":
    main()
