"""Responses to the platform, with prepared replies in place of a leader."""

import hashlib
import json

import anyio
import pytest

from bluebellyoke.cell.result import Result, refuse
from bluebellyoke.instance import wire
from bluebellyoke.instance.gateway import GatewayContext
from bluebellyoke.instance.queues import LargeDocumentError
from bluebellyoke.metrics import Metrics
from bluebellyoke.platform.listeners import (
    DEFAULT_TIMEOUT_S,
    ControlApp,
    QueueApp,
    ReadinessApp,
)
from tests.platform.test_bodies import CONFIG, HEARTBEAT, encode

JOB = {"TaskSpec": "(text)", "Steps": [{"Count": 1, "Cpu": 500}]}


class Queues:
    """Fake of the calls to the leader, with prepared replies."""

    def __init__(self):
        self.reply = wire.QueueReply("accepted")
        self.result = Result(accepted=True)
        self.document = None
        self.max_bytes = 1_000_000
        self.calls = []

    async def request(
        self, action, host, path, *, timeout_s, draft=None, credential=""
    ):
        self.calls.append((action, host, path, timeout_s, draft))
        self.credential = credential
        return self.reply

    async def announce(self, announcement):
        self.calls.append(announcement)
        return self.result

    def expect_body(self, size):
        self.expected_bytes = size

    async def check_size(self, size):
        if size > self.max_bytes:
            raise LargeDocumentError("10.0.0.4")

    async def change_configuration(self, configuration):
        self.calls.append(configuration)
        return self.result

    async def read_configuration(self):
        await self.check_size(len(self.document or b""))
        return self.document


@pytest.fixture
def queues():
    return Queues()


@pytest.fixture
def context(queues):
    return GatewayContext(
        queues=queues,
        metrics=Metrics(),
        is_ready=lambda: True,
        is_leaving=lambda: False,
    )


def call(app, method, path, body=b"", headers=()):
    """Return status, headers and decoded body of the response."""
    sent = []

    async def receive():
        return {"type": "http.request", "body": body}

    async def send(message):
        sent.append(message)

    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "headers": [(b"host", b"nony24.example"), *headers],
    }
    anyio.run(app, scope, receive, send)
    return sent[0]["status"], dict(sent[0]["headers"]), json.loads(sent[1]["body"])


@pytest.mark.parametrize(
    ("code", "status"),
    [
        ("accepted", 200),
        ("unauthenticated", 401),
        ("forbidden", 403),
        ("unknown-queue", 404),
        ("unknown-job", 410),
        ("malformed", 400),
        ("bad-id", 400),
        ("unavailable", 503),
        ("unanswered", 504),
        ("overloaded", 429),
    ],
)
def test_codes_are_translated_to_statuses(context, queues, code, status):
    queues.reply = wire.QueueReply(code)
    found, headers, _ = call(QueueApp(context), "DELETE", "/lohu930/1")
    assert found == status
    assert (b"retry-after" in headers) == (status in (429, 503))


def test_refused_client_gets_a_retry_after_header(context, queues):
    queues.reply = wire.QueueReply("overloaded", retry_after_s=6.2)
    _, headers, _ = call(QueueApp(context), "POST", "/lohu930/1", encode(JOB))
    assert headers[b"retry-after"] == b"7"


def test_job_is_submitted_with_the_client_s_deadline(context, queues):
    headers = [(b"deadline-ms", b"2000")]
    status, _, _ = call(QueueApp(context), "POST", "/lohu930/1", encode(JOB), headers)
    action, host, path, timeout_s, draft = queues.calls[0]
    assert status == 200
    assert (action, host, path) == ("submit", "nony24.example", "/lohu930/1")
    assert timeout_s == pytest.approx(1.85)
    assert draft.payload == "(text)"


# Guards against a request whose key does not reach the leader, and against a key that
# leaves the adapter in the clear.
@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
def test_digest_of_the_key_is_sent_to_the_leader(context, queues, method):
    body = encode(JOB) if method == "POST" else b""
    call(QueueApp(context), method, "/lohu930/1", body, [(b"api-key", b"k-1")])
    assert queues.credential == hashlib.sha256(b"k-1").hexdigest()
    call(QueueApp(context), method, "/lohu930/1", body)
    assert queues.credential == ""


def test_invalid_job_is_refused_and_not_submitted(context, queues):
    status, _, _ = call(QueueApp(context), "POST", "/lohu930/1", encode(JOB)[:-4])
    assert status == 400
    assert queues.calls == []


def test_state_and_number_of_waiting_jobs_are_returned(context, queues):
    queues.reply = wire.QueueReply("accepted", state="running")
    assert call(QueueApp(context), "GET", "/lohu930/1")[2] == {"State": "running"}
    queues.reply = wire.QueueReply("accepted", waiting=12)
    assert call(QueueApp(context), "GET", "/lohu930/")[2] == {"Waiting": 12}


