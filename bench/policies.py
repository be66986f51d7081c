"""Packing, wait times and fairness of the policies under load and faults.

Every scheduler gets the same jobs in the same order. The packing ratio is the lower
bound of the number of busy workers (total need divided by the size of a worker, for
the bottleneck resource) divided by the actual number of busy workers, averaged over
the second half of a run.
"""

import random
import time

from bench.baseline import BaselineEngine
from bench.placement import create_engine
from bench.report import emit
from bench.workload import (
    SMALL_WORKER,
    CellSimulation,
    compute_mean_need,
    compute_quantile,
    sample_need,
)
from bluebellyoke.cell import commands
from bluebellyoke.cell.jobs import PLACED_STATES, TaskState
from bluebellyoke.cell.resources import Resources

WORKERS = 100
WORKSPACES = 10
DURATION_S = 200
MEAN_RUN_S = 20.0
STEP_S = 0.1
BASELINE_STEP_S = 0.01
URGENT_FRACTION = 0.05
SERVICE_FRACTION = 0.2


class PolicyRun:
    """A run of one scheduler on a stream of jobs.

    Args:
        policy: Name of a policy, or `baseline`.
        load: Offered load as a fraction of the cell's capacity.
        workers: Number of workers.
        size_error: Ratio of actual usage to the declared need.
        seed: Seed of the random source.
    """

    def __init__(self, policy, load, *, workers=WORKERS, size_error=1.0, seed=3):
        self.policy = policy
        self.engine = (
            BaselineEngine() if policy == "baseline" else create_engine(policy)
        )
        self.step_s = (
            BASELINE_STEP_S if policy == "baseline" else self.engine.policy.interval_s
        )
        self.load = load
        self.workers = workers
        self.size_error = size_error
        self.random = random.Random(seed)
        self.simulation = CellSimulation()
        self.simulation.add_workspaces(WORKSPACES)
        self.simulation.add_workers(workers, SMALL_WORKER)
        self.submitted = 0
        self.packing = []
        self.utilization = []
        self.plan_s = 0.0
        self.overcommitted_workers = 0
        self.over_capacity_worker_s = 0
        cpu, memory = compute_mean_need()
        bottleneck_fraction = max(
            cpu / SMALL_WORKER.cpu_millis, memory / SMALL_WORKER.memory_mb
        )
        self.arrivals_per_s = load * workers / bottleneck_fraction / MEAN_RUN_S
        self.pending_arrivals = 0.0

    def run(self, seconds=DURATION_S, on_second=None):
        """Simulate the load and call `on_second` after each simulated second."""
        self.start_services()
        for second in range(seconds):
            for _ in range(round(1 / self.step_s)):
                self.submit_arrivals()
                started_at = time.process_time()
                self.simulation.step(self.engine, self.step_s)
                self.plan_s += time.process_time() - started_at
                self.simulation.execute_stop_orders()
            # Usage that `on_second` reports below is counted one second later, after
            # the scheduler could react to it.
            self.overcommitted_workers += self.simulation.count_overcommitted_workers()
            self.over_capacity_worker_s += self.simulation.count_workers_over_capacity()
            if second > seconds / 2:
                self.record_packing()
            if on_second is not None:
                on_second(second)
        return self

    def start_services(self):
        """Start the services that make up a fifth of the load during the whole run."""
        count = int(SERVICE_FRACTION * self.arrivals_per_s * MEAN_RUN_S)
        for _ in range(count // 10):
            self.submit(
                sample_need(self.random), 1e9, kind=commands.JobKind.SERVICE, tasks=10
            )
        for _ in range(50):
            self.simulation.step(self.engine, STEP_S)
        self.simulation.waits.clear()

    def submit_arrivals(self):
        """Submit the jobs that arrive during one step."""
        self.pending_arrivals += (
            (1 - SERVICE_FRACTION) * self.arrivals_per_s * self.step_s
        )
        while self.pending_arrivals >= 1:
            self.pending_arrivals -= 1
            run_s = self.random.expovariate(1 / MEAN_RUN_S)
            urgent = self.random.random() < URGENT_FRACTION
            need = Resources(1_000, 2_000, 0) if urgent else sample_need(self.random)
            self.submit(
                need,
                run_s,
                urgent=urgent,
                idempotent=not urgent,
                checkpoint=not urgent,
                expected_s=run_s,
            )

    def submit(self, need, run_s, **fields):
        workspace = f"t{self.random.randrange(WORKSPACES)}"
        self.submitted += 1
        declared = Resources(
            int(need.cpu_millis / self.size_error),
            int(need.memory_mb / self.size_error),
            0,
        )
        job_id = f"j{self.submitted}"
        self.simulation.submit(job_id, workspace, declared, run_s, **fields)
        return job_id

    def record_packing(self):
        """Record the packing ratio and the utilization of the cell."""
        all_workers = self.simulation.state.scheduling.workers.values()
        workers = [worker for worker in all_workers if worker.alive]
        busy = [worker for worker in workers if worker.tasks]
        cpu, memory = self.simulation.compute_utilization()
        bound = max(cpu, memory) * len(workers)
        self.packing.append(bound / len(busy) if busy else 1.0)
        self.utilization.append(max(cpu, memory))

    def emit(self, prefix="policy"):
        """Print the results of the run."""
        parameters = {"policy": self.policy, "load": self.load, "workers": self.workers}
        emit(
            f"{prefix}.packing",
            sum(self.packing) / len(self.packing),
            "ratio",
            **parameters,
        )
        emit(
            f"{prefix}.use",
            sum(self.utilization) / len(self.utilization),
            "ratio",
            **parameters,
        )
        for job_class, waits in sorted(self.simulation.waits.items()):
            for name, fraction in (("p50", 0.5), ("p99", 0.99)):
                value = compute_quantile(waits, fraction)
                emit(f"{prefix}.wait_{job_class}_{name}", value, "s", **parameters)
        all_waits = [x for waits in self.simulation.waits.values() for x in waits]
        mean = sum(all_waits) / max(len(all_waits), 1)
        emit(f"{prefix}.wait_mean", mean, "s", **parameters)
        emit(f"{prefix}.control_cpu", self.plan_s / DURATION_S, "cores", **parameters)
        emit(f"{prefix}.overcommits", self.overcommitted_workers, "count", **parameters)
        emit(
            f"{prefix}.overfull",
            self.over_capacity_worker_s,
            "worker seconds",
            **parameters,
        )


def measure_fill(policy):
    """Pack a fixed set of tasks that needs at least 80 of the 100 workers."""
    source = random.Random(5)
    simulation = CellSimulation()
    simulation.add_workspaces(WORKSPACES)
    simulation.add_workers(WORKERS, SMALL_WORKER)
    cpu = memory = number = 0
    while max(cpu / 16_000, memory / 64_000) < 80:
        need = sample_need(source)
        cpu, memory, number = cpu + need.cpu_millis, memory + need.memory_mb, number + 1
        simulation.submit(f"j{number}", f"t{number % WORKSPACES}", need, 1e9)
    engine = BaselineEngine() if policy == "baseline" else create_engine(policy)
    for _ in range(100):
        simulation.step(engine, STEP_S)
    busy = sum(
        bool(worker.tasks) for worker in simulation.state.scheduling.workers.values()
    )
    bound = max(cpu / 16_000, memory / 64_000)
    emit(
        "policy.fill_packing",
        bound / busy,
        "ratio",
        policy=policy,
        tasks=number,
        busy=busy,
        waiting=number - simulation.starts,
    )


def measure_fairness(policy):
    """Measure the shares of the workspaces while one of them floods the cell."""
    simulation = CellSimulation()
    simulation.add_workspaces(WORKSPACES)
    simulation.add_workers(50, SMALL_WORKER)
    engine = create_engine(policy)
    need = Resources(1_000, 4_000, 0)
    source = random.Random(9)
    for number in range(400):
        simulation.submit(
            f"flood{number}",
            "t0",
            need,
            60.0,
            tasks=20,
            idempotent=True,
            checkpoint=True,
        )
    used = dict.fromkeys(simulation.state.scheduling.workspaces, 0.0)
    for step in range(int(300 / STEP_S)):
        if step > 600:
            for n in range(1, WORKSPACES):
                if (
                    len(simulation.state.scheduling.queues.get((f"t{n}", "batch"), ()))
                    < 20
                ):
                    simulation.submit(
                        f"t{n}-{step}",
                        f"t{n}",
                        need,
                        source.uniform(5, 30),
                        tasks=4,
                        idempotent=True,
                        checkpoint=True,
                    )
        simulation.step(engine, STEP_S)
        if step > 1_000:
            for name, item in simulation.state.scheduling.workspaces.items():
                used[name] += item.cpu_millis
    values = list(used.values())
    jain = sum(values) ** 2 / (len(values) * sum(x * x for x in values))
    worst_share = min(values) / (sum(values) / len(values))
    emit("fairness.jain", jain, "ratio", policy=policy, workspaces=WORKSPACES)
    emit("fairness.worst_share", worst_share, "ratio", policy=policy)


def measure_faults(
    policy,
    name,
    *,
    size_error=1.0,
    failing_fraction=0.0,
    mass_cancellation=False,
    lost_fraction=0.0,
):
    """Run at 0.9 of the capacity with one kind of fault.

    Args:
        policy: Name of the policy.
        name: Name of the fault in the output.
        size_error: Ratio of actual usage to the declared need.
        failing_fraction: Fraction of workers on which every task fails.
        mass_cancellation: Whether half of the jobs are cancelled midway.
        lost_fraction: Fraction of workers that are lost midway.
    """
    run = PolicyRun(policy, 0.9, size_error=size_error)
    simulation = run.simulation
    names = sorted(simulation.state.scheduling.workers)
    simulation.failing_workers.update(names[: int(failing_fraction * len(names))])

    def inject_faults(second):
        if size_error > 1:
            report_excess_usage(run)
        if mass_cancellation and second == DURATION_S // 2:
            cancel_half(run)
        if lost_fraction and second == DURATION_S // 2:
            expire_workers(simulation, names[-int(lost_fraction * len(names)) :])

    run.run(on_second=inject_faults)
    run.emit(f"faults.{name}")
    emit(f"faults.{name}.losses", count_lost_jobs(run), "count", policy=policy)
    emit(
        f"faults.{name}.doubles",
        count_duplicate_placements(simulation),
        "count",
        policy=policy,
    )


def report_excess_usage(run):
    """Report that running tasks use more memory than their jobs declared."""
    simulation = run.simulation
    for job in list(simulation.state.scheduling.jobs.values()):
        used = Resources(0, int(job.spec.need.memory_mb * run.size_error), 0)
        if job.counts[TaskState.RUNNING] and job.need.memory_mb < used.memory_mb:
            simulation.apply(
                commands.LearnNeed(job_id=job.spec.id, used=used, time=simulation.now)
            )


def cancel_half(run):
    """Cancel every second unfinished job at once."""
    simulation = run.simulation
    jobs = [
        job for job in simulation.state.scheduling.jobs.values() if not job.finished_at
    ]
    started_at = time.process_time()
    for job in jobs[::2]:
        simulation.apply(commands.CancelJob(job_id=job.spec.id, time=simulation.now))
    elapsed_s = time.process_time() - started_at
    emit("faults.wave.cancel_cost", elapsed_s / max(len(jobs) // 2, 1) * 1e6, "us/job")


def expire_workers(simulation, names):
    """Expire the leases of some workers."""
    for name in names:
        simulation.apply(
            commands.LoseWorker(worker=name, session="s", time=simulation.now)
        )


def count_lost_jobs(run):
    """Return how many submitted jobs are missing or do not account for all tasks."""
    scheduling = run.simulation.state.scheduling
    lost_jobs = 0
    for job_id in run.simulation.submitted_at:
        job = scheduling.jobs.get(job_id)
        if job is None or sum(job.counts) != job.spec.tasks:
            lost_jobs += 1
    return lost_jobs


def count_duplicate_placements(simulation):
    """Return how many placements are duplicates or are of tasks that are not placed."""
    seen, duplicates = set(), 0
    for worker in simulation.state.scheduling.workers.values():
        for key, task in worker.tasks.items():
            duplicates += key in seen or task.state not in PLACED_STATES
            seen.add(key)
    return duplicates


def main():
    """Measure packing, wait times, fairness and the behaviour under faults."""
    for policy in ("packing", "waiting", "baseline"):
        measure_fill(policy)
        for load in (0.7, 0.9, 1.1):
            PolicyRun(policy, load).run().emit()
    for policy in ("packing", "waiting"):
        measure_fairness(policy)
        measure_faults(policy, "size_3x", size_error=3.0)
        measure_faults(policy, "failing_5pc", failing_fraction=0.05)
        measure_faults(policy, "wave", mass_cancellation=True)
        measure_faults(policy, "lost_10pc", lost_fraction=0.1)


if __name__ == "__main__":
    main()
