"""Simulation of callers that compete for the workers of a cell.

The figures are those of the bid house in docs/WORKSPACES-AND-LOAD.md, scaled to the
number of workers. Time advances in steps of `STEP_S`.
"""

import heapq
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.features import DispatchFeatures
from bluebellyoke.dispatch.queue_requests import QueueRequestHandler
from bluebellyoke.instance import wire
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.specs import WorkspaceSpec
from tests.dispatch.simulation import DispatcherSimulation, SimulatedWorker
from tests.workflow.factories import (
    create_configuration,
    create_queue,
    create_spec,
    create_step,
    create_worker,
)

STEP_S = 0.02
WORKER_CPU = 32_000
FULL_WORKERS = 176
POLL_WAIT_S = 1.0
STOP_S = 0.4
MAX_RETRIES = 4

LONG = create_queue("long", priority=1, slack_factor=2.2, target_ms=1000.0)
BATCH = create_queue("batch", priority=2, slack_factor=4.0, target_ms=3000.0)
SHORT = create_queue("short", priority=0, slack_factor=1.5, target_ms=250.0)

#: Jobs a second of each queue with all workers.
RATES = {"long": 1.8, "batch": 5.1, "short": 52.0}

#: Maximum factor between the actual and the declared run time of a job.
MAX_ESTIMATE_ERROR = {"long": 1.9, "batch": 1.9, "short": 1.0}


@dataclass
class Job:
    """A caller's job with its fate."""

    spec: object
    first_at: float
    objective_s: float
    attempts: int = 0
    refusals: list = field(default_factory=list)
    accepted_at: float | None = None


def create_job_steps(queue, rng):
    if queue == "long":
        steps = 2 if rng.random() < 0.2 else 1
        saves = rng.random() < 0.5
        fields = {"gang": True, "checkpoints": saves}
        sizes = [(20, 9000, 5000.0)] * steps
    elif queue == "batch":
        steps = 2 if rng.random() < 0.5 else 1
        fields = {"checkpoints": rng.random() < 0.8}
        sizes = [(25, 3500, 3400.0)] * steps
    else:
        fields = {"gang": rng.random() < 0.3}
        sizes = [(3, 5000, 640.0)]
    return [
        create_step(
            count,
            cpu,
            estimate_ms=estimate_ms,
            depends_on=(index - 1,) if index else (),
            **fields,
        )
        for index, (count, cpu, estimate_ms) in enumerate(sizes)
    ]


