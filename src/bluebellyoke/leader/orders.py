"""Orders to a worker: tasks to start, stop and acknowledge.

Orders are computed from the scheduling state and the tasks that the worker reports, so
the next heartbeat repairs a lost reply. A worker never starts the same epoch twice.
"""

from bluebellyoke.cell.jobs import Task, TaskState
from bluebellyoke.cell.workers import Worker
from bluebellyoke.instance.wire import (
    TaskStart,
    TaskStop,
    WorkerHeartbeat,
    WorkerOrders,
)

__all__ = ["build_orders", "needs_immediate_reply"]


def build_orders(
    worker: Worker, heartbeat: WorkerHeartbeat, lease_s: float
) -> WorkerOrders:
    """Return the orders in reply to a heartbeat of the worker's live session."""
    known = {
        (item.job_id, item.index, item.epoch)
        for items in (heartbeat.running, heartbeat.ended)
        for item in items
    }
    running = {(item.job_id, item.index, item.epoch) for item in heartbeat.running}
    starts, stops = [], []
    placed = set()
    for task in worker.tasks.values():
        key = (*task.key, task.epoch)
        placed.add(key)
        if task.state is TaskState.RUNNING:
            if key not in known:
                starts.append(_build_start(task))
        elif key in running or key not in known:
            stops.append(_build_stop(task))
    stops += [TaskStop(*key, False) for key in running - placed]
    return WorkerOrders(
        status="ok",
        lease_s=lease_s,
        run=tuple(starts),
        stop=tuple(stops),
        throttle=tuple(_find_overusing_tasks(worker, heartbeat)),
        acknowledged=tuple(
            (item.job_id, item.index, item.epoch) for item in heartbeat.ended
        ),
    )


def needs_immediate_reply(orders: WorkerOrders) -> bool:
    """Return whether the orders should be sent without delay."""
    return bool(
        orders.run or orders.stop or orders.acknowledged or orders.status != "ok"
    )


def _build_start(task: Task) -> TaskStart:
    return TaskStart(*task.key, task.epoch, task.job.need, task.job.spec.payload)


def _build_stop(task: Task) -> TaskStop:
    # A preempted task saves a checkpoint; a cancelled one does not resume.
    saves = task.job.spec.checkpoint and task.state is TaskState.STOPPING
    return TaskStop(*task.key, task.epoch, saves)


def _find_overusing_tasks(worker: Worker, heartbeat: WorkerHeartbeat):
    """Yield the running tasks that use more CPU than their need."""
    for item in heartbeat.running:
        task = worker.tasks.get((item.job_id, item.index))
        if task is not None and item.used.cpu_millis > task.job.need.cpu_millis:
            yield (item.job_id, item.index, item.epoch)
