"""The planner decides as one that looks at all workflows and workers in each round.

Pattern: jobs of all kinds arrive, start, end and fail while workers come, fill up and
stop accepting tasks; the index between rounds must not miss any of it.
"""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bluebellyoke.dispatch.advice import AdviceManager
from bluebellyoke.dispatch.planner import Planner
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch import reference_planner
from tests.workflow.factories import (
    ADVISOR,
    create_configuration,
    create_queue,
    create_spec,
    create_step,
    create_store,
    create_worker,
)

QUEUES = (
    create_queue("plain"),
    create_queue("urgent", priority=0, prefix="/urgent/"),
    create_queue("advised", advisor=ADVISOR, prefix="/advised/"),
)

STEPS = (
    (create_step(2, cpu=1400, estimate_ms=640.0),),
    (create_step(5, cpu=900), create_step(1, cpu=900, depends_on=(0,))),
    (create_step(3, cpu=2500, gang=True),),
    (create_step(2, cpu=1500, long_running=True),),
    (create_step(4, cpu=500, max_per_worker=1),),
    (create_step(3, cpu=700, data_rack="r1"),),
    (create_step(2, cpu=3000, required_label="a"),),
)


class PlannerMachine(RuleBasedStateMachine):
    """Runs both planners on one store; their advice is kept equal."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.store = create_store(0, create_configuration(queues=QUEUES))
        self.workers = {}
        self.advice = AdviceManager()
        self.reference_advice = AdviceManager()
        self.planner = Planner(self.advice)
        self.reference = reference_planner.Planner(self.reference_advice)
        self.jobs = 0
        self.running = []
        for _ in range(3):
            self.add_worker(("a", "r1"))

    @rule(labels=st.sampled_from([("a", "r1"), ("b", "r2"), ("a", "r2")]))
    def add_worker(self, labels):
        if len(self.workers) >= 8:
            return
        spec = create_worker(f"w{len(self.workers)}", cpu=4000, labels=labels)
        self.store.apply(workflow_commands.EnrolWorker(spec=spec))
        self.workers[spec.id] = TrackedWorker(
            spec, self.now, last_response_at=self.now, has_responded=True
        )

    @rule(
        queue=st.sampled_from(["plain", "urgent", "advised"]),
        steps=st.sampled_from(STEPS),
    )
    def submit(self, queue, steps):
        self.jobs += 1
        spec = create_spec(f"{self.jobs:016x}", list(steps), queue)
        self.store.apply(workflow_commands.SubmitWorkflow(time=self.now, spec=spec))

    @rule(first_s=st.integers(0, 3))
    def submit_repeating(self, first_s):
        self.jobs += 1
        spec = create_spec(
            f"{self.jobs:016x}",
            [create_step(1, cpu=800)],
            "plain",
            repeats=3,
            first_at_ms=(self.now + first_s) * 1000,
            interval_ms=1000.0,
        )
        self.store.apply(workflow_commands.SubmitWorkflow(time=self.now, spec=spec))

    @precondition(lambda self: self.store.active)
    @rule(number=st.integers(0, 20))
    def cancel(self, number):
        workflow = list(self.store.active.values())[number % len(self.store.active)]
        command = workflow_commands.CancelWorkflow(
            time=self.now, workflow=workflow.spec.id, queue=workflow.spec.queue
        )
        self.store.apply(command)

    @precondition(lambda self: self.running)
    @rule(
        number=st.integers(0, 50),
        outcome=st.sampled_from(
            [
                workflow_commands.RunOutcome.DONE,
                workflow_commands.RunOutcome.DONE,
                workflow_commands.RunOutcome.FAILED,
                workflow_commands.RunOutcome.LOST,
            ]
        ),
    )
    def end_run(self, number, outcome):
        start = self.running.pop(number % len(self.running))
        self.workers[start.worker].drop_run((start.task, start.run))
        end = workflow_commands.RunEnd(start.task, start.run, outcome)
        self.store.apply(workflow_commands.RecordEnds(time=self.now, ends=(end,)))

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0]), answering=st.integers(0, 8))
    def advance(self, seconds, answering):
        self.now += seconds
        for worker in list(self.workers.values())[:answering]:
            worker.last_response_at = self.now

    @rule(number=st.integers(0, 7))
    def suspect_worker(self, number):
        for worker in list(self.workers.values())[number : number + 1]:
            worker.suspect_until = self.now + 1.0

    @rule(share=st.integers(1, 3))
    def give_advice(self, share):
        """Allow every nth worker to run each step of the queue with an advisor."""
        for workflow in self.store.active.values():
            if workflow.spec.queue != "advised":
                continue
            for index in range(len(workflow.spec.steps)):
                for advice in (self.advice, self.reference_advice):
                    self.allow(advice, (workflow.spec.id, 0, index), share)

    def allow(self, advice, step, share):
        found = advice.get_step_advice(step)
        for number, worker in enumerate(self.workers.values()):
            found.evaluated.add(worker.spec.key)
            if number % share == 0:
                found.tickets[worker.spec.key] = ("t", self.now + 1.5)

    @rule()
    def change_configuration(self):
        version = self.store.configuration.version + 1
        configuration = create_configuration(queues=QUEUES[::-1], version=version)
        self.store.apply(
            workflow_commands.ApplyConfiguration(configuration=configuration)
        )

    @invariant()
    def both_decide_alike(self):
        """Plan with both planners, then start what they have planned."""
        planned = self.planner.plan(self.store, self.workers, self.now, self.now)
        expected = self.reference.plan(self.store, self.workers, self.now, self.now)
        assert planned == expected
        starts = tuple(item.start for item in planned)
        result = self.store.apply(workflow_commands.AssignRuns(starts=starts))
        assert set(result.detail["done"]) <= {"1"}
        for start in starts:
            step = self.store.workflows[start.task.workflow].spec.steps[start.task.step]
            self.workers[start.worker].add_run(
                (start.task, start.run), step.need, RunPhase.STARTED, self.now
            )
        self.running += starts


TestPlanner = PlannerMachine.TestCase
TestPlanner.settings = settings(
    max_examples=120, stateful_step_count=40, deadline=None, derandomize=True
)
