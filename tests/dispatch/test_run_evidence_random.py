"""Random faults with a forwarder that answers calls itself; the workers work on."""

import pytest

from bluebellyoke.dispatch.ports import (
    NoAnswerError,
    NotReachedError,
    OtherLifeError,
    StartResult,
)
from tests.dispatch.test_dispatcher_random import (
    ROUNDS,
    STEPS,
    LateResponseScenario,
)
from tests.workflow.factories import create_step

#: Fraction of the calls that the forwarder answers itself.
REPLY_FRACTION = 0.15

REPLIES_TO_STARTS = (
    {"result": StartResult.UNHEALTHY},
    {"result": StartResult.INVALID},
    {"error": OtherLifeError("10.0.0.1:80")},
    {"error": NoAnswerError("10.0.0.1:80", "status 502")},
)


class ForwarderScenario(LateResponseScenario):
    """A scenario in which a forwarder loses responses and answers calls itself.

    It passes the call on before, or twice, or not at all. It also refuses connections,
    over which nothing is passed on.
    """

    steps = (*STEPS, [create_step(2, cpu=800, long_running=True)])

    def __init__(self, seed):
        super().__init__(seed)
        self.replies = 0

    def run(self):
        for _ in range(ROUNDS):
            self.inject_event()
            self.step()
        # A service ends only if its caller cancels it.
        for number in range(self.job_count):
            name = f"{number + 1:016x}"
            if self.simulation.store.workflows[name].spec.steps[0].long_running:
                self.simulation.cancel(name)
        self.simulation.run_until_finished()
        assert self.replies

    def deliver_call(self, sent):
        if self.random.random() >= REPLY_FRACTION or sent.kind == "pace":
            super().deliver_call(sent)
            return
        self.replies += 1
        if self.random.random() < 0.3:
            error = NotReachedError(sent.spec.address, refused=True)
            self.simulation.finish_call(sent, error=error)
            return
        events = list(self.simulation.events)
        for _ in range(self.random.choice((0, 1, 1, 2))):
            self.simulation.deliver(sent)
            sent.is_finished = False
        # A start that was passed on twice gets the worker's second response.
        is_repeated = sent.kind == "start" and self.simulation.events[len(events) :]
        if is_repeated and self.random.random() < 0.5:
            events.append(self.simulation.events[-1])
            sent.is_finished = True
        self.simulation.events = events
        if not sent.is_finished:
            self.simulation.finish_call(sent, **self.choose_reply(sent))

    def choose_reply(self, sent):
        if sent.kind == "start":
            return self.random.choice(REPLIES_TO_STARTS)
        if sent.kind == "stop":
            return {"accepted": False}
        return {"error": NoAnswerError(sent.spec.address, "status 503")}


# Guards against a second run beside the first, or after an acknowledged end, because of
# what the forwarder says, and against jobs that never end.
@pytest.mark.parametrize("seed", range(60))
def test_replies_on_the_way_cause_no_second_run(seed):
    ForwarderScenario(seed).run()
