"""Calls to workers and the advisor, against a server with prepared responses."""

import dataclasses
import json
import socket

import anyio
import pytest

from bluebellyoke.dispatch.ports import (
    AdvisorBusyError,
    NoAnswerError,
    NotReachedError,
    OtherLifeError,
    PaceRequest,
    PaceResult,
    PollRequest,
    StartRequest,
    StartResult,
    StopRequest,
)
from bluebellyoke.errors import BluebellyokeError
from bluebellyoke.platform.clients import PlatformAdvisor, PlatformWorkerClient
from bluebellyoke.workflow.commands import TaskName
from standins.platform import CalledWorker
from tests.workflow.factories import create_worker

TASK = TaskName("5c0e7a21d94b36f8", 0, 1, 17)
START = StartRequest(
    task=TASK, run=2, payload="(text)", deadline_ms=486000, fence=7, ticket="t"
)
WAIT_S = 30.0

#: JSON text that no decoder follows to its end.
DEEP_TEXT = b"[" * 100_000


class Server:
    """Server that sends prepared responses in order and records the requests."""

    def __init__(self, responses):
        self.responses = list(responses)
        self.requests = []
        self.connections = 0

    async def handle(self, stream):
        self.connections += 1
        async with stream:
            buffer = b""
            while True:
                try:
                    buffer += await stream.receive()
                except anyio.EndOfStream:
                    return
                head, separator, body = buffer.partition(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length: ")[2].split()[0])
                if not separator or len(body) < length:
                    continue
                buffer = b""
                self.requests.append((head.decode(), json.loads(body)))
                response = self.responses.pop(0)
                if response is None:
                    return
                status, value = response
                text = value if isinstance(value, bytes) else json.dumps(value).encode()
                await stream.send(
                    b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(text))
                    + text
                )


def run_against(responses, body):
    """Run `body(server, address)` with a server on the loopback interface."""

    async def run():
        server = Server(responses)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        with anyio.fail_after(WAIT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, server.handle)
                try:
                    result = await body(server, f"127.0.0.1:{port}")
                except BluebellyokeError as error:
                    # The task group would wrap it in an exception group.
                    result = error
                tasks.cancel_scope.cancel()
            await listener.aclose()
        return result

    result = anyio.run(run)
    if isinstance(result, BluebellyokeError):
        raise result
    return result


def start_once(response):
    async def body(server, address):
        client = PlatformWorkerClient()
        try:
            return await client.start(create_worker("i-1", address=address), START)
        finally:
            await client.close()

    return run_against([response], body)


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        ((200, {"CurrentTimeMs": 1}), StartResult.STARTED),
        ((409, {"Reason": "fence"}), StartResult.FENCED),
        ((409, {"Reason": "old"}), StartResult.OUTDATED),
        ((409, {"Reason": "late"}), StartResult.LATE),
        ((409, {"Reason": "room"}), StartResult.NO_ROOM),
        ((409, {"Reason": "ticket"}), StartResult.BAD_TICKET),
        ((429, {}), StartResult.UNHEALTHY),
        ((503, {}), StartResult.UNHEALTHY),
        ((400, {}), StartResult.INVALID),
    ],
)
def test_responses_to_a_start_are_translated(response, expected):
    assert start_once(response).result is expected


# Guards against a second run of a task whose start got an undocumented response, such
# as the 504 of a proxy, although the worker had begun it.
@pytest.mark.parametrize(
    "response",
    [
        *((status, {}) for status in (201, 202, 204, 302, 404, 500, 502, 504)),
        (409, {}),
        (409, {"Reason": "other"}),
        (409, {"Reason": ["room"]}),
        (409, DEEP_TEXT),
    ],
)
def test_undocumented_response_to_a_start_leaves_the_outcome_unknown(response):
    with pytest.raises(NoAnswerError):
        start_once(response)


def test_other_incarnation_raises_an_error():
    with pytest.raises(OtherLifeError):
        start_once((421, {}))


def test_closed_connection_leaves_the_outcome_unknown():
    with pytest.raises(NoAnswerError):
        start_once(None)


def test_refused_connection_means_that_nothing_ran():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"

        async def run():
            await PlatformWorkerClient().start(
                create_worker("i-1", address=address), START
            )

        with pytest.raises(NotReachedError) as caught:
            anyio.run(run)
    assert caught.value.refused


def test_calls_have_all_fields_and_share_a_connection():
    responses = [
        (200, {"CurrentTimeMs": 1}),
        (200, {"CurrentTimeMs": 2}),
        (200, {"CurrentTimeMs": 3, "born": 9}),
    ]

    async def body(server, address):
        client = PlatformWorkerClient()
        worker = create_worker("i-1", address=address)
        await client.start(worker, START)
        assert await client.stop(worker, StopRequest(task=TASK, run=2, fence=7))
        request = PollRequest(
            deadline_ms=486000, fence=7, acknowledged_end=57, wait_ms=1000
        )
        report = await client.poll(worker, request)
        await client.close()
        return server, report

    server, report = run_against(responses, body)
    start, stop, poll = server.requests
    assert start[0].startswith("POST /-/run-start ")
    assert "Expected-Instance: i-1" in start[0]
    assert start[1] == {
        "Task": "5c0e7a21d94b36f8.0.1.17",
        "RunId": 2,
        "TaskSpec": "(text)",
        "DeadlineMs": 486000,
        "FencingToken": 7,
        "Ticket": "t",
    }
    assert stop[1] == {
        "Task": "5c0e7a21d94b36f8.0.1.17",
        "RunId": 2,
        "FencingToken": 7,
    }
    assert poll[1] == {
        "DeadlineMs": 486000,
        "FencingToken": 7,
        "SeenUpto": 57,
        "WaitMs": 1000,
    }
    assert (report.clock_ms, report.incarnation) == (3, 9)
    assert server.connections == 1


