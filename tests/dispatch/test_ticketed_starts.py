"""Starts with the ticket of an advisor, valid for one incarnation of the worker."""

import pytest

from bluebellyoke.dispatch.ports import StartResult
from bluebellyoke.instance import wire
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.specs import AdvisorSpec, Configuration, PoolSpec
from tests.dispatch.forwarding import ForwardingNetwork
from tests.dispatch.simulation import DispatcherSimulation
from tests.dispatch.test_late_starts import LateStart, replace_leader
from tests.dispatch.test_returned_random import UnacknowledgedScenario
from tests.workflow.factories import create_queue

ADVISOR = AdvisorSpec(decision_ms=20.0, per_worker_ms=0.5, validity_ms=1500.0)

#: Time in which a silent worker is removed and its task starts elsewhere, in seconds:
#: the lease of 5 s by the slowest clock, and some polls.
MAX_RESTART_S = 7.5


class Tickets:
    """An advisor that allows all workers, and workers that take its tickets only.

    A ticket is valid for the incarnation that a worker has when it is issued.
    """

    def __init__(self, workers=3, features=None):
        super().__init__(workers, features)
        configuration = Configuration(
            version=2,
            queues=(create_queue(advisor=ADVISOR),),
            pools=(PoolSpec(name="p"),),
        )
        command = workflow_commands.ApplyConfiguration(configuration=configuration)
        self.dispatcher.change_configuration(command, self.now, lambda result: None)
        self.commit()

    def change_leader(self):
        super().change_leader()
        self.advice_calls = []
        self.dispatcher.advice.open_session(1, self.advice_calls.append)

    def tick(self):
        for call in self.advice_calls:
            tickets = {name: self.create_ticket(name) for name in call.workers}
            reply = wire.AdviceReply(call.id, tickets)
            self.dispatcher.advice.receive(1, reply, self.now)
        self.advice_calls.clear()
        super().tick()

    def create_ticket(self, name):
        return f"{name}-{self.workers[name].spec.incarnation}"

    def handle_start(self, worker, request):
        if request.ticket != self.create_ticket(worker.spec.id):
            return {"result": StartResult.BAD_TICKET}
        return super().handle_start(worker, request)


class TicketedNetwork(Tickets, ForwardingNetwork):
    """The same behind a forwarder."""

    def lose_stop(self, sent):
        if sent.kind != "stop":
            return False
        self.time_out(sent)
        return True


class TicketedSimulation(Tickets, DispatcherSimulation):
    """The same for random scenarios."""


class TicketedScenario(UnacknowledgedScenario):
    """Random returns of workers, late calls and leaders, with tickets."""

    def __init__(self, seed):
        super().__init__(seed)
        self.simulation = TicketedSimulation()


@pytest.fixture
def network():
    network = TicketedNetwork()
    network.run(0.5)
    return network


def check_only_late_worker_is_unused(network, late):
    runs = [x.spec.id for x in network.workers.values() for _ in x.runs]
    assert len(runs) == network.store.active[late.sent.request.task.workflow].placed
    assert late.sent.spec.id not in runs


# Guards against LOST on the day refusals-leader: a draining worker kept the place of a
# task whose start no later incarnation of the worker could carry out.
@pytest.mark.parametrize("replacement", ["none", "leader", "restart"])
def test_task_on_a_draining_worker_starts_elsewhere_once_its_start_is_blocked(
    network, replacement
):
    late = LateStart(network)
    network.announce(late.sent.spec.id, draining=True)
    network.commit()
    replace_leader(network, replacement)
    network.run(2.0)
    check_only_late_worker_is_unused(network, late)
    late.crash_worker()
    late.carry_out()
    network.run(3.0)
    check_only_late_worker_is_unused(network, late)


# Guards against a gang that waits for the lease of such an incarnation: the worker of
# one of its tasks falls silent after the start was blocked, or before.
@pytest.mark.parametrize("is_blocked", [False, True])
@pytest.mark.parametrize("fields", [{}, {"count": 3, "cpu": 1400, "gang": True}])
def test_task_whose_worker_falls_silent_starts_elsewhere_after_its_lease(
    network, is_blocked, fields
):
    late = LateStart(network, **fields)
    name = late.sent.spec.id
    network.announce(name, draining=True)
    if not is_blocked:
        network.forward = network.lose_stop
    network.run(1.0)
    network.silent.add(name)
    network.run(MAX_RESTART_S)
    check_only_late_worker_is_unused(network, late)
    late.crash_worker()
    late.carry_out()
    network.run(3.0)
    check_only_late_worker_is_unused(network, late)


# Guards against two runs at once: a start got no response, and the ticket may be one of
# a later incarnation than the one that is known.
def test_ticket_of_a_worker_that_never_responded_since_is_no_proof(network):
    network.silent.update(network.workers)
    late = LateStart(network)
    network.silent.intersection_update({late.sent.spec.id})
    network.run(MAX_RESTART_S)
    assert not any(x.runs for x in network.workers.values())
    assert network.find_task().placed


# Guards against two runs at once, whichever returns, late calls and leaders come
# together: the simulation checks each start.
@pytest.mark.parametrize("seed", range(40))
def test_random_returns_cause_no_second_run_of_a_task_with_a_ticket(seed):
    TicketedScenario(seed).run()