class LoadSimulation(DispatcherSimulation):
    """Workers that run tasks for their time, and callers that return as they are told.

    Args:
        workers: Number of workers.
        admission: Whether admission and its order are in use.
        urgency: Whether the order is in use without admission.
        workspaces: Share of each workspace by name.
        seed: Seed of the traffic.

    Attributes:
        jobs: All jobs by ID.
        lost_work: Work that stops have lost, in core-seconds.
    """

    def __init__(
        self, workers=44, *, admission=True, urgency=False, workspaces=None, seed=1
    ):
        self.features = DispatchFeatures(admission=admission, urgency=urgency)
        self.rng = random.Random(seed)
        self.jobs, self.due, self.held_polls = {}, [], {}
        self.run_ends, self.run_began, self.stop_ends = {}, {}, {}
        self.progress = defaultdict(float)
        self.starts_at, self.stops = Counter(), Counter()
        self.lost_work = 0.0
        self.down = set()
        self.scale = workers / FULL_WORKERS
        super().__init__(workers=0)
        rows = tuple(
            WorkspaceSpec(name=name, share=share, credentials=(name,))
            for name, share in (workspaces or {}).items()
        )
        self.configure(rows)
        for number in range(workers):
            name = f"w{number + 1}"
            spec = create_worker(
                name,
                address=f"10.0.{number // 200}.{number % 200}:80",
                capacity=Resources(WORKER_CPU, 64_000, 0),
            )
            self.workers[name] = SimulatedWorker(spec, 1.0)
            self.announce_spec(spec)
        self.commit()
        self.handler = QueueRequestHandler(self.dispatcher)
        self.run(3.0)
        self.began_at = self.now

    def configure(self, workspaces):
        configuration = create_configuration(
            version=self.store.configuration.version + 1,
            queues=(LONG, BATCH, SHORT),
            workspaces=workspaces,
        )
        command = workflow_commands.ApplyConfiguration(configuration=configuration)
        self.dispatcher.change_configuration(command, self.now, lambda result: None)
        self.commit()

    def change_leader(self):
        super().change_leader()
        self.handler = QueueRequestHandler(self.dispatcher)
        self.held_polls = {}

    def announce_spec(self, spec):
        self.dispatcher.register_worker(spec, self.now, lambda result: None)

    # Callers.

    def add_traffic(self, queue, seconds, *, factor=1.0, start_s=0.0, workspaces=("",)):
        """Add random arrivals at a multiple of the usual rate of a queue."""
        rate = RATES[queue] * self.scale * factor
        at = self.now + start_s
        until = at + seconds
        while (at := at + self.rng.expovariate(rate)) < until:
            self.add_job(queue, at, workspace=self.rng.choice(workspaces))

    def add_usual_traffic(self, seconds, **fields):
        for queue in RATES:
            self.add_traffic(queue, seconds, **fields)

    def add_job(self, queue, at, *, workspace="", steps=None):
        steps = steps or create_job_steps(queue, self.rng)
        job_id = f"{self.rng.getrandbits(64):016x}"
        spec = create_spec(job_id, steps, queue=queue, workspace=workspace)
        config = {"long": LONG, "batch": BATCH, "short": SHORT}[queue]
        chain_s = sum(step.estimate_ms for step in steps) / 1000
        objective_s = config.slack_factor * chain_s + config.target_ms / 1000
        self.jobs[job_id] = Job(spec, at, objective_s)
        heapq.heappush(self.due, (at, job_id))
        return job_id

    def submit_due(self):
        while self.due and self.due[0][0] <= self.now:
            _, job_id = heapq.heappop(self.due)
            self.submit_job(self.jobs[job_id])

    def submit_job(self, job):
        job.attempts += 1
        request = wire.QueueRequest(
            wire.QueueAction.SUBMIT,
            "h.example",
            f"/{job.spec.queue}/{job.spec.id}",
            draft=job.spec,
            credential=job.spec.workspace,
        )
        self.handler.handle(
            self.store, request, self.now, lambda reply: self.receive_reply(job, reply)
        )

    def receive_reply(self, job, reply):
        if reply.code == "accepted":
            job.accepted_at = job.accepted_at or self.now
            return
        assert reply.code == "overloaded", reply
        job.refusals.append((self.now, reply.retry_after_s))
        if job.attempts <= MAX_RETRIES:
            heapq.heappush(self.due, (self.now + reply.retry_after_s, job.spec.id))

    # Time.

    def run(self, seconds, on_step=lambda: None):
        for _ in range(round(seconds / STEP_S)):
            self.advance(STEP_S)
            self.submit_due()
            self.commit()
            self.end_runs()
            on_step()
            self.tick()
            self.deliver_calls()
            self.commit()

    def run_until_idle(self, seconds=300.0):
        until = self.now + seconds
        while (self.due or self.store.active) and self.now < until:
            self.run(0.5)
        assert not self.store.active, f"{len(self.store.active)} jobs did not end"

    def deliver_calls(self):
        sent_calls, self.sent_calls = self.sent_calls, []
        for sent in sent_calls:
            if sent.kind == "poll" and not sent.request.is_probe:
                self.held_polls[sent.spec.id] = (sent, self.now)
            elif sent.spec.id not in self.down:
                self.deliver(sent)
        for name, (sent, since) in list(self.held_polls.items()):
            worker = self.workers[name]
            worker.fence = max(worker.fence, sent.request.fence)
            if sent.request.deadline_ms is not None:
                worker.extend(sent.request.deadline_ms)
            unacknowledged = any(
                x.number > sent.request.acknowledged_end for x in worker.ended
            )
            waited = self.now - since >= min(sent.request.wait_ms / 1000, POLL_WAIT_S)
            if name not in self.down and (unacknowledged or waited):
                del self.held_polls[name]
                self.deliver(sent)
        posted, self.events = self.events, []
        for event in posted:
            self.receive(event)

    # Workers.

    def handle_start(self, worker, request):
        key = (request.task, request.run)
        is_new = key not in worker.runs
        result = super().handle_start(worker, request)
        if is_new and key in worker.runs:
            self.starts_at[int(self.now)] += 1
            duration_s = self.find_duration(request.task)
            done_s = float(request.checkpoint or 0) * duration_s
            self.progress[request.task] = done_s
            self.run_began[key] = self.now
            resume_s = 0.6 if request.checkpoint else 0.0
            self.run_ends[key] = self.now + duration_s - done_s + resume_s
        return result

    def find_duration(self, task):
        """Return the run time of a task, by the declared estimate and its error."""
        spec = self.store.workflows[task.workflow].spec
        error = MAX_ESTIMATE_ERROR[spec.queue]
        factor = error ** random.Random(task.workflow).uniform(-1, 1)
        step = spec.steps[task.step]
        # A gang ends as a whole.
        name = f"{task.workflow}/{task.step}/{0 if step.gang else task.index}"
        speed = random.Random(name).choice((0.8, 1.0, 1.25))
        # Beyond the largest error a long job is late even if it never waits.
        factor = min(factor * speed, max(error, 1.25))
        return step.estimate_ms / 1000 * factor

    def handle_stop(self, worker, request):
        key = (request.task, request.run)
        if key not in worker.runs:
            return super().handle_stop(worker, request)
        self.stop_ends.setdefault(key, self.now + STOP_S)
        return {"accepted": True}

    def end_runs(self):
        for worker in self.workers.values():
            for key in list(worker.runs):
                if self.now >= self.run_ends[key]:
                    worker.end(key, workflow_commands.RunOutcome.DONE)
                elif self.now >= self.stop_ends.get(key, self.now + 1):
                    self.end_stopped(worker, key)
                else:
                    total = self.run_ends[key] - self.run_began[key]
                    elapsed = self.now - self.run_began[key]
                    worker.percents[key] = int(100 * elapsed / total)

    def end_stopped(self, worker, key):
        task, _ = key
        step = self.store.workflows[task.workflow].spec.steps[task.step]
        done_s = self.progress[task] + self.now - self.run_began[key]
        fraction = done_s / self.find_duration(task)
        self.stops[task] += 1
        worker.end(key, workflow_commands.RunOutcome.STOPPED)
        if step.checkpoints:
            ended = worker.ended[-1]
            object.__setattr__(ended, "checkpoint", f"{min(fraction, 0.99):.4f}")
        else:
            self.lost_work += done_s * step.need.cpu_millis / 1000

    def remove_workers(self, names):
        """End the processes of some workers for good."""
        for name in names:
            self.down.add(name)
            self.workers[name].runs.clear()
            self.held_polls.pop(name, None)
            spec = self.workers[name].spec
            command = workflow_commands.RemoveWorker(
                worker=name, incarnation=spec.incarnation, time=self.now
            )
            self.store.apply(command)
        self.dispatcher._registry.sync_workers(self.now)

    # Results.

    def find_latency(self, job):
        workflow = self.store.workflows.get(job.spec.id)
        if workflow is None or workflow.outcome != "completed":
            return None
        return workflow.finished_at - job.first_at

    def compute_value(self, job):
        """Return what a job is worth to its caller: 1, a fifth or nothing."""
        latency = self.find_latency(job)
        if latency is None or latency > 3 * job.objective_s:
            return 0.0
        return 1.0 if latency <= job.objective_s else 0.2

    def list_jobs(self, queue, *, since_s=0.0, until_s=1e9, workspaces=None):
        first, last = self.began_at + since_s, self.began_at + until_s
        return [
            job
            for job in self.jobs.values()
            if job.spec.queue == queue
            and first <= job.first_at < last
            and (workspaces is None or job.spec.workspace in workspaces)
        ]

    def compute_mean_value(self, jobs):
        return sum(map(self.compute_value, jobs)) / len(jobs)

    def describe(self):
        """Return the mean value and the refusals of each queue, for a failed test."""
        return {
            queue: (
                len(jobs := self.list_jobs(queue)),
                round(self.compute_mean_value(jobs), 3),
                sum(bool(job.refusals) for job in jobs),
            )
            for queue in RATES
            if self.list_jobs(queue)
        }
