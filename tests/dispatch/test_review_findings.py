"""Cases that an independent review of the evidence about runs has found."""

import dataclasses

import pytest

from bluebellyoke.dispatch.ports import EndedRun, NoAnswerError
from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.crashing import CrashSimulation
from tests.dispatch.forwarding import WORKFLOW, ForwardingNetwork
from tests.workflow.factories import create_spec, create_step

#: Time for which a worker is watched, in seconds.
WATCHED_S = 30.0

#: Maximum number of calls of a kind per second to a worker that never changes.
MAX_CALLS_PER_S = 10

#: Maximum number of starts of a task that crashes its workers (rule BUDGET): it is not
#: started three times more after three workers have crashed under it.
MAX_DEADLY_STARTS = 5

#: Time for which a worker holds a poll, that until a poll times out, and the latency of
#: a response, in seconds.
HELD_S = 1.0
POLL_TIMEOUT_S = 1.35
LATENCY_S = 0.1


@pytest.fixture
def network():
    """Three workers behind a forwarder."""
    network = ForwardingNetwork()
    network.run(0.1)
    return network


def refuse_runs(network, counts):
    """Let the worker of the first start give no usable response to starts or stops."""
    refusing = set()

    def forward(sent):
        if sent.kind == "start" and not refusing:
            refusing.add(sent.spec.id)
        if sent.spec.id not in refusing:
            return False
        counts[sent.kind] = counts.get(sent.kind, 0) + 1
        if sent.kind == "start":
            error = NoAnswerError(sent.spec.address, "status 502")
            network.finish_call(sent, error=error)
        elif sent.kind == "stop":
            network.finish_call(sent, accepted=False)
        else:
            return False
        return True

    network.forward = forward


# Guards against a task that waits for good: its worker refuses each start and stop, but
# responds to polls, so that its lease does not end.
def test_task_of_a_worker_that_refuses_starts_and_stops_runs_elsewhere(network):
    refuse_runs(network, {})
    network.submit_task()
    network.run(WATCHED_S)
    assert network.find_busy_worker().runs


# Guards against a loop of probes and stops to a worker that refuses each stop.
def test_refused_stops_are_not_sent_in_a_loop(network):
    counts = {}
    refuse_runs(network, counts)
    network.submit_task()
    network.run(WATCHED_S)
    assert counts["stop"] <= MAX_CALLS_PER_S * WATCHED_S
    assert counts["poll"] <= 2 * MAX_CALLS_PER_S * WATCHED_S


def list_in_both_lists(network, worker):
    """Let a worker list its run also as ended, for good; count its polls."""
    (key,) = worker.runs
    worker.last_end += 1
    number = worker.last_end
    end = EndedRun(number, *key, workflow_commands.RunOutcome.DONE, "")
    handle_poll = network.handle_poll
    counts = {"polls": 0}

    def handle(polled, request):
        result = handle_poll(polled, request)
        report = result["report"]
        if polled is not worker or report is None:
            return result
        counts["polls"] += 1
        ended = tuple(sorted((*report.ended, end), key=lambda item: item.number))
        complete = len(ended) < 500
        report = dataclasses.replace(report, ended=ended[:500], complete=complete)
        return {"report": report}

    network.handle_poll = handle
    return counts


# Guards against a worker whose later ends are never acknowledged, since it lists a run
# as running and as ended for good.
def test_contradictory_row_does_not_keep_ends_for_good(network):
    network.submit_task(cpu=1000)
    network.run(0.1)
    worker = network.find_busy_worker()
    list_in_both_lists(network, worker)
    network.run(WATCHED_S)
    listed = worker.spec.id in network.store.workers
    tracked = network.dispatcher.workers[worker.spec.id].runs if listed else {}
    assert not tracked
    assert network.find_task().run == 2


# Guards against polls in a loop to a worker that lists a run as running and as ended,
# and so responds at once.
def test_worker_with_a_contradictory_row_is_not_polled_in_a_loop(network):
    network.submit_task(cpu=1000)
    network.run(0.1)
    counts = list_in_both_lists(network, network.find_busy_worker())
    network.run(2.0)
    assert counts["polls"] <= MAX_CALLS_PER_S * 2.0 + 1


