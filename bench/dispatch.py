"""CPU cost of the leader's workflow decisions by number of workers, without a network.

The load combines that of both users: short jobs of two tasks, wide jobs and gangs, on
workers of 16 cores that are either idle or full.
"""

import math
import resource
import time
import tracemalloc

import msgspec

from bench.report import emit
from bluebellyoke.cell import commands
from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.advice import AdviceManager
from bluebellyoke.dispatch.expected_end import ExpectedEndCost
from bluebellyoke.dispatch.fair_order import FairOrder
from bluebellyoke.dispatch.planner import Planner
from bluebellyoke.dispatch.run_times import RunTimes
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.dispatch.worker_speeds import WorkerSpeeds
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.metrics import Metrics
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.specs import (
    AdvisorSpec,
    Configuration,
    PoolSpec,
    QueueSpec,
    StepSpec,
    WorkerSpec,
    WorkflowSpec,
    WorkspaceSpec,
)
from bluebellyoke.workflow.store import WorkflowStore

WORKER_COUNTS = (24, 100, 400, 1600)
PLANNING_ROUNDS = 5

#: Numbers of workspaces, workers and rounds of the comparison by workspaces.
WORKSPACE_COUNTS = (0, 20, 1000)
WORKSPACE_WORKER_COUNTS = (176, 400)
WORKSPACE_ROUNDS = 40

#: Workers that the advisor evaluates for a step, and one in how many it allows.
ADVISED_WORKERS = 100
ADVISED_DIVISOR = 4
NOW_S = 1000.0

#: Speed factors of workers with which planning by their speed is measured.
EVEN_FACTORS = (1.0,)
UNEVEN_FACTORS = (0.6, 1.0, 1.6)

STEPS = (
    StepSpec(count=2, need=Resources(1400, 2900, 0), estimate_ms=640.0),
    StepSpec(count=10, need=Resources(980, 2800, 0), estimate_ms=2700.0),
    StepSpec(count=8, need=Resources(4500, 13000, 0), estimate_ms=6200.0, gang=True),
)


def create_store(workers, advisor=None, workspaces=0):
    """Return a store with one queue and some workers, and the tracked workers by ID."""
    store = WorkflowStore()
    queue = QueueSpec(
        name="q",
        host="h",
        prefix="/q/",
        pool="p",
        timeout_ms=3000,
        advisor=advisor,
    )
    configuration = Configuration(
        version=1,
        queues=(queue,),
        pools=(PoolSpec(name="p"),),
        workspaces=tuple(
            WorkspaceSpec(name=f"s{number}", quota=Resources(10**9))
            for number in range(workspaces)
        ),
    )
    store.apply(workflow_commands.ApplyConfiguration(configuration=configuration))
    tracked_workers = {}
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
        store.apply(workflow_commands.EnrolWorker(spec=spec))
        tracked_workers[spec.id] = TrackedWorker(
            spec, NOW_S, last_response_at=NOW_S, has_responded=True
        )
    return store, tracked_workers


def submit_workflows(store, count, first=0):
    """Submit `count` workflows, alternating between the three kinds of jobs.

    They are spread over all workspaces, if there are any.
    """
    workspaces = store.configuration.workspaces
    for number in range(first, first + count):
        spec = WorkflowSpec(
            id=f"{number:016x}",
            queue="q",
            address=store.configuration.queues[0].address,
            payload="x" * 300,
            steps=(STEPS[number % len(STEPS)],),
            workspace=workspaces[number % len(workspaces)].name if workspaces else "",
        )
        store.apply(workflow_commands.SubmitWorkflow(time=NOW_S, spec=spec))


def create_uneven_costs(store, tracked_workers, factors):
    """Return the costs for workers whose factors are known, which are used in turn."""
    run_times = RunTimes()
    speeds = WorkerSpeeds(run_times, lambda key: None, Metrics())
    for number, worker in enumerate(tracked_workers.values()):
        level = math.log(factors[number % len(factors)])
        speeds.set_level(worker, level)
    return [ExpectedEndCost(speeds, run_times, store.find_queue)]


