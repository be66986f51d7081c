"""What a worker, or something in its name, reports while the worker works on.

Each start on a worker is checked: no task runs twice at the same time.
"""

import dataclasses

import msgspec
import pytest

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.ports import EndedRun, StartResult, StatusReport
from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.forwarding import WORKFLOW, ForwardingNetwork
from tests.workflow.factories import create_spec, create_step, create_worker

#: Time in which a worker that works on would be taken for gone, in seconds.
WATCHED_S = 3.0


@pytest.fixture
def network():
    """A cell of three workers, of which one runs a task."""
    network = ForwardingNetwork()
    network.run(0.1)
    network.submit_task()
    network.run(0.1)
    return network


def check_first_run_ends(network):
    """Check that the first run works on and is done in the end."""
    worker = network.find_busy_worker()
    (key,) = worker.runs
    network.run(WATCHED_S)
    assert list(worker.runs) == [key]
    worker.end(key, workflow_commands.RunOutcome.DONE)
    network.run(1.0)
    assert (network.find_task().run, network.state) == (1, "completed")


def alter_reports(network, change):
    """Let the forwarder change the reports of all workers.

    Args:
        change: Called with the worker and its report; it returns the report to pass on.
    """

    def forward(sent):
        if sent.kind != "poll":
            return False
        network.deliver(sent)
        event = network.events.pop()
        report = change(network.workers[sent.spec.id], event.report)
        network.events.append(dataclasses.replace(event, report=report))
        return True

    network.forward = forward


# Guards against runs that end with a notice that does not name its incarnation, perhaps
# of an earlier one: a worker that leaves works on until its runs have ended.
def test_leave_announcement_ends_no_run(network):
    network.dispatcher.mark_leaving(network.find_busy_worker().spec.id)
    check_first_run_ends(network)


# Guards against runs that end when their worker is to get no others.
def test_draining_worker_keeps_its_runs(network):
    network.announce(network.find_busy_worker().spec.id, draining=True, sequence=9)
    network.commit()
    check_first_run_ends(network)


# Guards against runs that end by a delayed heartbeat of the process before.
def test_heartbeat_of_an_earlier_incarnation_ends_no_run(network):
    spec = network.find_busy_worker().spec
    earlier = create_worker(spec.id, incarnation=0, cpu=1000, sequence=99)
    network.dispatcher.register_worker(earlier, network.now, lambda result: None)
    network.commit()
    check_first_run_ends(network)


# Guards against runs that end by a heartbeat of the same process with another capacity,
# address or order.
@pytest.mark.parametrize(
    "fields",
    [
        {"capacity": Resources(0, 0, 0), "sequence": 50},
        {"address": "10.0.0.9:99", "sequence": 50},
        {"pool": "r", "sequence": 50},
    ],
)
def test_heartbeat_with_another_description_ends_no_run(network, fields):
    spec = msgspec.structs.replace(network.find_busy_worker().spec, **fields)
    network.dispatcher.register_worker(spec, network.now, lambda result: None)
    network.commit()
    check_first_run_ends(network)


# Guards against a second run beside one that a report leaves out: the worker has to
# accept a stop first, which ends the run if it is there after all.
def test_run_that_one_report_leaves_out_is_stopped_before_the_next(network):
    worker = network.find_busy_worker()
    (key,) = worker.runs
    is_left_out = True

    def leave_out(reporting, report):
        nonlocal is_left_out
        if reporting is not worker or not is_left_out:
            return report
        is_left_out = False
        return dataclasses.replace(report, running=())

    alter_reports(network, leave_out)
    network.run(WATCHED_S)
    assert key not in worker.runs
    assert network.find_task().run == 2


# Guards against a run that ends by reports that leave it out while no stop gets through
# to the worker, which works on.
def test_run_that_reports_leave_out_goes_on_while_no_stop_is_accepted(network):
    worker = network.find_busy_worker()
    alter_reports(
        network,
        lambda reporting, report: dataclasses.replace(report, running=()),
    )
    forward_polls = network.forward

    def refuse_stops(sent):
        if sent.kind == "stop":
            network.finish_call(sent, accepted=False)
            return True
        return forward_polls(sent)

    network.forward = refuse_stops
    network.run(WATCHED_S)
    assert worker.runs
    assert (network.find_task().run, network.find_task().placed) == (1, True)


# Guards against a run that ends by a status that is not complete, for example because
# it has as many ends as a status may list.
def test_run_that_an_incomplete_status_leaves_out_goes_on(network):
    def leave_out(worker, report):
        return dataclasses.replace(report, running=(), complete=False)

    alter_reports(network, leave_out)
    network.run(WATCHED_S)
    network.forward = lambda sent: False
    check_first_run_ends(network)


