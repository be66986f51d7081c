"""The stream to the leader, when there is none."""

import socket
from datetime import UTC, datetime

import anyio
import pytest

from bluebellyoke.clock import Clock
from bluebellyoke.instance import wire as w
from bluebellyoke.instance.link import LeaderLink, NoLeaderError
from bluebellyoke.instance.queues import QueueClient
from bluebellyoke.metrics import Metrics

#: Time after which a test that hangs fails, in seconds.
HANG_S = 60.0


class SteppedClock(Clock):
    """A clock that the test sets."""

    def __init__(self):
        self.seconds = 0.0

    def monotonic(self):
        return self.seconds

    def now(self):
        return datetime.fromtimestamp(self.seconds, UTC)


@pytest.fixture
def clock():
    return SteppedClock()


@pytest.fixture
def link(clock):
    """A link whose only seed refuses connections."""
    with socket.socket() as taken:
        # Bound and not listening, so nobody else gets the port.
        taken.bind(("127.0.0.1", 0))
        yield LeaderLink(
            hello=w.Hello("c", "i", "1", "d"),
            seeds=[f"127.0.0.1:{taken.getsockname()[1]}"],
            clock=clock,
            on_connected=lambda: None,
            build_poll=lambda: None,
            on_message=lambda message: None,
            poll_interval_s=1.0,
            silence_timeout_s=1.0,
        )


def run_beside(link, body):
    """Run a link until the body has ended."""

    async def run():
        with anyio.fail_after(HANG_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(link.run)
                await body()
                tasks.cancel_scope.cancel()

    anyio.run(run)


def test_call_is_given_up_once_no_leader_was_found_for_long(link, clock):
    """Its caller has hours, and is not kept waiting for them."""

    async def body():
        clock.seconds = 2.0
        with pytest.raises(NoLeaderError):
            await link.call("body", timeout_s=3600.0, max_disconnected_s=1.0)

    run_beside(link, body)


def test_call_waits_for_the_next_leader_meanwhile(link, clock):
    async def body():
        clock.seconds = 2.0
        with anyio.move_on_after(0.3) as scope:
            await link.call("body", timeout_s=3600.0, max_disconnected_s=3.0)
        assert scope.cancelled_caught

    run_beside(link, body)


class PartedLink:
    """A link whose stream breaks with every call under way."""

    async def wait_connected(self, timeout_s):
        return True

    async def call(self, body, timeout_s, max_disconnected_s):
        raise NoLeaderError()


@pytest.mark.parametrize(
    ("action", "code"),
    [
        (w.QueueAction.SUBMIT, "unanswered"),
        (w.QueueAction.CANCEL, "unanswered"),
        (w.QueueAction.READ, "unavailable"),
    ],
)
def test_only_what_may_have_been_carried_out_is_called_unanswered(clock, action, code):
    """Nobody is told that a submission has not run when it may have been taken."""
    client = QueueClient(link=PartedLink(), clock=clock, metrics=Metrics())
    replies = []

    async def body():
        replies.append(await client.request(action, "h", "/q/", timeout_s=3.0))

    anyio.run(body)
    assert replies[0].code == code
