"""Random faults around the workers; no task ever runs in two places."""

from collections import Counter
from dataclasses import dataclass, field

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, rule

from bluebellyoke.cell import commands as c
from bluebellyoke.cell.resources import Resources
from bluebellyoke.instance import wire as w
from tests.cell.factories import create_job
from tests.leader.harness import World

TOTAL = Resources(4_000, 4_000, 0)
KILL_S = 0.9
RESEND_S = 2.0


@dataclass
class FakeWorker:
    """A worker that follows docs/API.md as late as it allows."""

    name: str
    rate: float
    origin: float
    session: int = 1
    sequence: int = 0
    lease_until: float = float("-inf")
    runs: dict = field(default_factory=dict)
    ended: dict = field(default_factory=dict)
    seen: set = field(default_factory=set)
    waiting: int = 0
    sent_at: float = 0.0
    is_cut: bool = False
    is_paused: bool = False

    def read_clock(self, now):
        return self.origin + now * self.rate

    def restart(self):
        """Kill everything and begin a new session."""
        self.session += 1
        self.sequence = 0
        self.lease_until = float("-inf")
        self.runs.clear()
        self.ended.clear()
        self.seen.clear()
        self.waiting = 0


class WorkerWorld(World):
    """The harness with workers instead of callers."""

    def __init__(self):
        super().__init__(instances=1, upstreams=0)
        rates = (0.96, 1.0, 1.04)
        self.workers = [
            FakeWorker(f"m{n}", rates[n], self.random.uniform(0, 1e6)) for n in range(3)
        ]
        self.calls = {}
        self.replies = []
        self.starts = Counter()
        self.restartable = set()
        self.jobs = 0

    def connect(self, instance):
        super().connect(instance)
        session = self.controller.sessions[instance.session]

        def send(message):
            if isinstance(message, w.Reply):
                self.replies.append((self.now + self.random.uniform(0, 0.4), message))

        session.send = send

    def submit(self, tasks, kind, idempotent):
        self.jobs += 1
        job_id = f"j{self.jobs}"
        self.state.apply(
            create_job(
                job_id,
                tasks=tasks,
                kind=kind,
                need=Resources(1_000, 100, 0),
                idempotent=idempotent,
                time=self.now,
            )
        )
        if idempotent or kind is c.JobKind.SERVICE:
            self.restartable.add(job_id)

    def step(self, seconds=0.05):
        super().step(seconds)
        for worker in self.workers:
            if not worker.is_paused:
                self.act(worker)
        due = [item for item in self.replies if item[0] <= self.now]
        self.replies = [item for item in self.replies if item[0] > self.now]
        for _, reply in due:
            self.deliver_reply(reply)

    def act(self, worker):
        clock = worker.read_clock(self.now)
        if worker.runs and clock >= worker.lease_until + KILL_S:
            worker.restart()
        for key, ends in list(worker.runs.items()):
            if ends <= self.now:
                del worker.runs[key]
                outcome = self.random.choice(
                    [c.TaskOutcome.DONE, c.TaskOutcome.DONE, c.TaskOutcome.FAILED]
                )
                worker.ended[key] = c.TaskReport(*key, outcome)
        resend = clock - worker.sent_at > RESEND_S
        if not worker.waiting or resend:
            self.send_heartbeat(worker, clock)

    def send_heartbeat(self, worker, clock):
        self.numbers += 1
        worker.sequence += 1
        worker.waiting = self.numbers
        worker.sent_at = clock
        heartbeat = w.WorkerHeartbeat(
            worker.name,
            f"s{worker.session}",
            worker.sequence,
            TOTAL,
            "r1",
            "dc1",
            tuple(w.RunningTask(*key) for key in worker.runs),
            tuple(worker.ended.values()),
            0.0 if worker.ended else 0.5,
        )
        self.calls[self.numbers] = (worker, worker.session, clock)
        instance = self.instances[0]
        if worker.is_cut or instance.session not in self.controller.sessions:
            return
        call = w.Call(self.numbers, heartbeat)
        self.controller.receive(instance.session, call, self.now, self.now)

    def deliver_reply(self, reply):
        worker, session, sent_at = self.calls.get(reply.id, (None, 0, 0.0))
        if worker is None or worker.is_cut or worker.is_paused:
            return
        if worker.session != session:
            return
        if worker.waiting == reply.id:
            worker.waiting = 0
        self.obey(worker, reply.body, sent_at)

    def obey(self, worker, orders, sent_at):
        if orders.status == "ended":
            worker.restart()
            return
        if orders.lease_s:
            worker.lease_until = max(worker.lease_until, sent_at + orders.lease_s)
        for key in orders.acknowledged:
            worker.ended.pop(key, None)
        for item in orders.stop:
            key = (item.job_id, item.index, item.epoch)
            if key in worker.runs:
                del worker.runs[key]
                worker.ended[key] = c.TaskReport(*key, c.TaskOutcome.STOPPED)
            elif key not in worker.seen:
                worker.seen.add(key)
                worker.ended[key] = c.TaskReport(*key, c.TaskOutcome.NEVER_STARTED)
        if worker.read_clock(self.now) < worker.lease_until:
            for item in orders.run:
                self.start_task(worker, (item.job_id, item.index, item.epoch))

    def start_task(self, worker, key):
        if key in worker.seen:
            return
        worker.seen.add(key)
        worker.runs[key] = self.now + self.random.uniform(0.5, 12.0)
        self.starts[key[:2]] += 1

    def check(self):
        super().check()
        # The tasks of a frozen worker are frozen with it.
        awake = [worker for worker in self.workers if not worker.is_paused]
        places = Counter(key[:2] for worker in awake for key in worker.runs)
        assert not places or max(places.values()) == 1, "a task ran in two places"
        for worker in self.workers:
            assert len(worker.runs) <= 4, "a worker was overcommitted"
        for (job_id, _), count in self.starts.items():
            assert count == 1 or job_id in self.restartable, f"{job_id} ran twice"


