"""Simulated cells, workers and jobs for benchmarks and tests."""

import heapq
import random
import time
from collections import defaultdict
from dataclasses import dataclass, field

from bluebellyoke.cell import commands
from bluebellyoke.cell.jobs import TaskState
from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.state import CellState

#: Capacities of the two users' workers.
SMALL_WORKER = Resources(16_000, 64_000, 0)
LARGE_WORKER = Resources(64_000, 256_000, 0)

#: Resource needs of the mixed workload with their weights.
WORKLOAD_MIX = (
    (Resources(500, 1_000, 0), 4),
    (Resources(1_000, 4_000, 0), 4),
    (Resources(2_000, 12_000, 0), 2),
    (Resources(4_000, 8_000, 0), 2),
    (Resources(8_000, 32_000, 0), 1),
)


@dataclass
class CellSimulation:
    """A cell state with simulated time whose tasks end after their run time.

    Attributes:
        state: Replicated state of the cell.
        now: Simulated time, in seconds.
        end_events: Heap of task ends (time, job ID, index, epoch, worker).
        waits: Seconds from submission to first start, by job class.
        run_durations_s: Run time of each job's tasks, in seconds, by job ID.
        submitted_at: Submission time, by job ID.
        failing_workers: Names of the workers on which every task fails.
        apply_s: CPU time spent on applying commands, in seconds.
        starts: Number of started tasks.
    """

    state: CellState = field(default_factory=CellState)
    now: float = 1_000_000.0
    end_events: list = field(default_factory=list)
    waits: dict = field(default_factory=lambda: defaultdict(list))
    run_durations_s: dict = field(default_factory=dict)
    submitted_at: dict = field(default_factory=dict)
    failing_workers: set = field(default_factory=set)
    apply_s: float = 0.0
    starts: int = 0
    overcommits: int = 0

    def apply(self, *cell_commands):
        """Encode, decode and apply commands, as a replica does."""
        started_at = time.process_time()
        payload = commands.encode_commands(cell_commands)
        results = [self.state.apply(item) for item in commands.decode_commands(payload)]
        self.apply_s += time.process_time() - started_at
        return results

    def add_workspaces(self, count, weights=None):
        specs = tuple(
            commands.WorkspaceSpec(name=f"t{n}", share=(weights or {}).get(n, 1.0))
            for n in range(count)
        )
        ticket = commands.Ticket(
            number=self.state.tickets.last_number + 1, workspaces=specs
        )
        self.apply(commands.ApplyTicket(ticket=ticket, digest="d", time=self.now))

    def add_workers(self, count, total=SMALL_WORKER, per_rack=6):
        for n in range(count):
            self.apply(
                commands.AdmitWorker(
                    worker=f"m{n}",
                    session="s",
                    total=total,
                    rack=f"r{n // per_rack}",
                    data_centre=f"d{n % 4}",
                    time=self.now,
                )
            )

    def submit(self, job_id, workspace, need, run_s, **fields):
        spec = commands.JobSpec(id=job_id, workspace=workspace, need=need, **fields)
        (result,) = self.apply(
            commands.SubmitJob(spec=spec, digest=job_id, time=self.now)
        )
        if result.accepted:
            self.run_durations_s[job_id] = run_s
            self.submitted_at[job_id] = self.now
        return result

    def apply_placements(self, placements):
        """Apply placements and schedule the ends of the started tasks."""
        if not placements:
            return
        self.apply(commands.PlaceTasks(placements=tuple(placements), time=self.now))
        for item in placements:
            task = self.state.scheduling.find_task(item.job_id, item.index)
            if task is None or task.epoch != item.epoch or task.worker is None:
                continue
            self.starts += 1
            job_class = task.job.job_class.value
            if item.epoch == 1:
                wait = self.now - self.submitted_at[item.job_id]
                self.waits[job_class].append(wait)
            run_s = self.run_durations_s[item.job_id]
            if item.worker in self.failing_workers:
                run_s = 0.1
            heapq.heappush(
                self.end_events,
                (self.now + run_s, item.job_id, item.index, item.epoch, item.worker),
            )

    def apply_preemptions(self, preemptions, after_s=0.2):
        """Apply preemptions; the workers stop the tasks after `after_s` seconds."""
        if not preemptions:
            return
        self.apply(commands.PreemptTasks(tasks=tuple(preemptions), time=self.now))
        self.execute_stop_orders(after_s)

    def execute_stop_orders(self, after_s=0.2):
        """Schedule the ends of tasks that workers were ordered to stop."""
        worker_names, self.state.scheduling.workers_with_changed_orders = (
            self.state.scheduling.workers_with_changed_orders,
            set(),
        )
        for name in worker_names:
            worker = self.state.scheduling.workers.get(name)
            for task in list(worker.tasks.values()) if worker else ():
                if task.state in (TaskState.STOPPING, TaskState.CANCELLING):
                    heapq.heappush(
                        self.end_events,
                        (self.now + after_s, *task.key, task.epoch, name),
                    )

    def report_ended_tasks(self):
        """Report the tasks whose end is due."""
        reports = defaultdict(list)
        while self.end_events and self.end_events[0][0] <= self.now:
            _, job_id, index, epoch, worker = heapq.heappop(self.end_events)
            task = self.state.scheduling.find_task(job_id, index)
            if task is None or task.epoch != epoch or task.worker is None:
                continue
            outcome = commands.TaskOutcome.DONE
            if task.state in (TaskState.STOPPING, TaskState.CANCELLING):
                outcome = commands.TaskOutcome.STOPPED
            elif worker in self.failing_workers:
                outcome = commands.TaskOutcome.FAILED
            reports[worker].append(
                commands.TaskReport(
                    job_id,
                    index,
                    epoch,
                    outcome,
                    Resources(),
                    self.run_durations_s[job_id],
                )
            )
        report_commands = [
            commands.ReportTasks(
                worker=name,
                session=self.state.scheduling.workers[name].session,
                reports=tuple(items),
                time=self.now,
            )
            for name, items in reports.items()
        ]
        if report_commands:
            self.apply(*report_commands)

    def step(self, engine, seconds):
        """Advance the time, report ended tasks, expire backoffs and plan one round."""
        self.now += seconds
        self.report_ended_tasks()
        if (
            self.state.scheduling.backoffs
            and self.state.scheduling.backoffs[0][0] <= self.now
        ):
            self.apply(commands.AdvanceTime(time=self.now))
        result = engine.plan(self.state.scheduling, self.now)
        self.apply_preemptions(result.preemptions)
        self.apply_placements(result.placements)
        return result

    def count_overcommitted_workers(self):
        """Return how many workers lack capacity for their running tasks.

        Tasks that were ordered to stop do not count.
        """
        count = 0
        for worker in self.state.scheduling.workers.values():
            free = worker.free
            for task in worker.tasks.values():
                if task.state is not TaskState.RUNNING:
                    free = free + task.job.need
            count += min(free.cpu_millis, free.memory_mb, free.accelerators) < 0
        return count

    def count_workers_over_capacity(self):
        """Return how many workers have a negative amount of a resource free."""
        return sum(
            min(worker.free_cpu_millis, worker.free_memory_mb, worker.free_accelerators)
            < 0
            for worker in self.state.scheduling.workers.values()
        )

    def compute_utilization(self):
        """Return the allocated fractions of CPU and memory."""
        scheduling = self.state.scheduling
        cpu = sum(item.cpu_millis for item in scheduling.workspaces.values())
        memory = sum(item.memory_mb for item in scheduling.workspaces.values())
        return cpu / scheduling.total.cpu_millis, memory / scheduling.total.memory_mb


def sample_need(random_source: random.Random) -> Resources:
    """Return a random resource need of the workload mix."""
    needs = [need for need, _ in WORKLOAD_MIX]
    weights = [weight for _, weight in WORKLOAD_MIX]
    return random_source.choices(needs, weights)[0]


def compute_mean_need() -> tuple[float, float]:
    """Return the mean CPU (millicores) and memory (MB) of the workload mix."""
    weight = sum(w for _, w in WORKLOAD_MIX)
    cpu = sum(need.cpu_millis * w for need, w in WORKLOAD_MIX) / weight
    memory = sum(need.memory_mb * w for need, w in WORKLOAD_MIX) / weight
    return cpu, memory


def compute_quantile(values, fraction):
    """Return a quantile of the values, or 0.0 if there are none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]
