"""Tests of the order of waiting steps by the fair shares of their workspaces."""

from bluebellyoke.dispatch.fair_order import FairOrder
from bluebellyoke.dispatch.planner import Planner
from tests.dispatch.test_planner import list_jobs
from tests.dispatch.test_quotas import QuotaCell
from tests.workflow.factories import create_queue, create_step


def create_cell(names="ab", shares=None, **fields):
    cell = QuotaCell(dict.fromkeys(names, 0), **fields)
    cell.configure(dict.fromkeys(names, 0), shares)
    cell.planner = Planner(cell.advice, orders=[FairOrder()])
    return cell


# Guards against a workspace that fills the cell before others that asked later.
def test_workspace_within_its_share_comes_before_one_beyond():
    cell = create_cell()
    for _ in range(20):
        cell.submit([create_step(1)], workspace="a")
    late = [cell.submit([create_step(1)], workspace="b") for _ in range(5)]
    started = list_jobs(cell.plan_and_start())
    assert len(started) == 12
    assert set(late) <= set(started)


# Guards against capacity that stays free although steps beyond a share wait.
def test_order_uses_all_room():
    cell = create_cell()
    for _ in range(20):
        cell.submit([create_step(1)], workspace="a")
    cell.submit([create_step(1)], workspace="b")
    assert len(cell.plan_and_start()) == 12


# Guards against an order that changes where capacity suffices.
def test_order_is_by_rank_while_capacity_suffices():
    cell = create_cell()
    jobs = [cell.submit([create_step(1)], workspace=name) for name in "aaaaaaab"]
    assert list_jobs(cell.plan_and_start()) == jobs


# Guards against weights that have no effect.
def test_shares_weigh_the_order():
    cell = create_cell(shares={"a": 3.0, "b": 1.0})
    jobs = {
        name: [cell.submit([create_step(1)], workspace=name) for _ in range(20)]
        for name in "ba"
    }
    started = list_jobs(cell.plan_and_start())
    assert len(set(started) & set(jobs["a"])) == 8


# Guards against runs of earlier rounds that do not count for a share.
def test_running_tasks_count_for_the_share():
    cell = create_cell()
    for _ in range(9):
        cell.submit([create_step(1)], workspace="a")
    cell.plan_and_start()
    for _ in range(9):
        cell.submit([create_step(1)], workspace="a")
    late = [cell.submit([create_step(1)], workspace="b") for _ in range(3)]
    assert list_jobs(cell.plan_and_start()) == late


# Guards against a workspace that fills the memory with backfill tasks before others
# that asked later.
def test_memory_of_backfill_tasks_counts_for_the_share():
    cell = create_cell()
    for _ in range(20):
        cell.submit([create_step(1, memory=1000, backfill=True)], workspace="a")
    late = [cell.submit([create_step(1, memory=1000)], workspace="b") for _ in range(5)]
    started = list_jobs(cell.plan_and_start())
    assert len(started) == 12
    assert set(late) <= set(started)


# Guards against an order within a group other than by priority and age.
def test_rank_applies_within_each_group():
    queues = [create_queue("q", priority=1), create_queue("urgent", priority=0)]
    cell = create_cell(queues=queues)
    later = cell.submit([create_step(1)], workspace="b")
    first = cell.submit([create_step(1)], queue="urgent", workspace="b")
    for _ in range(20):
        cell.submit([create_step(1)], queue="urgent", workspace="a")
    started = list_jobs(cell.plan_and_start())
    assert started.index(first) < started.index(later)


# Guards against traffic without a workspace that gets more than all others.
def test_steps_without_a_workspace_share_one_part():
    cell = create_cell()
    for _ in range(20):
        cell.submit([create_step(1)])
    late = [cell.submit([create_step(1)], workspace="b") for _ in range(5)]
    assert set(late) <= set(list_jobs(cell.plan_and_start()))


# Guards against an order where the configuration has no workspaces.
def test_order_is_by_rank_without_workspaces():
    cell = create_cell(names="")
    jobs = [cell.submit([create_step(1)], workspace=x) for x in ["a"] * 20 + ["b"]]
    assert list_jobs(cell.plan_and_start()) == jobs[:12]


# Guards against one wide step that takes the whole cell because it begins within the
# share of its workspace.
def test_wide_step_counts_as_within_for_its_share_only():
    cell = create_cell()
    wide = cell.submit([create_step(100)], workspace="a")
    late = [cell.submit([create_step(1)], workspace="b") for _ in range(5)]
    started = list_jobs(cell.plan_and_start())
    assert set(late) <= set(started)
    assert started.count(wide) == 12 - len(late)
    assert (wide, 0, 0) not in cell.planner.wait_reasons
