"""CPU cost of placement decisions by cell size."""

import gc
import random
import resource
import time

from bench.baseline import BaselineEngine
from bench.report import emit
from bench.workload import LARGE_WORKER, CellSimulation, compute_quantile
from bluebellyoke.cell.commands import JobKind
from bluebellyoke.cell.resources import Resources
from bluebellyoke.placement.engine import PlacementEngine
from bluebellyoke.placement.policies import create_policy

#: Cell size and load of the first user.
WORKERS = 4_900
RUNNING_TASKS = 130_000
WORKSPACES = 78
STARTS_PER_S = 1_800

TASKS_PER_JOB = 100
NEED = Resources(2_000, 8_000, 0)


def create_engine(policy, seed=1):
    """Return an engine with a fixed seed."""
    return PlacementEngine(
        policy=create_policy(policy), random_source=random.Random(seed)
    )


def start_base_load(simulation, engine, running, workspaces):
    """Start long-running tasks, a fifth of them services, until the cell is full."""
    for number in range(running // TASKS_PER_JOB):
        kind = JobKind.SERVICE if number % 5 == 0 else JobKind.BATCH
        simulation.submit(
            f"base{number}",
            f"t{number % workspaces}",
            NEED,
            1e9,
            kind=kind,
            tasks=TASKS_PER_JOB,
            idempotent=True,
        )
    while simulation.state.scheduling.queues:
        before = simulation.starts
        simulation.step(engine, 0.01)
        if simulation.starts == before:
            break


def measure_steady_starts(policy, workers, running, workspaces, starts_per_s, seconds):
    """Start and end tasks at a constant rate.

    Returns:
        Mean time of a placement decision, in seconds.
    """
    simulation = CellSimulation()
    simulation.add_workspaces(workspaces)
    simulation.add_workers(workers, LARGE_WORKER)
    engine = create_engine(policy)
    start_base_load(simulation, engine, running, workspaces)
    gc.collect()
    gc.freeze()
    interval = engine.policy.interval_s
    simulation.starts, simulation.apply_s = 0, 0.0
    plan_s, rounds, submitted = 0.0, [], 0
    cpu_started_at, wall_started_at = time.process_time(), time.perf_counter()
    for step in range(int(seconds / interval)):
        simulation.now += interval
        simulation.report_ended_tasks()
        jobs_due = int((step + 1) * interval * starts_per_s / TASKS_PER_JOB)
        while submitted < jobs_due:
            simulation.submit(
                f"run{submitted}",
                f"t{submitted % workspaces}",
                NEED,
                5.0,
                tasks=TASKS_PER_JOB,
            )
            submitted += 1
        plan_started_at = time.perf_counter()
        result = engine.plan(simulation.state.scheduling, simulation.now)
        elapsed_s = time.perf_counter() - plan_started_at
        plan_s += elapsed_s
        if result.placements:
            rounds.append(elapsed_s / len(result.placements))
        simulation.apply_placements(result.placements)
        simulation.state.scheduling.workers_with_changed_orders.clear()
    parameters = {
        "policy": policy,
        "workers": workers,
        "running": running,
        "workspaces": workspaces,
    }
    cpu = time.process_time() - cpu_started_at
    emit(
        "placement.decision_mean", plan_s / simulation.starts * 1e6, "us", **parameters
    )
    emit(
        "placement.decision_p99",
        compute_quantile(rounds, 0.99) * 1e3,
        "ms",
        **parameters,
    )
    emit("placement.starts", simulation.starts / seconds, "1/s", **parameters)
    emit("placement.cpu", cpu / seconds, "cores", seconds=seconds, **parameters)
    emit("placement.apply_share", simulation.apply_s / cpu, "ratio", **parameters)
    emit("placement.wall", time.perf_counter() - wall_started_at, "s", **parameters)
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    emit("placement.peak_memory", peak, "MB", **parameters)
    gc.unfreeze()
    return plan_s / simulation.starts


def measure_baseline(workers, running, workspaces):
    """Return the baseline scheduler's mean seconds per decision at the same load."""
    simulation = CellSimulation()
    simulation.add_workspaces(workspaces)
    simulation.add_workers(workers, LARGE_WORKER)
    start_base_load(simulation, create_engine("packing"), running, workspaces)
    engine = BaselineEngine()
    simulation.submit("probe", "t0", NEED, 5.0, tasks=200)
    plan_started_at = time.perf_counter()
    result = engine.plan(simulation.state.scheduling, simulation.now)
    elapsed_s = time.perf_counter() - plan_started_at
    mean_s = elapsed_s / max(len(result.placements), 1)
    emit(
        "placement.baseline_decision_mean",
        mean_s * 1e6,
        "us",
        workers=workers,
        running=running,
    )
    return mean_s


def main():
    """Measure at the first user's cell size and at smaller sizes."""
    for policy in ("packing", "waiting"):
        mean_s = measure_steady_starts(
            policy, WORKERS, RUNNING_TASKS, WORKSPACES, STARTS_PER_S, 60
        )
    baseline = measure_baseline(WORKERS, RUNNING_TASKS, WORKSPACES)
    emit("placement.baseline_ratio", baseline / mean_s, "ratio", workers=WORKERS)
    for workers in (25, 100, 400, 1_600):
        measure_steady_starts("packing", workers, workers * 26, 20, workers * 0.36, 30)


if __name__ == "__main__":
    main()
