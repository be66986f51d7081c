"""An instance's stream to the leader, with its reconnection.

Calls wait until the leader answers or the caller's time is over. When the stream
breaks, the waiting calls are sent again to the next leader; every command is safe
to send again.
"""

import itertools
import logging
import math
import random
from collections.abc import Callable, Iterable

import anyio

from bluebellyoke.clock import Clock
from bluebellyoke.errors import BluebellyokeError
from bluebellyoke.instance import wire as w
from bluebellyoke.instance.codec import LINK_METHOD
from bluebellyoke.instance.leader_search import LeaderSearch
from bluebellyoke.instance.streams import (
    CONNECTION_ERRORS,
    StreamClosedError,
    open_stream,
)

__all__ = ["LeaderLink", "NoLeaderError", "TooManyCallsError"]

logger = logging.getLogger("bluebellyoke.link")

#: Wait between two attempts to find the leader, in seconds.
RETRY_MIN_S = 0.03
RETRY_MAX_S = 0.1

#: Part of the time that a leader may be silent in which a replica has to welcome or
#: redirect an instance.
WELCOME_SHARE = 0.6

#: Calls that wait for the leader, at most.
CALLS_LIMIT = 10_000


class NoLeaderError(BluebellyokeError):
    """No leader answered in time."""

    def __init__(self) -> None:
        super().__init__("no leader answered in time", remedy="try again in a second")


class TooManyCallsError(BluebellyokeError):
    """The instance already waits for too many answers."""

    def __init__(self) -> None:
        super().__init__(
            "too many calls wait for the leader", remedy="try again in a second"
        )


class _PendingCall:
    """A call that waits for its answer."""

    __slots__ = ("answer", "body", "done", "max_disconnected_s")

    def __init__(self, body, max_disconnected_s: float) -> None:
        self.body = body
        self.max_disconnected_s = max_disconnected_s
        self.done = anyio.Event()
        self.answer = None


