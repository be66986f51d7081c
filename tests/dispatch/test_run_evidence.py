"""Evidence that a run has not begun or has ended, with workers that work on.

Each start on a worker is checked: no task runs twice at the same time. A reply on the
way proves nothing. Only the worker's own report, its next incarnation, the end of its
lease or a call that was never sent does.
"""

from collections import Counter

import pytest

from bluebellyoke.dispatch.ports import (
    NoAnswerError,
    NotReachedError,
    OtherLifeError,
    StartResult,
)
from bluebellyoke.dispatch.stops import BLOCK_INTERVAL_S
from bluebellyoke.dispatch.workers import MAX_CALL_DELAY_S
from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.forwarding import ForwardingNetwork
from tests.dispatch.simulation import MAX_LEASE_MS

#: Times at which a start is carried out that got no answer, in seconds.
LATE_STARTS_S = (2.0, 5.0, 12.0)


@pytest.fixture
def network():
    network = ForwardingNetwork()
    network.run(0.1)
    return network


def answer_first_start(network, carry_out, **fields):
    """Let the forwarder answer the first start itself.

    Args:
        carry_out: Called with the start; it lets the worker carry it out, or not.
        fields: Result or error that the leader gets.
    """

    def forward(sent):
        if sent.kind != "start" or sent.request.run != 1:
            return False
        events = list(network.events)
        carry_out(sent)
        network.events = events
        sent.is_finished = False
        network.finish_call(sent, **fields)
        return True

    network.forward = forward


REPLIES_ON_THE_WAY = {
    "429 or 503": {"result": StartResult.UNHEALTHY},
    "400": {"result": StartResult.INVALID},
    "421": {"error": OtherLifeError("10.0.0.1:80")},
    "504": {"error": NoAnswerError("10.0.0.1:80", "status 504")},
    "reset": {"error": NoAnswerError("10.0.0.1:80", "reset")},
}


# Guards against a second run beside the first: a forwarder passed the start on, lost
# the worker's reply, and answered itself. The leader took the run for never started.
@pytest.mark.parametrize("reply", REPLIES_ON_THE_WAY)
def test_reply_on_the_way_does_not_end_a_run_that_has_begun(network, reply):
    answer_first_start(network, network.deliver, **REPLIES_ON_THE_WAY[reply])
    network.submit_task()
    network.run(2.0)
    worker = network.find_busy_worker()
    assert list(worker.runs) == [(next(iter(worker.runs))[0], 1)]
    worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
    network.run(1.0)
    assert (network.find_task().run, network.state) == (1, "completed")


def let_polls_wait(network):
    """Let the workers delay their responses for as long as a poll allows."""
    forward = network.forward

    def hold(sent):
        if sent.kind == "poll" and network.now - sent.sent_at < (
            sent.request.wait_ms / 1000
        ):
            network.sent_calls.append(sent)
            return True
        return forward(sent)

    network.forward = hold


# Guards against a task that waits for the next response to a poll, or for ever, though
# its start was really refused. A step whose start is malformed waits for 0.7 s.
@pytest.mark.parametrize("reply", REPLIES_ON_THE_WAY)
def test_task_whose_start_was_refused_on_the_way_starts_soon(network, reply):
    answer_first_start(network, lambda sent: None, **REPLIES_ON_THE_WAY[reply])
    let_polls_wait(network)
    network.step()
    network.submit_task()
    network.run(0.9)
    assert network.find_task().run == 2
    assert network.find_busy_worker()


# Guards against a task that runs again after it was done: the worker refuses a start
# that the forwarder has sent twice, since it knows the run as ended.
def test_refusal_as_outdated_does_not_hide_the_end_of_the_run(network):
    def carry_out_twice(sent):
        network.deliver(sent)
        worker = network.workers[sent.spec.id]
        key = (sent.request.task, sent.request.run)
        worker.end(key, workflow_commands.RunOutcome.DONE)
        sent.is_finished = False
        network.deliver(sent)
        assert network.events[-1].result is StartResult.OUTDATED

    answer_first_start(network, carry_out_twice, result=StartResult.OUTDATED)
    network.submit_task()
    network.run(2.0)
    assert (network.find_task().run, network.state) == (1, "completed")


# The worker itself says that it has not begun the run, or nothing was sent to it.
@pytest.mark.parametrize(
    "fields",
    [
        {"result": StartResult.LATE},
        {"result": StartResult.NO_ROOM},
        {"result": StartResult.BAD_TICKET},
        {"error": NotReachedError("10.0.0.1:80", refused=True)},
        {"error": NotReachedError("10.0.0.1:80", refused=False)},
    ],
)
def test_start_that_never_began_is_repeated_without_a_stop(network, fields):
    answer_first_start(network, lambda sent: None, **fields)
    stops = []
    forward = network.forward

    def record_stops(sent):
        stops.extend([sent] if sent.kind == "stop" else [])
        return forward(sent)

    network.forward = record_stops
    network.submit_task()
    network.run(1.0)
    assert (network.find_task().run, stops) == (2, [])


