"""Requests over the limits, as bytes on a transport without a network."""

import asyncio
import functools
import gc
import weakref

import pytest
import uvicorn
from uvicorn.server import ServerState

from bluebellyoke.clock import SystemClock
from bluebellyoke.instance.asgi import CallerLeftError, read_body, send_response
from bluebellyoke.instance.connection_guard import PARSED_BYTES, GuardedProtocol
from bluebellyoke.instance.connection_limits import (
    BodyLimits,
    ConnectionLimits,
    ListenerLimits,
    Phase,
    Refusal,
)
from bluebellyoke.instance.connection_table import ConnectionTable
from bluebellyoke.instance.guard_context import ConnectionGuard

HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LIMITS = ConnectionLimits(head_bytes=20_000, held_bytes=1_000_000)
BODIES = ListenerLimits(
    BodyLimits(50_000, 50_000), by_prefix=((b"/stream", BodyLimits(None, 10_000)),)
)


class Socket:
    def fileno(self):
        return 7

    def getsockname(self):
        return ("10.0.0.9", 80)

    def getpeername(self):
        return ("10.0.0.1", 5)


class Transport(asyncio.Transport):
    """Transport that keeps what is written.

    Attributes:
        written: Bytes that the client has read.
        unread: Bytes that it has not read, if `is_stuck`.
    """

    def __init__(self):
        super().__init__({"socket": Socket()})
        self.written = b""
        self.unread = 0
        self.is_stuck = False
        self.is_paused = False
        self.is_closed = False
        self.is_aborted = False

    def set_write_buffer_limits(self, high=None, low=None):
        self.high = high

    def get_write_buffer_size(self):
        return self.unread

    def write(self, data):
        self.written += data
        if self.is_stuck:
            self.unread += len(data)
            if self.unread > self.high:
                self.protocol.pause_writing()

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def close(self):
        self.is_closed = True

    def abort(self):
        self.is_aborted = self.is_closed = True

    def is_closing(self):
        return self.is_closed


class Server:
    """A guarded connection to an app that runs requests.

    Attributes:
        runs: Bodies of the requests that have run.
        allowed: Set while the app may respond.
    """

    def __init__(self):
        self.runs = []
        self.reports = []
        self.allowed = asyncio.Event()
        self.allowed.set()
        self.reply = b"{}"
        self.table = ConnectionTable(LIMITS, lambda *x: self.reports.append(x[0]))
        guard = ConnectionGuard(
            table=self.table, clock=SystemClock(), listeners={}, default_limits=BODIES
        )
        config = uvicorn.Config(
            self.run,
            http=functools.partial(GuardedProtocol, guard=guard),
            ws="none",
            lifespan="off",
            log_config=None,
            interface="asgi3",
        )
        config.load()
        self.state = ServerState()
        self.protocol = config.http_protocol_class(
            config=config, server_state=self.state, app_state={}
        )
        self.transport = Transport()
        self.transport.protocol = self.protocol
        self.protocol.connection_made(self.transport)

    async def run(self, scope, receive, send):
        if scope["path"].startswith("/early"):
            await send_response(send, 400, {})
            return
        try:
            body = await read_body(receive, 10**9)
        except CallerLeftError:
            return
        self.headers = dict(scope["headers"])
        self.runs.append(body)
        await self.allowed.wait()
        await send_response(send, 200, self.reply)

    async def feed(self, data, size=32 * 1024):
        """Deliver bytes as a transport does, until the connection is closed."""
        for start in range(0, len(data), size):
            await self.settle()
            if self.transport.is_closed or self.transport.is_paused:
                return len(data) - start
            self.protocol.data_received(data[start : start + size])
        await self.settle()
        return 0

    async def settle(self):
        for _ in range(20):
            await asyncio.sleep(0)

    def list_statuses(self):
        parts = self.transport.written.split(b"HTTP/1.1 ")[1:]
        return [int(part[:3]) for part in parts]

    @property
    def phase(self):
        return self.protocol._record.phase


def play(body):
    """Run a coroutine with a new connection."""

    async def run():
        server = Server()
        try:
            await body(server)
        finally:
            server.protocol.connection_lost(None)
            await server.settle()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (HEAD + b"X-Filler: x\r\n" * 5000, 431),
        (HEAD + b"x" * 60_000, 431),
        (b"\r\n" * 40_000, 431),
        (CHUNKED + b"2\r\n{}\r\n0\r\n" + b"X-Filler: x\r\n" * 5000, 431),
        (CHUNKED + b"2;" + b"x" * 60_000, 431),
        (CHUNKED + b"1000\r\n" + b" " * 4096 + b"\r\n1000\r\n" * 1, None),
        (CHUNKED + (b"1000\r\n" + b" " * 4096 + b"\r\n") * 20, 413),
        (HEAD + b"Content-Length: 99999999999\r\n\r\n", 413),
        (HEAD + b"Content-Length: 50001\r\n\r\n", 413),
        (b"nonsense\r\n\r\n", 400),
    ],
)
def test_request_over_a_limit_is_refused_and_does_not_run(data, status):
    async def body(server):
        await server.feed(data)
        assert server.runs == []
        assert server.list_statuses() == ([status] if status else [])
        assert server.transport.is_closed == (status is not None)
        if status:
            assert b"connection: close" in server.transport.written
            assert len(server.reports) == 1

    play(body)


