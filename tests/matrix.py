"""Fault matrix: every fault at every step, with real processes.

Run it with `make matrix`. Each case starts its own cell with callers, jobs and
concurrent operators, waits for its step, injects its fault, ends the fault and checks
the guarantees against the ledgers of the stand-ins and the records of the callers.
It prints one line per case, a table, and `N passed, N failed`.
"""

import argparse
import json
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from bluebellyoke.consensus.frames import pack_header
from standins.cell import Cell, request_json, wait_until
from standins.ledger import read_ledger
from tests.integration.callers import Callers, list_runs, send_request
from tests.integration.conftest import TICKET, CellHarness

ROOT = Path(__file__).resolve().parent.parent
RECOVERY_TIMEOUT_S = 30.0
JOB_TIMEOUT_S = 60.0
TICKET_TIMEOUT_S = 5.0
CASE_TIMEOUT_S = 240


class Operators:
    """Two operators that concurrently send tickets with the same numbers."""

    def __init__(self, harness):
        self.harness = harness
        self.accepted = {}
        self.conflicts = []
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(operator_index,), daemon=True)
            for operator_index in (0, 1)
        ]

    def start(self):
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join(20)

    def _run(self, operator_index):
        number = 2
        while not self._stop.is_set():
            share = number + operator_index / 2
            ticket = {
                "number": number,
                "workspaces": [{"name": "yard", "share": share}],
            }
            addresses = self.harness.cell.addresses
            address = addresses[(number + operator_index) % len(addresses)]
            status, value = self.harness.apply_ticket(ticket, address)
            if status == 200:
                accepted_share = self.accepted.setdefault(number, share)
                if accepted_share != share:
                    self.conflicts.append((number, accepted_share, share))
                number += 1
            elif status == 409:
                number = int(value["next_number"])
            # Without an answer the same ticket is sent again.
            time.sleep(0.1)