def measure_planning(workers, factors=(), label="none"):
    """Measure a planning round with one waiting job per two workers.

    Args:
        factors: Speed factors of the workers, or nothing to plan without costs.
    """
    store, tracked_workers = create_store(workers)
    submit_workflows(store, workers // 2)
    costs = create_uneven_costs(store, tracked_workers, factors) if factors else ()
    planner = create_planner(AdviceManager(), costs)
    started_at = time.process_time()
    planned = planner.plan(store, tracked_workers, NOW_S, NOW_S)
    cpu_s = time.process_time() - started_at
    starts = tuple(item.start for item in planned)
    emit(
        "dispatch.plan_per_start",
        round(cpu_s / max(len(starts), 1) * 1e6, 1),
        "us",
        workers=workers,
        jobs=workers // 2,
        speeds=label,
    )
    started_at = time.process_time()
    store.apply(workflow_commands.AssignRuns(starts=starts))
    ends = tuple(
        workflow_commands.RunEnd(x.task, x.run, workflow_commands.RunOutcome.DONE)
        for x in starts
    )
    store.apply(workflow_commands.RecordEnds(time=NOW_S, ends=ends))
    apply_cpu_s = time.process_time() - started_at
    emit(
        "dispatch.apply_per_start_and_end",
        round(apply_cpu_s / max(len(starts), 1) * 1e6, 1),
        "us",
        workers=workers,
    )


def create_planner(advice, costs=()):
    """Return a planner with the orders that a dispatcher uses."""
    return Planner(advice, costs=costs, orders=(FairOrder(),))


def measure_full_cell(workers):
    """Measure a planning round in which no task fits on any worker."""
    store, tracked_workers = create_store(workers)
    for number, tracked_worker in enumerate(tracked_workers.values()):
        tracked_worker.add_run(
            number, tracked_worker.spec.capacity, RunPhase.STARTED, NOW_S
        )
    submit_workflows(store, workers // 2)
    planner = create_planner(AdviceManager())
    started_at = time.process_time()
    for _ in range(PLANNING_ROUNDS):
        planner.plan(store, tracked_workers, NOW_S, NOW_S)
    cpu_s = (time.process_time() - started_at) / PLANNING_ROUNDS
    emit("dispatch.plan_full_cell", round(cpu_s * 1e3, 2), "ms", workers=workers)


def add_tickets(store, tracked_workers, advice):
    """Give each waiting job tickets for a quarter of some workers."""
    workers = list(tracked_workers.values())[:ADVISED_WORKERS]
    for number, workflow in enumerate(store.active.values()):
        found = advice.get_step_advice((workflow.spec.id, 0, 0))
        found.evaluated.update(worker.spec.key for worker in workers)
        allowed = list(tracked_workers.values())[number % ADVISED_DIVISOR :]
        for worker in allowed[: ADVISED_WORKERS // ADVISED_DIVISOR]:
            found.tickets[worker.spec.key] = ("ticket", NOW_S + 3600.0)


def measure_advised_round(workers):
    """Measure a round for steps with advice, of which one job is new."""
    advisor = AdvisorSpec(decision_ms=10.0, per_worker_ms=0.1, validity_ms=2500.0)
    store, tracked_workers = create_store(workers, advisor)
    advice = AdviceManager()
    planner = create_planner(advice)
    submit_workflows(store, workers // 2)
    add_tickets(store, tracked_workers, advice)
    for tracked_worker in tracked_workers.values():
        tracked_worker.add_run(0, tracked_worker.spec.capacity, RunPhase.STARTED, NOW_S)
    planner.plan(store, tracked_workers, NOW_S, NOW_S)
    started_at = time.process_time()
    for number in range(PLANNING_ROUNDS):
        submit_workflows(store, 1, first=workers + number)
        planner.plan(store, tracked_workers, NOW_S, NOW_S)
    cpu_s = (time.process_time() - started_at) / PLANNING_ROUNDS
    emit("dispatch.plan_advised_full", round(cpu_s * 1e3, 2), "ms", workers=workers)


def measure_workspaces(workers):
    """Measure rounds in a full cell by number of workspaces.

    The numbers take turns, so that a change of the machine's load affects all of them.
    Each row holds the least of all rounds.
    """
    advisor = AdvisorSpec(decision_ms=10.0, per_worker_ms=0.1, validity_ms=2500.0)
    for name, spec in (("full_cell", None), ("advised_full", advisor)):
        cells = {x: create_full_cell(workers, x, spec) for x in WORKSPACE_COUNTS}
        least = dict.fromkeys(cells, float("inf"))
        for number in range(WORKSPACE_ROUNDS):
            for workspaces, (store, tracked_workers, planner) in cells.items():
                submit_workflows(store, 1, first=2 * workers + number)
                started_at = time.process_time()
                planner.plan(store, tracked_workers, NOW_S, NOW_S)
                cpu_s = time.process_time() - started_at
                if number:
                    least[workspaces] = min(least[workspaces], cpu_s)
        for workspaces, cpu_s in least.items():
            emit(
                f"dispatch.plan_workspaces_{name}",
                round(cpu_s * 1e3, 3),
                "ms",
                workers=workers,
                workspaces=workspaces,
                relative=round(cpu_s / least[0], 3),
            )


def create_full_cell(workers, workspaces, advisor):
    """Return a store, full workers and a planner that has planned one round."""
    store, tracked_workers = create_store(workers, advisor, workspaces)
    for worker in tracked_workers.values():
        worker.add_run(0, worker.spec.capacity, RunPhase.STARTED, NOW_S)
    submit_workflows(store, 2 * workers)
    advice = AdviceManager()
    if advisor is not None:
        add_tickets(store, tracked_workers, advice)
    return store, tracked_workers, create_planner(advice)


def measure_log_size():
    """Measure the size of the log entries for the start and the end of a task."""
    name = workflow_commands.TaskName("5c0e7a21d94b36f8", 0, 1, 17)
    start = workflow_commands.AssignRuns(
        time=NOW_S,
        starts=(workflow_commands.RunStart(name, 1, "i-7f3a91c2aa", 1760000000000),)
        * 10,
    )
    end = workflow_commands.RecordEnds(
        time=NOW_S,
        ends=(workflow_commands.RunEnd(name, 1, workflow_commands.RunOutcome.DONE),)
        * 10,
    )
    size = len(commands.encode_commands((start,))) + len(
        commands.encode_commands((end,))
    )
    emit("dispatch.log_per_task", size / 10, "B")


def measure_memory():
    """Measure the memory of an accepted job and the size of its snapshot record."""
    store, _ = create_store(24)
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    jobs = 2000
    submit_workflows(store, jobs)
    for workflow in store.workflows.values():
        workflow.get_repetition(0)
    used_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    emit("dispatch.memory_per_job", round(used_bytes / jobs), "B", tasks_per_job=6.7)
    snapshot = msgspec.msgpack.encode(store.dump())
    emit("dispatch.snapshot_per_job", round(len(snapshot) / jobs), "B")
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    emit("dispatch.peak_memory", round(peak), "MB")


def main():
    """Run and print all measurements."""
    for workers in WORKER_COUNTS:
        measure_planning(workers)
        measure_planning(workers, EVEN_FACTORS, "even")
        measure_planning(workers, UNEVEN_FACTORS, "uneven")
        measure_full_cell(workers)
        measure_advised_round(workers)
    for workers in WORKSPACE_WORKER_COUNTS:
        measure_workspaces(workers)
    measure_log_size()
    measure_memory()
