"""What a response to a start tells about the incarnation that began the run."""

import pytest

from bluebellyoke.dispatch.incarnations import is_clock_of, is_clock_of_successor
from bluebellyoke.dispatch.ports import NoAnswerError
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.forwarding import ForwardingNetwork
from tests.workflow.factories import create_worker

NOW = 1000.0

#: Number of restarts under which a task is given up if they count as crashes.
CRASHES = 6


def create_tracked_worker(clock_ms):
    """Return a worker whose poll of 0.5 s ago took 0.1 s and showed a clock."""
    worker = TrackedWorker(create_worker(), NOW - 100.0)
    worker.record_clock(clock_ms, NOW - 0.5, NOW - 0.4)
    return worker


def judge(worker, clock_ms):
    """Return whether a response to a start of 20 ms is the worker's, or another's."""
    arguments = worker, clock_ms, NOW - 0.02, NOW
    return is_clock_of(*arguments), is_clock_of_successor(*arguments)


# Guards against a run that is taken for one of a former incarnation, and against one
# that waits for a lease although its worker has certainly begun it.
@pytest.mark.parametrize(
    ("known_ms", "clock_ms", "expected"),
    [
        (60_000, 60_400, (True, False)),  # 0.38 to 0.5 s later
        (60_000, 60_374, (True, False)),  # the slowest clock
        (60_000, 300, (False, True)),  # a clock that has started anew
        (60_000, 60_300, (False, True)),  # too early for any clock of the worker
        (60_000, 61_000, (False, False)),  # too late; unclear
        (600, 1_050, (False, False)),  # may be the clock of either incarnation
        (60_000, None, (False, False)),
    ],
)
def test_clock_in_a_response_shows_the_incarnation(known_ms, clock_ms, expected):
    assert judge(create_tracked_worker(known_ms), clock_ms) == expected


# Guards against a proof by the clock of a worker that has never shown it.
def test_clock_of_an_unknown_worker_proves_nothing():
    assert judge(TrackedWorker(create_worker(), NOW), 60_000) == (False, False)


@pytest.fixture
def network():
    network = ForwardingNetwork()
    network.run(0.1)
    return network


def return_before_start(network):
    """Restart the worker that gets the first start, just before that arrives."""
    returned = []

    def forward(sent):
        if sent.kind == "start" and not returned:
            returned.append(sent.spec.id)
            announce, network.announce = network.announce, lambda name: None
            network.crash(sent.spec.id)
            network.announce = announce
        return False

    network.forward = forward
    network.submit_task()
    while not returned:
        network.step()
    return network.workers[returned[0]]


# Guards against a second run beside the first: the next incarnation has answered the
# start that was meant for the former one, and then a poll shows the next one.
def test_run_that_the_next_incarnation_has_begun_goes_on_there(network):
    worker = return_before_start(network)
    assert [key[1] for key in worker.runs] == [1]
    network.run(1.0)
    network.announce(worker.spec.id)
    network.run(5.0)
    assert (network.find_task().run, network.find_task().worker) == (1, worker.spec.id)
    (key,) = worker.runs
    worker.end(key, workflow_commands.RunOutcome.DONE)
    network.run(0.2)
    assert network.state == "completed"


# Guards against further starts on a worker whose last response was that of another
# incarnation: they would be of unknown state, too.
def test_worker_that_has_returned_gets_no_start_before_it_is_polled(network):
    worker = return_before_start(network)
    network.silent.add(worker.spec.id)
    network.run(0.1)
    tracked = network.dispatcher.workers[worker.spec.id]
    assert not tracked.can_accept_tasks(network.now, max_silence_s=2.5)


def lose_starts_to_returned_workers(network, age_s=0.2):
    """Let each worker restart before it gets a start, whose connection is closed.

    Its next heartbeat arrives just after that.
    """

    def forward(sent):
        if sent.kind != "start" or len(starts) == CRASHES:
            return False
        starts.append(sent)
        announce, network.announce = network.announce, lambda name: None
        network.crash(sent.spec.id)
        network.announce = announce
        worker = network.workers[sent.spec.id]
        worker.clock_ms = age_s * 1000
        error = NoAnswerError(sent.spec.address, "closed by the peer")
        network.finish_call(sent, error=error)
        network.announce(sent.spec.id, clock_ms=int(worker.clock_ms))
        return True

    starts = []
    network.forward = forward
    return starts


# Guards against a job that fails since each worker that got its task had crashed before
# the start was sent.
def test_restarts_before_the_start_do_not_count_against_the_task(network):
    starts = lose_starts_to_returned_workers(network)
    network.submit_task()
    network.run(20.0)
    assert len(starts) == CRASHES
    assert network.state == "running"
    assert network.find_busy_worker()
