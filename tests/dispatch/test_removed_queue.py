"""Workflows that go on after their queue has been removed from the configuration."""

import pytest

from bluebellyoke.dispatch.advice import AdviceManager
from bluebellyoke.dispatch.planner import Planner
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.instance import wire
from bluebellyoke.workflow import commands as workflow_commands
from tests.workflow.factories import (
    ADVISOR,
    create_configuration,
    create_queue,
    create_spec,
    create_step,
    create_store,
    name_task,
)

NOW = 100.0


class Cell:
    """A store, a planner and an advisor that allows all workers."""

    def __init__(self, *queues):
        self.store = create_store(2, create_configuration(queues=queues))
        self.workers = {
            name: TrackedWorker(spec, NOW, last_response_at=NOW, has_responded=True)
            for name, spec in self.store.workers.items()
        }
        self.advice = AdviceManager()
        self.advice.open_session(1, self.answer)
        self.planner = Planner(self.advice)
        self.replies = []

    def answer(self, call):
        tickets = {name: f"ticket for {name}" for name in call.workers}
        self.replies.append(wire.AdviceReply(call.id, tickets))

    def submit(self, number, queue, **fields):
        spec = create_spec(f"{number:016x}", [create_step(**fields)], queue)
        self.store.apply(workflow_commands.SubmitWorkflow(time=NOW, spec=spec))

    def configure(self, version, *queues):
        configuration = create_configuration(version, queues)
        command = workflow_commands.ApplyConfiguration(configuration=configuration)
        self.store.apply(command)

    def plan(self):
        """Return the starts of a round, and let the advisor answer what it asks."""
        planned = self.planner.plan(self.store, self.workers, NOW, NOW)
        starts = tuple(item.start for item in planned)
        self.store.apply(workflow_commands.AssignRuns(starts=starts))
        self.advice.tick(NOW)
        replies, self.replies = self.replies, []
        for reply in replies:
            self.advice.receive(1, reply, NOW)
        return planned

    def fail(self, start):
        end = workflow_commands.RunEnd(
            start.task, start.run, workflow_commands.RunOutcome.FAILED
        )
        self.store.apply(workflow_commands.RecordEnds(time=NOW, ends=(end,)))


ADVISED = create_queue("advised", advisor=ADVISOR)
OTHER = create_queue("other", priority=1)


@pytest.fixture
def cell():
    return Cell(ADVISED, OTHER)


# Guards against a failed task that is never run again: workers refuse starts without a
# ticket, and a removed queue was taken for one without an advisor.
def test_next_run_of_a_removed_queue_has_a_ticket(cell):
    cell.submit(1, "advised")
    assert cell.plan() == []
    (first,) = cell.plan()
    cell.configure(2, OTHER)
    cell.fail(first.start)
    cell.advice.clear()
    cell.advice.open_session(1, cell.answer)
    assert cell.plan() == []
    (second,) = cell.plan()
    assert second.start.task == name_task()
    assert second.start.run == 2
    assert second.ticket == f"ticket for {second.start.worker}"


# Guards against work of a removed queue that goes before that of all other queues.
def test_removed_queue_keeps_its_priority(cell):
    cell.configure(2, OTHER, create_queue("later", priority=2))
    cell.submit(1, "later", cpu=4000)
    cell.submit(2, "other", count=2, cpu=4000)
    cell.configure(3, OTHER)
    planned = cell.plan()
    assert {item.start.task.workflow for item in planned} == {f"{2:016x}"}
