import pytest

from bluebellyoke.dispatch.advice import AdviceDuties
from bluebellyoke.instance import wire as w
from tests.workflow.factories import ADVISOR

STEP = ("job", 0, 0)
LIVES = (("w1", 1), ("w2", 1))
RANK = (0, 1.0, "job")


class Desks:
    """Instances that keep what they are asked."""

    def __init__(self, count):
        self.advice = AdviceDuties()
        self.calls = {number: [] for number in range(count)}
        for number in range(count):
            self.advice.open_session(number, self.calls[number].append)

    def ask(self, step=STEP, lives=LIVES, spec=ADVISOR, rank=RANK, now=0.0):
        self.advice.ask(step, lives, spec, rank)
        self.advice.tick(now)

    def find_asked(self):
        return [(n, call) for n, calls in self.calls.items() for call in calls]

    def reply(self, tickets, now=0.0):
        (number, call) = self.find_asked()[-1]
        self.advice.receive(number, w.AdviceReply(call.id, tickets), now)


@pytest.fixture
def desks():
    return Desks(2)


def test_one_instance_is_asked_once_about_a_step(desks):
    desks.ask()
    desks.ask()
    ((_, call),) = desks.find_asked()
    assert (call.step, call.workers) == (STEP, ("w1", "w2"))


def test_tickets_are_kept_until_shortly_before_their_end(desks):
    desks.ask()
    desks.reply({"w2": "t"}, now=1.0)
    advice = desks.advice.find(STEP)
    assert advice.known == set(LIVES)
    assert advice.find_ticket(("w2", 1), 2.3) == "t"
    assert advice.find_ticket(("w2", 1), 2.5) is None
    assert advice.find_ticket(("w1", 1), 1.0) is None


def test_ticket_of_another_life_is_not_used(desks):
    desks.ask()
    desks.reply({"w2": "t"}, now=1.0)
    assert desks.advice.find(STEP).find_ticket(("w2", 2), 1.0) is None


def test_refused_ticket_is_asked_for_again(desks):
    desks.ask()
    desks.reply({"w1": "t", "w2": "u"}, now=1.0)
    desks.advice.find(STEP).expire(("w1", 1))
    assert desks.advice.find(STEP).find_ticket(("w1", 1), 1.0) is None
    desks.ask(now=1.0)
    assert len(desks.find_asked()) == 2


def test_lower_rank_is_asked_first(desks):
    for rank in ((2,), (0,), (1,)):
        desks.advice.ask((f"job{rank}", 0, 0), LIVES, ADVISOR, rank)
    desks.advice.tick(0.0)
    asked = {call.step[0] for _, call in desks.find_asked()}
    assert asked == {"job(0,)", "job(1,)"}


def test_call_of_an_instance_that_is_gone_goes_to_another(desks):
    desks.ask()
    ((number, _),) = desks.find_asked()
    desks.advice.close_session(number)
    desks.advice.tick(0.1)
    assert len(desks.calls[1 - number]) == 1


def test_call_without_an_answer_goes_to_another(desks):
    desks.ask()
    ((number, _),) = desks.find_asked()
    desks.advice.tick(5.0)
    assert len(desks.calls[1 - number]) == 1


def test_instance_that_cannot_reach_the_advisor_is_left_out_for_a_while(desks):
    desks.ask()
    ((number, _),) = desks.find_asked()
    desks.reply(None)
    desks.advice.tick(0.1)
    assert len(desks.calls[1 - number]) == 1


def test_late_answer_of_an_earlier_call_changes_nothing(desks):
    desks.ask()
    ((number, call),) = desks.find_asked()
    desks.advice.tick(5.0)
    desks.advice.receive(number, w.AdviceReply(call.id, {"w1": "t"}), 5.0)
    assert desks.advice.find(STEP).tickets == {}


def test_long_calls_leave_instances_for_short_ones():
    desks = Desks(4)
    long = type(ADVISOR)(decision_ms=1000.0, validity_ms=1500.0)
    for number in range(5):
        desks.ask((f"long{number}", 0, 0), spec=long)
    assert len(desks.find_asked()) == 3
    desks.ask(("short", 0, 0))
    assert len(desks.find_asked()) == 4
