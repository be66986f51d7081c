"""Cost of the leader's decisions on workflows, by size, without a network.

Load of both users: short jobs of two tasks, wide jobs, and gangs, on workers of 16
cores that are empty or full.
"""

import resource
import time
import tracemalloc

import msgspec

from bench.report import emit
from bluebellyoke.cell import commands as c
from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.advice import AdviceManager
from bluebellyoke.dispatch.planner import Planner
from bluebellyoke.dispatch.workers import RunPhase, TrackedWorker
from bluebellyoke.workflow import commands as wc
from bluebellyoke.workflow.specs import (
    Configuration,
    PoolSpec,
    QueueSpec,
    StepSpec,
    WorkerSpec,
    WorkflowSpec,
)
from bluebellyoke.workflow.store import WorkflowStore

SIZES = (24, 100, 400, 1600)
ROUNDS = 5
NOW = 1000.0

STEPS = (
    StepSpec(count=2, need=Resources(1400, 2900, 0), estimate_ms=640.0),
    StepSpec(count=10, need=Resources(980, 2800, 0), estimate_ms=2700.0),
    StepSpec(count=8, need=Resources(4500, 13000, 0), estimate_ms=6200.0, gang=True),
)


def create_book(workers):
    """Return a book and members with a queue and some workers."""
    book = WorkflowStore()
    queue = QueueSpec(name="q", host="h", prefix="/q/", pool="p", timeout_ms=3000)
    configuration = Configuration(
        version=1, queues=(queue,), pools=(PoolSpec(name="p"),)
    )
    book.apply(wc.ApplyConfiguration(configuration=configuration))
    members = {}
    for number in range(workers):
        spec = WorkerSpec(
            id=f"w{number:05d}",
            incarnation=1,
            pool="p",
            address=f"10.0.{number // 250}.{number % 250}:80",
            data_centre=f"d{number % 4}",
            capacity=Resources(16000, 65536, 0),
            labels=("a", f"r{number // 6}"),
        )
        book.apply(wc.EnrolWorker(spec=spec))
        members[spec.id] = TrackedWorker(
            spec, NOW, last_response_at=NOW, has_responded=True
        )
    return book, members


def submit(book, count, first=0):
    """Hand in jobs of the three kinds in turn."""
    for number in range(first, first + count):
        spec = WorkflowSpec(
            id=f"{number:016x}",
            queue="q",
            payload="x" * 300,
            steps=(STEPS[number % len(STEPS)],),
        )
        book.apply(wc.SubmitWorkflow(time=NOW, spec=spec))


def measure_planning(workers):
    """Measure rounds of planning with one waiting job for each two workers."""
    book, members = create_book(workers)
    submit(book, workers // 2)
    planner = Planner(AdviceManager())
    begin = time.process_time()
    planned = planner.plan(book, members, NOW, NOW)
    cost = time.process_time() - begin
    starts = tuple(item.start for item in planned)
    emit(
        "dispatch.plan_per_start",
        round(cost / max(len(starts), 1) * 1e6, 1),
        "us",
        workers=workers,
        jobs=workers // 2,
    )
    begin = time.process_time()
    book.apply(wc.AssignRuns(starts=starts))
    ends = tuple(wc.RunEnd(x.task, x.run, wc.RunOutcome.DONE) for x in starts)
    book.apply(wc.RecordEnds(time=NOW, ends=ends))
    apply_cost = time.process_time() - begin
    emit(
        "dispatch.apply_per_start_and_end",
        round(apply_cost / max(len(starts), 1) * 1e6, 1),
        "us",
        workers=workers,
    )


def measure_full_cell(workers):
    """Measure a round in which nothing fits."""
    book, members = create_book(workers)
    for number, member in enumerate(members.values()):
        member.add_run(number, member.spec.capacity, RunPhase.STARTED, NOW)
    submit(book, workers // 2)
    planner = Planner(AdviceManager())
    begin = time.process_time()
    for _ in range(ROUNDS):
        planner.plan(book, members, NOW, NOW)
    cost = (time.process_time() - begin) / ROUNDS
    emit("dispatch.plan_full_cell", round(cost * 1e3, 2), "ms", workers=workers)


def measure_log():
    """Measure the log's bytes for a start and its end."""
    name = wc.TaskName("5c0e7a21d94b36f8", 0, 1, 17)
    start = wc.AssignRuns(
        time=NOW, starts=(wc.RunStart(name, 1, "i-7f3a91c2aa", 1760000000000),) * 10
    )
    end = wc.RecordEnds(time=NOW, ends=(wc.RunEnd(name, 1, wc.RunOutcome.DONE),) * 10)
    size = len(c.encode_commands((start,))) + len(c.encode_commands((end,)))
    emit("dispatch.log_per_task", size / 10, "B")


def measure_memory():
    """Measure the memory of an accepted job, and of its record in a snapshot."""
    book, _ = create_book(24)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    jobs = 2000
    submit(book, jobs)
    for workflow in book.workflows.values():
        workflow.get_repetition(0)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    emit("dispatch.memory_per_job", round(used / jobs), "B", tasks_per_job=6.7)
    image = msgspec.msgpack.encode(book.dump())
    emit("dispatch.snapshot_per_job", round(len(image) / jobs), "B")
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    emit("dispatch.peak_memory", round(peak), "MB")


def main():
    """Print all measurements."""
    for workers in SIZES:
        measure_planning(workers)
        measure_full_cell(workers)
    measure_log()
    measure_memory()