@pytest.mark.parametrize(
    ("result", "status"),
    [
        (Result(accepted=True), 200),
        (Result(accepted=True, code="overtaken"), 200),
        (refuse("malformed", "why"), 400),
        (refuse("unanswered", "why"), 503),
    ],
)
def test_configuration_is_acknowledged_only_when_accepted(
    context, queues, result, status
):
    queues.result = result
    found, _, _ = call(
        ControlApp(context, port=8166), "PUT", "/-/config", encode(CONFIG)
    )
    assert found == status
    assert queues.calls[0].version == 7


def test_truncated_configuration_is_refused(context, queues):
    body = encode(CONFIG)[:-30]
    assert call(ControlApp(context, port=8166), "PUT", "/-/config", body)[0] == 400
    assert queues.calls == []


def test_configuration_is_returned_unchanged_or_not_at_all(context, queues):
    assert call(ControlApp(context, port=8166), "GET", "/-/config")[0] == 503
    queues.document = encode(CONFIG)
    status, _, value = call(ControlApp(context, port=8166), "GET", "/-/config")
    assert (status, value) == (200, CONFIG)


@pytest.mark.parametrize("method", ["PUT", "GET"])
def test_operator_is_sent_to_the_leader_with_a_large_configuration(
    context, queues, method
):
    queues.max_bytes = 100
    queues.document = encode(CONFIG)
    body = encode(CONFIG) if method == "PUT" else b""
    app = ControlApp(context, port=8166)
    status, headers, _ = call(app, method, "/-/config", body)
    assert status == 307
    assert headers[b"location"] == b"http://10.0.0.4:8166/-/config"
    assert queues.calls == []


def test_length_of_a_body_is_known_before_it_arrives(context, queues):
    app = ControlApp(context, port=8166)
    headers = [(b"content-length", b"300000")]
    call(app, "PUT", "/-/config", encode(CONFIG), headers)
    assert queues.expected_bytes == 300_000
    call(app, "PUT", "/-/config", encode(CONFIG), [(b"content-length", b"-1")])
    assert queues.expected_bytes == 0


def test_heartbeat_and_leave_are_forwarded(context, queues):
    path = "/-/instances/i-1"
    assert (
        call(ControlApp(context, port=8166), "PUT", path, encode(HEARTBEAT))[0] == 200
    )
    assert call(ControlApp(context, port=8166), "DELETE", path)[0] == 200
    heartbeat, leave = queues.calls
    assert (heartbeat.worker, heartbeat.spec.id, heartbeat.leaving) == (
        "i-1",
        "i-1",
        False,
    )
    assert (leave.worker, leave.spec, leave.leaving) == ("i-1", None, True)


def test_readiness_reflects_the_instance(context, queues):
    assert call(ReadinessApp(context), "GET", "/-/ready")[0] == 200
    leaving = GatewayContext(
        queues=queues,
        metrics=Metrics(),
        is_ready=lambda: False,
        is_leaving=lambda: True,
    )
    status, headers, _ = call(ReadinessApp(leaving), "GET", "/-/ready")
    assert status == 503
    assert headers[b"connection"] == b"close"


def test_metrics_are_served_to_operators(context):
    sent = []

    async def receive():
        return {"type": "http.request", "body": b""}

    async def send(message):
        sent.append(message.get("status") or message["body"])

    context.metrics.record_queue_request("submit", "accepted", 0.01)
    scope = {"type": "http", "method": "GET", "path": "/-/metrics", "headers": []}
    anyio.run(ControlApp(context, port=8166), scope, receive, send)
    assert sent[0] == 200
    assert b"queue_requests_total" in sent[1]


# Guards against a heartbeat that a worker repeats for ever, since it is told that no
# leader is there in place of what is wrong.
@pytest.mark.parametrize("method", ["PUT", "DELETE"])
def test_heartbeat_that_is_not_valid_gets_a_client_error(context, queues, method):
    queues.result = refuse("malformed", "the ID is not valid; send another")
    app = ControlApp(context, port=8166)
    path = "/-/instances/a\r\nb"
    status, _, value = call(app, method, path, encode(HEARTBEAT))
    assert (status, value) == (400, {"Error": "the ID is not valid; send another"})


# Guards against a request that gets no clear response because of a header that no
# instance can convert; a header without a number counts as missing.
@pytest.mark.parametrize("text", [b"9" * 400, b"9" * 5000, b"\xb2", b"-1", b""])
def test_odd_numbers_in_headers_count_as_missing(context, queues, text):
    headers = [(b"deadline-ms", text), (b"content-length", text)]
    path = "/lohu930/1"
    assert call(QueueApp(context), "POST", path, encode(JOB), headers)[0] == 200
    assert queues.calls[0][3] == DEFAULT_TIMEOUT_S
    assert queues.expected_bytes == 0
