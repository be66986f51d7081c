"""Cost of placement decisions, and how it grows."""

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

#: Size of letter 1.
WORKERS = 4_900
RUNNING = 130_000
WORKSPACES = 78
STARTS_PER_S = 1_800

TASKS_PER_JOB = 100
NEED = Resources(2_000, 8_000, 0)


def create_engine(policy, seed=1):
    """Return an engine with a fixed seed."""
    return PlacementEngine(
        policy=create_policy(policy), random_source=random.Random(seed)
    )


def fill(simulation, engine, running, workspaces):
    """Start long tasks, a fifth of them services."""
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
    """Start and end tasks at a steady rate for a while."""
    simulation = CellSimulation()
    simulation.add_workspaces(workspaces)
    simulation.add_workers(workers, LARGE_WORKER)
    engine = create_engine(policy)
    fill(simulation, engine, running, workspaces)
    gc.collect()
    gc.freeze()
    interval = engine.policy.interval_s
    simulation.starts, simulation.apply_s = 0, 0.0
    plan_s, rounds, submitted = 0.0, [], 0
    began, wall = time.process_time(), time.perf_counter()
    for step in range(int(seconds / interval)):
        simulation.now += interval
        simulation.report_ended_tasks()
        due = int((step + 1) * interval * starts_per_s / TASKS_PER_JOB)
        while submitted < due:
            simulation.submit(
                f"run{submitted}",
                f"t{submitted % workspaces}",
                NEED,
                5.0,
                tasks=TASKS_PER_JOB,
            )
            submitted += 1
        start = time.perf_counter()
        result = engine.plan(simulation.state.scheduling, simulation.now)
        took = time.perf_counter() - start
        plan_s += took
        if result.placements:
            rounds.append(took / len(result.placements))
        simulation.apply_placements(result.placements)
        simulation.state.scheduling.workers_with_changed_orders.clear()
    size = {
        "policy": policy,
        "workers": workers,
        "running": running,
        "workspaces": workspaces,
    }
    cpu = time.process_time() - began
    emit("placement.decision_mean", plan_s / simulation.starts * 1e6, "us", **size)
    emit("placement.decision_p99", compute_quantile(rounds, 0.99) * 1e3, "ms", **size)
    emit("placement.starts", simulation.starts / seconds, "1/s", **size)
    emit("placement.cpu", cpu / seconds, "cores", seconds=seconds, **size)
    emit("placement.apply_share", simulation.apply_s / cpu, "ratio", **size)
    emit("placement.wall", time.perf_counter() - wall, "s", **size)
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    emit("placement.peak_memory", peak, "MB", **size)
    gc.unfreeze()
    return plan_s / simulation.starts


def measure_baseline(workers, running, workspaces):
    """Time the plain scheduler's decisions in the same situation."""
    simulation = CellSimulation()
    simulation.add_workspaces(workspaces)
    simulation.add_workers(workers, LARGE_WORKER)
    fill(simulation, create_engine("packing"), running, workspaces)
    engine = BaselineEngine()
    simulation.submit("probe", "t0", NEED, 5.0, tasks=200)
    start = time.perf_counter()
    result = engine.plan(simulation.state.scheduling, simulation.now)
    took = time.perf_counter() - start
    mean = took / max(len(result.placements), 1)
    emit(
        "placement.baseline_decision_mean",
        mean * 1e6,
        "us",
        workers=workers,
        running=running,
    )
    return mean


def main():
    """Measure the size of letter 1 and the growth towards it."""
    for policy in ("packing", "waiting"):
        mean = measure_steady_starts(
            policy, WORKERS, RUNNING, WORKSPACES, STARTS_PER_S, 60
        )
    baseline = measure_baseline(WORKERS, RUNNING, WORKSPACES)
    emit("placement.baseline_ratio", baseline / mean, "ratio", workers=WORKERS)
    for workers in (25, 100, 400, 1_600):
        measure_steady_starts("packing", workers, workers * 26, 20, workers * 0.36, 30)


if __name__ == "__main__":
    main()
