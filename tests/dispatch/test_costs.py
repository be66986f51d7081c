"""Tests of the costs by which the planner prefers some workers."""

import pytest

from bluebellyoke.dispatch.costs import PlacementCost
from bluebellyoke.dispatch.planner import Planner
from tests.dispatch.test_planner import Cell, list_jobs
from tests.workflow.factories import create_step


class CostByWorker(PlacementCost):
    """Costs that are fixed by worker."""

    def __init__(self, costs):
        self.costs = costs

    def estimate(self, step, queue, worker):
        return self.costs.get(worker.spec.id, 0.0)


def create_cell(costs, **fields):
    cell = Cell(**fields)
    cell.planner = Planner(cell.advice, costs=[CostByWorker(costs)])
    return cell


@pytest.mark.parametrize("gang", [False, True], ids=["tasks", "gang"])
def test_worker_with_the_lowest_cost_is_used_first(gang):
    cell = create_cell({"w1": 0.5, "w3": 0.5})
    cell.submit([create_step(2, cpu=2000, gang=gang)])
    assert {start.worker for start in cell.plan_and_start()} == {"w2"}


# Guards against a task that waits although it fits: costs must order workers only.
@pytest.mark.parametrize("gang", [False, True], ids=["tasks", "gang"])
def test_costly_workers_are_used_if_the_others_are_full(gang):
    cell = create_cell({"w1": 100.0, "w2": 100.0})
    job = cell.submit([create_step(3, cpu=4000, gang=gang)])
    assert list_jobs(cell.plan_and_start()) == [job] * 3


class NeutralCost(PlacementCost):
    """A cost that is 0 for all steps and must not be estimated."""

    def classify(self, step, queue):
        return None

    def estimate(self, step, queue, worker):
        raise AssertionError("estimated")


# Guards against rounds that get slower by a cost that makes no difference.
def test_neutral_cost_is_not_estimated():
    cell = Cell()
    cell.planner = Planner(cell.advice, costs=[NeutralCost(), CostByWorker({"w1": 1})])
    job = cell.submit([create_step(2, cpu=2000)])
    starts = cell.plan_and_start()
    assert [(start.task.workflow, start.worker) for start in starts] == [
        (job, "w2"),
        (job, "w2"),
    ]


class CountingCost(CostByWorker):
    """A cost that depends on the worker only and counts its estimates."""

    count = 0

    def classify(self, step, queue):
        return 0

    def estimate(self, step, queue, worker):
        self.count += 1
        return super().estimate(step, queue, worker)


# Guards against rounds that take as long as there are pairs of a step and a worker.
def test_cost_is_estimated_once_per_round_kind_and_worker():
    cell = Cell()
    cost = CountingCost({"w2": 1.0})
    cell.planner = Planner(cell.advice, costs=[cost])
    for _ in range(5):
        cell.submit([create_step(1)])
    cell.plan()
    assert cost.count == 3


@pytest.mark.parametrize("is_lasting", [False, True])
def test_only_lasting_costs_are_kept_for_the_next_round(is_lasting):
    cell = Cell()
    cost = CountingCost({"w2": 1.0})
    cost.is_lasting = is_lasting
    cell.planner = Planner(cell.advice, costs=[cost])
    cell.submit([create_step(1)])
    for _ in range(3):
        cell.plan()
    assert cost.count == (3 if is_lasting else 9)


class CostByStep(CostByWorker):
    """A cost of steps with an image only."""

    def classify(self, step, queue):
        return step.image or None


# Guards against the cost of an earlier step that is used for a later one.
def test_step_without_cost_does_not_get_that_of_another():
    cell = Cell()
    cell.planner = Planner(cell.advice, costs=[CostByStep({"w1": 1.0})])
    cell.submit([create_step(1, cpu=4000, image="x")])
    job = cell.submit([create_step(1, cpu=4000)])
    found = {start.task.workflow: start.worker for start in cell.plan_and_start()}
    assert found[job] == "w1"


# Guards against placements that change from round to round with the noise of estimates.
def test_costs_that_differ_by_noise_do_not_order_workers():
    cell = create_cell({"w1": 0.02})
    cell.submit([create_step(1)])
    assert [start.worker for start in cell.plan_and_start()] == ["w1"]
