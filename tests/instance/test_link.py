"""Tests of calls to the leader while no leader is reachable."""

import socket
from datetime import UTC, datetime

import anyio
import pytest

from bluebellyoke.clock import Clock
from bluebellyoke.instance import wire
from bluebellyoke.instance.link import LeaderLink, NoLeaderError
from bluebellyoke.instance.queues import QueueClient
from bluebellyoke.metrics import Metrics

#: Timeout of a test, in seconds.
TIMEOUT_S = 60.0


class ManualClock(Clock):
    """Clock whose time the test sets."""

    def __init__(self):
        self.seconds = 0.0

    def monotonic(self):
        return self.seconds

    def now(self):
        return datetime.fromtimestamp(self.seconds, UTC)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def link(clock):
    """Link whose only seed refuses connections."""
    with socket.socket() as reserved:
        # Binding without listening keeps other processes from using the port.
        reserved.bind(("127.0.0.1", 0))
        yield LeaderLink(
            hello=wire.Hello("c", "i", "1", "d"),
            seeds=[f"127.0.0.1:{reserved.getsockname()[1]}"],
            clock=clock,
            on_connected=lambda: None,
            build_poll=lambda: None,
            on_message=lambda message: None,
            poll_interval_s=1.0,
            silence_timeout_s=1.0,
        )


def run_with_link(link, body):
    """Run the body while the link runs in the background."""

    async def run():
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(link.run)
                await body()
                tasks.cancel_scope.cancel()

    anyio.run(run)


def test_call_fails_before_its_timeout_if_no_leader_is_found(link, clock):
    """A call with a timeout of hours must not block that long without a leader."""

    async def body():
        clock.seconds = 2.0
        with pytest.raises(NoLeaderError):
            await link.call("body", timeout_s=3600.0, max_disconnected_s=1.0)

    run_with_link(link, body)


def test_call_stays_pending_within_its_disconnection_limit(link, clock):
    async def body():
        clock.seconds = 2.0
        with anyio.move_on_after(0.3) as scope:
            await link.call("body", timeout_s=3600.0, max_disconnected_s=3.0)
        assert scope.cancelled_caught

    run_with_link(link, body)


class DisconnectingLink:
    """Link whose stream breaks during every call."""

    async def wait_connected(self, timeout_s):
        return True

    async def call(self, body, timeout_s, max_disconnected_s):
        raise NoLeaderError()


@pytest.mark.parametrize(
    ("action", "code"),
    [
        (wire.QueueAction.SUBMIT, "unanswered"),
        (wire.QueueAction.CANCEL, "unanswered"),
        (wire.QueueAction.READ, "unavailable"),
    ],
)
def test_only_calls_with_an_effect_are_reported_as_unanswered(clock, action, code):
    """A submission that the leader may have executed is not reported as not run."""
    client = QueueClient(link=DisconnectingLink(), clock=clock, metrics=Metrics())
    replies = []

    async def body():
        replies.append(await client.request(action, "h", "/q/", timeout_s=3.0))

    anyio.run(body)
    assert replies[0].code == code
