"""Expired tickets in pools that are larger than one question to the advisor.

A call names at most 100 workers; a queue that is allowed on most workers of a pool of
176 holds more tickets than that.
"""

import heapq

import pytest

from bluebellyoke.dispatch.advice import AdviceManager
from bluebellyoke.dispatch.planner import Planner
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.instance import wire
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.specs import AdvisorSpec
from tests.workflow.factories import (
    create_configuration,
    create_queue,
    create_spec,
    create_step,
    create_store,
    create_worker,
)

POOL_SIZE = 176

#: Of ten workers, the advisor allows a short job on the first seven and a heavy one on
#: the first two.
SHORT_ALLOWED = 7
HEAVY_ALLOWED = 2

SHORT_ADVISOR = AdvisorSpec(decision_ms=9.36, per_worker_ms=0.13, validity_ms=1500.0)
HEAVY_ADVISOR = AdvisorSpec(decision_ms=715.0, per_worker_ms=10.14, validity_ms=1500.0)

#: Longest time for which a task that could run may have nothing running, in seconds.
MAX_STANDSTILL_S = 3.0

#: Time in which the advisor answers the first questions of a heavy queue, in seconds.
FIRST_ADVICE_S = 3.5

ARRIVAL_INTERVAL_S = 0.25

STEP_S = 0.01


class AdvisedPool:
    """A planner on a pool of idle workers, with instances and an advisor."""

    def __init__(self, *, allowed, advisor, instances=4):
        self.now = 100.0
        self.allowed = allowed
        self.advisor = advisor
        queue = create_queue(advisor=advisor)
        self.store = create_store(0, create_configuration(queues=[queue]))
        self.advice = AdviceManager()
        self.planner = Planner(self.advice)
        self.replies = []
        self.calls = 0
        self.silent_session = None
        self.workers = {}
        for number in range(instances):
            self.advice.open_session(number, self._create_sender(number))
        for number in range(POOL_SIZE):
            self.add_worker(f"w{number:03}", cpu=16000)

    def _create_sender(self, session):
        def send(call):
            duration_ms = self.advisor.decision_ms
            duration_ms += self.advisor.per_worker_ms * len(call.workers)
            self.calls += 1
            tickets = {
                name: f"t{self.calls}"
                for name in call.workers
                if int(name[1:]) % 10 < self.allowed
            }
            if session == self.silent_session:
                return
            reply = wire.AdviceReply(call.id, tickets)
            due = self.now + duration_ms / 1000
            heapq.heappush(self.replies, (due, self.calls, session, reply))

        return send

    def add_worker(self, name, *, cpu):
        spec = create_worker(name, cpu=cpu)
        self.store.apply(workflow_commands.EnrolWorker(spec=spec))
        self.workers[name] = TrackedWorker(
            spec, self.now, last_response_at=self.now, has_responded=True
        )

    def submit(self, number=1, **fields):
        spec = create_spec(f"{number:016x}", [create_step(**fields)])
        command = workflow_commands.SubmitWorkflow(time=self.now, spec=spec)
        self.store.apply(command)
        return spec.id

    def fill(self):
        """Let other runs take up all workers."""
        for worker in self.workers.values():
            worker.add_run("other", worker.spec.capacity, RunPhase.STARTED, self.now)

    def empty(self):
        """End the other runs."""
        for worker in self.workers.values():
            worker.drop_run("other")

    def run_while_workers_arrive(self, seconds):
        """Do as `run` while workers arrive that are too small to be used."""
        started = {}
        for _ in range(round(seconds / ARRIVAL_INTERVAL_S)):
            self.add_worker(f"w{len(self.workers):03}", cpu=100)
            started |= self.run(ARRIVAL_INTERVAL_S)
        return started

    def run(self, seconds):
        """Let time pass; return the first starts of each job with their time."""
        started = {}
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for worker in self.workers.values():
                worker.last_response_at = self.now
            while self.replies and self.replies[0][0] <= self.now:
                _, _, session, reply = heapq.heappop(self.replies)
                self.advice.receive(session, reply, self.now)
            planned = self.planner.plan(self.store, self.workers, self.now, self.now)
            starts = tuple(item.start for item in planned)
            if starts:
                assert all(item.ticket for item in planned)
                self.store.apply(workflow_commands.AssignRuns(starts=starts))
            for start in starts:
                started.setdefault(start.task.workflow, self.now)
            self.advice.tick(self.now)
        return started


@pytest.fixture
def short_pool():
    return AdvisedPool(allowed=SHORT_ALLOWED, advisor=SHORT_ADVISOR)


