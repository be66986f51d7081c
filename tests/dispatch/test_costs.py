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


# Guards against placements that change from round to round with the noise of estimates.
def test_costs_that_differ_by_noise_do_not_order_workers():
    cell = create_cell({"w1": 0.02})
    cell.submit([create_step(1)])
    assert [start.worker for start in cell.plan_and_start()] == ["w1"]