@pytest.mark.parametrize(
    "data",
    [
        HEAD + b"X-Filler: " + b"x" * 18_000 + b"\r\nContent-Length: 2\r\n\r\n{}",
        b"\r\n" * 3 + HEAD + b"Content-Length: 2\r\n\r\n{}",
        CHUNKED + b"1\r\n{\r\n1;a=b\r\n}\r\n0\r\nX-Trailer: x\r\n\r\n",
        HEAD + b"Content-Length: 50000\r\n\r\n" + b" " * 49_998 + b"{}",
        CHUNKED + b"1\r\n \r\n" * 20_000 + b"2\r\n{}\r\n0\r\n\r\n",
    ],
)
@pytest.mark.parametrize("size", [32 * 1024, 7])
def test_request_inside_the_limits_runs(data, size):
    async def body(server):
        assert await server.feed(data, size) == 0
        assert [x.strip() for x in server.runs] == [b"{}"]
        assert server.list_statuses() == [200]
        assert not server.transport.is_closed
        assert server.phase is Phase.IDLE
        assert server.table.held_bytes == 0
        assert b"x-trailer" not in server.headers

    play(body)


# Guards against a request that runs although the client was told that it did not.
def test_request_before_a_refused_one_gets_its_response():
    async def body(server):
        server.allowed.clear()
        await server.feed(HEAD + b"Content-Length: 2\r\n\r\n{}nonsense\r\n\r\n")
        assert server.list_statuses() == []
        server.allowed.set()
        await server.settle()
        assert server.runs == [b"{}"]
        assert server.list_statuses() == [200]
        assert server.transport.is_closed

    play(body)


def test_body_that_is_passed_on_is_not_refused_with_a_status():
    async def body(server):
        head = b"POST /stream HTTP/1.1\r\nContent-Length: 900000\r\n\r\n"
        await server.feed(head + b"x" * 200_000)
        assert server.transport.is_paused or server.phase is Phase.BODY
        server.protocol.refuse(Refusal.BODY_TIMEOUT)
        assert server.list_statuses() == []
        assert server.transport.is_closed

    play(body)


@pytest.mark.parametrize(
    ("data", "refusal", "status"),
    [
        (HEAD, Refusal.HEAD_TIMEOUT, 408),
        (HEAD + b"Content-Length: 9\r\n\r\n{", Refusal.BODY_TIMEOUT, 408),
        (HEAD + b"Content-Length: 9\r\n\r\n{", Refusal.MEMORY, 503),
    ],
)
def test_incomplete_request_is_refused_once(data, refusal, status):
    async def body(server):
        await server.feed(data)
        assert server.phase in (Phase.HEAD, Phase.BODY)
        server.protocol.refuse(refusal)
        await server.feed(b"more")
        await server.settle()
        assert server.list_statuses() == [status]
        assert server.runs == []

    play(body)


# Guards against a second response to one request.
def test_request_with_an_early_response_gets_no_second_one():
    async def body(server):
        await server.feed(b"POST /early HTTP/1.1\r\nContent-Length: 9\r\n\r\n{")
        assert server.list_statuses() == [400]
        assert server.phase is Phase.BODY
        server.protocol.refuse(Refusal.BODY_TIMEOUT)
        assert server.list_statuses() == [400]
        assert server.transport.is_closed

    play(body)


def test_rest_of_a_body_is_discarded_after_an_early_response():
    async def body(server):
        await server.feed(b"POST /early HTTP/1.1\r\nContent-Length: 9\r\n\r\n{")
        await server.feed(b"xxxxxxxx" + HEAD + b"Content-Length: 2\r\n\r\n{}")
        assert server.list_statuses() == [400, 200]
        assert server.phase is Phase.IDLE

    play(body)


# Guards against requests and replies that pile up.
def test_pipelined_requests_are_parsed_as_they_are_answered():
    request = HEAD + b"Content-Length: 2\r\n\r\n{}"
    count = 3000

    async def body(server):
        server.allowed.clear()
        rest = await server.feed(request * count)
        assert rest > 0
        assert len(server.protocol.pipeline) <= PARSED_BYTES // len(request) + 1
        server.allowed.set()
        data = (request * count)[-rest:]
        while len(server.runs) < count and not server.transport.is_closed:
            await server.settle()
            if data and not server.transport.is_paused:
                server.protocol.data_received(data[:8192])
                data = data[8192:]
        assert server.list_statuses() == [200] * count
        assert server.table.held_bytes == 0

    play(body)


def test_unread_replies_stop_the_requests():
    async def body(server):
        server.transport.is_stuck = True
        server.reply = b"x" * 10_000
        await server.feed((HEAD + b"Content-Length: 2\r\n\r\n{}") * 100)
        assert len(server.runs) <= 4
        assert server.table.held_bytes >= server.transport.unread
        server.protocol.refuse(Refusal.UNREAD_REPLY)
        assert server.transport.is_aborted

    play(body)


def test_bytes_behind_an_upgrade_are_not_taken_in():
    upgrade = b"GET /x HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n"

    async def body(server):
        await server.feed(upgrade + b"x" * 100_000)
        assert server.list_statuses() == [200]
        assert server.transport.is_closed

    play(body)


def test_closed_connection_leaves_the_table():
    async def body(server):
        await server.feed(HEAD + b"Content-Length: 9000\r\n\r\n" + b"x" * 8000)
        assert server.table.held_bytes >= 8000
        server.protocol.connection_lost(None)
        await server.settle()
        assert (len(server.table), server.table.held_bytes) == (0, 0)
        assert server.runs == []

    play(body)


# Guards against memory of closed connections that stays until the collector runs: 2,500
# clients held 136 MiB where 85 are enough.
def test_closed_connection_needs_no_collector():
    async def run():
        server = Server()
        await server.feed(HEAD + b"Content-Length: 9000\r\n\r\n" + b"x" * 8000)
        server.protocol.connection_lost(ConnectionResetError())
        reference = weakref.ref(server.protocol)
        server.protocol = server.transport.protocol = None
        await server.settle()
        assert reference() is None

    gc.disable()
    try:
        asyncio.run(run())
    finally:
        gc.enable()