# Guards against LOST on the grown sites: a short job whose tickets had expired stood
# still on an idle cell, as only the first 100 of them were ever renewed.
@pytest.mark.parametrize("tightest", ["w000", "w100", "w146", "w176"])
def test_all_tickets_of_a_large_pool_are_renewed(short_pool, tightest):
    """The planner prefers one worker, wherever it stands among the tickets."""
    if tightest in short_pool.workers:
        short_pool.add_worker(tightest, cpu=4000)
    job = short_pool.submit(count=1, cpu=2500, estimate_ms=640)
    short_pool.fill()
    assert short_pool.run(5.0) == {}
    short_pool.empty()
    started = short_pool.run(MAX_STANDSTILL_S)
    assert job in started


# Guards against LOST and SHORT while workers are replaced one after the other: each new
# worker caused a question, and tickets were not renewed while one was pending.
def test_tickets_are_renewed_while_new_workers_arrive():
    """Workers arrive faster than the advisor answers a question of a heavy queue."""
    pool = AdvisedPool(allowed=HEAVY_ALLOWED, advisor=HEAVY_ADVISOR)
    job = pool.submit(count=1, cpu=4500, estimate_ms=6200)
    pool.fill()
    pool.run(FIRST_ADVICE_S)
    assert pool.run_while_workers_arrive(4.0) == {}
    pool.empty()
    assert job in pool.run_while_workers_arrive(MAX_STANDSTILL_S)


# Guards against SHORT and LOST after workers were replaced: the tickets of each new
# worker were renewed by calls of their own, until these took up all instances and new
# steps were not evaluated.
def test_calls_of_waiting_steps_stay_few_while_new_workers_arrive():
    """Eight jobs wait; each may renew its tickets in two calls and evaluate in one."""
    pool = AdvisedPool(allowed=3, advisor=HEAVY_ADVISOR, instances=42)
    for number in range(8):
        pool.submit(number, count=1, cpu=4500, estimate_ms=6200)
    pool.fill()
    pool.run(FIRST_ADVICE_S)
    for _ in range(4):
        pool.run_while_workers_arrive(2.0)
        assert pool.advice.pending_calls + pool.advice.queued_calls <= 8 * 3


# Guards against an advisor without time after a storm of crashes: each waiting step
# asked about each worker that came back in a call of its own.
def test_waiting_steps_ask_about_new_workers_together():
    """Four workers arrive a second; a call takes 0.7 s, and tickets last for 20 s."""
    advisor = AdvisorSpec(decision_ms=700.0, per_worker_ms=1.0, validity_ms=20_000.0)
    pool = AdvisedPool(allowed=HEAVY_ALLOWED, advisor=advisor, instances=42)
    for number in range(8):
        pool.submit(number, count=1, cpu=4500, estimate_ms=6200)
    pool.fill()
    pool.run(FIRST_ADVICE_S)
    calls = pool.calls
    pool.run_while_workers_arrive(9.0)
    # A step asks again after four times the duration of a call, 2.8 s, at the earliest.
    assert pool.calls - calls <= 8 * 4


# Guards against calls without need for ever, and against later jobs that are never
# renewed in time: jobs that can never be placed stayed at the head of the order.
def test_tickets_of_steps_that_can_never_fit_are_not_renewed():
    """Eight jobs want more than any worker has; the ninth waits for room."""
    pool = AdvisedPool(allowed=HEAVY_ALLOWED, advisor=HEAVY_ADVISOR, instances=42)
    for number in range(8):
        pool.submit(number, count=1, cpu=16001, estimate_ms=6200)
    pool.run(FIRST_ADVICE_S)
    assert pool.advice.pending_calls + pool.advice.queued_calls == 0
    job = pool.submit(8, count=1, cpu=4500, estimate_ms=6200)
    pool.fill()
    pool.run(FIRST_ADVICE_S)
    pool.empty()
    assert job in pool.run(STEP_S)


# Guards against LOST while one instance does not answer: a job stood still until a call
# timed out, although the other calls had renewed tickets of idle workers.
@pytest.mark.parametrize("tightest", ["w000", "w001", "w002", "w003"])
def test_job_starts_with_the_tickets_of_the_calls_that_are_answered(tightest):
    """Two calls renew the tickets; one is lost, and takes 4 s to time out."""
    pool = AdvisedPool(allowed=SHORT_ALLOWED, advisor=HEAVY_ADVISOR, instances=3)
    pool.add_worker(tightest, cpu=8000)
    job = pool.submit(count=1, cpu=4500, estimate_ms=6200)
    pool.fill()
    pool.run(FIRST_ADVICE_S)
    pool.silent_session = 2
    pool.run(2.5)
    pool.empty()
    assert job in pool.run(MAX_STANDSTILL_S)
