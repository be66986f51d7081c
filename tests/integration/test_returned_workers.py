"""Starts that reach the next incarnation of a worker before the leader knows of it.

A worker crashes and is back under its ID and address. A job arrives before its first
heartbeat is acknowledged, so the next incarnation accepts a start that was meant for
the one before. The ledgers of the workers tell whether the task ran twice.
"""

import json
import math
import threading
import time
from dataclasses import dataclass
from itertools import pairwise

import pytest

from standins.cell import wait_until
from standins.forwarder import Forwarder
from standins.platform import START_HOOK_DELAY_S
from tests.integration.deployment import WAIT_S, create_job

TASK_CPU = 500

#: Run time of a task that is started again, in seconds.
NEXT_RUN_S = 1.0

#: Time for which a worker is known before its crash, in seconds. A leader that has just
#: learned of a worker waits for the longest lease, which would hide an early end. It
#: also puts the clock of the former incarnation ahead of that of the next one.
KNOWN_S = 2.0

#: Time from a crash to the next incarnation, in seconds. Failed polls are repeated
#: about 1.0 s and 1.5 s after the crash, so that there is time for a start in between.
DOWN_S = 1.1

#: Paths of calls.
START = "/-/run-start"
HOLD = "/-/hold"

#: Time for which the next incarnation refuses polls while it waits for the start, in
#: seconds. Later, the leader gives no task to a worker that has not responded.
START_WAIT_S = 3.0

#: Number of times that a scenario is tried. On a busy machine the start may come too
#: late, or its response.
ROUNDS = 5


@dataclass(frozen=True, kw_only=True)
class Fault:
    """What happens to a worker, at times in seconds from the start that it accepts.

    Attributes:
        silent_at, silent_until: Times between which nothing reaches or leaves it.
        is_polled_before: Whether a poll reaches it between the start and its silence.
        heartbeats_at: Time from which its heartbeats arrive.
        finish_at: Time at which its runs end as done unless its lease has ended them.
    """

    silent_at: float = math.inf
    silent_until: float = math.inf
    is_polled_before: bool = False
    heartbeats_at: float
    finish_at: float


class Round:
    """A job, a worker that accepts its start, and later another one with room for it.

    Args:
        deployment: Instances as real processes.
        number: Number of the job.
        fault: What happens to the worker.
    """

    def __init__(self, deployment, number, fault):
        self.deployment = deployment
        self.job_id = f"{number:016x}"
        self.name = f"returned-{number}"
        self.fault = fault
        self.forwarder = Forwarder()
        self.has_accepted_start = threading.Event()
        self.has_fault_ended = threading.Event()
        self.calls_before_silence = []
        self.worker = self.add_worker(self.name, run_s=math.inf)
        self.workers = [self.worker]

    def add_worker(self, worker_id, **options):
        """Add a worker behind the forwarder, with the label that the job requires."""
        return self.deployment.add_worker(
            worker_id, labels=("a", self.name), forwarder=self.forwarder, **options
        )

    def wait_for_poll(self):
        known = len(self.worker.calls)
        wait_until(lambda: HOLD in self.worker.calls[known:], WAIT_S, "a poll")

    def prepare(self):
        """Let the leader know the worker."""
        self.wait_for_poll()
        time.sleep(KNOWN_S)

    def replace_worker(self):
        """Crash the worker and let it come back, without heartbeats for now."""
        # The leader gives no task to a worker whose last response is 2.5 s old.
        self.wait_for_poll()
        self.worker.crash()
        self.forwarder.refuse()
        time.sleep(DOWN_S)
        self.worker = self.add_worker(
            self.name, run_s=math.inf, are_heartbeats_lost=True, refuses_polls=True
        )
        self.workers.append(self.worker)

    def submit(self):
        """Submit the job; the fault begins when the worker accepts its start."""
        self.worker.on_next_start = self.play_fault
        step = {"Count": 1, "Cpu": TASK_CPU, "RequiredLabel": self.name}
        job = create_job([step])
        wait_until(
            lambda: self.deployment.call_queue("POST", self.job_id, job)[0] == 200,
            WAIT_S,
            "the job to be accepted",
        )

    def play_fault(self):
        """Play the fault; the worker calls this just after it has accepted a start."""
        started_at = time.monotonic() - START_HOOK_DELAY_S
        self.has_accepted_start.set()
        if self.fault.silent_at > START_HOOK_DELAY_S:
            self.worker.refuses_polls = False
        actions = [
            (self.fault.silent_at, self.silence),
            (self.fault.silent_until, self.forwarder.reconnect),
            (self.fault.heartbeats_at, self.accept_heartbeats),
            (self.fault.finish_at, self.finish_runs),
        ]
        for at_s, action in sorted(actions, key=lambda item: item[0]):
            if at_s < math.inf:
                time.sleep(max(started_at + at_s - time.monotonic(), 0.0))
                action()
        self.has_fault_ended.set()

    def silence(self):
        self.forwarder.cut_off()
        self.worker.are_heartbeats_lost = True
        self.calls_before_silence = list(self.worker.calls)
        self.worker.refuses_polls = False

    def accept_heartbeats(self):
        self.worker.are_heartbeats_lost = False

    def finish_runs(self):
        self.worker.finish_runs(NEXT_RUN_S)

    def add_spare(self):
        """Add a worker with room for another run, once the first one has its place."""
        self.workers.append(
            self.deployment.add_worker(
                f"spare-of-{self.name}", labels=("a", self.name), run_s=NEXT_RUN_S
            )
        )

    def wait_for_first_call(self):
        """Wait for the first call to the next incarnation.

        Returns:
            Whether it is the start. If not, the job runs without a fault.
        """
        try:
            wait_until(lambda: self.worker.calls, START_WAIT_S, "the start")
        except TimeoutError:
            self.worker.refuses_polls = False
        wait_until(lambda: self.worker.calls, WAIT_S, "the first call")
        if self.worker.calls[0] == START:
            return True
        self.worker.on_next_start = None
        self.has_fault_ended.set()
        self.accept_heartbeats()
        self.finish_runs()
        return False

    def has_occurred(self):
        """Return whether the calls and responses were those of the fault."""
        failed = self.read_log("a start failed")
        if any((x["job"], x["worker"]) == (self.job_id, self.name) for x in failed):
            return False
        is_polled = HOLD in self.calls_before_silence
        return is_polled == self.fault.is_polled_before

    def read_log(self, message):
        """Return the log lines of the dispatcher with a message."""
        lines = []
        for path in self.deployment.folder.glob("log-*"):
            for line in path.read_text().splitlines():
                if f'"dispatch: {message}"' in line:
                    lines.append(json.loads(line))
        return lines

    def wait_for_end(self):
        """Wait for the ends of the fault and of the job."""
        assert self.has_fault_ended.wait(WAIT_S)
        wait_until(
            lambda: self.deployment.find_state(self.job_id) == "completed",
            WAIT_S,
            "the job to be completed",
        )

    def list_runs(self):
        """Return the runs of the task, as rows of start, end, outcome and run."""
        rows = []
        for worker in self.workers:
            runs = {}
            for at, kind, _, run in list(worker.ledger):
                if kind == "start":
                    runs[run] = [at, math.inf, "", run]
                    rows.append(runs[run])
                else:
                    runs[run][1:3] = at, kind
        return sorted(rows)

    def check_runs(self):
        """Check that no run begins beside another one, or after the task is done."""
        rows = self.list_runs()
        assert all(before[1] <= after[0] for before, after in pairwise(rows)), rows
        assert [row[2] == "done" for row in rows] == [
            row is rows[-1] for row in rows
        ], rows

    def close(self):
        self.forwarder.close()