def pace_once(response):
    async def body(server, address):
        client = PlatformWorkerClient()
        worker = create_worker("i-1", address=address)
        request = PaceRequest(task=TASK, run=2, percent=40, fence=7)
        try:
            return server, await client.pace(worker, request)
        finally:
            await client.close()

    return run_against([response], body)


# Guards against a worker that does not find the run or the token in the request.
def test_request_to_pace_a_run_has_all_fields():
    server, _ = pace_once((200, {}))
    head, value = server.requests[0]
    assert head.startswith("POST /-/pace ")
    assert "Expected-Instance: i-1" in head
    assert value == {
        "Task": "5c0e7a21d94b36f8.0.1.17",
        "RunId": 2,
        "Percent": 40,
        "FencingToken": 7,
    }


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        ((200, {}), PaceResult.PACED),
        ((409, {"Reason": "fence"}), PaceResult.FENCED),
        ((409, {"Reason": "old"}), PaceResult.OUTDATED),
    ],
)
def test_responses_to_a_pace_request_are_translated(response, expected):
    assert pace_once(response)[1] is expected


# Guards against a run that counts as paced although the worker did not say so.
@pytest.mark.parametrize(
    "response",
    [(status, {}) for status in (202, 400, 404, 503)] + [(409, {"Reason": "room"})],
)
def test_undocumented_response_to_a_pace_request_raises_an_error(response):
    with pytest.raises(NoAnswerError):
        pace_once(response)


@pytest.fixture
def called_worker():
    worker = CalledWorker("i-1", control_addresses=["127.0.0.1:1"], run_s=0.2)
    yield worker
    worker.close()


async def pace(client, worker, percent, fence=7):
    request = PaceRequest(task=TASK, run=2, percent=percent, fence=fence)
    return await client.pace(worker, request)


# Guards against a client and a worker that each follow the interface in their own way.
def test_worker_paces_a_run_until_it_ends(called_worker):
    worker = create_worker("i-1", address=called_worker.address)

    async def run():
        client = PlatformWorkerClient()
        request = dataclasses.replace(START, deadline_ms=6000, ticket="ticket-i-1")
        reply = await client.start(worker, request)
        assert reply.result is StartResult.STARTED
        assert await pace(client, worker, 0) is PaceResult.PACED
        assert await pace(client, worker, 50, fence=6) is PaceResult.FENCED
        await anyio.sleep(0.6)
        assert called_worker.running
        assert await pace(client, worker, 100) is PaceResult.PACED
        with anyio.fail_after(WAIT_S):
            while called_worker.running:
                await anyio.sleep(0.02)
        assert await pace(client, worker, 0) is PaceResult.OUTDATED
        await client.close()

    anyio.run(run)


def ask_once(response):
    async def body(server, address):
        advisor = PlatformAdvisor(address)
        try:
            return await advisor.request_tickets(("5c0e", 0, 1), ("i-1", "i-2"))
        finally:
            await advisor.close()

    return run_against([response], body)


def test_advice_is_translated():
    assert ask_once((200, {"Allowed": [["i-2", "c81e"]]})) == {"i-2": "c81e"}


# Guards against the end of an instance whose advisor sends an answer that is nested too
# deeply, or that is not UTF-8.
@pytest.mark.parametrize(
    "body",
    [
        DEEP_TEXT,
        b'{"Allowed":' + DEEP_TEXT,
        b'{"Allowed":[["i-1",' + DEEP_TEXT,
        b'{"Allowed":[["\xff","a"]]}',
    ],
)
def test_advice_that_cannot_be_decoded_raises_an_error(body):
    with pytest.raises(AdvisorBusyError, match=r"invalid response: .+"):
        ask_once((200, body))


# Guards against a step that waits although workers may run it, because of one odd row.
@pytest.mark.parametrize(
    "row", [7, None, {}, [], "ab", ["i-1"], ["i-1", 7], [7, "x"], [["i-1"], "x"]]
)
def test_odd_row_of_the_advisor_leaves_the_others(row):
    rows = [["i-1", "a"], row, ["i-2", "b"]]
    assert ask_once((200, {"Allowed": rows})) == {"i-1": "a", "i-2": "b"}


@pytest.mark.parametrize(
    "response",
    [
        (429, {}),
        (200, {}),
        (200, [1]),
        (200, {"Allowed": {"ab": 1}}),
        (200, {"Allowed": "ab"}),
        None,
    ],
)
def test_failed_advice_raises_an_error(response):
    with pytest.raises(AdvisorBusyError):
        ask_once(response)
