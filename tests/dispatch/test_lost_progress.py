"""Progress of runs that are lost with their worker."""

import pytest

from bluebellyoke.dispatch.ports import RunningRun, StatusReport
from tests.dispatch.forwarding import ForwardingNetwork

CHECKPOINT = "00000bb87a21d94b"


@pytest.fixture
def network():
    network = ForwardingNetwork()
    network.run(0.1)
    return network


def report_progress(network):
    """Let the worker of the task report that the run has saved progress."""
    handle_poll = network.handle_poll

    def handle(worker, request):
        response = handle_poll(worker, request)
        report = response["report"]
        running = tuple(
            RunningRun(x.task, x.run, CHECKPOINT, 50) for x in report.running
        )
        return {
            "report": StatusReport(
                report.clock_ms, report.incarnation, running, report.ended
            )
        }

    network.handle_poll = handle
    network.run(2.0)
    network.handle_poll = handle_poll


# Guards against work that is thrown away: the last report of a worker that crashed, or
# whose lease ended in silence, has told how much of a run is saved.
@pytest.mark.parametrize("returns", [True, False])
def test_task_of_a_lost_worker_resumes_from_its_last_reported_progress(
    network, returns
):
    network.submit_task(checkpoints=True)
    network.run(0.2)
    worker = network.find_busy_worker()
    report_progress(network)
    if returns:
        network.crash(worker.spec.id)
    else:
        network.silent.add(worker.spec.id)
    starts = []

    def forward(sent):
        if sent.kind == "start":
            starts.append(sent.request)
        return False

    network.forward = forward
    network.run(8.0)
    assert [(x.run, x.checkpoint) for x in starts] == [(2, CHECKPOINT)]
