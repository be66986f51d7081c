"""HTTP calls on connections that are kept, against a server with raw responses."""

import asyncio
import contextlib
import socket
import struct

import anyio
import pytest

from bluebellyoke.dispatch.ports import NoAnswerError, NotReachedError
from bluebellyoke.instance.http_calls import HttpCaller, HttpResponse
from tests.test_addresses import ODD_ADDRESSES

WAIT_S = 30.0

#: Prepared response that resets the connection.
RESET = object()

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class RawServer:
    """Server that sends each request's prepared bytes.

    Attributes:
        responses: Bytes by request; None closes the connection, RESET resets it, b""
            never responds.
        connections: Number of accepted connections.
        closed: Set once a peer has closed its connection.
    """

    def __init__(self, responses):
        self.responses = list(responses)
        self.connections = 0
        self.closed = anyio.Event()

    async def handle(self, stream):
        self.connections += 1
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while True:
                    await stream.receive()
                    response = self.responses.pop(0)
                    if response is None:
                        return
                    if response is RESET:
                        linger = struct.pack("ii", 1, 0)
                        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                        return
                    await stream.send(response)
            self.closed.set()


def run_against(responses, body):
    async def run():
        server = RawServer(responses)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        with anyio.fail_after(WAIT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, server.handle)
                await body(server, HttpCaller(), f"127.0.0.1:{port}")
                tasks.cancel_scope.cancel()

    anyio.run(run)


def test_connection_is_used_again():
    async def body(server, caller, address):
        for _ in range(3):
            assert await caller.post(address, "/x", b"{}") == HttpResponse(200, b"{}")
        assert server.connections == 1

    run_against([OK] * 3, body)


def test_response_in_parts_is_joined():
    chunked = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\n{}\r\n3\r\nabc\r\n0\r\n\r\n"
    )

    async def body(server, caller, address):
        assert (await caller.post(address, "/x", b"{}")).content == b"{}abc"

    run_against([chunked], body)


@pytest.mark.parametrize(
    "response", [None, b"nonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n"]
)
def test_broken_response_is_no_answer(response):
    async def body(server, caller, address):
        with pytest.raises(NoAnswerError):
            await caller.post(address, "/x", b"{}")
        assert (await caller.post(address, "/x", b"{}")).status == 200
        assert server.connections == 2

    run_against([response, OK], body)


HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


# Guards against a worker or an advisor whose response has no end.
@pytest.mark.parametrize(
    "response",
    [
        HEAD + b"X-Filler: x\r\n" * 8000,
        HEAD + b"x" * 100_000,
        CHUNKED + b"2\r\n{}\r\n0\r\n" + b"X-Filler: x\r\n" * 8000,
        CHUNKED + b"2;" + b"x" * 100_000,
        CHUNKED + b"100000\r\n" + b"x" * 0x100000 * 5,
        HEAD + b"Content-Length: 99999999999\r\n\r\n" + b"x" * 0x100000 * 5,
    ],
    ids=["lines", "name", "trailers", "extension", "chunk", "body"],
)
def test_response_without_end_is_no_answer(response):
    async def body(server, caller, address):
        with pytest.raises(NoAnswerError):
            await caller.post(address, "/x", b"{}")
        assert (await caller.post(address, "/x", b"{}")).status == 200

    run_against([response, OK], body)


# Guards against many workers whose responses are each short enough.
def test_incomplete_responses_together_are_bounded():
    partial = HEAD + b"Content-Length: 3000\r\n\r\n" + b"x" * 2999
    failed = []

    async def post(caller, address):
        with contextlib.suppress(NoAnswerError):
            await caller.post(address, "/x", b"{}")
        failed.append(address)

    async def body(server, caller, address):
        bounded = HttpCaller(max_held_bytes=10_000)
        async with anyio.create_task_group() as tasks:
            for _ in range(5):
                tasks.start_soon(post, bounded, address)
            while len(failed) < 2:
                await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        assert (await bounded.post(address, "/x", b"{}")).status == 200

    run_against([*[partial] * 5, OK], body)


def test_response_in_chunks_of_one_byte_is_joined():
    chunked = CHUNKED + b"1\r\nx\r\n" * 30_000 + b"0\r\n\r\n"

    async def body(server, caller, address):
        assert (await caller.post(address, "/x", b"{}")).content == b"x" * 30_000

    run_against([chunked], body)


def test_response_of_a_cancelled_call_never_answers_a_later_one():
    """Pattern: a call times out and its late response meets the next call."""

    async def body(server, caller, address):
        with anyio.move_on_after(0.05):
            await caller.post(address, "/x", b"{}")
        await server.closed.wait()
        assert (await caller.post(address, "/x", b"{}")).status == 200
        assert server.connections == 2

    run_against([b"", OK], body)