# Guards against a run that ends by a status from before its start: the response was
# delayed and arrives after the start was answered.
def test_status_from_before_a_start_does_not_end_the_run():
    network = ForwardingNetwork(1)
    network.run(0.1)
    held = []

    def hold_polls(sent):
        if sent.kind != "poll":
            return False
        network.deliver(sent)
        held.append(network.events.pop())
        return True

    network.forward = hold_polls
    network.step()
    network.submit_task()
    network.run(0.2)
    network.forward = lambda sent: False
    for event in held:
        network.receive(event)
        network.receive(dataclasses.replace(event, is_late=True))
    stops = [x for x in network.sent_calls if x.kind == "stop"]
    assert (len(held), stops) == (1, [])
    check_first_run_ends(network)


# Guards against an end of another task or run that is taken for that of the run.
@pytest.mark.parametrize("run", [0, 2, 2**53])
def test_end_of_another_run_of_the_task_ends_no_run(network, run):
    (key,) = network.find_busy_worker().runs

    def add_end(worker, report):
        done = workflow_commands.RunOutcome.DONE
        end = EndedRun(worker.last_end, key[0], run, done, "")
        return dataclasses.replace(report, ended=(*report.ended, end))

    alter_reports(network, add_end)
    network.run(WATCHED_S)
    network.forward = lambda sent: False
    check_first_run_ends(network)


# Guards against an end that is forgotten before it is committed: a worker that lists
# the end of an earlier incarnation's run must not lose its own one.
def test_acknowledged_end_of_an_unknown_run_does_not_hide_that_of_the_run(network):
    worker = network.find_busy_worker()
    (key,) = worker.runs
    other = workflow_commands.TaskName("00000000000000ff", 0, 0, 0)
    worker.runs[(other, 7)] = Resources(0, 0, 0)
    worker.end((other, 7), workflow_commands.RunOutcome.FAILED)
    network.run(0.2)
    assert worker.acknowledged_end == 1
    worker.end(key, workflow_commands.RunOutcome.DONE)
    network.run(0.5)
    assert (network.find_task().run, network.state) == (1, "completed")


# Guards against a second run under a new leader that never reaches a worker with the
# slowest clock and the longest lease, on which the run goes on.
@pytest.mark.parametrize("changes", [1, 2])
def test_new_leader_waits_for_the_longest_lease_by_the_slowest_clock(network, changes):
    worker = network.find_busy_worker()
    worker.clock_rate = 0.98
    network.silent.add(worker.spec.id)
    for _ in range(changes):
        network.run(0.5)
        worker.extend(worker.clock_ms + 1e6)
        network.change_leader()
    while worker.runs:
        assert network.find_task().run == 1
        network.step()
    network.run(2.0)
    assert network.find_task().run == 2


# Guards against a worker that takes orders of two leaders: once the new one has reached
# it, starts and renewals of the former one are refused.
def test_former_leader_neither_starts_nor_renews(network):
    network.dispatcher.tick(network.now, network.now)
    former = [x for x in network.sent_calls if x.kind == "poll"]
    network.sent_calls.clear()
    network.change_leader()
    network.run(0.2)
    for sent in former:
        worker = network.workers[sent.spec.id]
        lease_ms = worker.lease_ms
        assert network.handle_poll(worker, sent.request) == {"report": None}
        assert worker.lease_ms == lease_ms
    check_first_run_ends(network)


# Guards against a second run while the members of a gang work on of which one start got
# the reply of a proxy: the gang starts again only once all of its runs have ended.
@pytest.mark.parametrize("fields", [{"gang": True}, {"long_running": True}])
def test_gang_and_service_whose_start_a_proxy_refused_run_once(fields):
    network = ForwardingNetwork()
    network.run(0.1)
    replied = []

    def forward(sent):
        if sent.kind != "start" or replied:
            return False
        replied.append(sent)
        network.deliver(sent)
        network.events.pop()
        sent.is_finished = False
        network.finish_call(sent, result=StartResult.UNHEALTHY)
        return True

    network.forward = forward
    network.submit_task(count=3, cpu=2000, **fields)
    network.run(WATCHED_S)
    numbers = [[run for _, run in worker.runs] for worker in network.workers.values()]
    assert numbers[0] == numbers[1] == numbers[2]
    assert len(numbers[0]) == 1


