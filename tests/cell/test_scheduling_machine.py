"""Random lives of jobs; nothing is overcommitted, doubled or lost."""

from collections import Counter

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bluebellyoke.cell import commands as c
from bluebellyoke.cell.jobs import PLACED_STATES, TaskState
from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.snapshot import dump_state, load_state
from tests.cell.factories import create_job, create_state, create_worker, place

OUTCOMES = list(c.TaskOutcome)


class SchedulingMachine(RuleBasedStateMachine):
    """Jobs of all kinds on three workers that come, go, fail and crash."""

    def __init__(self):
        super().__init__()
        self.state = create_state(workers=3)
        self.now = 10.0
        self.jobs = 0
        self.sessions = 0
        # Epochs of tasks that may have done work, by task.
        self.runs = Counter()

    def step(self):
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
        kind=st.sampled_from(list(c.JobKind)),
        tasks=st.integers(1, 4),
        cpu=st.sampled_from([500, 1500, 4000]),
        idempotent=st.booleans(),
        checkpoint=st.booleans(),
    )
    def submit(self, kind, tasks, cpu, idempotent, checkpoint):
        self.jobs += 1
        self.state.apply(
            create_job(
                f"j{self.jobs}",
                kind=kind,
                tasks=tasks,
                need=Resources(cpu, 100, 0),
                idempotent=idempotent,
                checkpoint=checkpoint,
                time=self.step(),
            )
        )

    @rule(data=st.data())
    def place_one(self, data):
        waiting = self.list_tasks(TaskState.WAITING)
        if not waiting:
            return
        task = data.draw(st.sampled_from(waiting))
        worker = data.draw(st.sampled_from(sorted(self.state.scheduling.workers)))
        if place(self.state, *task.key, worker, time=self.step()):
            assert not task.job.is_gang or task.job.spec.tasks == 1
            self.runs[task.key] += 1

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
                c.Placement(*task.key, task.epoch + 1, worker.name, worker.session)
            )
        self.state.apply(c.PlaceTasks(placements=tuple(placements), time=self.step()))
        running = job.counts[TaskState.RUNNING]
        assert running in (0, job.spec.tasks), "a gang started in part"
        if running:
            self.runs.update(task.key for task in job.tasks)

    @rule(data=st.data(), outcome=st.sampled_from(OUTCOMES))
    def report(self, data, outcome):
        placed = self.list_tasks(*PLACED_STATES)
        if not placed:
            return
        task = data.draw(st.sampled_from(placed))
        key, worker = task.key, task.worker
        if outcome is c.TaskOutcome.NEVER_STARTED:
            self.runs[key] -= 1
        item = c.TaskReport(*key, task.epoch, outcome)
        command = c.ReportTasks(
            worker=worker.name,
            session=worker.session,
            reports=(item, item),
            time=self.step(),
        )
        result = self.state.apply(command)
        assert result.detail["changed"] == "1", "a report counted twice"
        assert self.state.apply(command).detail["changed"] == "0"

    @rule(data=st.data())
    def report_late_or_forged(self, data):
        placed = self.list_tasks(*PLACED_STATES)
        if not placed:
            return
        task = data.draw(st.sampled_from(placed))
        item = c.TaskReport(*task.key, task.epoch, c.TaskOutcome.DONE)
        for session, epoch in (("old", task.epoch), (task.worker.session, 99)):
            report = c.TaskReport(*task.key, epoch, item.outcome)
            result = self.state.apply(
                c.ReportTasks(
                    worker=task.worker.name,
                    session=session,
                    reports=(report,),
                    time=self.step(),
                )
            )
            assert result.detail["changed"] == "0"

    @rule(number=st.integers(0, 2))
    def lose_worker(self, number):
        worker = self.state.scheduling.workers[f"m{number}"]
        self.state.apply(
            c.LoseWorker(worker=worker.name, session=worker.session, time=self.step())
        )
        assert not worker.tasks

    @rule(number=st.integers(0, 2))
    def start_session(self, number):
        self.sessions += 1
        session = f"new{self.sessions}"
        self.state.apply(create_worker(f"m{number}", session=session, time=self.step()))

    @rule(data=st.data())
    def cancel(self, data):
        if self.state.scheduling.jobs:
            job_id = data.draw(st.sampled_from(sorted(self.state.scheduling.jobs)))
            self.state.apply(c.CancelJob(job_id=job_id, time=self.step()))

    @rule(data=st.data())
    def preempt(self, data):
        running = self.list_tasks(TaskState.RUNNING)
        if running:
            task = data.draw(st.sampled_from(running))
            key = (*task.key, task.epoch)
            self.state.apply(c.PreemptTasks(tasks=(key,), time=self.step()))
            if not task.job.is_restartable:
                assert task.state is TaskState.RUNNING

    @rule(data=st.data(), memory=st.integers(50, 900))
    def learn(self, data, memory):
        if self.state.scheduling.jobs:
            job_id = data.draw(st.sampled_from(sorted(self.state.scheduling.jobs)))
            used = Resources(0, memory, 0)
            self.state.apply(c.LearnNeed(job_id=job_id, used=used, time=self.step()))

    @rule(seconds=st.integers(1, 400))
    def wait(self, seconds):
        self.now += seconds
        self.state.apply(c.AdvanceTime(time=self.now))

    @rule()
    def restore(self):
        data = dump_state(self.state)
        self.state = load_state(data)
        assert dump_state(self.state) == data

    @invariant()
    def nothing_is_overcommitted(self):
        for worker in self.state.scheduling.workers.values():
            taken = sum(task.job.need.cpu_millis for task in worker.tasks.values())
            assert worker.free_cpu == worker.total.cpu_millis - taken
            assert worker.free_cpu >= 0
            assert worker.alive or not worker.tasks

    @invariant()
    def totals_agree(self):
        used = Counter()
        unfinished = 0
        for job in self.state.scheduling.jobs.values():
            if job.tasks:
                assert job.counts == [
                    sum(task.state is state for task in job.tasks)
                    for state in TaskState
                ]
            waiting = [t.index for t in job.tasks if t.state is TaskState.WAITING]
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
    def each_task_has_one_place(self):
        for job in self.state.scheduling.jobs.values():
            for task in job.tasks:
                holders = [
                    worker.name
                    for worker in self.state.scheduling.workers.values()
                    if worker.tasks.get(task.key) is task
                ]
                assert len(holders) == (task.state in PLACED_STATES)

    @invariant()
    def nothing_that_must_run_once_runs_twice(self):
        for job in self.state.scheduling.jobs.values():
            if job.is_restartable:
                continue
            for index in range(job.spec.tasks):
                assert self.runs[job.spec.id, index] <= 1


TestScheduling = SchedulingMachine.TestCase
TestScheduling.settings = settings(max_examples=150, stateful_step_count=50)
