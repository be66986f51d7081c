"""Tests of calls and polls on the link to the leader."""

import contextlib
import socket
from datetime import UTC, datetime

import anyio
import pytest
from grpclib.server import Server

from bluebellyoke.cell import commands
from bluebellyoke.cell.result import Result
from bluebellyoke.clock import Clock, SystemClock
from bluebellyoke.instance import wire
from bluebellyoke.instance.codec import MessageCodec
from bluebellyoke.instance.directory import ReplicaDirectory
from bluebellyoke.instance.link import LeaderLink, NoLeaderError
from bluebellyoke.instance.queues import QueueClient
from bluebellyoke.instance.replica import SessionInput
from bluebellyoke.instance.sessions import SessionServer
from bluebellyoke.instance.stalls import StallWatch
from bluebellyoke.metrics import Metrics
from tests.test_addresses import ODD_ADDRESSES

#: Timeout of a test, in seconds.
TIMEOUT_S = 60.0

#: Duration of a transfer that takes up the connection, in seconds.
TRANSFER_S = 1.5


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
            directory=ReplicaDirectory(
                seeds=[f"127.0.0.1:{reserved.getsockname()[1]}"]
            ),
            clock=clock,
            on_connected=lambda: None,
            build_poll=lambda: None,
            on_message=lambda message: None,
            get_poll_interval=lambda: 1.0,
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
    client = QueueClient(
        link=DisconnectingLink(),
        clock=clock,
        metrics=Metrics(),
        stalls=StallWatch(clock),
    )
    replies = []

    async def body():
        replies.append(await client.request(action, "h", "/q/", timeout_s=3.0))

    anyio.run(body)
    assert replies[0].code == code


class ScriptedLeader:
    """Stand-in for a leader that counts streams and replies as the test decides.

    Attributes:
        streams: Number of streams that instances have opened.
        polls: Number of polls that have arrived.
        calls: Calls that have arrived.
        answers_polls: Whether it replies to polls.
        answers_calls: Whether it replies to calls.
        welcome: First message on each stream.
        changed: Set when a count has changed; the waiting test replaces it.
    """

    def __init__(self):
        self.streams = 0
        self.polls = 0
        self.calls = []
        self.answers_polls = True
        self.answers_calls = False
        self.welcome = wire.Welcome("l", 1)
        self.changed = anyio.Event()

    def post(self, item):
        if not isinstance(item, SessionInput):
            return True
        if isinstance(item.message, wire.Hello):
            self.streams += 1
            item.send(self.welcome)
        elif isinstance(item.message, wire.Poll):
            self.polls += 1
            if self.answers_polls:
                item.send(
                    wire.PollReply(sent_at=item.message.sent_at, lease_s=1.0, peers=())
                )
        elif isinstance(item.message, wire.Call):
            self.calls.append(item.message)
            if self.answers_calls:
                item.send(wire.Reply(item.message.id, Result(accepted=True)))
        self.changed.set()
        return True

    async def wait_for(self, condition):
        while not condition():
            self.changed = anyio.Event()
            await self.changed.wait()


def run_with_leader(body, *, poll_interval_s, silence_timeout_s):
    """Run the body with a link whose only seed is a scripted leader."""

    async def run():
        leader = ScriptedLeader()
        server = Server([SessionServer(leader.post)], codec=MessageCodec())
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as listener:
            listener.bind(("127.0.0.1", 0))
            await server.start(sock=listener)
            link = LeaderLink(
                hello=wire.Hello("c", "i", "1", "d"),
                directory=ReplicaDirectory(
                    seeds=[f"127.0.0.1:{listener.getsockname()[1]}"]
                ),
                clock=SystemClock(),
                on_connected=lambda: None,
                build_poll=lambda: wire.Poll(sent_at=0.0, view_version=0, last_grant=0),
                on_message=lambda message: None,
                get_poll_interval=lambda: poll_interval_s,
                silence_timeout_s=silence_timeout_s,
            )
            with anyio.fail_after(TIMEOUT_S):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(link.run)
                    await body(leader, link)
                    tasks.cancel_scope.cancel()
            server.close()

    anyio.run(run)


def test_idle_link_needs_no_message_within_the_silence_timeout():
    """Pattern: a hundred idle instances, whose polls are a cost for the leader."""

    async def body(leader, link):
        await leader.wait_for(lambda: leader.polls >= 4)
        assert leader.streams == 1

    run_with_leader(body, poll_interval_s=0.6, silence_timeout_s=0.3)


