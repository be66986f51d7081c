"""Stateful test of workers: despite faults no task runs in two places at a time."""

from collections import Counter
from dataclasses import dataclass, field

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, rule

from bluebellyoke.cell import commands
from bluebellyoke.cell.resources import Resources
from bluebellyoke.instance import wire
from tests.cell.factories import create_job
from tests.leader.simulation import ClusterSimulation

TOTAL = Resources(4_000, 4_000, 0)
TASK_STOP_S = 0.9
RESEND_S = 2.0


@dataclass
class SimulatedWorker:
    """A worker that acts at the latest time that docs/API.md allows."""

    name: str
    clock_rate: float
    clock_offset: float
    session: int = 1
    sequence: int = 0
    lease_until: float = float("-inf")
    running: dict = field(default_factory=dict)
    ended: dict = field(default_factory=dict)
    seen_epochs: set = field(default_factory=set)
    pending_call: int = 0
    sent_at: float = 0.0
    is_partitioned: bool = False
    is_paused: bool = False

    def read_clock(self, now):
        return self.clock_offset + now * self.clock_rate

    def restart(self):
        """Kill all tasks and begin a new session."""
        self.session += 1
        self.sequence = 0
        self.lease_until = float("-inf")
        self.running.clear()
        self.ended.clear()
        self.seen_epochs.clear()
        self.pending_call = 0


class WorkerSimulation(ClusterSimulation):
    """A simulation with workers instead of callers."""

    def __init__(self):
        super().__init__(instances=1, upstreams=0)
        clock_rates = (0.96, 1.0, 1.04)
        self.workers = [
            SimulatedWorker(f"m{n}", clock_rates[n], self.random.uniform(0, 1e6))
            for n in range(3)
        ]
        self.calls = {}
        self.pending_replies = []
        self.start_counts = Counter()
        self.restartable = set()
        self.job_count = 0

    def connect(self, instance):
        super().connect(instance)
        session = self.controller.sessions[instance.session]

        def send(message):
            if isinstance(message, wire.Reply):
                self.pending_replies.append(
                    (self.now + self.random.uniform(0, 0.4), message)
                )

        session.send = send

    def submit(self, tasks, kind, idempotent):
        self.job_count += 1
        job_id = f"j{self.job_count}"
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
        if idempotent or kind is commands.JobKind.SERVICE:
            self.restartable.add(job_id)

    def step(self, seconds=0.05):
        super().step(seconds)
        for worker in self.workers:
            if not worker.is_paused:
                self.step_worker(worker)
        due_replies = [item for item in self.pending_replies if item[0] <= self.now]
        self.pending_replies = [
            item for item in self.pending_replies if item[0] > self.now
        ]
        for _, reply in due_replies:
            self.deliver_reply(reply)

    def step_worker(self, worker):
        clock = worker.read_clock(self.now)
        if worker.running and clock >= worker.lease_until + TASK_STOP_S:
            worker.restart()
        for key, ends_at in list(worker.running.items()):
            if ends_at <= self.now:
                del worker.running[key]
                outcome = self.random.choice(
                    [
                        commands.TaskOutcome.DONE,
                        commands.TaskOutcome.DONE,
                        commands.TaskOutcome.FAILED,
                    ]
                )
                worker.ended[key] = commands.TaskReport(*key, outcome)
        resend = clock - worker.sent_at > RESEND_S
        if not worker.pending_call or resend:
            self.send_heartbeat(worker, clock)

    def send_heartbeat(self, worker, clock):
        self.last_number += 1
        worker.sequence += 1
        worker.pending_call = self.last_number
        worker.sent_at = clock
        heartbeat = wire.WorkerHeartbeat(
            worker.name,
            f"s{worker.session}",
            worker.sequence,
            TOTAL,
            "r1",
            "dc1",
            tuple(wire.RunningTask(*key) for key in worker.running),
            tuple(worker.ended.values()),
            0.0 if worker.ended else 0.5,
        )
        self.calls[self.last_number] = (worker, worker.session, clock)
        instance = self.instances[0]
        if worker.is_partitioned or instance.session not in self.controller.sessions:
            return
        call = wire.Call(self.last_number, heartbeat)
        self.controller.receive(instance.session, call, self.now, self.now)

    def deliver_reply(self, reply):
        worker, session, sent_at = self.calls.get(reply.id, (None, 0, 0.0))
        if worker is None or worker.is_partitioned or worker.is_paused:
            return
        if worker.session != session:
            return
        if worker.pending_call == reply.id:
            worker.pending_call = 0
        self.apply_orders(worker, reply.body, sent_at)

    def apply_orders(self, worker, orders, sent_at):
        if orders.status == "ended":
            worker.restart()
            return
        if orders.lease_s:
            worker.lease_until = max(worker.lease_until, sent_at + orders.lease_s)
        for key in orders.acknowledged:
            worker.ended.pop(key, None)
        for item in orders.stop:
            key = (item.job_id, item.index, item.epoch)
            if key in worker.running:
                del worker.running[key]
                worker.ended[key] = commands.TaskReport(
                    *key, commands.TaskOutcome.STOPPED
                )
            elif key not in worker.seen_epochs:
                worker.seen_epochs.add(key)
                worker.ended[key] = commands.TaskReport(
                    *key, commands.TaskOutcome.NEVER_STARTED
                )
        if worker.read_clock(self.now) < worker.lease_until:
            for item in orders.run:
                self.start_task(worker, (item.job_id, item.index, item.epoch))

    def start_task(self, worker, key):
        if key in worker.seen_epochs:
            return
        worker.seen_epochs.add(key)
        worker.running[key] = self.now + self.random.uniform(0.5, 12.0)
        self.start_counts[key[:2]] += 1

    def check_invariants(self):
        super().check_invariants()
        # Tasks of a paused worker are paused too.
        active = [worker for worker in self.workers if not worker.is_paused]
        run_counts = Counter(key[:2] for worker in active for key in worker.running)
        assert not run_counts or max(run_counts.values()) == 1, (
            "a task ran in two places"
        )
        for worker in self.workers:
            assert len(worker.running) <= 4, "a worker was overcommitted"
        for (job_id, _), count in self.start_counts.items():
            assert count == 1 or job_id in self.restartable, f"{job_id} ran twice"


