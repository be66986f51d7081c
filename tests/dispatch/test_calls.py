"""Tests of the tasks that call workers."""

import dataclasses

import anyio
import pytest

from bluebellyoke.clock import SystemClock
from bluebellyoke.dispatch import calls as calls_module
from bluebellyoke.dispatch.calls import WorkerCalls
from bluebellyoke.dispatch.ports import (
    NoAnswerError,
    PaceRequest,
    PaceResult,
    PollRequest,
    StatusReport,
    StopRequest,
    WorkerClient,
)
from bluebellyoke.workflow.commands import TaskName
from tests.workflow.factories import create_worker

#: Timeout of a test, in seconds.
TIMEOUT_S = 60.0

STOP = StopRequest(task=TaskName("a", 0, 0, 0), run=1, fence=1)


class FakeWorkerClient(WorkerClient):
    """A client that answers polls, gets no response to stops and fails on starts."""

    async def start(self, worker, request):
        raise ValueError("the response of the worker is malformed")

    async def stop(self, worker, request):
        raise NoAnswerError(worker.address, "reset")

    async def pace(self, worker, request):
        return PaceResult.PACED

    async def poll(self, worker, request):
        return StatusReport(1, worker.incarnation, (), ())

    async def close(self):
        pass


class SlowWorkerClient(FakeWorkerClient):
    """A client that answers polls after a delay, in seconds, if it may wait so long."""

    def __init__(self, delay_s):
        self.delay_s = delay_s
        self.cancelled = anyio.Event()

    async def poll(self, worker, request):
        try:
            await anyio.sleep(self.delay_s)
        except anyio.get_cancelled_exc_class():
            self.cancelled.set()
            raise
        return await super().poll(worker, request)


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


# Guards against a pace whose answer the leader never learns of.
def test_event_of_a_pace_request_carries_the_run_the_limit_and_the_result():
    request = PaceRequest(task=STOP.task, run=3, percent=25, fence=1)
    event, text = call(lambda calls, worker: calls.pace(worker, request))
    assert (event.key, event.percent) == ((STOP.task, 3), 25)
    assert event.result is PaceResult.PACED
    assert 'worker_calls_total{outcome="pace/answered"} 1' in text


def test_unexpected_error_of_a_call_does_not_end_the_task_group():
    event, _ = call(lambda calls, worker: calls.start(worker, STOP))
    assert isinstance(event.error, NoAnswerError)


# Guards against events that the full queue of the leader's inputs drops unnoticed.
def test_dropped_event_is_logged(caplog):
    calls = WorkerCalls(client=FakeWorkerClient(), clock=SystemClock())

    async def run():
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(calls.run, lambda event: False)
                await anyio.sleep(0)
                calls.stop(create_worker("w1"), STOP)
                while not caplog.records:
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

    anyio.run(run)
    (record,) = caplog.records
    assert record.message == "dispatch: dropped the event of a call"
    assert (record.worker, record.kind) == ("w1", "StopFinished")


POLL = PollRequest(deadline_ms=None, fence=1, acknowledged_end=0)


@pytest.fixture
def short_timeouts(monkeypatch):
    monkeypatch.setattr(calls_module, "POLL_TIMEOUT_SLACK_S", 0.05)
    monkeypatch.setattr(calls_module, "CALL_TIMEOUT_S", 0.05)


def poll_slowly(client, is_done, *, is_probe=False):
    """Poll a worker until a condition on the events holds, and return the events."""
    calls = WorkerCalls(client=client, clock=SystemClock())
    events = []

    async def run():
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(calls.run, events.append)
                await anyio.sleep(0)
                request = dataclasses.replace(POLL, is_probe=is_probe)
                calls.poll(create_worker("w1"), request)
                while not is_done(events):
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

    anyio.run(run)
    return events


# A worker that was only slow to answer lost its lease and with it all its runs.
@pytest.mark.parametrize("is_probe", [False, True])
def test_response_after_the_timeout_is_posted_as_late(short_timeouts, is_probe):
    client = SlowWorkerClient(delay_s=0.3)
    unanswered, late = poll_slowly(
        client, lambda events: len(events) == 2, is_probe=is_probe
    )
    assert isinstance(unanswered.error, NoAnswerError)
    assert not unanswered.is_late
    assert late.is_late
    assert late.report is not None
    assert late.sent_at == unanswered.sent_at


# A call that is never answered must not keep its connection for ever.
def test_poll_without_a_response_ends_after_the_wait_for_a_late_one(
    short_timeouts, monkeypatch
):
    monkeypatch.setattr(calls_module, "LATE_RESPONSE_S", 0.1)
    client = SlowWorkerClient(delay_s=3600.0)
    (unanswered,) = poll_slowly(client, lambda events: client.cancelled.is_set())
    assert unanswered.report is None
