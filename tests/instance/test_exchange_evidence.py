"""Which failures of a request let it be sent to another upstream.

The first upstream may have run the request unless no connection was opened to it, or it
says so itself.
"""

import anyio
import pytest

from bluebellyoke.cell.state import UpstreamView
from bluebellyoke.instance.connections import ConnectionPool
from bluebellyoke.instance.exchange import Exchange, RequestOutcome, UpstreamRequest

ID = b"i1/a/1"

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Upstream:
    """An upstream that receives requests and works on, whatever it answers.

    Attributes:
        answers: Answer to each request in order; None closes the connection instead.
        received: Number of requests that it has got and may have run.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.received = 0

    async def handle(self, stream):
        async with stream:
            buffer = b""
            while True:
                try:
                    buffer += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                if not buffer.endswith(b"\r\n\r\nbody"):
                    continue
                buffer = b""
                self.received += 1
                answer = self.answers.pop(0)
                if answer is None:
                    return
                await stream.send(answer)


def exchange_with(upstream, requests=1):
    """Send requests one after the other; return the last exchange."""

    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        pool = ConnectionPool()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, upstream.handle)
            for _ in range(requests):
                exchange = create_exchange(port)
                await exchange.run(pool, 1.0)
            await pool.close()
            tasks.cancel_scope.cancel()
        await listener.aclose()
        return exchange

    return anyio.run(run)


def create_exchange(port):
    view = UpstreamView("u", "1", "s", "127.0.0.1", port, 1, 1, "dc1", False)
    request = UpstreamRequest(b"POST", b"/", [(b"host", b"u")], b"body")
    return Exchange(view, request, ID)


def answer(status, *headers):
    lines = [f"HTTP/1.1 {status} X", "Content-Length: 0", *headers, "", ""]
    return "\r\n".join(lines).encode()


# Guards against a request that runs on two upstreams: one that has it works on after
# its answer, or that of a proxy, was lost, broken, odd or late.
@pytest.mark.parametrize(
    "reply",
    [
        None,
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"no answer of HTTP\r\n\r\n",
        answer(200, "Bluebellyoke-Request: i1/a/2"),
        answer(503, "Bluebellyoke-Outcome: not-run", "Bluebellyoke-Request: other"),
    ],
)
def test_request_that_an_upstream_got_may_have_run(reply):
    upstream = Upstream(reply)
    exchange = exchange_with(upstream)
    assert (upstream.received, exchange.outcome) == (1, RequestOutcome.UNKNOWN)


# Guards against the same on a connection that was used before: the upstream gets the
# request and closes.
def test_request_on_a_used_connection_may_have_run():
    upstream = Upstream(ANSWER, None)
    exchange = exchange_with(upstream, requests=2)
    assert (upstream.received, exchange.outcome) == (2, RequestOutcome.UNKNOWN)


# Guards against the answer of a proxy that is taken for the upstream's own word.
@pytest.mark.parametrize("status", [400, 421, 429, 502, 503, 504])
def test_status_without_the_word_of_the_upstream_is_the_final_answer(status):
    exchange = exchange_with(Upstream(answer(status)))
    assert exchange.outcome is RequestOutcome.DONE
    assert exchange.response.status == status


def test_own_word_of_the_upstream_and_a_refused_connection_prove_that_it_did_not_run():
    upstream = Upstream(answer(503, "Bluebellyoke-Outcome: not-run"))
    assert exchange_with(upstream).outcome is RequestOutcome.NOT_RUN

    async def connect_to_nothing():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        await listener.aclose()
        exchange = create_exchange(port)
        await exchange.run(ConnectionPool(), 1.0)
        return exchange

    assert anyio.run(connect_to_nothing).outcome is RequestOutcome.NOT_RUN


# Guards against an upstream whose response has no end.
@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\n" + b"X-Filler: x\r\n" * 20_000,
        b"HTTP/1.1 200 OK\r\n" + b"x" * 300_000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
        + b"X-Filler: x\r\n" * 20_000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;" + b"x" * 300_000,
    ],
    ids=["lines", "name", "trailers", "extension"],
)
def test_response_without_end_has_an_unknown_outcome(response):
    exchange = exchange_with(Upstream(response))
    assert exchange.outcome is RequestOutcome.UNKNOWN
    assert "RemoteProtocolError" in exchange.error
