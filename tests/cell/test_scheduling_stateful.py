"""Random job operations: no resource is overcommitted, no task duplicated or lost."""

from collections import Counter

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bluebellyoke.cell import commands
from bluebellyoke.cell.jobs import PLACED_STATES, TaskState
from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.snapshot import dump_state, load_state
from tests.cell.factories import create_job, create_state, create_worker, place

OUTCOMES = list(commands.TaskOutcome)


class SchedulingStateMachine(RuleBasedStateMachine):
    """Jobs of all kinds on three workers whose sessions end and restart."""

    def __init__(self):
        super().__init__()
        self.state = create_state(workers=3)
        self.now = 10.0
        self.job_count = 0
        self.session_count = 0
        # Number of starts of each task that may have done work.
        self.start_counts = Counter()

    def advance_clock(self):
        self.now += 0.5
        return self.now

    def list_tasks(self, *states):
        return [
            task
            for job in self.state.scheduling.jobs.values()
            for task in job.tasks
            if task.state in states
        ]

    @rule(
        kind=st.sampled_from(list(commands.JobKind)),
        tasks=st.integers(1, 4),
        cpu=st.sampled_from([500, 1500, 4000]),
        idempotent=st.booleans(),
        checkpoint=st.booleans(),
    )
    def submit(self, kind, tasks, cpu, idempotent, checkpoint):
        self.job_count += 1
        self.state.apply(
            create_job(
                f"j{self.job_count}",
                kind=kind,
                tasks=tasks,
                need=Resources(cpu, 100, 0),
                idempotent=idempotent,
                checkpoint=checkpoint,
                time=self.advance_clock(),
            )
        )

    @rule(data=st.data())
    def place_task(self, data):
        waiting = self.list_tasks(TaskState.WAITING)
        if not waiting:
            return
        task = data.draw(st.sampled_from(waiting))
        worker = data.draw(st.sampled_from(sorted(self.state.scheduling.workers)))
        if place(self.state, *task.key, worker, time=self.advance_clock()):
            assert not task.job.is_gang or task.job.spec.tasks == 1
            self.start_counts[task.key] += 1

    @rule(data=st.data())
    def place_gang(self, data):
        gangs = [
            job
            for job in self.state.scheduling.jobs.values()
            if job.is_gang and job.waiting and len(job.waiting) == job.spec.tasks
        ]
        if not gangs:
            return
        job = data.draw(st.sampled_from(gangs))
        workers = sorted(self.state.scheduling.workers)
        placements = []
        for task in job.tasks:
            worker = self.state.scheduling.workers[data.draw(st.sampled_from(workers))]
            placements.append(
                commands.Placement(
                    *task.key, task.epoch + 1, worker.name, worker.session
                )
            )
        self.state.apply(
            commands.PlaceTasks(placements=tuple(placements), time=self.advance_clock())
        )
        running = job.counts[TaskState.RUNNING]
        assert running in (0, job.spec.tasks), "a gang started partially"
        if running:
            self.start_counts.update(task.key for task in job.tasks)

    @rule(data=st.data(), outcome=st.sampled_from(OUTCOMES))
    def report(self, data, outcome):
        placed = self.list_tasks(*PLACED_STATES)
        if not placed:
            return
        task = data.draw(st.sampled_from(placed))
        key, worker = task.key, task.worker
        if outcome is commands.TaskOutcome.NEVER_STARTED:
            self.start_counts[key] -= 1
        item = commands.TaskReport(*key, task.epoch, outcome)
        command = commands.ReportTasks(
            worker=worker.name,
            session=worker.session,
            reports=(item, item),
            time=self.advance_clock(),
        )
        result = self.state.apply(command)
        assert result.detail["changed"] == "1", "a report was counted twice"
        assert self.state.apply(command).detail["changed"] == "0"

    @rule(data=st.data())
    def report_from_other_session_or_epoch(self, data):
        placed = self.list_tasks(*PLACED_STATES)
        if not placed:
            return
        task = data.draw(st.sampled_from(placed))
        item = commands.TaskReport(*task.key, task.epoch, commands.TaskOutcome.DONE)
        for session, epoch in (("old", task.epoch), (task.worker.session, 99)):
            report = commands.TaskReport(*task.key, epoch, item.outcome)
            result = self.state.apply(
                commands.ReportTasks(
                    worker=task.worker.name,
                    session=session,
                    reports=(report,),
                    time=self.advance_clock(),
                )
            )
            assert result.detail["changed"] == "0"

    @rule(number=st.integers(0, 2))
    def lose_worker(self, number):
        worker = self.state.scheduling.workers[f"m{number}"]
        self.state.apply(
            commands.LoseWorker(
                worker=worker.name, session=worker.session, time=self.advance_clock()
            )
        )
        assert not worker.tasks

    @rule(number=st.integers(0, 2))
    def start_session(self, number):
        self.session_count += 1
        session = f"new{self.session_count}"
        self.state.apply(
            create_worker(f"m{number}", session=session, time=self.advance_clock())
        )

    @rule(data=st.data())
    def cancel(self, data):
        if self.state.scheduling.jobs:
            job_id = data.draw(st.sampled_from(sorted(self.state.scheduling.jobs)))
            self.state.apply(
                commands.CancelJob(job_id=job_id, time=self.advance_clock())
            )

    @rule(data=st.data())
    def preempt(self, data):
        running = self.list_tasks(TaskState.RUNNING)
        if running:
            task = data.draw(st.sampled_from(running))
            key = (*task.key, task.epoch)
            self.state.apply(
                commands.PreemptTasks(tasks=(key,), time=self.advance_clock())
            )
            if not task.job.is_restartable:
                assert task.state is TaskState.RUNNING

    @rule(data=st.data(), memory=st.integers(50, 900))
    def learn_need(self, data, memory):
        if self.state.scheduling.jobs:
            job_id = data.draw(st.sampled_from(sorted(self.state.scheduling.jobs)))
            used = Resources(0, memory, 0)
            self.state.apply(
                commands.LearnNeed(job_id=job_id, used=used, time=self.advance_clock())
            )

    @rule(seconds=st.integers(1, 400))
    def advance_time(self, seconds):
        self.now += seconds
        self.state.apply(commands.AdvanceTime(time=self.now))

    @rule()
    def restore_snapshot(self):
        data = dump_state(self.state)
        self.state = load_state(data)
        assert dump_state(self.state) == data

    @invariant()
    def no_worker_is_overcommitted(self):
        for worker in self.state.scheduling.workers.values():
            allocated = sum(task.job.need.cpu_millis for task in worker.tasks.values())
            assert worker.free_cpu_millis == worker.total.cpu_millis - allocated
            assert worker.free_cpu_millis >= 0
            assert worker.alive or not worker.tasks

    @invariant()
    def totals_match_tasks(self):
        used = Counter()
        unfinished = 0
        for job in self.state.scheduling.jobs.values():
            if job.tasks:
                assert job.counts == [
                    sum(task.state is state for task in job.tasks)
                    for state in TaskState
                ]
            waiting = [
                task.index for task in job.tasks if task.state is TaskState.WAITING
            ]
            assert sorted(job.waiting) == waiting
            queue = self.state.scheduling.queues.get(job.queue_key, {})
            assert (job.spec.id in queue) == bool(job.waiting)
            assert bool(job.finished_at) == job.is_finished
            unfinished += sum(job.counts[: TaskState.DONE])
            used[job.spec.workspace] += job.need.cpu_millis * sum(
                job.counts[state] for state in PLACED_STATES
            )
        assert unfinished == self.state.scheduling.unfinished_tasks
        for name, workspace in self.state.scheduling.workspaces.items():
            assert workspace.cpu_millis == used[name]

    @invariant()
    def each_placed_task_is_on_one_worker(self):
        for job in self.state.scheduling.jobs.values():
            for task in job.tasks:
                worker_names = [
                    worker.name
                    for worker in self.state.scheduling.workers.values()
                    if worker.tasks.get(task.key) is task
                ]
                assert len(worker_names) == (task.state in PLACED_STATES)

    @invariant()
    def non_restartable_task_starts_at_most_once(self):
        for job in self.state.scheduling.jobs.values():
            if job.is_restartable:
                continue
            for index in range(job.spec.tasks):
                assert self.start_counts[job.spec.id, index] <= 1


TestScheduling = SchedulingStateMachine.TestCase
TestScheduling.settings = settings(max_examples=150, stateful_step_count=50)
