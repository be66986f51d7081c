"""Model of workers whose runs slow each other down, as the leader sees it.

The progress of a run depends on its worker, on its length and on the images beside it.
A worker reports once a second and whenever a run ends.
"""

import itertools
import random
from dataclasses import dataclass, field

from bluebellyoke.dispatch.interference import InterferenceLearner
from bluebellyoke.dispatch.pair_table import PairTable
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.metrics import Metrics
from bluebellyoke.workflow.commands import RunOutcome, TaskName
from tests.workflow.factories import create_step, create_worker

STEP_S = 0.05

REPORT_INTERVAL_S = 1.0


class FakeContext:
    """The part of the dispatcher's context that the learner uses."""

    def __init__(self):
        self.steps = {}

    def find_step(self, key):
        return self.steps[key]

    def find_estimate(self, key):
        return self.steps[key].estimate_ms / 1000


@dataclass
class Kind:
    """Tasks of one image.

    Attributes:
        duration_s: Run time on a worker of speed 1 without neighbours.
        rate: Arrivals per second and worker; a serving task is there from the start.
        spread: Standard deviation of the logarithm of the run time.
        long_share: Share of tasks that run 7 times as long.
        only_on: Index of the only worker that runs them, or None.
        tail_ms: Function of time and worker that returns the tail latency of a serving
            task without neighbours, or None for tasks that end.
    """

    image: str
    duration_s: float = 1.0
    rate: float = 0.3
    spread: float = 0.0
    long_share: float = 0.0
    only_on: int | None = None
    tail_ms: object = None


@dataclass
class ModelRun:
    kind: Kind
    work_s: float
    done_s: float = 0.0


@dataclass
class ModelWorker:
    tracked: TrackedWorker
    speed: float = 1.0
    runs: dict = field(default_factory=dict)
    reported_at: float = 0.0


class NeighbourModel:
    """Workers, runs and a learner that observes them.

    Args:
        slowdowns: Multiple of the run time of the first image beside the second one.
        speeds: Speed of each worker.
    """

    def __init__(self, kinds, slowdowns, speeds=(1.0, 1.0, 1.0, 1.0), seed=1):
        self.random = random.Random(seed)
        self.kinds = kinds
        self.slowdowns = slowdowns
        self.context = FakeContext()
        self.metrics = Metrics()
        self.table = PairTable(self.metrics)
        self.paces = {}
        self.learner = InterferenceLearner(
            self.context,
            self.table,
            lambda worker, key, since: self.paces.get(key, 100) < 100,
        )
        self.now = 1000.0
        self.numbers = itertools.count()
        self.workers = []
        for index, speed in enumerate(speeds):
            self.add_worker(index, speed)

    def add_worker(self, index, speed):
        tracked = TrackedWorker(create_worker(f"w{index}"), self.now)
        worker = ModelWorker(tracked, speed, reported_at=self.now)
        self.workers.append(worker)
        for kind in self.kinds:
            if kind.tail_ms is not None:
                self.start(index, kind)

    def start(self, index, kind, **fields):
        """Start a run on a worker and return its key."""
        worker = self.workers[index]
        key = (TaskName(f"{next(self.numbers):016x}", 0, 0, 0), 1)
        step = create_step(
            image=kind.image,
            estimate_ms=kind.duration_s * 1000,
            long_running=kind.tail_ms is not None,
            tail_target_ms=100.0 if kind.tail_ms is not None else 0.0,
            **fields,
        )
        self.context.steps[key] = step
        worker.tracked.add_run(key, step.need, RunPhase.STARTED, self.now)
        worker.tracked.runs[key].sent_at = self.now
        length = 2.718281828 ** self.random.gauss(0.0, kind.spread)
        if self.random.random() < kind.long_share:
            length *= 7
        worker.runs[key] = ModelRun(kind, kind.duration_s * length)
        return key

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for index, worker in enumerate(self.workers):
                self._arrive(index)
                self._progress(index, worker)
            self.table.check(self.now)

    def _arrive(self, index):
        for kind in self.kinds:
            is_here = kind.only_on in (None, index) and kind.tail_ms is None
            if is_here and self.random.random() < kind.rate * STEP_S:
                self.start(index, kind)

    def _find_slowdown(self, worker, key):
        image = worker.runs[key].kind.image
        others = {run.kind.image for other, run in worker.runs.items() if other != key}
        factor = 1.0
        for other in others:
            factor *= self.slowdowns.get((image, other), 1.0)
        return factor

    def _progress(self, index, worker):
        ended = []
        for key, run in worker.runs.items():
            if run.kind.tail_ms is not None:
                continue
            run.done_s += STEP_S * worker.speed / self._find_slowdown(worker, key)
            if run.done_s >= run.work_s:
                ended.append(key)
        if ended or self.now - worker.reported_at >= REPORT_INTERVAL_S:
            worker.reported_at = self.now
            self._report(index, worker, ended)

    def _report(self, index, worker, ended):
        for key, run in worker.runs.items():
            if key in ended:
                continue
            load, percent = 500, int(100 * run.done_s / run.work_s)
            if run.kind.tail_ms is not None:
                base_ms = run.kind.tail_ms(self.now, index)
                noise = self.random.uniform(0.95, 1.05)
                load = int(base_ms * self._find_slowdown(worker, key) * noise)
                percent = 100
            tracked = worker.tracked.runs[key]
            tracked.record_progress(percent, self.now)
            self.learner.record_progress(worker.tracked, key, tracked, load, self.now)
        for key in ended:
            self.end(index, key)

    def end(self, index, key, outcome=RunOutcome.DONE):
        """End a run."""
        worker = self.workers[index]
        tracked = worker.tracked.runs[key]
        self.learner.record_end(worker.tracked, key, tracked, outcome, self.now)
        worker.tracked.drop_run(key)
        del worker.runs[key]

    def list_known(self):
        """Return the known pairs with their slowdowns."""
        return {
            pair: estimate.factor
            for pair, estimate in self.table._pairs.items()
            if estimate.is_known
        }