def test_second_response_to_one_call_closes_the_connection():
    async def body(server, caller, address):
        assert (await caller.post(address, "/x", b"{}")).status == 200
        await server.closed.wait()
        assert (await caller.post(address, "/x", b"{}")).status == 200
        assert server.connections == 2

    run_against([OK + OK, OK], body)


# Guards against a crash that the network only seems to prove: it can reset a
# connection, but only the peer's process closes one in order.
@pytest.mark.parametrize(("response", "closed"), [(None, True), (RESET, False)])
def test_connection_that_its_peer_closes_is_told_apart(response, closed):
    async def body(server, caller, address):
        await caller.post(address, "/x", b"{}")
        with pytest.raises(NoAnswerError) as caught:
            await caller.post(address, "/x", b"{}")
        assert caught.value.closed_by_peer == closed
        assert not caught.value.timed_out

    run_against([OK, response], body)


def test_connection_that_its_peer_ends_is_not_used_again():
    closing = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

    async def body(server, caller, address):
        await caller.post(address, "/x", b"{}")
        await caller.post(address, "/x", b"{}")
        assert server.connections == 2

    run_against([closing, OK], body)


def test_refused_connection_is_told_apart():
    async def body(server, caller, address):
        with pytest.raises(NotReachedError) as caught:
            await caller.post("127.0.0.1:1", "/x", b"{}")
        assert caught.value.refused

    run_against([], body)


async def open_two_connections(caller, address):
    async with anyio.create_task_group() as tasks:
        for _ in range(2):
            tasks.start_soon(caller.post, address, "/x", b"{}")


# Guards against a lease that ends while the worker can be reached: all kept connections
# had gone silent, and each poll waited for another one of them.
def test_no_kept_connection_is_used_after_a_call_without_response():
    async def body(server, caller, address):
        await open_two_connections(caller, address)
        with anyio.move_on_after(0.05) as scope:
            await caller.post(address, "/x", b"{}")
        assert scope.cancelled_caught
        assert await caller.post(address, "/x", b"{}") == HttpResponse(200, b"{}")
        assert server.connections == 3

    run_against([OK, OK, b"", OK], body)


def test_retry_uses_a_new_connection():
    async def body(server, caller, address):
        await open_two_connections(caller, address)
        await caller.post(address, "/x", b"{}", is_retry=True)
        await caller.post(address, "/x", b"{}")
        assert server.connections == 3

    run_against([OK, OK, OK, OK], body)


class EndingServer:
    """Server that ends its connections and stops listening on request.

    Attributes:
        requests: Number of requests that were received; the first ones are answered.
        ended: Set once the server listens no more.
    """

    def __init__(self, answered, *, resets):
        self.answered = answered
        self.resets = resets
        self.requests = 0
        self.ended = asyncio.Event()

    async def serve(self, reader, writer):
        while self.requests < self.answered:
            await reader.readuntil(b"{}")
            self.requests += 1
            writer.write(OK)
        # The request is read, so that the close is an orderly one unless it is forced.
        await reader.readuntil(b"{}")
        self.server.close()
        if self.resets:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        else:
            writer.close()
        self.ended.set()


# Guards against a refusal that is not told from silence, however the connection before
# it ended.
@pytest.mark.parametrize("resets", [False, True])
def test_refused_connection_is_reported_as_refused(resets):
    async def run():
        server = EndingServer(1, resets=resets)
        server.server = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        port = server.server.sockets[0].getsockname()[1]
        caller, address = HttpCaller(), f"127.0.0.1:{port}"
        await caller.post(address, "/x", b"{}")
        with pytest.raises(NoAnswerError):
            await caller.post(address, "/x", b"{}")
        await server.ended.wait()
        with pytest.raises(NotReachedError) as caught:
            await caller.post(address, "/x", b"{}")
        assert caught.value.refused

    async def run_with_timeout():
        async with asyncio.timeout(WAIT_S):
            await run()

    asyncio.run(run_with_timeout())


def test_refusal_without_an_earlier_connection_is_reported():
    async def run():
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{unused.getsockname()[1]}"
            with pytest.raises(NotReachedError) as caught:
                await HttpCaller().post(address, "/x", b"{}")
        assert caught.value.refused

    asyncio.run(run())


# Guards against an error that the caller does not expect, for an address in a log of an
# earlier build.
@pytest.mark.parametrize("odd", ODD_ADDRESSES)
def test_odd_address_counts_as_not_reached(odd):
    async def body(server, caller, address):
        with pytest.raises(NotReachedError):
            await caller.post(odd, "/x", b"{}")

    run_against([OK], body)


# Guards against headers that an ID of another writer adds to the requests to a worker.
@pytest.mark.parametrize("value", ["a\r\nX: y", "a\nX: y", "a\r"])
def test_header_with_a_line_break_is_not_sent(value):
    async def body(server, caller, address):
        with pytest.raises(NotReachedError):
            await caller.post(address, "/x", b"{}", [("Expected-Instance", value)])
        assert server.connections == 0

    run_against([OK], body)
