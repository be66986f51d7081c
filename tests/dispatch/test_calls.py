"""Tests of the tasks that call workers."""

import anyio
import pytest

from bluebellyoke.clock import SystemClock
from bluebellyoke.dispatch.calls import WorkerCalls
from bluebellyoke.dispatch.ports import (
    NoAnswerError,
    PollRequest,
    StatusReport,
    StopRequest,
    WorkerClient,
)
from bluebellyoke.workflow.commands import TaskName
from tests.workflow.factories import create_worker

STOP = StopRequest(task=TaskName("a", 0, 0, 0), run=1, fence=1)


class FakeWorkerClient(WorkerClient):
    """A client that answers polls, gets no response to stops and fails on starts."""

    async def start(self, worker, request):
        raise ValueError("the response of the worker is malformed")

    async def stop(self, worker, request):
        raise NoAnswerError(worker.address, "reset")

    async def poll(self, worker, request):
        return StatusReport(1, worker.incarnation, (), ())

    async def close(self):
        pass


def call(function):
    """Make one call and return its event and the metrics."""
    calls = WorkerCalls(client=FakeWorkerClient(), clock=SystemClock())
    events = []

    async def run():
        async with anyio.create_task_group() as tasks:
            arrived = anyio.Event()

            def post(event):
                events.append(event)
                arrived.set()

            tasks.start_soon(calls.run, post)
            await anyio.sleep(0)
            function(calls, create_worker("w1"))
            await arrived.wait()
            tasks.cancel_scope.cancel()

    anyio.run(run)
    return events[0], calls.metrics.render()


@pytest.mark.parametrize("is_probe", [False, True])
def test_poll_and_probe_events_carry_the_report_and_their_kind(is_probe):
    request = PollRequest(
        deadline_ms=None, fence=1, acknowledged_end=0, is_probe=is_probe
    )
    event, text = call(lambda calls, worker: calls.poll(worker, request))
    assert event.report is not None
    assert event.is_probe is is_probe
    kind = "look" if is_probe else "hold"
    assert f'worker_calls_total{{outcome="{kind}/answered"}} 1' in text


def test_call_without_a_response_posts_an_event_with_the_error():
    event, text = call(lambda calls, worker: calls.stop(worker, STOP))
    assert not event.accepted
    assert isinstance(event.error, NoAnswerError)
    assert 'worker_calls_total{outcome="stop/NoAnswerError"} 1' in text


def test_unexpected_error_of_a_call_does_not_end_the_task_group():
    event, _ = call(lambda calls, worker: calls.start(worker, STOP))
    assert isinstance(event.error, NoAnswerError)
