import pytest

from bluebellyoke.dispatch.advice import AdviceManager
from bluebellyoke.instance import wire
from tests.workflow.factories import ADVISOR

STEP = ("job", 0, 0)
WORKER_KEYS = (("w1", 1), ("w2", 1))
RANK = (0, 1.0, "job")


class Instances:
    """Instances that record the calls they are sent."""

    def __init__(self, count):
        self.advice = AdviceManager()
        self.calls = {number: [] for number in range(count)}
        for number in range(count):
            self.advice.open_session(number, self.calls[number].append)

    def request(
        self, step=STEP, worker_keys=WORKER_KEYS, spec=ADVISOR, rank=RANK, now=0.0
    ):
        self.advice.evaluate(step, worker_keys, spec, rank)
        self.advice.tick(now)

    def renew(self, until):
        self.advice.renew(STEP, ADVISOR, RANK, until=until)
        self.advice.tick(until)

    def list_calls(self):
        return [(n, call) for n, calls in self.calls.items() for call in calls]

    def reply(self, tickets, now=0.0):
        (number, call) = self.list_calls()[-1]
        self.advice.receive(number, wire.AdviceReply(call.id, tickets), now)


@pytest.fixture
def instances():
    return Instances(2)


def test_a_step_is_requested_once_from_one_instance(instances):
    instances.request()
    instances.request()
    ((_, call),) = instances.list_calls()
    assert (call.step, call.workers) == (STEP, ("w1", "w2"))


def test_tickets_are_valid_until_shortly_before_their_expiry(instances):
    instances.request()
    instances.reply({"w2": "t"}, now=1.0)
    advice = instances.advice.get_step_advice(STEP)
    assert advice.evaluated == set(WORKER_KEYS)
    assert advice.find_ticket(("w2", 1), 2.3) == "t"
    assert advice.find_ticket(("w2", 1), 2.5) is None
    assert advice.find_ticket(("w1", 1), 1.0) is None


def test_ticket_of_another_incarnation_is_not_used(instances):
    instances.request()
    instances.reply({"w2": "t"}, now=1.0)
    assert instances.advice.get_step_advice(STEP).find_ticket(("w2", 2), 1.0) is None


def test_rejected_ticket_is_requested_again(instances):
    instances.request()
    instances.reply({"w1": "t", "w2": "u"}, now=1.0)
    instances.advice.get_step_advice(STEP).expire_ticket(("w1", 1))
    assert instances.advice.get_step_advice(STEP).find_ticket(("w1", 1), 1.0) is None
    instances.renew(1.0)
    assert len(instances.list_calls()) == 2


def test_question_about_many_workers_is_split_between_instances(instances):
    worker_keys = [(f"w{number}", 1) for number in range(176)]
    instances.request(worker_keys=worker_keys)
    (_, first), (_, second) = instances.list_calls()
    assert (len(first.workers), len(second.workers)) == (88, 88)
    assert {*first.workers, *second.workers} == {name for name, _ in worker_keys}


def test_step_is_requested_until_all_parts_of_a_question_are_answered(instances):
    instances.request(worker_keys=[(f"w{number}", 1) for number in range(101)])
    advice = instances.advice.get_step_advice(STEP)
    for number, call in instances.list_calls():
        assert advice.is_evaluating
        instances.advice.receive(number, wire.AdviceReply(call.id, {}), 1.0)
    assert not advice.is_evaluating
    assert len(advice.evaluated) == 101


def test_valid_tickets_are_not_renewed(instances):
    instances.request()
    instances.reply({"w1": "t", "w2": "u"}, now=1.0)
    instances.renew(2.3)
    assert len(instances.list_calls()) == 1
    instances.renew(2.5)
    assert len(instances.list_calls()) == 2


def test_tickets_are_renewed_once_while_a_call_is_pending(instances):
    instances.request()
    instances.reply({"w1": "t", "w2": "u"}, now=1.0)
    instances.renew(2.5)
    instances.renew(2.6)
    assert len(instances.list_calls()) == 2


def test_tickets_are_renewed_while_a_new_worker_is_evaluated(instances):
    instances.request()
    instances.reply({"w1": "t", "w2": "u"}, now=1.0)
    instances.request(worker_keys=(("w3", 1),), now=2.4)
    instances.renew(2.5)
    calls = sorted((call for _, call in instances.list_calls()), key=lambda x: x.id)
    assert [call.workers for call in calls[1:]] == [("w3",), ("w1", "w2")]


def test_lower_rank_is_requested_first(instances):
    for rank in ((2,), (0,), (1,)):
        instances.advice.evaluate((f"job{rank}", 0, 0), WORKER_KEYS, ADVISOR, rank)
    instances.advice.tick(0.0)
    requested = {call.step[0] for _, call in instances.list_calls()}
    assert requested == {"job(0,)", "job(1,)"}


def test_call_of_a_closed_instance_is_sent_to_another(instances):
    instances.request()
    ((number, _),) = instances.list_calls()
    instances.advice.close_session(number)
    instances.advice.tick(0.1)
    assert len(instances.calls[1 - number]) == 1


def test_call_that_times_out_is_sent_to_another_instance(instances):
    instances.request()
    ((number, _),) = instances.list_calls()
    instances.advice.tick(5.0)
    assert len(instances.calls[1 - number]) == 1


def test_instance_that_cannot_reach_the_advisor_is_paused(instances):
    instances.request()
    ((number, _),) = instances.list_calls()
    instances.reply(None)
    instances.advice.tick(0.1)
    assert len(instances.calls[1 - number]) == 1


def test_late_reply_to_an_earlier_call_is_ignored(instances):
    instances.request()
    ((number, call),) = instances.list_calls()
    instances.advice.tick(5.0)
    instances.advice.receive(number, wire.AdviceReply(call.id, {"w1": "t"}), 5.0)
    assert instances.advice.get_step_advice(STEP).tickets == {}


def test_long_calls_leave_instances_free_for_short_calls():
    instances = Instances(4)
    long = type(ADVISOR)(decision_ms=1000.0, validity_ms=1500.0)
    for number in range(5):
        instances.request((f"long{number}", 0, 0), spec=long)
    assert len(instances.list_calls()) == 3
    instances.request(("short", 0, 0))
    assert len(instances.list_calls()) == 4
