import itertools

import pytest

from bluebellyoke.dispatch.advice import (
    FAILURE_BACKOFF_S,
    MAX_FAILURE_BACKOFF_S,
    AdviceManager,
)
from bluebellyoke.instance import wire
from tests.dispatch.simulation import DispatcherSimulation
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


LARGE_POOL = tuple((f"w{number}", 1) for number in range(176))


def answer_all(instances, now=1.0):
    """Allow all workers that a call in flight is about; return the calls' sizes."""
    sizes = []
    for number, instance in instances.advice._instances.items():
        if instance.request is not None:
            names = [name for name, _ in instance.request.worker_keys]
            sizes.append(len(names))
            reply = wire.AdviceReply(instance.call, dict.fromkeys(names, "t"))
            instances.advice.receive(number, reply, now)
    return sizes


def test_workers_beyond_one_call_are_evaluated_by_the_next(instances):
    advice = instances.advice.get_step_advice(STEP)
    instances.request(worker_keys=LARGE_POOL)
    assert answer_all(instances) == [100]
    rest = [x for x in LARGE_POOL if x not in advice.evaluated]
    instances.request(worker_keys=rest)
    assert answer_all(instances) == [76]
    assert advice.evaluated == set(LARGE_POOL)


def test_renewal_of_many_tickets_is_split_between_instances(instances):
    advice = instances.advice.get_step_advice(STEP)
    advice.evaluated = set(LARGE_POOL)
    advice.tickets = dict.fromkeys(LARGE_POOL, ("t", 0.0))
    instances.renew(1.0)
    assert advice.pending == set(LARGE_POOL)
    assert answer_all(instances) == [88, 88]
    assert all(advice.is_ticket_valid(worker, 1.1) for worker in LARGE_POOL)


def test_withdrawn_step_gets_no_call(instances):
    for number in range(3):
        instances.request((f"job{number}", 0, 0))
    assert len(instances.list_calls()) == 2
    instances.advice.withdraw(("job2", 0, 0))
    answer_all(instances)
    instances.advice.tick(1.0)
    assert len(instances.list_calls()) == 2
    instances.request(("job2", 0, 0), now=1.0)
    assert len(instances.list_calls()) == 3


def test_withdrawn_renewals_do_not_count_as_pending(instances):
    for number in range(2):
        instances.request((f"job{number}", 0, 0))
    advice = instances.advice.get_step_advice(STEP)
    advice.evaluated = set(WORKER_KEYS)
    advice.tickets = dict.fromkeys(WORKER_KEYS, ("t", 0.0))
    for now in range(5):
        instances.renew(float(now))
        instances.advice.withdraw(STEP)
    assert (advice.pending, advice.renewal_calls) == (set(), 0)


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


# Guards against steps that wait for one lost call after the other: an instance that did
# not answer was used again half a second after each timeout.
def test_instance_that_does_not_answer_is_used_ever_less_often():
    instances = Instances(1)
    instances.request()
    sent_at = []
    for tenth in range(400):
        instances.advice.tick(tenth / 10)
        if len(instances.list_calls()) > len(sent_at):
            sent_at.append(tenth / 10)
    gaps = [round(b - a, 1) for a, b in itertools.pairwise(sent_at)]
    timeout_s = gaps[0] - FAILURE_BACKOFF_S
    assert gaps == pytest.approx(
        [timeout_s + pause_s for pause_s in (0.5, 1.0, 2.0, 4.0, 8.0, 8.0)], abs=0.2
    )


# Guards against a leader that ends: the pause after 1,024 failures in a row, which an
# advisor that is away for some hours causes, was too large for a number.
def test_instance_is_used_again_after_hours_without_an_advisor():
    instances = Instances(1)
    instances.request()
    now = 0.0
    for _ in range(1100):
        now += 2 * MAX_FAILURE_BACKOFF_S
        instances.advice.tick(now)
        instances.reply(None, now)
    now += MAX_FAILURE_BACKOFF_S
    instances.advice.tick(now)
    instances.reply({"w1": "t"}, now)
    assert instances.advice.get_step_advice(STEP).is_ticket_valid(("w1", 1), now)


def test_instance_that_has_failed_is_used_after_sound_ones(instances):
    instances.request()
    ((failed, _),) = instances.list_calls()
    instances.reply(None)
    sound = 1 - failed
    instances.advice.tick(10.0)
    (retry,) = instances.calls[sound]
    instances.advice.receive(sound, wire.AdviceReply(retry.id, {}), 10.0)
    instances.request(("other", 0, 0), now=10.0)
    assert len(instances.calls[failed]) == 1
    assert len(instances.calls[sound]) == 2


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


# Guards against renewals that take up all instances: workers arrive one after the
# other, their tickets expire, and no call is answered meanwhile.
def test_renewals_of_a_step_in_flight_are_bounded():
    instances = Instances(8)
    advice = instances.advice.get_step_advice(STEP)
    for number in range(4):
        worker_key = (f"w{number}", 1)
        advice.evaluated.add(worker_key)
        advice.tickets[worker_key] = ("t", 1.0)
        instances.renew(until=2.0 + number / 10)
    assert len(instances.list_calls()) == 2


# Guards against a worker that is lost to a step for good, since one reply that should
# have renewed its ticket left it out.
def test_worker_that_a_renewal_leaves_out_is_evaluated_again(instances):
    instances.request()
    instances.reply({"w1": "t", "w2": "u"}, now=1.0)
    instances.renew(until=5.0)
    instances.reply({"w1": "v"}, now=5.0)
    advice = instances.advice.get_step_advice(STEP)
    assert advice.evaluated == {("w1", 1)}
    instances.request(worker_keys=[("w2", 1)], now=5.0)
    instances.reply({}, now=6.0)
    assert advice.evaluated == set(WORKER_KEYS)
    assert advice.tickets.keys() == {("w1", 1)}


# Guards against a step that never asks again, since its ticket is for a worker that has
# been removed, and against ever more calls about a step that no worker may run.
def test_step_without_a_present_allowed_worker_asks_again_ever_less_often(instances):
    instances.request()
    instances.reply({"w1": "t"}, now=0.0)
    advice = instances.advice.get_step_advice(STEP)
    asked_at = []
    for second in range(400):
        instances.advice.tick(float(second))
        instances.advice.forget_refusals(STEP, {("w2", 1)})
        if ("w2", 1) not in advice.evaluated:
            asked_at.append(second)
            instances.request(worker_keys=[("w2", 1)], now=float(second))
            instances.reply({}, now=float(second))
    assert asked_at == [10, 30, 70, 150, 310]


# Guards against a step that waits until the next change of the leader: the reply to a
# call of a former leader counted as one about the step, and allowed it no worker.
def test_reply_to_a_call_of_a_former_leader_is_ignored():
    simulation = DispatcherSimulation()
    calls = []
    for step in (("other", 0, 0), STEP):
        simulation.change_leader()
        advice = simulation.dispatcher.advice
        advice.open_session(1, calls.append)
        advice.evaluate(step, WORKER_KEYS, ADVISOR, RANK)
        advice.tick(simulation.now)
    advice.receive(1, wire.AdviceReply(calls[0].id, {}), simulation.now)
    assert advice.get_step_advice(STEP).evaluated == set()
    advice.receive(1, wire.AdviceReply(calls[1].id, {"w1": "t"}), simulation.now)
    assert advice.get_step_advice(STEP).evaluated == set(WORKER_KEYS)