def hold_first_start(network):
    """Let the first start time out; return the list that it is kept in."""
    held = []

    def forward(sent):
        if sent.kind != "start" or sent.request.run != 1:
            return False
        if not held:
            held.append(sent)
            network.time_out(sent)
        return True

    network.forward = forward
    return held


# Guards against a second run beside the first: a start without an answer is carried out
# after the run was blocked and the task was started elsewhere.
@pytest.mark.parametrize("delay_s", LATE_STARTS_S)
def test_start_carried_out_after_its_block_does_not_run(network, delay_s):
    held = hold_first_start(network)
    network.submit_task()
    network.run(delay_s)
    assert network.find_task().run == 2
    (late,) = held
    network.deliver(late)
    assert (late.request.task, 1) not in network.workers[late.spec.id].runs
    network.run(1.0)
    assert network.find_task().run == 2


# Guards against the same on a worker that answers nothing at all: it or its next
# incarnation may carry the start out, and no other worker gets the task before the end
# of the longest lease that the next incarnation may have.
@pytest.mark.parametrize("delay_s", LATE_STARTS_S)
def test_start_carried_out_by_a_silent_worker_does_not_run_twice(network, delay_s):
    held = hold_first_start(network)
    network.submit_task()
    while not held:
        network.step()
    (late,) = held
    network.silent.add(late.spec.id)
    network.run(delay_s)
    network.deliver(late)
    network.run(MAX_CALL_DELAY_S + MAX_LEASE_MS / 1000 - delay_s)
    assert network.find_task().run == 1
    network.run(1.0)
    assert network.find_task().run == 2
    assert network.find_busy_worker().spec.id != late.spec.id


# Guards against a start with a new lease from a leader that has lost the replicas: its
# successor may have waited for the end of the lease and started the task elsewhere.
def test_start_that_is_committed_long_after_its_plan_comes_too_late(network):
    network.submit_task()
    network.advance(0.1)
    network.dispatcher.tick(network.now, network.now)
    # Without the replicas the leader sends no polls, but their responses still arrive.
    network.advance(3.0)
    for sent in [x for x in network.sent_calls if x.kind == "poll"]:
        network.deliver(sent)
    posted, network.events = network.events, []
    for event in posted:
        network.dispatcher.receive(event, network.now, network.now)
    network.advance(4.0)
    network.commit()
    (start,) = [x for x in network.sent_calls if x.kind == "start"]
    network.deliver(start)
    assert network.events[-1].result is StartResult.LATE
    assert not any(worker.runs for worker in network.workers.values())


# Guards against a leader that is busy with one worker, which gives no usable response
# to starts and refuses stops, but answers polls: its state was looked up in a loop.
def test_worker_that_refuses_stops_gets_few_calls():
    network = ForwardingNetwork(1)
    network.run(0.1)
    calls = Counter()

    def forward(sent):
        calls[sent.kind] += 1
        if sent.kind == "start":
            error = NoAnswerError(sent.spec.address, "status 502")
            network.finish_call(sent, error=error)
        elif sent.kind == "stop":
            network.finish_call(sent, accepted=False)
        return sent.kind != "poll"

    network.forward = forward
    let_polls_wait(network)
    network.submit_task()
    network.run(3.0)
    assert calls["start"] == 1
    assert 1 <= calls["stop"] <= 3.0 / BLOCK_INTERVAL_S


# Guards against a task that waits for as long as its worker is unhealthy, since that
# refuses stops, too: a status after the refusal shows that the run has not begun.
@pytest.mark.parametrize(
    "response",
    [
        {"result": StartResult.UNHEALTHY},
        {"error": OtherLifeError("10.0.0.1:80")},
    ],
)
def test_task_that_a_worker_refuses_is_started_again_soon(response):
    network = ForwardingNetwork(2)
    network.run(0.1)
    refused = []

    def forward(sent):
        if sent.kind == "poll" or (sent.kind == "start" and refused):
            return False
        if sent.kind == "start":
            refused.append(sent.spec.id)
            network.finish_call(sent, **response)
        else:
            network.finish_call(sent, accepted=False)
        return True

    network.forward = forward
    let_polls_wait(network)
    network.submit_task()
    network.run(0.3)
    assert refused
    started = [x for worker in network.workers.values() for x in worker.runs]
    assert [run for _, run in started] == [2]
