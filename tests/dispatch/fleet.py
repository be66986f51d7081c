"""Simulation of a fleet of workers of different speed under a planner, in one process.

Work that takes a second on a worker of factor 1 takes 1.6 s on one of factor 1.6. All
workers report their runs at each end of a run and at least once a second.
"""

import random
from dataclasses import dataclass, field

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.advice import AdviceManager
from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.expected_end import ExpectedEndCost
from bluebellyoke.dispatch.planner import Planner
from bluebellyoke.dispatch.run_times import RunTimes
from bluebellyoke.dispatch.stops import RunStopper
from bluebellyoke.dispatch.stragglers import StragglerMover
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.dispatch.worker_speeds import WorkerSpeeds
from bluebellyoke.dispatch.workers import LeaseTimes, TrackedWorker
from bluebellyoke.leader.sessions import ProposalQueue
from bluebellyoke.metrics import Metrics
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.commands import RunOutcome
from bluebellyoke.workflow.specs import StepSpec
from tests.workflow.factories import (
    create_configuration,
    create_queue,
    create_spec,
    create_store,
    create_worker,
)

TICK_S = 0.02

#: Longest time of a stop, and of a start from a checkpoint, in seconds.
STOP_S = 0.9
RESUME_S = 0.6
REPORT_INTERVAL_S = 1.0

LONG_TASK_SHARE = 0.03
LONG_TASK_FACTOR = 7.0


@dataclass
class SimulatedRun:
    """A run on a worker; `work` and `done` are in seconds on a worker of factor 1."""

    work: float
    done: float = 0.0
    begins_at: float = 0.0


@dataclass
class FleetWorker:
    """What a worker does.

    Attributes:
        factor: Time for the same work relative to the median worker.
        slowdown: Multiple of that time at present.
    """

    factor: float
    slowdown: float = 1.0
    runs: dict = field(default_factory=dict)
    reported_at: float = 0.0


class FleetCalls:
    """Takes the calls to workers; a stop takes effect after `STOP_S`."""

    def __init__(self):
        self.term = 0
        self.metrics = Metrics()
        self.stops = []

    def stop(self, spec, request):
        """Note a stop."""
        self.stops.append((spec.id, (request.task, request.run)))


@dataclass
class Job:
    """A submitted job."""

    queue: str
    submitted_at: float
    works: list
    finished_at: float = 0.0