def play_until_it_occurs(deployment, fault):
    """Play rounds until a start is the first call that reaches the next incarnation.

    The runs of all rounds are checked.
    """
    for number in range(1, ROUNDS + 1):
        played = Round(deployment, number, fault)
        try:
            played.prepare()
            played.replace_worker()
            played.submit()
            is_start_first = played.wait_for_first_call()
            if is_start_first:
                played.add_spare()
            played.wait_for_end()
            played.check_runs()
            if is_start_first and played.has_occurred():
                return
        finally:
            played.close()
    pytest.fail(f"no start reached a next incarnation first in {ROUNDS} rounds")


POLLED = Fault(heartbeats_at=2.0, finish_at=4.0)
SILENT_9_S = Fault(
    silent_at=START_HOOK_DELAY_S, silent_until=9.0, heartbeats_at=9.0, finish_at=9.0
)
SILENT_3_S = Fault(
    silent_at=START_HOOK_DELAY_S, silent_until=3.0, heartbeats_at=4.5, finish_at=5.5
)
POLLED_THEN_SILENT = Fault(
    silent_at=1.0,
    silent_until=10.0,
    is_polled_before=True,
    heartbeats_at=10.0,
    finish_at=10.0,
)


# Guards against a leader that takes a run of the next incarnation for one of the former
# incarnation, and ends it with these as soon as a poll shows the next one.
def test_run_of_returned_worker_is_kept_when_a_poll_shows_it(deployment):
    play_until_it_occurs(deployment, POLLED)


# Guards against a leader that reckons the lease of a run on the clock of the former
# incarnation, while the next one grants the longest lease.
def test_run_of_silent_returned_worker_is_kept_until_its_lease_ends(deployment):
    play_until_it_occurs(deployment, SILENT_9_S)


# Guards against a leader that ends a run of the next incarnation when that responds
# again after a silence that is shorter than the lease.
def test_run_of_returned_worker_is_kept_after_a_short_silence(deployment):
    play_until_it_occurs(deployment, SILENT_3_S)


# Guards against a leader that ends a run of the next incarnation when a poll shows it,
# although the silence that follows keeps every stop from the worker.
def test_run_of_returned_worker_is_kept_until_a_later_silence(deployment):
    play_until_it_occurs(deployment, POLLED_THEN_SILENT)


# Guards against a fault of these tests themselves: the same silences of a worker that
# has not crashed make no runs overlap.
def test_runs_of_silent_worker_that_has_not_crashed_do_not_overlap(deployment):
    faults = (SILENT_9_S, SILENT_3_S, POLLED_THEN_SILENT)
    rounds = [Round(deployment, number, x) for number, x in enumerate(faults, 1)]
    try:
        for played in rounds:
            played.prepare()
        for played in rounds:
            played.submit()
            assert played.has_accepted_start.wait(WAIT_S)
            played.add_spare()
        for played in rounds:
            played.wait_for_end()
            played.check_runs()
        first_outcomes = [played.list_runs()[0][2] for played in rounds]
        assert first_outcomes[0] == first_outcomes[2] == "lapsed"
        assert first_outcomes[1] in ("done", "lapsed")
    finally:
        for played in rounds:
            played.close()
