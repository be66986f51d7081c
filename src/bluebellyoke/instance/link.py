"""Stream from an instance to the leader, with automatic reconnection.

An idle instance polls just often enough to keep its lease. Only while a reply is
outstanding does silence mean that the leader has failed, so a call that stays
unanswered makes the link poll at once, and a poll that stays unanswered ends the
stream.

A call waits for the leader's reply until its timeout. After a reconnection, pending
calls are sent again to the new leader; this is safe because all commands are
idempotent.
"""

import itertools
import logging
import math
import random
from collections.abc import Callable

import anyio

from bluebellyoke.addresses import is_address
from bluebellyoke.clock import Clock
from bluebellyoke.errors import BluebellyokeError
from bluebellyoke.instance import wire
from bluebellyoke.instance.codec import LINK_METHOD
from bluebellyoke.instance.directory import ReplicaDirectory
from bluebellyoke.instance.leader_search import LeaderSearch
from bluebellyoke.instance.streams import (
    CONNECTION_ERRORS,
    StreamClosedError,
    open_stream,
)

__all__ = ["LeaderLink", "NoLeaderError", "TooManyCallsError"]

logger = logging.getLogger("bluebellyoke.link")

#: Range of the random delay between two connection attempts, in seconds.
MIN_RETRY_DELAY_S = 0.03
MAX_RETRY_DELAY_S = 0.1

#: Time in which a replica must send `Welcome` or `Redirect`, as a fraction of the
#: silence timeout.
WELCOME_TIMEOUT_FRACTION = 0.6

#: Time without a message at which an unanswered call causes a poll, as a fraction of
#: the silence timeout. The poll needs the rest of it for its reply.
PROBE_DELAY_FRACTION = 0.4

#: Checks for silence per silence timeout.
SILENCE_CHECKS = 4

#: Maximum number of pending calls.
MAX_PENDING_CALLS = 10_000


class NoLeaderError(BluebellyokeError):
    """No leader replied before the timeout."""

    def __init__(self) -> None:
        super().__init__("no leader answered in time", remedy="try again in a second")


class TooManyCallsError(BluebellyokeError):
    """The instance already has too many pending calls."""

    def __init__(self) -> None:
        super().__init__(
            "too many calls wait for the leader", remedy="try again in a second"
        )


class _PendingCall:
    """A call that waits for its reply.

    Attributes:
        body: Body of the call.
        arrived_at: Monotonic time at which its request arrived, in seconds.
        done: Set once the call has its reply or has failed.
        max_disconnected_s: Time without a stream after which the call fails, in
            seconds.
        reply: Body of the reply, or None if there was none.
    """

    __slots__ = ("arrived_at", "body", "done", "max_disconnected_s", "reply")

    def __init__(self, body, arrived_at: float, max_disconnected_s: float) -> None:
        self.body = body
        self.arrived_at = arrived_at
        self.max_disconnected_s = max_disconnected_s
        self.done = anyio.Event()
        self.reply = None