class Case:
    """One fault at one step.

    Attributes:
        down: Instances and upstreams that do not run.
        unreachable: Replicas that are partitioned or have lost their data.
        departed: Instances that were told to stop and are not started again.
    """

    def __init__(self, fault, step, folder):
        self.fault, self.step = fault, step
        self.cell = Cell(
            folder,
            replicas=3,
            spares=1,
            non_replicas=2,
            proxied=True,
            replace_after_s=4.0,
            worker_lease_s=3.0,
        )
        self.harness = CellHarness(self.cell)
        self.down = set()
        self.unreachable = set()
        self.departed = set()

    def run(self):
        """Run the case and return the seconds until the cell served again."""
        cell = self.cell
        try:
            cell.start()
            assert self.harness.apply_ticket(TICKET)[0] == 200
            for number in range(3):
                cell.start_upstream(f"u{number}", "estimates")
                cell.start_worker(f"w{number}", rack=f"r{number}")
            self.harness.wait_for_announcements(3, 3)
            return self.run_load()
        finally:
            cell.kill_all()

    def run_load(self):
        """Inject the fault under load and check the guarantees.

        Returns:
            Seconds until the cell served again.
        """
        operators = Operators(self.harness)
        operators.start()
        with Callers(self.cell, count=3, path="/sleep/0.15") as callers:
            callers.wait_for_answers(10)
            STEPS[self.step](self)
            FAULTS[self.fault](self)
            if len((self.down | self.unreachable) & set(self.cell.replicas)) > 1:
                # The cell cannot serve without a majority, so the fault ends first.
                self.heal()
            started_at = time.monotonic()
            callers.wait_for_answers(5, RECOVERY_TIMEOUT_S)
            recovery_s = time.monotonic() - started_at
            self.heal()
            callers.wait_for_answers(15, RECOVERY_TIMEOUT_S)
            self.submit_with_retries("late", tasks=2)
            for job_id in list(self.harness.jobs):
                report = self.harness.wait_for_job(job_id, JOB_TIMEOUT_S)
                self.check_job(job_id, report)
            operators.stop()
            self.check_tickets(operators)
        self.harness.check(callers.records)
        return recovery_s

    def submit_with_retries(self, job_id, **fields):
        """Submit until the job is accepted; its ID prevents a second job."""
        wait_until(
            lambda: self.harness.submit(job_id, **fields)[0] == 202,
            RECOVERY_TIMEOUT_S,
            job_id,
        )

    # Checks.

    def check_job(self, job_id, report):
        """Check that an accepted job is done, or its state explains why it is not."""
        state = report["state"]
        runs = [x for key, x in list_runs(self.cell).items() if key[0] == job_id]
        if state == "done":
            for items in runs:
                outcomes = [item[4] for item in items]
                assert "done" in outcomes, (
                    f"{job_id} is done but a task has no successful run"
                )
        else:
            assert state in ("unknown", "cancelled"), f"{job_id} is {state}"
            must_run_once = not self.harness.jobs[job_id].get("idempotent")
            assert state == "cancelled" or must_run_once, f"{job_id} was lost"

    def check_tickets(self, operators):
        """Check that numbers are unique and the newest one is in force everywhere."""
        assert not operators.conflicts, f"two tickets accepted: {operators.conflicts}"
        last = max(operators.accepted)

        def is_in_force():
            values = [request_json(x, "/v1/instance")[1] for x in self.cell.addresses]
            return all(value.get("ticket", 0) >= last for value in values)

        wait_until(is_in_force, TICKET_TIMEOUT_S, f"ticket {last} in force everywhere")
        status, value = request_json(self.cell.addresses[0], "/v1/tickets")
        assert status == 200
        newest = value["last_number"]
        share = next(x for x in value["workspaces"] if x["name"] == "yard")["share"]
        assert int(share) == newest, f"share {share} after ticket {newest}"
        if newest in operators.accepted:
            assert share == operators.accepted[newest]

    # Faults.

    def get_leader(self):
        wait_until(self.cell.find_leader, RECOVERY_TIMEOUT_S, "a leader")
        return self.cell.find_leader()

    def get_follower(self):
        leader = self.get_leader()
        value = request_json(
            f"127.0.0.1:{self.cell.http_ports[leader]}", "/v1/instance"
        )[1]
        voters = set(value["replica"]["voters"]) & set(self.cell.processes)
        return min(voters - {leader})

    def get_non_replica(self):
        return self.cell.names[-1]

    def kill(self, *names):
        for name in names:
            if name in self.cell.processes:
                self.cell.kill(name)
                self.down.add(name)

    def freeze(self, name, seconds):
        self.cell.signal(name, signal.SIGSTOP)
        time.sleep(seconds)
        self.cell.signal(name, signal.SIGCONT)

    def partition(self, name, seconds):
        self.unreachable.add(name)
        self.cell.proxy.partition(name)
        time.sleep(seconds)

    def partition_one_way(self):
        leader, follower = self.get_leader(), self.get_follower()
        self.unreachable.add(follower)
        self.cell.proxy.partition_one_way(leader, follower)

    def reset_leader_connections(self):
        leader = self.get_leader()
        self.unreachable.add(leader)
        self.cell.proxy.reset_mid_chunk(leader)

    def heal(self):
        """End the fault: heal the network and restart killed processes."""
        self.cell.proxy.heal()
        for name in sorted(self.down):
            if name in self.cell.names:
                self.cell.start_instance(name)
            elif name.startswith("u"):
                self.cell.start_upstream(name, "estimates")
        self.down.clear()
        self.unreachable.clear()
        for name in self.cell.names:
            if name not in self.departed:
                self.cell.wait_ready(name, RECOVERY_TIMEOUT_S)

    def wipe_data_folder(self, name):
        self.unreachable.add(name)
        self.cell.kill(name)
        shutil.rmtree(self.cell.get_data_folder(name))
        settings = str(self.cell.get_settings_path(name))
        self.cell.run_cli("init", "--settings", settings)
        self.cell.start_instance(name)

    def append_torn_record(self, name):
        self.cell.kill(name)
        path = max(self.cell.get_data_folder(name).glob("log-*.seg"))
        with open(path, "ab") as file:
            file.write(pack_header(bytes(100)) + bytes(40))
        self.cell.start_instance(name)

    def corrupt_log(self, name):
        """Corrupt a log: the replica refuses to start until its folder is recreated."""
        self.cell.kill(name)
        path = max(self.cell.get_data_folder(name).glob("log-*.seg"))
        data = bytearray(path.read_bytes())
        data[len(data) // 2] ^= 0xFF
        path.write_bytes(bytes(data))
        self.cell.start_instance(name)
        process = self.cell.processes[name]
        assert process.wait(RECOVERY_TIMEOUT_S) == 2, (
            "a replica started with a corrupt log"
        )
        self.wipe_data_folder(name)

    def fill_disk(self, name):
        """Let the disk fill up: the replica exits and is restarted with free space."""
        self.cell.fill_disk(name)
        process = self.cell.processes.pop(name)
        assert process.wait(RECOVERY_TIMEOUT_S) == 2, (
            "a replica kept running with a full disk"
        )
        self.cell.start_instance(name)

    def kill_data_centre(self):
        data_centre = self.cell.names.index(self.get_leader()) % 3
        self.kill(*[x for n, x in enumerate(self.cell.names) if n % 3 == data_centre])

    def kill_second_replica_after_replacement(self):
        if self.down:
            # A second loss before the replacement would take the majority away.
            self.heal()
        follower = self.get_follower()
        self.kill(follower)
        leader = self.get_leader()
        address = f"127.0.0.1:{self.cell.http_ports[leader]}"

        def is_replaced():
            replica = request_json(address, "/v1/instance")[1].get("replica") or {}
            voters = replica.get("voters", [])
            return len(voters) == 3 and follower not in voters

        wait_until(is_replaced, RECOVERY_TIMEOUT_S, "the replacement of the voter")
        self.kill(self.get_follower())

    def freeze_worker(self):
        self.harness.freeze_worker("w0")
        time.sleep(6.0)
        self.harness.resume_worker("w0")

    def cancel_many_jobs(self):
        for number in range(6):
            self.submit_with_retries(f"job{number}", tasks=4, run_s=20.0)
        for number in range(6):
            self.cancel(f"job{number}")

    def cancel(self, job_id):
        """Cancel a job through the first instance that answers."""
        wait_until(
            lambda: any(
                request_json(address, f"/v1/jobs/{job_id}", "DELETE")[0] in (200, 409)
                for address in self.cell.addresses
            ),
            RECOVERY_TIMEOUT_S,
            "a cancellation",
        )

    def drain_non_replica(self):
        name = self.get_non_replica()
        assert self.cell.stop(name) == 0
        self.down.add(name)


FAULTS = {
    "kill leader": lambda case: case.kill(case.get_leader()),
    "kill follower": lambda case: case.kill(case.get_follower()),
    "kill non-replica": lambda case: case.kill(case.get_non_replica()),
    "freeze leader": lambda case: case.freeze(case.get_leader(), 5.0),
    "freeze non-replica": lambda case: case.freeze(case.get_non_replica(), 5.0),
    "partition leader": lambda case: case.partition(case.get_leader(), 6.0),
    "partition non-replica": lambda case: case.partition(case.get_non_replica(), 6.0),
    "one-way partition": lambda case: case.partition_one_way(),
    "reset connections": lambda case: case.reset_leader_connections(),
    "slow network": lambda case: [
        case.cell.proxy.delay(a, b, 0.05)
        for a in case.cell.names
        for b in case.cell.replicas
    ],
    "kill all instances": lambda case: case.kill(*case.cell.names) or case.heal(),
    "lose data centre": lambda case: case.kill_data_centre(),
    "wipe disk": lambda case: case.wipe_data_folder(case.get_follower()),
    "torn log": lambda case: case.append_torn_record(case.get_follower()),
    "damaged log": lambda case: case.corrupt_log(case.get_follower()),
    "full disk": lambda case: case.fill_disk(case.get_follower()),
    "full disk of leader": lambda case: case.fill_disk(case.get_leader()),
    "second replica loss": lambda case: case.kill_second_replica_after_replacement(),
    "kill upstream": lambda case: case.kill("u0"),
    "stop upstream": lambda case: case.cell.stop("u0"),
    "kill worker": lambda case: case.harness.kill_worker("w0"),
    "freeze worker": lambda case: case.freeze_worker(),
    "cancel many jobs": lambda case: case.cancel_many_jobs(),
    "drain non-replica": lambda case: case.drain_non_replica(),
    "leader, then non-replica": lambda case: (
        case.kill(case.get_leader()) or case.kill(case.get_non_replica())
    ),
    "partition leader, kill upstream": lambda case: (
        case.kill("u0") or case.partition(case.get_leader(), 5.0)
    ),
}


def wait_for_upstream_start(case):
    """Wait until an upstream starts a new request."""
    path = case.cell.folder / "u0.ledger"
    before = len(read_ledger(path))
    wait_until(lambda: len(read_ledger(path)) > before, RECOVERY_TIMEOUT_S, "a request")


def start_keyed_request(case):
    """Start a keyed request and return while it is in flight."""
    address = case.cell.addresses[1]
    thread = threading.Thread(
        target=send_request,
        args=(address, "/sleep/0.2"),
        kwargs={"key": "k", "caller": "k"},
    )
    thread.daemon = True
    thread.start()


def submit_jobs(case):
    """Submit one job of each kind."""
    case.submit_with_retries("again", tasks=6, run_s=1.5, idempotent=True)
    case.submit_with_retries("once", tasks=3, run_s=1.5)
    case.submit_with_retries("gang", kind="gang", tasks=3, run_s=1.5, idempotent=True)


def wait_for_start(case):
    """Submit jobs and wait until all tasks run."""
    submit_jobs(case)
    wait_until(
        lambda: len(list_runs(case.cell)) >= 12, RECOVERY_TIMEOUT_S, "the tasks to run"
    )


def wait_for_end(case):
    """Submit jobs and wait until the first tasks have ended."""
    wait_for_start(case)
    wait_until(
        lambda: any(
            item[4] == "done"
            for items in list_runs(case.cell).values()
            for item in items
        ),
        RECOVERY_TIMEOUT_S,
        "a task to end",
    )


def cancel_job(case):
    """Cancel a running job."""
    wait_for_start(case)
    case.submit_with_retries("cancelled", tasks=3, run_s=20.0)
    case.cancel("cancelled")


def begin_drain(case):
    """Tell an instance to stop and return before it has stopped."""
    name = case.cell.names[-2]
    case.cell.processes[name].send_signal(signal.SIGTERM)
    process = case.cell.processes.pop(name)
    case.departed.add(name)
    threading.Thread(target=process.wait, daemon=True).start()
    case.cell.http_ports.pop(name)
    case.cell.names.remove(name)


def kill_leader(case):
    """Kill the leader, so that the fault hits the election."""
    case.kill(case.get_leader())


def wait_for_replacement(case):
    """Kill a voter and wait until the spare replica, i4, has begun to join."""
    case.kill(case.get_follower())
    address = f"127.0.0.1:{case.cell.http_ports[case.get_leader()]}"

    def has_begun():
        replica = request_json(address, "/v1/instance")[1].get("replica") or {}
        return "i4" in replica.get("voters", []) + replica.get("learners", [])

    wait_until(has_begun, RECOVERY_TIMEOUT_S, "a replacement")


def fill_log_until_snapshot(case):
    """Fill the log until a snapshot is taken."""
    text = json.dumps({"run_s": 0.01, "pad": "x" * 15_000})
    logs = [case.cell.folder / f"{name}.log" for name in case.cell.replicas]

    def has_snapshot():
        return any("took a snapshot" in x.read_text() for x in logs)

    for number in range(400):
        job = {
            "id": f"pad{number}",
            "workspace": "yard",
            "need": {"cpu_millis": 10, "memory_mb": 1},
            "payload": text,
            "idempotent": True,
        }
        request_json(
            case.cell.addresses[0], "/v1/jobs", "POST", json.dumps(job).encode()
        )
        if number % 5 == 0 and has_snapshot():
            return


STEPS = {
    "request claimed": start_keyed_request,
    "request sent": wait_for_upstream_start,
    "job submitted": submit_jobs,
    "task started": wait_for_start,
    "task ended": wait_for_end,
    "job cancelled": cancel_job,
    "drain begun": begin_drain,
    "leader changing": kill_leader,
    "member replaced": wait_for_replacement,
    "snapshot written": fill_log_until_snapshot,
}


def run_in_subprocess(fault, step):
    """Run one case in a subprocess.

    Returns:
        Fault, step, whether the case passed, and its message.
    """
    started_at = time.monotonic()
    try:
        done = subprocess.run(
            [sys.executable, "-m", "tests.matrix", "--one", fault, step],
            capture_output=True,
            text=True,
            timeout=CASE_TIMEOUT_S,
            cwd=ROOT,
        )
        lines = done.stdout.strip().splitlines() or [done.stderr[-300:]]
        passed, message = done.returncode == 0, lines[-1]
    except subprocess.TimeoutExpired:
        passed, message = False, f"timed out after {CASE_TIMEOUT_S} s"
    duration_s = time.monotonic() - started_at
    print(
        f"{'ok  ' if passed else 'FAIL'} {fault} @ {step} "
        f"({duration_s:.0f} s): {message}"
    )
    sys.stdout.flush()
    return fault, step, passed, message


def run_case(fault, step):
    """Run one case in this process and print how long the cell did not serve."""
    folder = Path(tempfile.mkdtemp(prefix="bluebellyoke-matrix-"))
    try:
        recovery_s = Case(fault, step, folder / "cell").run()
    except (AssertionError, TimeoutError, RuntimeError) as error:
        trace = traceback.extract_tb(error.__traceback__)[-1]
        print(f"{error} [{trace.name}:{trace.lineno}] {folder}")
        sys.exit(1)
    print(f"served again after {recovery_s:.1f} s")
    shutil.rmtree(folder)


def print_table(results):
    """Print a table of the results with a row per fault and a column per step."""
    results_by_fault = defaultdict(dict)
    for fault, step, passed, _ in results:
        results_by_fault[fault][step] = "ok" if passed else "FAIL"
    steps = [
        step for step in STEPS if any(step in row for row in results_by_fault.values())
    ]
    width = max(len(fault) for fault in results_by_fault)
    print(" " * width, " | ".join(steps))
    for fault, row in results_by_fault.items():
        cells = [row.get(step, "-").center(len(step)) for step in steps]
        print(fault.ljust(width), " | ".join(cells))


def main():
    """Parse the command line and run the selected cases."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--one", nargs=2, metavar=("FAULT", "STEP"))
    parser.add_argument("--fault", default="")
    parser.add_argument("--step", default="")
    parser.add_argument("--jobs", type=int, default=3)
    options = parser.parse_args()
    if options.one:
        run_case(*options.one)
        return
    cases = [
        (fault, step)
        for fault in FAULTS
        for step in STEPS
        if options.fault in fault and options.step in step
    ]
    with ThreadPoolExecutor(options.jobs) as pool:
        results = list(pool.map(lambda x: run_in_subprocess(*x), cases))
    print_table(results)
    passed = sum(item[2] for item in results)
    print(f"{passed} passed, {len(results) - passed} failed")
    sys.exit(passed < len(results))


if __name__ == "__main__":
    main()