class WorkersStateMachine(RuleBasedStateMachine):
    """Partitioned, paused and restarted workers, lost replies and leader changes."""

    def __init__(self):
        super().__init__()
        self.simulation = WorkerSimulation()
        self.simulation.advance(1.5)

    def get_worker(self, number):
        return self.simulation.workers[number % 3]

    @rule(
        tasks=st.integers(1, 6),
        kind=st.sampled_from(list(commands.JobKind)),
        idempotent=st.booleans(),
    )
    def submit(self, tasks, kind, idempotent):
        self.simulation.submit(tasks, kind, idempotent)
        self.simulation.advance(0.5)

    @rule(tenths=st.integers(1, 60))
    def wait(self, tenths):
        self.simulation.advance(tenths / 10)

    @rule(number=st.integers(0, 2), tenths=st.integers(5, 110))
    def partition_for(self, number, tenths):
        self.get_worker(number).is_partitioned = True
        self.simulation.advance(tenths / 10)
        self.get_worker(number).is_partitioned = False

    @rule(number=st.integers(0, 2), tenths=st.integers(5, 110))
    def pause_for(self, number, tenths):
        self.get_worker(number).is_paused = True
        self.simulation.advance(tenths / 10)
        self.get_worker(number).is_paused = False

    @rule(number=st.integers(0, 2))
    def restart(self, number):
        self.get_worker(number).restart()

    @rule()
    def lose_replies(self):
        self.simulation.pending_replies.clear()

    @rule(apply_pending=st.booleans())
    def change_leader(self, apply_pending):
        self.simulation.change_leader(apply_pending=apply_pending)
        self.simulation.advance(0.5)

    @rule(number=st.integers(1, 40))
    def cancel(self, number):
        self.simulation.state.apply(
            commands.CancelJob(job_id=f"j{number}", time=self.simulation.now)
        )

    def teardown(self):
        """Check that every job reaches a final state once all faults have ended."""
        for worker in self.simulation.workers:
            worker.is_partitioned = worker.is_paused = False
        scheduling = self.simulation.state.scheduling
        for _ in range(60):
            self.simulation.advance(5.0)
            unfinished = [
                job
                for job in scheduling.jobs.values()
                if not job.finished_at and job.spec.kind is not commands.JobKind.SERVICE
            ]
            if not unfinished:
                return
            for job in scheduling.jobs.values():
                if job.spec.kind is commands.JobKind.SERVICE:
                    self.simulation.state.apply(
                        commands.CancelJob(job_id=job.spec.id, time=self.simulation.now)
                    )
        raise AssertionError(f"{[job.spec.id for job in unfinished]} never end")


TestWorkers = WorkersStateMachine.TestCase
TestWorkers.settings = settings(max_examples=60, stateful_step_count=25)