class CrashAtStart(CrashSimulation):
    """Workers that end at the start of a deadly task, which gets no response."""

    def deliver_calls(self):
        for sent in list(self.sent_calls):
            if (
                sent.kind == "start"
                and self.deadly(sent.request.task)
                and not sent.is_finished
                and sent.spec.id not in self.down_until
                and self.workers[sent.spec.id].spec.incarnation == sent.spec.incarnation
            ):
                self.handle_start(self.workers[sent.spec.id], sent.request)
                cause = "no response"
                error = NoAnswerError(sent.spec.address, cause, timed_out=True)
                self.finish_call(sent, error=error)
                self.crash(sent.spec.id)
        super().deliver_calls()


# Guards against a task that is started without a bound: each of its workers ends before
# it has responded to the start, and is back as its next incarnation.
@pytest.mark.parametrize("down_s", [1.0, 8.0])
def test_task_that_ends_its_workers_before_they_respond_is_given_up(down_s):
    simulation = CrashAtStart(deadly=lambda task: True, down_s=down_s)
    simulation.run(0.2)
    simulation.submit(create_spec(WORKFLOW, steps=[create_step(cpu=1000)]))
    simulation.run(180.0)
    assert sum(simulation.starts.values()) <= MAX_DEADLY_STARTS


class HeldPolls(ForwardingNetwork):
    """Workers that hold polls as long as they may, on a network with a latency.

    Attributes:
        lost: ID of a worker whose response to its next poll that is held is lost.
        lost_polls: Polls whose response was lost.
    """

    def __init__(self):
        super().__init__()
        self.lost = ""
        self.lost_polls = []
        self.held = []
        self.forward = self.hold

    def hold(self, sent):
        if sent.kind != "poll" or not sent.request.wait_ms:
            return False
        # The worker extends its lease as the poll arrives.
        self.handle_poll(self.workers[sent.spec.id], sent.request)
        if sent.spec.id == self.lost:
            self.lost = ""
            self.lost_polls.append(sent)
        self.held.append(sent)
        return True

    def step(self):
        super().step()
        held, self.held = self.held, []
        for sent in held:
            age_s = self.now - sent.sent_at
            if sent in self.lost_polls and age_s >= POLL_TIMEOUT_S:
                self.time_out(sent)
            elif sent not in self.lost_polls and age_s >= HELD_S + LATENCY_S:
                self.deliver(sent)
            else:
                self.held.append(sent)
        self.receive_events()


# Guards against runs that end on a worker that drains, since the response to one poll
# was lost: its shorter lease has to outlast the poll and its repetition.
def test_lost_response_ends_no_run_of_a_draining_worker():
    network = HeldPolls()
    network.run(0.1)
    network.submit_task(cpu=1000)
    network.run(0.3)
    worker = network.find_busy_worker()
    network.announce(worker.spec.id, draining=True, sequence=2)
    network.run(8.0)
    assert worker.runs
    network.lost = worker.spec.id
    network.run(8.0)
    assert network.lost_polls
    assert worker.runs


# Guards against replicas that differ during a rolling upgrade: those of the version
# before take each run in `crashed_runs` for one of a proved crash, and fail its job.
def test_removal_without_proof_names_no_crashed_runs_to_earlier_versions(network):
    network.submit_task(cpu=1000)
    network.run(0.1)
    worker = network.find_busy_worker()
    applied = []
    apply = network.store.apply

    def record(command):
        applied.append(command)
        return apply(command)

    network.store.apply = record
    network.silent.add(worker.spec.id)
    network.run(10.0)
    (removal,) = [x for x in applied if isinstance(x, workflow_commands.RemoveWorker)]
    assert removal.evidence is workflow_commands.CrashEvidence.NONE
    assert not removal.crashed_runs
    assert network.store.dump().lost_workers[0].runs


# Guards against a second run beside the first: a status without an incarnation, of
# another writer, has a clock far ahead. The deadline of the next poll is as far ahead,
# so that the worker, whose response is lost, takes the longest lease.
def test_clock_of_a_status_without_incarnation_ends_no_lease(network):
    network.submit_task(cpu=2000)
    network.run(7.0)
    worker = network.find_busy_worker()
    handle_poll = network.handle_poll

    def handle(polled, request):
        result = handle_poll(polled, request)
        if polled is worker:
            network.silent.add(worker.spec.id)
            clock_ms = result["report"].clock_ms + 100_000
            report = dataclasses.replace(
                result["report"], incarnation=0, clock_ms=clock_ms
            )
            result = {"report": report}
        return result

    def carry_out(sent):
        if sent.kind == "poll" and sent.spec.id in network.silent:
            handle_poll(worker, sent.request)
        return False

    network.handle_poll = handle
    network.forward = carry_out
    network.run(10.0)
    network.forward = lambda sent: False
    assert network.find_task().run == 2
