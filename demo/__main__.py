"""Starts a small cell, sends it the users' main requests and prints what happened.

Exits with 0 only if every answer was right.
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

SCANS = 24
RECONCILIATIONS = 6


class Demo:
    """One run of the demonstration.

    Args:
        folder: Folder for settings, data and ledgers.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.cell = Cell(folder)
        self.faults: list[str] = []

    def run(self) -> None:
        """Run all steps."""
        began = time.monotonic()
        self.start_cell()
        self.apply_ticket()
        self.start_outside()
        self.scan_pallets()
        self.issue_once()
        self.run_batch()
        self.run_gang()
        self.stop()
        say(f"finished in {time.monotonic() - began:.1f} s")

    def expect(self, holds: bool, what: str) -> None:
        """Note a wrong answer."""
        if not holds:
            self.faults.append(what)
            say(f"  WRONG: {what}")

    def start_cell(self) -> None:
        """Check the settings and start five instances."""
        for name in self.cell.names:
            self.cell.write_settings(name)
        paths = [str(self.cell.get_settings_path(name)) for name in self.cell.names]
        say(self.cell.run_cli("check-settings", *paths).strip())
        self.cell.start()
        say(
            f"cell serves: leader {self.cell.find_leader()}, instances "
            f"{', '.join(self.cell.names)}"
        )

    def apply_ticket(self) -> None:
        """Put ticket 1 in force."""
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
        say(f"ticket 1: {answer.splitlines()[2].removeprefix('reason: ')}")
        began = time.monotonic()
        wait_until(self.is_in_force, 5.0, "ticket 1 in force everywhere")
        say(
            f"ticket 1 is in force on all instances after "
            f"{time.monotonic() - began:.2f} s"
        )

    def is_in_force(self) -> bool:
        """Return whether every instance has ticket 1."""
        return all(
            request_json(x, "/v1/instance")[1]["ticket"] == 1
            for x in self.cell.addresses
        )

    def start_outside(self) -> None:
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
        say("2 upstreams and 3 workers have announced themselves")

    def scan_pallets(self) -> None:
        """Send scans through every instance; each gets its own answer."""
        waits = []
        for number in range(SCANS):
            address = self.cell.addresses[number % len(self.cell.addresses)]
            scan = json.dumps({"pallet": number}).encode()
            began = time.monotonic()
            status, headers, answer = post(
                address,
                "/services/estimates/scan",
                scan,
                {"bluebellyoke-workspace": "depot-ipoh", "x-caller": f"scan-{number}"},
            )
            waits.append(time.monotonic() - began)
            right = status == 200 and answer["caller"] == f"scan-{number}"
            right = right and answer["body"] == scan.decode()
            self.expect(right, f"scan {number}: {status} {answer}")
            self.expect(headers.get("bluebellyoke-outcome") == "done", "outcome header")
        waits.sort()
        say(
            f"{SCANS} pallet scans through 5 instances: all answered, median "
            f"{waits[len(waits) // 2] * 1e3:.1f} ms, longest {waits[-1] * 1e3:.1f} ms"
        )

    def issue_once(self) -> None:
        """Send one request with a key twice; it runs once."""
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
        self.expect(runs == 1, f"slip 77 ran {runs} times")
        self.expect(answers[0][2] == answers[1][2], "both answers alike")
        say(
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

    def wait_job(self, job_id: str) -> dict:
        """Wait until a job has finished and return its report."""
        report: dict = {}

        def has_finished() -> bool:
            status, value = request_json(self.cell.addresses[1], f"/v1/jobs/{job_id}")
            report.update(value)
            return status == 200 and bool(value["finished_at"])

        wait_until(has_finished, 20.0, f"{job_id} to finish")
        return report

    def count_runs(self, job_id: str) -> dict[int, list[tuple[str, float, float]]]:
        """Return worker, start and end of each run of a job, by task."""
        runs: dict[int, list] = {}
        for name in ("w1", "w2", "w3"):
            starts = {}
            for event in read_ledger(self.folder / f"{name}.ledger"):
                if event["job"] != job_id:
                    continue
                if event["event"] == "start":
                    starts[event["task"]] = event["at"]
                else:
                    begun = starts[event["task"]]
                    runs.setdefault(event["task"], []).append(
                        (name, begun, event["at"])
                    )
        return runs

    def run_batch(self) -> None:
        """Run the night's stock reconciliations, each once."""
        job = {
            "id": "stock-night",
            "workspace": "depot-ipoh",
            "kind": "batch",
            "tasks": RECONCILIATIONS,
            "need": {"cpu_millis": 4000, "memory_mb": 1000},
            "payload": json.dumps({"run_s": 0.3}),
        }
        self.submit(job)
        self.submit(job)
        report = self.wait_job("stock-night")
        runs = self.count_runs("stock-night")
        once = all(len(items) == 1 for items in runs.values())
        self.expect(report["state"] == "done", f"batch is {report['state']}")
        self.expect(len(runs) == RECONCILIATIONS and once, f"batch ran {runs}")
        places = ", ".join(f"{task} on {x[0][0]}" for task, x in sorted(runs.items()))
        wait = report["first_start_at"] - report["submitted_at"]
        say(
            f"batch stock-night, submitted twice: every task ran once ({places}), "
            f"first placed after {wait * 1e3:.0f} ms"
        )

    def run_gang(self) -> None:
        """Run a gang job; all members start together."""
        job = {
            "id": "dossier-gang",
            "workspace": "depot-kulim",
            "kind": "gang",
            "tasks": 5,
            "need": {"cpu_millis": 8000, "memory_mb": 2000},
            "payload": json.dumps({"run_s": 1.0}),
        }
        self.submit(job)
        report = self.wait_job("dossier-gang")
        runs = self.count_runs("dossier-gang")
        starts = [items[0][1] for items in runs.values()]
        ends = [items[0][2] for items in runs.values()]
        together = len(runs) == 5 and max(starts) < min(ends)
        self.expect(report["state"] == "done", f"gang is {report['state']}")
        self.expect(together, f"gang members did not run together: {runs}")
        say(
            f"gang dossier-gang: 5 members on {len({x[0][0] for x in runs.values()})} "
            f"workers, started within {(max(starts) - min(starts)) * 1e3:.0f} ms"
        )

    def stop(self) -> None:
        """Stop everything gracefully while requests go on, and cut none."""
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
        whole = outcomes == [(200, "done")] * 4
        self.expect(whole, f"requests during the drain: {outcomes}")
        codes = self.cell.stop_all()
        self.expect(not any(codes.values()), f"exit codes {codes}")
        say(
            "instance i5 drained with 4 requests in hand: none was cut; "
            "everything stopped gracefully"
        )


def post(address: str, path: str, body: bytes, headers: dict[str, str]):
    """Return status, headers and JSON answer of one caller's request."""
    with httpcore.ConnectionPool() as pool:
        response = pool.request(
            "POST", f"http://{address}{path}", headers=headers, content=body
        )
    found = {k.decode().lower(): v.decode() for k, v in response.headers}
    return response.status, found, json.loads(response.content)


def say(line: str) -> None:
    """Print a line at once."""
    print(line, flush=True)


def main() -> None:
    """Run the demonstration in a folder of its own."""
    folder = Path(tempfile.mkdtemp(prefix="bluebellyoke-demo-"))
    demo = Demo(folder)
    try:
        demo.run()
    except (TimeoutError, RuntimeError, httpcore.NetworkError) as error:
        demo.faults.append(str(error))
        say(f"WRONG: {error}")
    finally:
        demo.cell.kill_all()
    if demo.faults:
        say(f"{len(demo.faults)} wrong answers; logs are in {folder}")
        sys.exit(1)
    shutil.rmtree(folder)
    say("all answers were right")


if __name__ == "__main__":
    main()