class LeaderLink:
    """Keeps a stream to the leader and sends polls and calls on it.

    Args:
        hello: First message of each stream.
        directory: Known addresses of replicas. The link stores those that it receives.
        clock: Source of time.
        on_connected: Called when a leader has accepted a new stream.
        build_poll: Returns the next poll.
        on_message: Called with each message that is not the reply to a call.
        get_poll_interval: Returns the maximum time until the next poll, in seconds.
        silence_timeout_s: Time without a message from the leader, while a reply is
            outstanding, after which the link searches for another one, in seconds.

    Attributes:
        connected: Whether there is a stream to the leader.
        leader_address: IP address and port of that leader, or an empty text.
    """

    def __init__(
        self,
        *,
        hello: wire.Hello,
        directory: ReplicaDirectory,
        clock: Clock,
        on_connected: Callable[[], None],
        build_poll: Callable[[], wire.Poll],
        on_message: Callable[[wire.FromLeader], None],
        get_poll_interval: Callable[[], float],
        silence_timeout_s: float,
    ) -> None:
        self._silence_timeout_s = silence_timeout_s
        self._directory = directory
        self._search = LeaderSearch(directory=directory)
        self._hello = hello
        self._clock = clock
        self._on_connected = on_connected
        self._build_poll = build_poll
        self._on_message = on_message
        self._get_poll_interval = get_poll_interval
        self._call_ids = itertools.count(1)
        self._pending_calls: dict[int, _PendingCall] = {}
        self._outbox: list[wire.FromInstance] = []
        self._unsent_calls: list[int] = []
        self._wake = anyio.Event()
        self._poll_requested = False
        self._is_poll_unanswered = False
        self._silent_since = math.inf
        self._tolerant_until = -math.inf
        self._expecting = anyio.Event()
        self._connected_event = anyio.Event()
        self._disconnected_at = clock.monotonic()
        self.connected = False
        self.leader_address = ""

    # Public interface.

    async def call(self, body, timeout_s: float, max_disconnected_s: float = math.inf):
        """Send a call to the leader and return the body of its reply.

        Args:
            body: Body of the call.
            timeout_s: Timeout for the reply, in seconds.
            max_disconnected_s: Time without a stream to any leader after which the
                call fails before its timeout, in seconds.

        Raises:
            NoLeaderError: No reply arrived in time; the leader may have executed
                the call.
            TooManyCallsError: Too many calls are pending; this one was not sent.
        """
        if len(self._pending_calls) >= MAX_PENDING_CALLS:
            raise TooManyCallsError()
        call_id = next(self._call_ids)
        pending = _PendingCall(body, self._clock.monotonic(), max_disconnected_s)
        self._pending_calls[call_id] = pending
        self._unsent_calls.append(call_id)
        self._wake.set()
        try:
            with anyio.move_on_after(timeout_s):
                await pending.done.wait()
        finally:
            del self._pending_calls[call_id]
        if pending.reply is None:
            raise NoLeaderError()
        return pending.reply

    def send(self, message: wire.FromInstance) -> None:
        """Send a message that has no reply; drop it if there is no stream."""
        if self.connected:
            self._outbox.append(message)
            self._wake.set()

    async def wait_connected(self, timeout_s: float) -> bool:
        """Wait for a stream to the leader; return False on a timeout."""
        if self.connected:
            return True
        with anyio.move_on_after(timeout_s):
            await self._connected_event.wait()
        return self.connected

    def tolerate_silence(self, seconds: float) -> None:
        """Do not take silence for a lost leader for some time.

        The replies of the leader are late, for example, while other data take up the
        connection to the network.
        """
        self._tolerant_until = max(
            self._tolerant_until, self._clock.monotonic() + seconds
        )

    def request_poll(self) -> None:
        """Send a poll now instead of at the end of the poll interval."""
        self._poll_requested = True
        self._wake.set()

    async def send_bye(self) -> None:
        """Notify the leader that this instance holds no slots and shuts down."""
        self._outbox.append(wire.Bye())
        self._wake.set()
        with anyio.move_on_after(self._silence_timeout_s):
            while self._outbox:
                await anyio.sleep(0.01)

    async def run(self) -> None:
        """Keep a stream to the leader until cancelled."""
        while True:
            address = self._search.choose_address()
            try:
                await self._run_stream(address)
            except* CONNECTION_ERRORS as errors:
                logger.debug(
                    "link: the stream failed",
                    extra={"peer": address, "error": str(errors.exceptions[0])},
                )
            finally:
                self._handle_disconnect(address)
            self._fail_expired_calls()
            await anyio.sleep(random.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S))

    def _handle_disconnect(self, address: str) -> None:
        if self.connected:
            logger.info("link: disconnected from the leader", extra={"peer": address})
            self._connected_event = anyio.Event()
            self._disconnected_at = self._clock.monotonic()
        self.connected = False
        self.leader_address = ""

    def _fail_expired_calls(self) -> None:
        """Fail the pending calls whose limit of time without a stream is exceeded."""
        disconnected_s = self._clock.monotonic() - self._disconnected_at
        for pending in self._pending_calls.values():
            if disconnected_s > pending.max_disconnected_s:
                pending.done.set()

    # A single stream.

    async def _run_stream(self, address: str) -> None:
        with anyio.fail_after(
            self._silence_timeout_s * WELCOME_TIMEOUT_FRACTION
        ) as scope:
            async with open_stream(
                address, LINK_METHOD, "FromInstance", "FromLeader"
            ) as stream:
                await stream.send_message((self._hello,))
                first, *others = await stream.recv_message() or (None,)
                if not isinstance(first, wire.Welcome):
                    self._handle_redirect(first)
                    return
                scope.deadline = float("inf")
                self._search.record_connected(address)
                self.connected = True
                self.leader_address = address
                self._connected_event.set()
                self._on_connected()
                logger.info(
                    "link: connected to the leader", extra={"leader": first.leader}
                )
                self._outbox = []
                self._unsent_calls = list(self._pending_calls)
                self._poll_requested = True
                self._is_poll_unanswered = False
                self._silent_since = math.inf
                for message in others:
                    self._handle_message(message)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._send_messages, stream)
                    tasks.start_soon(self._watch_silence, address)
                    await self._receive_messages(stream)
                    raise StreamClosedError()

    def _handle_redirect(self, message: wire.FromLeader | None) -> None:
        if isinstance(message, wire.Redirect):
            if is_address(message.address):
                self._search.set_leader_hint(message.address)
            self._directory.record_peer_list(message.peers)

    async def _send_messages(self, stream) -> None:
        next_poll_at = self._clock.monotonic()
        while True:
            now = self._clock.monotonic()
            batch = [*self._create_calls(now), *self._outbox]
            self._outbox = []
            self._unsent_calls = []
            if self._poll_requested or now >= next_poll_at:
                self._poll_requested = False
                next_poll_at = now + self._get_poll_interval()
                batch.append(self._build_poll())
                self._is_poll_unanswered = True
            if batch:
                self._expect_reply(now)
                await stream.send_message(tuple(batch))
            self._wake = anyio.Event()
            if self._outbox or self._unsent_calls or self._poll_requested:
                continue
            with anyio.move_on_after(max(next_poll_at - now, 0.0)):
                await self._wake.wait()

    def _create_calls(self, now: float) -> list[wire.Call]:
        """Return the unsent calls whose callers still wait, with their present age."""
        return [
            wire.Call(call_id, pending.body, age_s=now - pending.arrived_at)
            for call_id in self._unsent_calls
            if (pending := self._pending_calls.get(call_id)) is not None
        ]

    async def _receive_messages(self, stream) -> None:
        async for batch in stream:
            for message in batch:
                if isinstance(message, wire.Redirect):
                    self._handle_redirect(message)
                    return
                self._handle_message(message)
            self._record_contact(self._clock.monotonic())

    def _expect_reply(self, now: float) -> None:
        """Start to measure the silence, unless a reply is outstanding already."""
        if math.isinf(self._silent_since):
            self._silent_since = now
            self._expecting.set()

    def _record_contact(self, now: float) -> None:
        """Measure the silence from now on, or not at all if no reply is outstanding."""
        # An answered call stays pending until its caller has run.
        is_expecting = self._is_poll_unanswered or any(
            pending.reply is None for pending in self._pending_calls.values()
        )
        self._silent_since = now if is_expecting else math.inf

    def _handle_message(self, message: wire.FromLeader) -> None:
        if isinstance(message, wire.Reply):
            self._finish_call(message)
            return
        if isinstance(message, wire.PollReply):
            self._is_poll_unanswered = False
            self._directory.record_leader_list(message.peers)
        self._on_message(message)

    def _finish_call(self, reply: wire.Reply) -> None:
        pending = self._pending_calls.get(reply.id)
        if pending is not None:
            pending.reply = reply.body
            pending.done.set()

    async def _watch_silence(self, address: str) -> None:
        """Raise an error once the leader has been silent for the timeout."""
        while True:
            if math.isinf(self._silent_since):
                self._expecting = anyio.Event()
                await self._expecting.wait()
            await anyio.sleep(self._silence_timeout_s / SILENCE_CHECKS)
            silent_since = max(self._silent_since, self._tolerant_until)
            silent_s = self._clock.monotonic() - silent_since
            if silent_s > self._silence_timeout_s and self._is_poll_unanswered:
                self._search.record_silent(address)
                raise StreamClosedError()
            if (
                silent_s > self._silence_timeout_s * PROBE_DELAY_FRACTION
                and not self._is_poll_unanswered
            ):
                self.request_poll()
