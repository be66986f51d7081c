"""How long a task waits for a run that the next incarnation of its worker may have."""

import pytest

from bluebellyoke.dispatch.ports import EndedRun, RunningRun, StatusReport
from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.forwarding import WORKFLOW, ForwardingNetwork
from tests.dispatch.returning import ReturningNetwork
from tests.workflow.factories import create_spec, create_step

WAIT_S = 120.0


@pytest.fixture
def network():
    network = ForwardingNetwork()
    network.run(0.2)
    return network


def hold_first_start(network):
    """Let the first start time out without being carried out; return its worker."""
    held = []

    def forward(sent):
        if sent.kind != "start" or held:
            return False
        held.append(sent)
        network.time_out(sent)
        return True

    network.forward = forward
    network.submit_task()
    while not held:
        network.step()
    return held[0].spec.id


def run_with_heartbeats(network, seconds, names):
    """Run until the task has its second run, or for a time in seconds."""
    for _ in range(round(seconds / 0.5)):
        for name in names:
            network.announce(name)
        network.commit()
        network.run(0.5)
        if network.find_task().run >= 2:
            return


# Guards against a task that waits for ever: the leader does not reach the worker, whose
# heartbeats arrive and enrol it again after each removal.
def test_task_of_a_silent_worker_with_heartbeats_starts_elsewhere(network):
    network.silent.add(hold_first_start(network))
    run_with_heartbeats(network, WAIT_S, list(network.workers))
    assert network.find_task().run >= 2


# Guards against the same if the worker accepts no stop.
def test_task_whose_worker_accepts_no_stop_starts_elsewhere(network):
    name, handle_stop = hold_first_start(network), network.handle_stop

    def handle(worker, request):
        if worker.spec.id == name:
            return {"accepted": False}
        return handle_stop(worker, request)

    network.handle_stop = handle
    run_with_heartbeats(network, WAIT_S, list(network.workers))
    assert network.find_task().run >= 2


# Guards against the same if the run may be in unreadable rows only.
def test_task_in_unreadable_rows_starts_elsewhere(network):
    name, handle_poll = hold_first_start(network), network.handle_poll

    def handle(worker, request):
        response = handle_poll(worker, request)
        report = response["report"]
        if worker.spec.id != name or report is None:
            return response
        return {
            "report": StatusReport(
                report.clock_ms,
                report.incarnation,
                (),
                (),
                complete=False,
                unreadable_rows=1,
            )
        }

    network.handle_poll = handle
    run_with_heartbeats(network, WAIT_S, list(network.workers))
    assert network.find_task().run >= 2


# Guards against a wait that each new leader begins again.
@pytest.mark.parametrize("interval_s", [8.0, 16.0])
def test_task_of_a_worker_that_stays_away_starts_elsewhere(network, interval_s):
    name = hold_first_start(network)
    network.silent.add(name)
    others = [x for x in network.workers if x != name]
    for _ in range(round(WAIT_S / interval_s)):
        run_with_heartbeats(network, interval_s, others)
        if network.find_task().run >= 2:
            break
        network.change_leader()
    assert network.find_task().run >= 2


def propose_assignment(network):
    """Plan the start of a task without committing it."""
    spec = create_spec(WORKFLOW, steps=[create_step()])
    command = workflow_commands.SubmitWorkflow(spec=spec)
    network.dispatcher.submit(command, network.now, lambda result: None)
    network.commit()
    network.advance(0.02)
    network.dispatcher.tick(network.now, network.now)


# Guards against a second run beside the first: the leader stands still between the plan
# and the commit of a start, goes on leading, and counts the lease from its last tick.
@pytest.mark.parametrize("still_s", [0.0, 0.7, 4.0])
def test_lease_is_counted_from_the_time_at_which_a_start_is_sent(still_s):
    network = ReturningNetwork()
    network.run(0.2)
    propose_assignment(network)
    network.advance(still_s)
    network.commit()
    (late,) = [x for x in network.sent_calls if x.kind == "start"]
    network.sent_calls.remove(late)
    network.time_out(late)
    network.receive_events()
    name = late.spec.id
    network.restart(name, is_announced=False)
    network.silent.add(name)
    sent_at = network.now
    while network.now < sent_at + 11.9:
        network.step()
    network.handle_start(network.workers[name], late.request)
    network.run(6.0)
    assert network.find_task().run == 1


# Guards against progress that is set back by the older report of a lost worker.
def test_gang_resumes_from_its_latest_progress():
    network = ForwardingNetwork(workers=2)
    network.run(0.1)
    saved = {"w1": "1-old", "w2": "1-old"}
    handle_poll = network.handle_poll

    def handle(worker, request):
        report = handle_poll(worker, request)["report"]
        text = saved[worker.spec.id]
        running = tuple(RunningRun(x.task, x.run, text, 50) for x in report.running)
        ended = tuple(
            EndedRun(x.number, x.task, x.run, x.outcome, text) for x in report.ended
        )
        return {
            "report": StatusReport(report.clock_ms, report.incarnation, running, ended)
        }

    network.handle_poll = handle
    network.submit_task(count=2, cpu=3000, gang=True, checkpoints=True)
    network.run(1.5)
    network.silent.add("w1")
    saved["w2"] = "2-new"
    worker = network.workers["w2"]
    worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.STOPPED)
    network.run(8.0)
    tasks = network.store.workflows[WORKFLOW].repetitions[0].steps[0].tasks
    assert {x.checkpoint for x in tasks} == {"2-new"}