# Guards against a second run of a service after a report that it has ended, and against
# one before: only that report lets it start again.
def test_service_starts_again_only_after_its_reported_end():
    network = ForwardingNetwork()
    network.run(0.1)
    network.submit_task(long_running=True)
    network.run(WATCHED_S)
    worker = network.find_busy_worker()
    assert network.find_task().run == 1
    worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
    network.run(1.0)
    assert network.find_task().run == 2


# Guards against a run beside the one that a caller has cancelled: an ID that is
# submitted again while its run works on, since no stop gets through, starts nothing.
def test_resubmission_of_a_cancelled_job_starts_nothing(network):
    worker = network.find_busy_worker()

    def drop_stops(sent):
        return sent.kind == "stop" and network.time_out(sent) is None

    network.forward = drop_stops
    network.cancel(WORKFLOW)
    network.submit_task()
    network.run(WATCHED_S)
    assert len(worker.runs) == 1
    assert network.state == "cancelled"
    assert network.find_task().placed


# Guards against a record that is dropped while a run of the job works on, so that the
# same ID would start it again.
def test_record_of_a_cancelled_job_is_kept_while_its_run_works_on(network):
    worker = network.find_busy_worker()
    network.forward = lambda sent: (
        sent.kind == "stop" and network.time_out(sent) is None
    )
    network.cancel(WORKFLOW)
    command = workflow_commands.ForgetWorkflows(
        time=network.now + 1e6, workflows=(WORKFLOW,)
    )
    network.store.apply(command)
    assert WORKFLOW in network.store.workflows
    network.run(0.5)
    assert len(worker.runs) == 1


# Guards against a job that never starts, or ends by what an earlier job of its ID did:
# its worker knows the first runs as ended and refuses them as outdated.
def test_id_that_comes_again_after_its_record_was_dropped_runs_afresh(network):
    worker = network.find_busy_worker()
    worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
    network.run(0.5)
    command = workflow_commands.ForgetWorkflows(time=network.now, workflows=(WORKFLOW,))
    network.store.apply(command)
    network.acknowledged.clear()
    network.silent = {x for x in network.workers if x != worker.spec.id}
    network.run(1.5)
    network.submit(create_spec(WORKFLOW, steps=[create_step()]))
    network.run(2.0)
    assert [run for _, run in worker.runs] == [2]


# Guards against a status of something else at the address of a worker, without runs and
# without an incarnation: it ends no run unless a stop is accepted there.
def test_status_without_incarnation_and_runs_ends_no_run_by_itself(network):
    worker = network.find_busy_worker()

    def replace_report(reporting, report):
        if reporting is not worker:
            return report
        return StatusReport(report.clock_ms, 0, (), ())

    alter_reports(network, replace_report)
    forward_polls = network.forward
    network.forward = lambda sent: (
        (sent.kind == "stop" and network.time_out(sent) is None) or forward_polls(sent)
    )
    network.run(WATCHED_S)
    assert worker.runs
    assert (network.find_task().run, network.find_task().placed) == (1, True)


# Guards against a second run of a task that is to make room, to move to another worker
# or to leave a serving task alone, while no stop gets through to its worker.
@pytest.mark.parametrize("is_accepted", [False, True])
def test_run_that_is_to_stop_has_no_successor_before_its_end(network, is_accepted):
    worker = network.find_busy_worker()
    (key,) = worker.runs

    def forward(sent):
        if sent.kind != "stop":
            return False
        if is_accepted:
            network.finish_call(sent, accepted=True)
        else:
            network.time_out(sent)
        return True

    network.forward = forward
    tracked = network.dispatcher.workers[worker.spec.id]
    network.dispatcher._stopper.stop_run(tracked, key)
    network.run(WATCHED_S)
    assert list(worker.runs) == [key]
    assert (network.find_task().run, network.find_task().placed) == (1, True)
    worker.end(key, workflow_commands.RunOutcome.STOPPED)
    network.run(1.0)
    assert network.find_task().run == 2


# Guards against a second run beside one that its worker lists as running and as ended
# in the same status: a status that contradicts itself proves no end.
@pytest.mark.parametrize("outcome", ["failed", "stopped", "alone"])
def test_end_of_a_run_that_is_listed_as_running_does_not_count(network, outcome):
    worker = network.find_busy_worker()
    (key,) = worker.runs
    end = EndedRun(1, *key, workflow_commands.RunOutcome(outcome), "")

    def add_end(reporting, report):
        if reporting is not worker:
            return report
        return dataclasses.replace(report, ended=(*report.ended, end))

    alter_reports(network, add_end)
    network.run(WATCHED_S)
    assert network.find_task().run == 1