def test_unanswered_call_causes_a_poll_before_the_next_one_is_due():
    async def body(leader, link):
        await leader.wait_for(lambda: leader.polls == 1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(make_call, link)
            await leader.wait_for(lambda: leader.polls >= 3)
            assert leader.streams == 1
            tasks.cancel_scope.cancel()

    run_with_leader(body, poll_interval_s=3600.0, silence_timeout_s=0.3)


def test_answered_call_causes_no_poll():
    """Pattern: instances with some calls a second, each answered at once."""

    async def body(leader, link):
        leader.answers_calls = True
        await leader.wait_for(lambda: leader.polls == 1)
        for _ in range(3):
            await make_call(link)
            await anyio.sleep(0.3)
        assert leader.polls == 1

    run_with_leader(body, poll_interval_s=3600.0, silence_timeout_s=0.3)


def test_link_leaves_a_leader_that_is_silent_during_a_call():
    async def body(leader, link):
        await leader.wait_for(lambda: leader.polls == 1)
        leader.answers_polls = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(make_call, link)
            await leader.wait_for(lambda: leader.streams >= 2)
            tasks.cancel_scope.cancel()

    run_with_leader(body, poll_interval_s=3600.0, silence_timeout_s=0.3)


# Guards against LOST: an instance whose connection was taken up by a large body left a
# sound leader, and all its requests waited for the next stream.
def test_silence_during_a_transfer_is_no_lost_leader():
    async def body(leader, link):
        await leader.wait_for(lambda: leader.polls == 1)
        leader.answers_polls = False
        link.tolerate_silence(TRANSFER_S)
        started_at = SystemClock().monotonic()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(make_call, link)
            await leader.wait_for(lambda: leader.streams >= 2)
            assert SystemClock().monotonic() - started_at >= TRANSFER_S
            tasks.cancel_scope.cancel()

    run_with_leader(body, poll_interval_s=3600.0, silence_timeout_s=0.3)


def test_malformed_message_ends_the_stream_but_not_the_link():
    async def body(leader, link):
        await leader.wait_for(lambda: leader.polls == 1)
        leader.welcome = "no message of this protocol"
        leader.answers_polls = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(make_call, link)
            await leader.wait_for(lambda: leader.streams >= 3)
            tasks.cancel_scope.cancel()

    run_with_leader(body, poll_interval_s=3600.0, silence_timeout_s=0.3)


async def make_call(link):
    with contextlib.suppress(NoLeaderError):
        claim = commands.ClaimRequest(key="k", digest="d", holder="h", expires=1.0)
        await link.call(claim, timeout_s=3600.0)


# Guards against a request that counts as new when it is sent again to the next leader:
# it arrived before a removal, and is answered as if it had come after it.
def test_call_that_is_sent_again_has_its_age():
    async def body(leader, link):
        await leader.wait_for(lambda: leader.polls == 1)
        leader.answers_polls = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(make_call, link)
            await leader.wait_for(lambda: len(leader.calls) >= 3)
            tasks.cancel_scope.cancel()
        first, second, third = leader.calls[:3]
        assert first.id == second.id == third.id
        assert first.age_s < 0.1 < 0.2 < second.age_s < third.age_s

    run_with_leader(body, poll_interval_s=3600.0, silence_timeout_s=0.3)


# Guards against the end of the whole process because one seed redirected to addresses
# that cannot be dialled; the link has to go on to the next seed.
@pytest.mark.parametrize("odd", ODD_ADDRESSES)
def test_redirect_to_an_odd_address_does_not_stop_the_search(odd):
    async def body(leader, link):
        leader.welcome = wire.Redirect(odd, (odd,))
        await leader.wait_for(lambda: leader.streams >= 2)
        leader.welcome = wire.Welcome("l", 1)
        await leader.wait_for(lambda: leader.polls >= 1)

    run_with_leader(body, poll_interval_s=0.5, silence_timeout_s=1.0)


# Guards against the same for an odd address that is known already, such as one in a log
# of an earlier build.
@pytest.mark.parametrize("odd", ODD_ADDRESSES)
def test_odd_address_among_the_known_ones_does_not_stop_the_search(odd):
    async def body(leader, link):
        link._directory.set_member_source(lambda: (odd,))
        leader.welcome = wire.Redirect("")
        await leader.wait_for(lambda: leader.streams >= 3)

    run_with_leader(body, poll_interval_s=0.5, silence_timeout_s=1.0)


def frame(body):
    """Return the frame of a gRPC message."""
    return b"\0" + len(body).to_bytes(4) + body


# Guards against the end of the whole process because of one message of a peer: with
# bytes that cannot be read, compressed, truncated, of another type, or nested deeply.
@pytest.mark.parametrize(
    "data",
    [
        frame(b""),
        frame(b"\xc1"),
        frame(b"\x91\x93\xa8Redirect\xa2\xff\xfe\x90"),
        frame(b"\x91\x93\xa8Redirect\xcf" + b"\xff" * 8 + b"\x90"),
        frame(b"\x91" * 100_000),
        frame(b"\x91\x94\xa8Redirect\xa0\x90" + b"\x91" * 100_000),
        b"\1" + frame(b"\x90")[1:],
        frame(b"\x90" * 9)[:-4],
        b"\0\0",
    ],
    ids=range(9),
)
def test_unreadable_message_ends_only_the_stream(monkeypatch, data):
    async def send_badly(stream, codec, message, message_type, *, end=False):
        await stream.send_data(data, end_stream=True)

    monkeypatch.setattr("grpclib.server.send_message", send_badly)

    async def body(leader, link):
        await leader.wait_for(lambda: leader.streams >= 2)

    run_with_leader(body, poll_interval_s=0.5, silence_timeout_s=1.0)