class WorkersMachine(RuleBasedStateMachine):
    """Silent, paused, restarted workers, lost replies and new leaders."""

    def __init__(self):
        super().__init__()
        self.world = WorkerWorld()
        self.world.pass_time(1.5)

    def pick(self, number):
        return self.world.workers[number % 3]

    @rule(
        tasks=st.integers(1, 6),
        kind=st.sampled_from(list(c.JobKind)),
        idempotent=st.booleans(),
    )
    def submit(self, tasks, kind, idempotent):
        self.world.submit(tasks, kind, idempotent)
        self.world.pass_time(0.5)

    @rule(tenths=st.integers(1, 60))
    def wait(self, tenths):
        self.world.pass_time(tenths / 10)

    @rule(number=st.integers(0, 2), tenths=st.integers(5, 110))
    def cut_for_a_while(self, number, tenths):
        self.pick(number).is_cut = True
        self.world.pass_time(tenths / 10)
        self.pick(number).is_cut = False

    @rule(number=st.integers(0, 2), tenths=st.integers(5, 110))
    def pause_for_a_while(self, number, tenths):
        self.pick(number).is_paused = True
        self.world.pass_time(tenths / 10)
        self.pick(number).is_paused = False

    @rule(number=st.integers(0, 2))
    def restart(self, number):
        self.pick(number).restart()

    @rule()
    def lose_replies(self):
        self.world.replies.clear()

    @rule(apply_pending=st.booleans())
    def change_leader(self, apply_pending):
        self.world.change_leader(apply_pending=apply_pending)
        self.world.pass_time(0.5)

    @rule(number=st.integers(1, 40))
    def cancel(self, number):
        self.world.state.apply(c.CancelJob(job_id=f"j{number}", time=self.world.now))

    def teardown(self):
        """After all faults every job ends in an honest state."""
        for worker in self.world.workers:
            worker.is_cut = worker.is_paused = False
        book = self.world.state.book
        for _ in range(60):
            self.world.pass_time(5.0)
            left = [
                job
                for job in book.jobs.values()
                if not job.finished_at and job.spec.kind is not c.JobKind.SERVICE
            ]
            if not left:
                return
            for job in book.jobs.values():
                if job.spec.kind is c.JobKind.SERVICE:
                    self.world.state.apply(
                        c.CancelJob(job_id=job.spec.id, time=self.world.now)
                    )
        raise AssertionError(f"{[job.spec.id for job in left]} never end")


TestWorkers = WorkersMachine.TestCase
TestWorkers.settings = settings(max_examples=60, stateful_step_count=25)
