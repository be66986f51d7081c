"""HTTP calls on connections that are kept, against a server with raw responses."""

import contextlib

import anyio
import pytest

from bluebellyoke.dispatch.ports import NoAnswerError, NotReachedError
from bluebellyoke.instance.http_calls import HttpCaller, HttpResponse
from tests.test_addresses import ODD_ADDRESSES

WAIT_S = 30.0

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class RawServer:
    """Server that sends each request's prepared bytes.

    Attributes:
        responses: Bytes by request; None closes the connection, b"" never responds.
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