class Fleet:
    """A store, tracked workers, a planner and what learns from runs.

    Args:
        factors: Factor of each worker.
        queues: Queues, or None for one without an objective.
        is_uneven: Whether placement takes account of the speed of workers.
        is_moving: Whether stragglers are moved.
    """

    def __init__(
        self, factors, queues=None, *, cores=32, is_uneven=True, is_moving=False, seed=1
    ):
        self.now = 1000.0
        self.random = random.Random(seed)
        self.store = create_store(
            0, create_configuration(queues=queues or [create_queue()])
        )
        self.workers = {}
        self.machines = {}
        self.jobs = {}
        self.calls = FleetCalls()
        self.metrics = self.calls.metrics
        self.context = DispatchContext(
            ProposalQueue(),
            self.calls,
            LeaseTimes(),
            store=self.store,
            workers=self.workers,
        )
        self.run_times = RunTimes()
        self.speeds = WorkerSpeeds(self.run_times, self.context.find_run, self.metrics)
        self.mover = StragglerMover(
            self.context,
            stopper=RunStopper(self.context, prober=None),
            speeds=self.speeds,
            run_times=self.run_times,
        )
        self.moves = is_moving
        self.stopping = []
        self.saved = {}
        self.checkpoint = "saved"
        self.cost = ExpectedEndCost(self.speeds, self.run_times, self.store.find_queue)
        costs = [self.cost] if is_uneven else []
        self.planner = Planner(AdviceManager(), costs=costs)
        for number, factor in enumerate(factors):
            self.add_worker(f"w{number + 1:02d}", factor, cores=cores)

    def add_worker(self, name, factor, *, cores=32, incarnation=1, labels=()):
        spec = create_worker(
            name,
            incarnation,
            cpu=cores * 1000,
            address=f"10.0.0.1:{len(self.machines) + 80}",
            labels=(name, *labels),
        )
        self.store.apply(workflow_commands.EnrolWorker(spec=spec))
        self.workers[name] = TrackedWorker(
            spec, self.now, last_response_at=self.now, has_responded=True
        )
        self.machines[name] = FleetWorker(factor, reported_at=self.now)

    def remove_worker(self, name):
        worker = self.workers.pop(name)
        self.speeds.forget_worker(worker)
        del self.machines[name]
        self.store.apply(
            workflow_commands.RemoveWorker(
                worker=name, incarnation=worker.spec.incarnation
            )
        )

    # Load.

    def draw_work(self, mean_s, long_share=LONG_TASK_SHARE):
        work = mean_s * self.random.uniform(0.5, 1.5)
        return work * (LONG_TASK_FACTOR if self.random.random() < long_share else 1)

    def submit(
        self, queue, count, cpu, mean_s, *, error=0.5, bias=1.0, works=None, **fields
    ):
        """Submit a job of one step; its estimate is off by up to `error`."""
        estimate_s = bias * mean_s * self.random.uniform(1 - error, 1 + error)
        step = StepSpec(
            count=count,
            need=Resources(cpu, 10, 0),
            estimate_ms=estimate_s * 1000,
            **fields,
        )
        works = works or [self.draw_work(mean_s) for _ in range(count)]
        name = f"{len(self.jobs) + 1:016x}"
        self.jobs[name] = Job(queue, self.now, works)
        self.store.apply(
            workflow_commands.SubmitWorkflow(
                time=self.now, spec=create_spec(name, [step], queue)
            )
        )
        return name

    # Time.

    def run(self, seconds, on_tick=lambda: None):
        """Let time pass; `on_tick` may submit jobs."""
        for _ in range(round(seconds / TICK_S)):
            on_tick()
            self.now += TICK_S
            self.context.now = self.now
            for name in list(self.machines):
                self._advance(self.workers[name], self.machines[name])
            self._stop()
            if self.moves:
                self.mover.tick(self.now)
            self._plan()

    def _stop(self):
        self.stopping += [(self.now + STOP_S, *x) for x in self.calls.stops]
        self.calls.stops = []
        for due, name, key in list(self.stopping):
            if self.now < due:
                continue
            self.stopping.remove((due, name, key))
            run = self.machines[name].runs.get(key)
            if run is not None:
                self.saved[key[0]] = run.done
                self.end_run(name, key, RunOutcome.STOPPED, self.checkpoint)

    def _advance(self, worker, machine):
        worker.last_response_at = self.now
        done = TICK_S / (machine.factor * machine.slowdown)
        ended = []
        for key, run in machine.runs.items():
            if self.now > run.begins_at:
                run.done += done
            if run.done >= run.work:
                ended.append(key)
        if not ended and self.now - machine.reported_at < REPORT_INTERVAL_S:
            return
        machine.reported_at = self.now
        worker.record_clock(round((self.now - 900) * 1000), self.now, self.now)
        for key, run in machine.runs.items():
            if key in ended:
                continue
            tracked = worker.runs[key]
            tracked.record_progress(int(100 * run.done / run.work), self.now)
            self.speeds.record_progress(worker, key, tracked, 0, self.now)
        for key in ended:
            self.end_run(worker.spec.id, key)

    def end_run(self, name, key, outcome=RunOutcome.DONE, checkpoint=""):
        """End a run on a worker."""
        worker = self.workers[name]
        del self.machines[name].runs[key]
        self.speeds.record_end(worker, key, worker.runs[key], outcome, self.now)
        end = workflow_commands.RunEnd(*key, outcome, checkpoint)
        self.store.apply(workflow_commands.RecordEnds(time=self.now, ends=(end,)))
        worker.drop_run(key)
        workflow = self.store.workflows[key[0].workflow]
        if workflow.outcome:
            self.jobs[key[0].workflow].finished_at = self.now

    def _plan(self):
        planned = self.planner.plan(self.store, self.workers, self.now, self.now)
        starts = tuple(item.start for item in planned)
        if not starts:
            return
        self.store.apply(workflow_commands.AssignRuns(starts=starts))
        for start in starts:
            key = (start.task, start.run)
            worker = self.workers[start.worker]
            worker.add_run(
                key,
                self.context.find_allocation(key),
                RunPhase.STARTED,
                self.now,
                self.context.find_estimate(key),
            )
            worker.runs[key].sent_at = self.now
            run = SimulatedRun(self.jobs[start.task.workflow].works[start.task.index])
            if start.task in self.saved:
                run.done, run.begins_at = self.saved[start.task], self.now + RESUME_S
            self.machines[start.worker].runs[key] = run

    # Results.

    def get_factor(self, name):
        return self.speeds.get_factor(self.workers[name])

    def compute_on_time(self, queue, since=0.0):
        """Return the share of a queue's jobs that met their objective."""
        spec = self.store.find_queue(create_queue(queue).address)
        jobs = [x for x in self.jobs.values() if x.queue == queue and x.finished_at]
        jobs = [x for x in jobs if x.submitted_at >= since]
        on_time = 0
        for job in jobs:
            objective = spec.slack_factor * max(job.works) + spec.target_ms / 1000
            on_time += job.finished_at - job.submitted_at <= objective
        return on_time / len(jobs)
