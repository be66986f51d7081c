"""Reports of workers with rows that are odd or cannot be read."""

import dataclasses

import pytest

from bluebellyoke.dispatch.ports import EndedRun
from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.simulation import MAX_LEASE_MS
from tests.dispatch.test_refused_connections import RefusingNetwork, find_busy_worker
from tests.workflow.factories import create_spec, create_step

WORKFLOW = "0000000000000001"

OTHER_TASK = workflow_commands.TaskName("ffffffffffffffff", 0, 0, 0)

#: Time from the end of a run that cannot be read to the next run, in seconds: the wait
#: for a readable row, the lease and the start.
MAX_RECOVERY_S = 3.0 + MAX_LEASE_MS / 1000 * 1.1 + 3.0


class OddRows(RefusingNetwork):
    """A network with a worker whose reports have odd rows.

    Attributes:
        hidden: Run whose end cannot be read.
        odd_number: Number of an end of another writer, which is listed once.
    """

    hidden = None
    odd_number = 0

    def handle_poll(self, worker, request):
        result = super().handle_poll(worker, request)
        report = result["report"]
        if report is None:
            return result
        if self.hidden in {(end.task, end.run) for end in report.ended}:
            ended = [x for x in report.ended if (x.task, x.run) != self.hidden]
            report = dataclasses.replace(
                report,
                ended=tuple(ended),
                complete=False,
                unreadable_rows=1,
                acknowledgeable_end=0,
            )
        if self.odd_number and worker.runs:
            done = workflow_commands.RunOutcome.DONE
            odd = EndedRun(self.odd_number, OTHER_TASK, 1, done, "")
            self.odd_number = 0
            report = dataclasses.replace(report, ended=(*report.ended, odd))
        result["report"] = report
        return result


@pytest.fixture
def network():
    simulation = OddRows()
    simulation.run(0.1)
    simulation.submit(create_spec(steps=[create_step(1, cpu=1000)]))
    simulation.run(0.1)
    return simulation


def end_run(network, outcome):
    worker = find_busy_worker(network)
    (key,) = worker.runs
    worker.end(key, outcome)
    return key


# Guards against a task that waits for ever: the end of its run could not be read, and
# the worker went on responding, so that its lease did not end either.
def test_run_whose_end_cannot_be_read_is_followed_by_another(network):
    (key,) = find_busy_worker(network).runs
    network.hidden = key
    end_run(network, workflow_commands.RunOutcome.FAILED)
    network.run(MAX_RECOVERY_S)
    assert network.store.workflows[WORKFLOW].find_task(key[0]).run == 2


# Guards against a second run of a task that is done: after an end with a number far
# above the others was acknowledged, the worker forgot its next ends unread.
def test_end_with_an_odd_number_does_not_hide_later_ends(network):
    for number in (1, 2):
        spec = create_spec(f"{number + 1:016x}", [create_step(1, cpu=1000)])
        network.submit(spec)
    network.run(0.1)
    for worker in network.workers.values():
        for key in list(worker.runs)[:-1]:
            worker.end(key, workflow_commands.RunOutcome.DONE)
    network.run(1.2)
    network.odd_number = 10**12
    network.run(1.2)
    for worker in network.workers.values():
        for key in list(worker.runs):
            worker.end(key, workflow_commands.RunOutcome.DONE)
    network.run(3.0)
    assert not network.store.active
    tasks = [
        task
        for workflow in network.store.workflows.values()
        for task in workflow.repetitions[0].steps[0].tasks
    ]
    assert {task.run for task in tasks} == {1}
