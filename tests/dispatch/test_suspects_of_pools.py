"""Tests of suspects that wait behind others."""

from bluebellyoke.dispatch.planning_round import WaitReason
from bluebellyoke.workflow.commands import CrashedRun
from tests.dispatch.test_planner import NOW, Cell
from tests.workflow.factories import (
    create_queue,
    create_step,
    create_worker,
    name_task,
)

#: Suspects of a pool of four idle workers that may run at the same time.
MAX_RUNNING = 3


def create_cell():
    """Return a cell with four workers in one pool and one in another."""
    queues = [create_queue(), create_queue("r", pool="r")]
    cell = Cell(workers=4, queues=queues)
    cell.add_worker(create_worker("r1", pool="r"))
    return cell


def submit_suspects(cell, counts):
    """Submit jobs of one task each and let them share a crash; return their IDs.

    Args:
        counts: Number of jobs by queue, in the order of their submission.
    """
    jobs = [
        cell.submit([create_step()], queue)
        for queue, count in counts.items()
        for _ in range(count)
    ]
    runs = [CrashedRun(name_task(workflow=job), 0, 10, True) for job in jobs]
    cell.store.crashes.record(("crashed", 1), runs, NOW)
    return jobs


# Guards against suspects that wait beside idle workers for as long as another pool has
# more suspects than it may run.
def test_suspects_of_a_full_pool_do_not_hold_back_those_of_another():
    cell = create_cell()
    jobs = submit_suspects(cell, {"q": MAX_RUNNING + 1, "r": 1})
    started = [item.start.task.workflow for item in cell.plan()]
    assert started == [*jobs[:MAX_RUNNING], jobs[-1]]


# Guards against steps that wait without being reported.
def test_each_suspect_that_waits_has_a_reason():
    cell = create_cell()
    jobs = submit_suspects(cell, {"q": MAX_RUNNING + 3})
    cell.planner.pause((jobs[-1], 0, 0), NOW)
    cell.plan()
    assert cell.planner.wait_reasons == {
        (jobs[MAX_RUNNING], 0, 0): WaitReason.SUSPECT,
        (jobs[MAX_RUNNING + 1], 0, 0): WaitReason.SUSPECT,
        (jobs[-1], 0, 0): WaitReason.REFUSED,
    }
