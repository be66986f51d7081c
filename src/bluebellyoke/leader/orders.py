"""Orders to a worker: what to run, stop and forget.

Orders are worked out from the scheduling state and the worker's own list, so
that a lost reply is made good by the next heartbeat. A worker never starts the same
epoch twice.
"""

from bluebellyoke.cell.jobs import Task, TaskState
from bluebellyoke.cell.workers import Worker
from bluebellyoke.instance.wire import (
    TaskStart,
    TaskStop,
    WorkerHeartbeat,
    WorkerOrders,
)

__all__ = ["build_orders", "has_news"]


def build_orders(
    worker: Worker, heartbeat: WorkerHeartbeat, lease_s: float
) -> WorkerOrders:
    """Return the orders that answer a heartbeat of the worker's live session."""
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
                starts.append(_start(task))
        elif key in running or key not in known:
            stops.append(_stop(task))
    stops += [TaskStop(*key, False) for key in running - placed]
    return WorkerOrders(
        status="ok",
        lease_s=lease_s,
        run=tuple(starts),
        stop=tuple(stops),
        throttle=tuple(_list_excessive(worker, heartbeat)),
        acknowledged=tuple(
            (item.job_id, item.index, item.epoch) for item in heartbeat.ended
        ),
    )


def has_news(orders: WorkerOrders) -> bool:
    """Return whether a worker should hear of its orders at once."""
    return bool(
        orders.run or orders.stop or orders.acknowledged or orders.status != "ok"
    )


def _start(task: Task) -> TaskStart:
    return TaskStart(*task.key, task.epoch, task.job.need, task.job.spec.payload)


def _stop(task: Task) -> TaskStop:
    # A preempted task saves its progress; a cancelled one has nothing to save.
    saves = task.job.spec.checkpoint and task.state is TaskState.STOPPING
    return TaskStop(*task.key, task.epoch, saves)


def _list_excessive(worker: Worker, heartbeat: WorkerHeartbeat):
    """Yield the running tasks that use more processor time than their need."""
    for item in heartbeat.running:
        task = worker.tasks.get((item.job_id, item.index))
        if task is not None and item.used.cpu_millis > task.job.need.cpu_millis:
            yield (item.job_id, item.index, item.epoch)
