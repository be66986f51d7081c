"""Every fault at every step, against real processes.

Run it with `make matrix`. Each case starts a cell of its own with callers, jobs and
racing operators, waits for its step, injects its fault, heals, and checks the points
of the brief from the stand-ins' ledgers and the callers' own records. It prints one
line a case, a table, and `N passed, N failed`.
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
from tests.integration.callers import Callers, call, list_runs
from tests.integration.conftest import TICKET, Bench

ROOT = Path(__file__).resolve().parent.parent
SERVE_S = 30.0
FINISH_S = 60.0
IN_FORCE_S = 5.0
CASE_TIMEOUT_S = 240


class Operators:
    """Two operators that race with tickets of equal numbers."""

    def __init__(self, bench):
        self.bench = bench
        self.accepted = {}
        self.conflicts = []
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(turn,), daemon=True)
            for turn in (0, 1)
        ]

    def start(self):
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join(20)

    def _run(self, turn):
        number = 2
        while not self._stop.is_set():
            share = number + turn / 2
            ticket = {
                "number": number,
                "workspaces": [{"name": "yard", "share": share}],
            }
            addresses = self.bench.cell.addresses
            address = addresses[(number + turn) % len(addresses)]
            status, value = self.bench.apply_ticket(ticket, address)
            if status == 200:
                known = self.accepted.setdefault(number, share)
                if known != share:
                    self.conflicts.append((number, known, share))
                number += 1
            elif status == 409:
                number = int(value["next_number"])
            # Without an answer the same ticket is sent again elsewhere.
            time.sleep(0.1)


class Case:
    """One fault at one step."""

    def __init__(self, fault, step, folder):
        self.fault, self.step = fault, step
        self.cell = Cell(
            folder,
            replicas=3,
            spares=1,
            entries=2,
            proxied=True,
            replace_after_s=4.0,
            worker_lease_s=3.0,
        )
        self.bench = Bench(self.cell)
        self.down = set()
        self.unheard = set()
        self.left = set()

    def run(self):
        """Return the seconds until the cell served again."""
        cell = self.cell
        try:
            cell.start()
            assert self.bench.apply_ticket(TICKET)[0] == 200
            for number in range(3):
                cell.start_upstream(f"u{number}", "estimates")
                cell.start_worker(f"w{number}", rack=f"r{number}")
            self.bench.wait_known(3, 3)
            return self.run_load()
        finally:
            cell.kill_all()

    def run_load(self):
        operators = Operators(self.bench)
        operators.start()
        with Callers(self.cell, count=3, path="/sleep/0.15") as callers:
            callers.wait_for_answers(10)
            STEPS[self.step](self)
            FAULTS[self.fault](self)
            if len((self.down | self.unheard) & set(self.cell.replicas)) > 1:
                # Without a majority the cell rightly does not serve.
                self.heal()
            began = time.monotonic()
            callers.wait_for_answers(5, SERVE_S)
            served = time.monotonic() - began
            self.heal()
            callers.wait_for_answers(15, SERVE_S)
            self.submit_resistant("late", tasks=2)
            for job_id in list(self.bench.jobs):
                report = self.bench.wait_finished(job_id, FINISH_S)
                self.check_job(job_id, report)
            operators.stop()
            self.check_tickets(operators)
        self.bench.check(callers.records)
        return served

    def submit_resistant(self, job_id, **fields):
        """Submit until an answer comes; the identity keeps it single."""
        wait_until(
            lambda: self.bench.submit(job_id, **fields)[0] == 202, SERVE_S, job_id
        )

    # Checks.

    def check_job(self, job_id, report):
        """Every acknowledged job is finished or honestly reported."""
        state = report["state"]
        runs = [x for key, x in list_runs(self.cell).items() if key[0] == job_id]
        if state == "done":
            for items in runs:
                outcomes = [item[4] for item in items]
                assert "done" in outcomes, f"{job_id} is done without a run"
        else:
            assert state in ("unknown", "cancelled"), f"{job_id} is {state}"
            once = not self.bench.jobs[job_id].get("idempotent")
            assert state == "cancelled" or once, f"{job_id} was lost"

    def check_tickets(self, operators):
        """One ticket a number; the newest is in force everywhere and stays so."""
        assert not operators.conflicts, f"two tickets accepted: {operators.conflicts}"
        last = max(operators.accepted)

        def is_in_force():
            values = [request_json(x, "/v1/instance")[1] for x in self.cell.addresses]
            return all(value.get("ticket", 0) >= last for value in values)

        wait_until(is_in_force, IN_FORCE_S, f"ticket {last} in force everywhere")
        status, value = request_json(self.cell.addresses[0], "/v1/tickets")
        assert status == 200
        newest = value["last_number"]
        share = next(x for x in value["workspaces"] if x["name"] == "yard")["share"]
        assert int(share) == newest, f"share {share} after ticket {newest}"
        if newest in operators.accepted:
            assert share == operators.accepted[newest]

    # Faults.

    def get_leader(self):
        wait_until(self.cell.find_leader, SERVE_S, "a leader")
        return self.cell.find_leader()

    def get_follower(self):
        leader = self.get_leader()
        value = request_json(
            f"127.0.0.1:{self.cell.http_ports[leader]}", "/v1/instance"
        )[1]
        voters = set(value["replica"]["voters"]) & set(self.cell.processes)
        return min(voters - {leader})

    def get_entry(self):
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

    def cut(self, name, seconds):
        self.unheard.add(name)
        self.cell.proxy.cut(name)
        time.sleep(seconds)

    def cut_one_way(self):
        leader, follower = self.get_leader(), self.get_follower()
        self.unheard.add(follower)
        self.cell.proxy.cut_one_way(leader, follower)

    def break_messages(self):
        leader = self.get_leader()
        self.unheard.add(leader)
        self.cell.proxy.break_in_half(leader)

    def heal(self):
        """End the fault: heal the network and start what was killed."""
        self.cell.proxy.heal()
        for name in sorted(self.down):
            if name in self.cell.names:
                self.cell.start_instance(name)
            elif name.startswith("u"):
                self.cell.start_upstream(name, "estimates")
        self.down.clear()
        self.unheard.clear()
        for name in self.cell.names:
            if name not in self.left:
                self.cell.wait_ready(name, SERVE_S)

    def wipe(self, name):
        self.unheard.add(name)
        self.cell.kill(name)
        shutil.rmtree(self.cell.get_data_folder(name))
        settings = str(self.cell.get_settings_path(name))
        self.cell.run_cli("init", "--settings", settings)
        self.cell.start_instance(name)

    def tear_log(self, name):
        self.cell.kill(name)
        path = max(self.cell.get_data_folder(name).glob("log-*.seg"))
        with open(path, "ab") as file:
            file.write(pack_header(bytes(100)) + bytes(40))
        self.cell.start_instance(name)

    def damage_log(self, name):
        """The replica refuses to start; the operator makes its folder anew."""
        self.cell.kill(name)
        path = max(self.cell.get_data_folder(name).glob("log-*.seg"))
        data = bytearray(path.read_bytes())
        data[len(data) // 2] ^= 0xFF
        path.write_bytes(bytes(data))
        self.cell.start_instance(name)
        process = self.cell.processes[name]
        assert process.wait(SERVE_S) == 2, "a damaged log was taken"
        self.wipe(name)

    def fill_disk(self, name):
        """The replica ends; it starts again when there is room."""
        self.cell.fill_disk(name)
        process = self.cell.processes.pop(name)
        assert process.wait(SERVE_S) == 2, "a replica went on without its disk"
        self.cell.start_instance(name)

    def lose_data_centre(self):
        place = self.cell.names.index(self.get_leader()) % 3
        self.kill(*[x for n, x in enumerate(self.cell.names) if n % 3 == place])

    def lose_second_after_repair(self):
        if self.down:
            # A second loss before the repair takes the majority; that is no repair.
            self.heal()
        follower = self.get_follower()
        self.kill(follower)
        leader = self.get_leader()
        address = f"127.0.0.1:{self.cell.http_ports[leader]}"

        def is_repaired():
            replica = request_json(address, "/v1/instance")[1].get("replica") or {}
            voters = replica.get("voters", [])
            return len(voters) == 3 and follower not in voters

        wait_until(is_repaired, SERVE_S, "a repair")
        self.kill(self.get_follower())

    def freeze_worker(self):
        self.bench.freeze_worker("w0")
        time.sleep(6.0)
        self.bench.wake_worker("w0")

    def cancel_wave(self):
        for number in range(6):
            self.submit_resistant(f"wave{number}", tasks=4, run_s=20.0)
        for number in range(6):
            self.cancel(f"wave{number}")

    def cancel(self, job_id):
        """Cancel a job through whichever instance answers."""
        wait_until(
            lambda: any(
                request_json(address, f"/v1/jobs/{job_id}", "DELETE")[0] in (200, 409)
                for address in self.cell.addresses
            ),
            SERVE_S,
            "a cancellation",
        )

    def drain_entry(self):
        name = self.get_entry()
        assert self.cell.stop(name) == 0
        self.down.add(name)


FAULTS = {
    "kill leader": lambda x: x.kill(x.get_leader()),
    "kill follower": lambda x: x.kill(x.get_follower()),
    "kill entry": lambda x: x.kill(x.get_entry()),
    "freeze leader": lambda x: x.freeze(x.get_leader(), 5.0),
    "freeze entry": lambda x: x.freeze(x.get_entry(), 5.0),
    "cut leader": lambda x: x.cut(x.get_leader(), 6.0),
    "cut entry": lambda x: x.cut(x.get_entry(), 6.0),
    "one-way cut": lambda x: x.cut_one_way(),
    "half messages": lambda x: x.break_messages(),
    "slow network": lambda x: [
        x.cell.proxy.delay(a, b, 0.05) for a in x.cell.names for b in x.cell.replicas
    ],
    "kill all instances": lambda x: x.kill(*x.cell.names) or x.heal(),
    "lose data centre": lambda x: x.lose_data_centre(),
    "wipe disk": lambda x: x.wipe(x.get_follower()),
    "torn log": lambda x: x.tear_log(x.get_follower()),
    "damaged log": lambda x: x.damage_log(x.get_follower()),
    "full disk": lambda x: x.fill_disk(x.get_follower()),
    "full disk of leader": lambda x: x.fill_disk(x.get_leader()),
    "second loss": lambda x: x.lose_second_after_repair(),
    "kill upstream": lambda x: x.kill("u0"),
    "upstream leaves": lambda x: x.cell.stop("u0"),
    "kill worker": lambda x: x.bench.kill_worker("w0"),
    "freeze worker": lambda x: x.freeze_worker(),
    "cancel wave": lambda x: x.cancel_wave(),
    "drain entry": lambda x: x.drain_entry(),
    "leader, then entry": lambda x: x.kill(x.get_leader()) or x.kill(x.get_entry()),
    "cut leader, kill upstream": lambda x: x.kill("u0") or x.cut(x.get_leader(), 5.0),
}


def wait_for_upstream_start(case):
    """Wait until an upstream begins with a new request."""
    path = case.cell.folder / "u0.ledger"
    before = len(read_ledger(path))
    wait_until(lambda: len(read_ledger(path)) > before, SERVE_S, "a request")


def wait_for_claim(case):
    """Leave while a keyed request is on its way through an instance."""
    address = case.cell.addresses[1]
    thread = threading.Thread(
        target=call, args=(address, "/sleep/0.2"), kwargs={"key": "k", "caller": "k"}
    )
    thread.daemon = True
    thread.start()


def submit_jobs(case):
    """Submit one job of each kind."""
    case.submit_resistant("again", tasks=6, run_s=1.5, idempotent=True)
    case.submit_resistant("once", tasks=3, run_s=1.5)
    case.submit_resistant("gang", kind="gang", tasks=3, run_s=1.5, idempotent=True)


def wait_for_start(case):
    """Submit jobs and wait until all run."""
    submit_jobs(case)
    wait_until(lambda: len(list_runs(case.cell)) >= 12, SERVE_S, "the tasks to run")


def wait_for_end(case):
    """Submit jobs and wait until the first tasks have ended."""
    wait_for_start(case)
    wait_until(
        lambda: any(
            item[4] == "done"
            for items in list_runs(case.cell).values()
            for item in items
        ),
        SERVE_S,
        "a task to end",
    )


def cancel_job(case):
    """Cancel a running job."""
    wait_for_start(case)
    case.submit_resistant("gone", tasks=3, run_s=20.0)
    case.cancel("gone")


def begin_drain(case):
    """Tell an instance to stop and go on before it has."""
    name = case.cell.names[-2]
    case.cell.processes[name].send_signal(signal.SIGTERM)
    process = case.cell.processes.pop(name)
    case.left.add(name)
    threading.Thread(target=process.wait, daemon=True).start()
    case.cell.http_ports.pop(name)
    case.cell.names.remove(name)


def change_leader(case):
    """Kill the leader first; the fault hits the election."""
    case.kill(case.get_leader())


def begin_replacement(case):
    """Kill a voter and wait until its replacement has begun to join."""
    case.kill(case.get_follower())
    address = f"127.0.0.1:{case.cell.http_ports[case.get_leader()]}"

    def has_begun():
        replica = request_json(address, "/v1/instance")[1].get("replica") or {}
        return "i4" in replica.get("voters", []) + replica.get("learners", [])

    wait_until(has_begun, SERVE_S, "a replacement")


def write_snapshot(case):
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
    "request claimed": wait_for_claim,
    "request sent": wait_for_upstream_start,
    "job submitted": submit_jobs,
    "task started": wait_for_start,
    "task ended": wait_for_end,
    "job cancelled": cancel_job,
    "drain begun": begin_drain,
    "leader changing": change_leader,
    "member replaced": begin_replacement,
    "snapshot written": write_snapshot,
}


def run_alone(fault, step):
    """Run one case in a process of its own; return whether it passed, and a word."""
    began = time.monotonic()
    try:
        done = subprocess.run(
            [sys.executable, "-m", "tests.matrix", "--one", fault, step],
            capture_output=True,
            text=True,
            timeout=CASE_TIMEOUT_S,
            cwd=ROOT,
        )
        lines = done.stdout.strip().splitlines() or [done.stderr[-300:]]
        passed, word = done.returncode == 0, lines[-1]
    except subprocess.TimeoutExpired:
        passed, word = False, f"no end within {CASE_TIMEOUT_S} s"
    took = time.monotonic() - began
    print(f"{'ok  ' if passed else 'FAIL'} {fault} @ {step} ({took:.0f} s): {word}")
    sys.stdout.flush()
    return fault, step, passed, word


def run_one(fault, step):
    """Run one case here and print how long the cell did not serve."""
    folder = Path(tempfile.mkdtemp(prefix="bluebellyoke-matrix-"))
    try:
        served = Case(fault, step, folder / "cell").run()
    except (AssertionError, TimeoutError, RuntimeError) as error:
        trace = traceback.extract_tb(error.__traceback__)[-1]
        print(f"{error} [{trace.name}:{trace.lineno}] {folder}")
        sys.exit(1)
    print(f"served again after {served:.1f} s")
    shutil.rmtree(folder)


def print_table(results):
    """Print fault by step."""
    marks = defaultdict(dict)
    for fault, step, passed, _ in results:
        marks[fault][step] = "ok" if passed else "FAIL"
    steps = [step for step in STEPS if any(step in row for row in marks.values())]
    width = max(len(fault) for fault in marks)
    print(" " * width, " | ".join(steps))
    for fault, row in marks.items():
        cells = [row.get(step, "-").center(len(step)) for step in steps]
        print(fault.ljust(width), " | ".join(cells))


def main():
    """Run the chosen cases."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--one", nargs=2, metavar=("FAULT", "STEP"))
    parser.add_argument("--fault", default="")
    parser.add_argument("--step", default="")
    parser.add_argument("--jobs", type=int, default=3)
    options = parser.parse_args()
    if options.one:
        run_one(*options.one)
        return
    cases = [
        (fault, step)
        for fault in FAULTS
        for step in STEPS
        if options.fault in fault and options.step in step
    ]
    with ThreadPoolExecutor(options.jobs) as pool:
        results = list(pool.map(lambda x: run_alone(*x), cases))
    print_table(results)
    passed = sum(item[2] for item in results)
    print(f"{passed} passed, {len(results) - passed} failed")
    sys.exit(passed < len(results))


if __name__ == "__main__":
    main()
