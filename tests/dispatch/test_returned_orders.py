"""Orders of events in which a start is the first call to a worker that is back.

A worker crashes and is back under its ID. Polls find its port closed, a job arrives
just after the port is open again, and the start arrives before any poll and heartbeat.
The simulation checks at each start that no other run of the task goes on.
"""

import itertools

import pytest

from bluebellyoke.dispatch.ports import NoAnswerError, NotReachedError
from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.forwarding import STEP_S
from tests.dispatch.returning import ReturningNetwork
from tests.dispatch.simulation import SimulatedWorker
from tests.workflow.factories import create_worker

#: Time for which the worker is down, in seconds.
DOWN_S = (0.5, 1.0, 1.5, 2.0)

#: Time from the opening of its port to the job, in seconds.
START_DELAYS_S = (0.0, 0.02, 0.1, 0.3, 0.6)

#: Time from the opening of its port to the heartbeat that arrives, in seconds.
HEARTBEAT_DELAYS_S = (0.0, 0.5, 1.1, 3.3)

#: Time without a response after which a worker gets no start, in seconds.
MAX_SILENCE_S = 2.5

#: Time for which the worker is polled before it crashes, in seconds.
KNOWN_S = 1.0

#: Time in which the run is settled and a second one would begin, in seconds.
SETTLED_S = 14.0

DONE = workflow_commands.RunOutcome.DONE


class Order(ReturningNetwork):
    """A cell of one worker that crashes, is back, and gets a start before all else.

    Args:
        is_answered: Whether the response to the start arrives.
        poll_delay_s: Time from the start to the first poll that arrives, in seconds.

    Attributes:
        accepted_at: Time at which the next incarnation has accepted the start, or None.
    """

    def __init__(self, *, is_answered, poll_delay_s):
        super().__init__(workers=1)
        self.is_start_answered = is_answered
        self.poll_delay_s = poll_delay_s
        self.is_down = False
        self.is_back = False
        self.accepted_at = None
        self.forward = self.pass_by_order
        self.run(KNOWN_S)

    def crash(self):
        self.is_down = True
        for sent in self.sent_calls:
            self.finish_call(sent, error=NoAnswerError(sent.spec.address, "closed"))
        self.sent_calls.clear()
        self.receive_events()

    def open_port(self):
        self.is_down = False
        self.is_back = True
        self.restart("w1", is_announced=False)

    def pass_by_order(self, sent):
        """Keep all calls but the start from the next incarnation until it has that."""
        if sent.spec.id != "w1":
            return False
        if self.is_down:
            error = NotReachedError(sent.spec.address, refused=True)
            self.finish_call(sent, error=error)
            return True
        if sent.kind == "start" and self.is_back and self.accepted_at is None:
            self.accepted_at = self.now
            if not self.is_start_answered:
                self.handle_start(self.workers["w1"], sent.request)
                self.time_out(sent)
                return True
            return False
        is_early = self.accepted_at is None or (
            self.now < self.accepted_at + self.poll_delay_s
        )
        if self.is_back and sent.kind == "poll" and is_early:
            self.time_out(sent)
            return True
        return False

    def run_until(self, time):
        while self.now < time:
            self.step()

    def add_spare(self):
        """Add a worker that a second run would begin on."""
        self.workers["w2"] = SimulatedWorker(create_worker("w2", cpu=3000), 1.0, 20e3)
        self.announce("w2")
        self.commit()


def play(down_s, start_delay_s, heartbeat_delay_s, **options):
    """Play an order of events; return the network once the run is settled."""
    order = Order(**options)
    order.crash()
    crashed_at = order.now
    order.run_until(crashed_at + down_s)
    order.open_port()
    opened_at = order.now
    actions = [
        (opened_at + start_delay_s, order.submit_task),
        (opened_at + start_delay_s + 2 * STEP_S, order.add_spare),
        (opened_at + heartbeat_delay_s, order.announce_all),
    ]
    for time, action in sorted(actions, key=lambda item: item[0]):
        order.run_until(time)
        action()
    order.run_until(order.now + SETTLED_S)
    return order


def is_start_sent(down_s, start_delay_s, heartbeat_delay_s):
    """Return whether the leader sends a start before it has heard of the return."""
    return (
        heartbeat_delay_s > start_delay_s
        and down_s + start_delay_s < MAX_SILENCE_S - 2 * STEP_S
    )


# Guards against a run that ends with the former incarnation when the next one shows
# itself, and is started again beside: review/6. Each order of events is made to happen.
@pytest.mark.parametrize("is_answered", [True, False])
@pytest.mark.parametrize("poll_delay_s", [0.0, 0.5, 2.0])
def test_start_that_reaches_a_returned_worker_first_runs_once(
    is_answered, poll_delay_s
):
    for times in itertools.product(DOWN_S, START_DELAYS_S, HEARTBEAT_DELAYS_S):
        if not is_start_sent(*times):
            continue
        order = play(*times, is_answered=is_answered, poll_delay_s=poll_delay_s)
        assert order.accepted_at is not None, times
        assert order.list_runs() == [("w1", 1)], times
        worker = order.workers["w1"]
        worker.end(next(iter(worker.runs)), DONE)
        order.run(2.0)
        assert order.state == "completed", times
