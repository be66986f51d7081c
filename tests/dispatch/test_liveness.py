"""Tests that all jobs end soon after faults of the workers, calls and advisor stop.

Once the faults have stopped and every call is answered, each accepted workflow that is
not cancelled and whose tasks fit on allowed workers ends within `MAX_CALM_S`. So a
failed run is followed by the next one unless the attempts are used up. A step that
waits has a wait reason.
"""

import random

import pytest

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.advice import MAX_FAILURE_BACKOFF_S
from bluebellyoke.dispatch.features import DispatchFeatures
from bluebellyoke.dispatch.isolation import MAX_PROBATION_S
from bluebellyoke.dispatch.workers import QUARANTINE_MAX_S
from tests.dispatch.faulty_cell import QUEUES, REFUSALS, FaultyCell
from tests.dispatch.simulation import MAX_LEASE_MS
from tests.workflow.factories import create_spec, create_step

#: Time in which all finite jobs of a scenario run one after the other, in seconds.
WORK_S = 40.0

MAX_CALM_S = (
    MAX_LEASE_MS / 1000
    + QUARANTINE_MAX_S
    + MAX_PROBATION_S
    + MAX_FAILURE_BACKOFF_S
    + WORK_S
)

#: Time in which a step that begins to wait gets a reason, in seconds.
MAX_UNEXPLAINED_S = 0.5

FAULT_STEPS = 400
STEP_S = 0.05
MAX_JOBS = 24
MAX_BURST_JOBS = 80
MAX_SERVICES = 3

SERVICE = create_step(1, cpu=500, long_running=True)

STEPS = (
    [create_step(5, cpu=1000)],
    [create_step(5, cpu=1000, gang=True)],
    [create_step(1, cpu=3500)],
    [create_step(2, cpu=1000, required_label="gpu")],
    [create_step(4, cpu=500, max_per_worker=1)],
    [create_step(3, cpu=1500, gang=True, same_rack=True)],
    [create_step(2, cpu=1500, data_rack="rack1", estimate_ms=500.0)],
    [create_step(3, cpu=800, memory=900, backfill=True, estimate_ms=900.0)],
    [create_step(2, cpu=1000), create_step(3, cpu=1000, depends_on=(0,), gang=True)],
)


FEATURES = (
    DispatchFeatures(urgency=True),
    DispatchFeatures(uneven_workers=True, move_stragglers=True),
    DispatchFeatures(interference=True),
)


class LivenessScenario:
    """A cell with random jobs and faults, and a calm after them."""

    def __init__(self, seed, features=None):
        self.random = random.Random(seed)
        self.cell = FaultyCell(self.random, features)
        self.services = []
        self.jobs = 0
        self.unexplained = {}

    def run(self):
        for _ in range(FAULT_STEPS):
            self.inject_fault()
            self.cell.step(self.random.choice((0.02, STEP_S, 0.1)))
        self.cell.calm_down()
        return self.wait_for_ends()

    def wait_for_ends(self):
        """Return the workflows without a service that do not end in time."""
        cell = self.cell
        begun_at = cell.now
        open_jobs = []
        while cell.now - begun_at < MAX_CALM_S:
            cell.step(STEP_S)
            self.check_reasons()
            open_jobs = [x for x in cell.store.active if x not in self.services]
            if not open_jobs:
                break
        self.calm_s = cell.now - begun_at
        return open_jobs

    def check_reasons(self):
        """Check that each step that waits for longer than a moment has a reason."""
        now, found = self.cell.now, self.cell.list_unexplained()
        self.unexplained = {x: self.unexplained.get(x, now) for x in found}
        for step, since in self.unexplained.items():
            assert now - since < MAX_UNEXPLAINED_S, f"{step} waits without a reason"

    def submit(self):
        self.jobs += 1
        name = f"{self.jobs:016x}"
        steps = self.random.choice(STEPS)
        queue = self.random.choice(("q", "fast", "fast", "slow", "other"))
        if queue == "other":
            steps = [create_step(3, cpu=1000)]
        elif len(self.services) < MAX_SERVICES and self.random.random() < 0.2:
            steps = [SERVICE]
            self.services.append(name)
        elif self.random.random() < 0.2:
            self.cell.doomed.add(name)
        workspace = self.random.choice(("", "ws0", "ws1"))
        self.cell.submit(create_spec(name, steps, queue, workspace=workspace))

    def inject_fault(self):
        cell, chance = self.cell, self.random.random()
        name = self.random.choice(sorted(cell.workers))
        worker = cell.workers[name]
        if chance < 0.08 and self.jobs < MAX_JOBS:
            self.submit()
        elif chance < 0.10:
            cell.take_down(name)
        elif chance < 0.15:
            if worker.is_down:
                cell.restart(name)
        elif chance < 0.16:
            cell.restart(name)
        elif chance < 0.17:
            worker.is_cut = True
        elif chance < 0.20:
            worker.is_cut = False
        elif chance < 0.21:
            worker.fails_all = not worker.fails_all
        elif chance < 0.23:
            worker.refusal = self.random.choice((None, *REFUSALS))
        elif chance < 0.235:
            cell.describe(name, draining=True)
        elif chance < 0.245:
            size = self.random.choice((1000, 4000))
            cell.describe(name, capacity=Resources(size, 4000, 0))
        elif chance < 0.25:
            cell.change_leader()
        elif chance < 0.26:
            queues = QUEUES if self.random.random() < 0.5 else QUEUES[:2]
            cell.configure(queues, self.random.choice(((0, 0), (6000, 3000))))
        elif chance < 0.28:
            instance = self.random.choice(cell.advisor.instances)
            cell.advisor.disconnect(cell.dispatcher.advice, instance)
        elif chance < 0.282 and self.jobs:
            cell.cancel(f"{self.random.randint(1, self.jobs):016x}")


class BurstScenario(LivenessScenario):
    """A scenario with more jobs than the cell can run at once."""

    def inject_fault(self):
        for _ in range(2):
            if self.jobs < MAX_BURST_JOBS and self.random.random() < 0.5:
                self.submit()
        super().inject_fault()


class CrashScenario(LivenessScenario):
    """A scenario in which one or many workers often crash."""

    def inject_fault(self):
        names, chance = sorted(self.cell.workers), self.random.random()
        if chance < 0.08:
            for name in self.random.sample(names, 1 if chance < 0.06 else 4):
                self.cell.restart(name)
        if self.jobs < MAX_BURST_JOBS and self.random.random() < 0.1:
            self.submit()
        super().inject_fault()


class ServiceScenario(BurstScenario):
    """A scenario with a service on each worker of a pool."""

    def __init__(self, seed, features=None):
        super().__init__(seed, features)
        self.jobs = 1
        name = f"{self.jobs:016x}"
        self.services.append(name)
        step = create_step(8, cpu=500, max_per_worker=1, long_running=True)
        self.cell.submit(create_spec(name, [step]))


# Guards against tasks that wait without a bound: of a step whose run failed, behind
# others, for a ticket, or for a worker that has been quarantined or lost.
@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize(
    "scenario", [LivenessScenario, BurstScenario, CrashScenario, ServiceScenario]
)
def test_all_jobs_end_soon_after_the_faults(scenario, seed):
    assert scenario(seed).run() == []


# Guards against the same with the optional parts, which reorder, stop and move tasks.
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("features", FEATURES)
def test_all_jobs_end_with_optional_parts(features, seed):
    assert BurstScenario(seed, features).run() == []