class LeaderLink:
    """The instance's stream to the leader.

    Args:
        hello: First message of each stream.
        seeds: Addresses of replicas to begin with.
        clock: Source of time.
        on_connected: Called when a new stream begins.
        build_poll: Returns the next poll.
        on_message: Called with each poll reply, grant and recall.
        poll_interval_s: Longest time between two polls, in seconds.
        silence_timeout_s: Time without a message from the leader after which the
            link looks for another one, in seconds.
        list_known_addresses: Returns further known addresses of replicas.
    """

    def __init__(
        self,
        *,
        hello: w.Hello,
        seeds: Iterable[str],
        clock: Clock,
        on_connected: Callable[[], None],
        build_poll: Callable[[], w.Poll],
        on_message: Callable[[w.FromLeader], None],
        poll_interval_s: float,
        silence_timeout_s: float,
        list_known_addresses: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self._silence_timeout_s = silence_timeout_s
        self._search = LeaderSearch(
            seeds=seeds, list_known_addresses=list_known_addresses
        )
        self._hello = hello
        self._clock = clock
        self._on_connected = on_connected
        self._build_poll = build_poll
        self._on_message = on_message
        self._poll_interval_s = poll_interval_s
        self._numbers = itertools.count(1)
        self._calls: dict[int, _PendingCall] = {}
        self._outbox: list[w.FromInstance] = []
        self._wake = anyio.Event()
        self._poll_wanted = False
        self._joined = anyio.Event()
        self._parted_at = clock.monotonic()
        self.connected = False

    # What others use.

    async def call(self, body, timeout_s: float, max_disconnected_s: float = math.inf):
        """Send a call to the leader and return its answer.

        Args:
            timeout_s: Time for the answer.
            max_disconnected_s: Time without a stream to any leader after which the
                call fails before its timeout.

        Raises:
            NoLeaderError: No answer came in time; the call may have worked.
            TooManyCallsError: Too many calls wait already; this one was not sent.
        """
        if len(self._calls) >= CALLS_LIMIT:
            raise TooManyCallsError()
        number = next(self._numbers)
        pending = self._calls[number] = _PendingCall(body, max_disconnected_s)
        self._outbox.append(w.Call(number, body))
        self._wake.set()
        try:
            with anyio.move_on_after(timeout_s):
                await pending.done.wait()
        finally:
            del self._calls[number]
        if pending.answer is None:
            raise NoLeaderError()
        return pending.answer

    def send(self, message: w.FromInstance) -> None:
        """Send a message that needs no answer, if there is a stream now."""
        if self.connected:
            self._outbox.append(message)
            self._wake.set()

    async def wait_connected(self, timeout_s: float) -> bool:
        """Wait until there is a stream to the leader; return whether there is."""
        if self.connected:
            return True
        with anyio.move_on_after(timeout_s):
            await self._joined.wait()
        return self.connected

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Use other addresses to find the cell."""
        self._search.set_seeds(seeds)

    def request_poll(self) -> None:
        """Send the next poll without waiting for its time."""
        self._poll_wanted = True
        self._wake.set()

    async def send_bye(self) -> None:
        """Tell the leader that this instance holds nothing and leaves."""
        self._outbox.append(w.Bye())
        self._wake.set()
        with anyio.move_on_after(self._silence_timeout_s):
            while self._outbox:
                await anyio.sleep(0.01)

    async def run(self) -> None:
        """Keep a stream to the leader until cancelled."""
        while True:
            address = self._search.choose()
            try:
                await self._serve(address)
            except* CONNECTION_ERRORS as errors:
                logger.debug(
                    "link: lost a stream",
                    extra={"peer": address, "error": str(errors.exceptions[0])},
                )
            finally:
                self._note_parted(address)
            self._give_up_calls()
            await anyio.sleep(random.uniform(RETRY_MIN_S, RETRY_MAX_S))

    def _note_parted(self, address: str) -> None:
        if self.connected:
            logger.info("link: lost the leader", extra={"peer": address})
            self._joined = anyio.Event()
            self._parted_at = self._clock.monotonic()
        self.connected = False

    def _give_up_calls(self) -> None:
        """End the calls that have waited long enough for a leader to be found."""
        parted_s = self._clock.monotonic() - self._parted_at
        for pending in self._calls.values():
            if parted_s > pending.max_disconnected_s:
                pending.done.set()

    # One stream.

    async def _serve(self, address: str) -> None:
        with anyio.fail_after(self._silence_timeout_s * WELCOME_SHARE) as scope:
            async with open_stream(
                address, LINK_METHOD, "FromInstance", "FromLeader"
            ) as stream:
                await stream.send_message((self._hello,))
                first, *rest = await stream.recv_message() or (None,)
                if not isinstance(first, w.Welcome):
                    self._follow_redirect(first)
                    return
                scope.deadline = float("inf")
                self._search.note_reached(address)
                self.connected = True
                self._joined.set()
                self._on_connected()
                logger.info("link: reached the leader", extra={"leader": first.leader})
                self._outbox = [
                    w.Call(number, item.body) for number, item in self._calls.items()
                ]
                self._poll_wanted = True
                for message in rest:
                    self._take(message)
                heard = [self._clock.monotonic()]
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._send, stream)
                    tasks.start_soon(self._watch, address, heard)
                    await self._receive(stream, heard)
                    raise StreamClosedError()

    def _follow_redirect(self, message: w.FromLeader | None) -> None:
        if isinstance(message, w.Redirect):
            self._search.note_hint(message.address)
            self._search.note_peers(message.peers)

    async def _send(self, stream) -> None:
        due = self._clock.monotonic()
        while True:
            batch, self._outbox = self._outbox, []
            now = self._clock.monotonic()
            if self._poll_wanted or now >= due:
                self._poll_wanted = False
                due = now + self._poll_interval_s
                batch.append(self._build_poll())
            if batch:
                await stream.send_message(tuple(batch))
            self._wake = anyio.Event()
            if self._outbox or self._poll_wanted:
                continue
            with anyio.move_on_after(max(due - now, 0.0)):
                await self._wake.wait()

    async def _receive(self, stream, heard: list[float]) -> None:
        async for batch in stream:
            heard[0] = self._clock.monotonic()
            for message in batch:
                if isinstance(message, w.Redirect):
                    self._follow_redirect(message)
                    return
                self._take(message)

    def _take(self, message: w.FromLeader) -> None:
        if isinstance(message, w.Reply):
            self._finish_call(message)
            return
        if isinstance(message, w.PollReply):
            self._search.note_peers(message.peers)
        self._on_message(message)

    def _finish_call(self, reply: w.Reply) -> None:
        pending = self._calls.get(reply.id)
        if pending is not None:
            pending.answer = reply.body
            pending.done.set()

    async def _watch(self, address: str, heard: list[float]) -> None:
        """End the stream when the leader has been silent."""
        while True:
            await anyio.sleep(self._silence_timeout_s / 4)
            if self._clock.monotonic() - heard[0] > self._silence_timeout_s:
                self._search.note_silent(address)
                raise StreamClosedError()
