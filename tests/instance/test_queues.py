"""Calls to the leader that carry a configuration, and calls to the advisor."""

import logging

import anyio
import msgspec
import pytest

from bluebellyoke.cell.result import Result
from bluebellyoke.clock import SystemClock
from bluebellyoke.instance import wire
from bluebellyoke.instance.queues import (
    MAX_DECISION_AGE_S,
    MAX_RELAYED_BYTES,
    MAX_TRANSFER_S,
    AdviceHandler,
    LargeDocumentError,
    QueueClient,
)
from bluebellyoke.instance.stalls import StallWatch
from bluebellyoke.metrics import Metrics
from tests.workflow.factories import create_worker
from tests.workflow.test_worker_validation import ODD_FIELDS

LEADER = "10.0.0.4:7000"
OTHER = "10.0.0.9:7000"

#: Timeout of a test, in seconds.
WAIT_S = 30.0


class Link:
    """Stream to a leader that has one configuration."""

    def __init__(self, document):
        self.document = document
        self.connected = True
        self.leader_address = LEADER
        self.calls = []
        self.sent = []
        self.tolerated_s = 0.0

    def tolerate_silence(self, seconds):
        self.tolerated_s = seconds

    def send(self, message):
        self.sent.append(message)

    async def wait_connected(self, timeout_s):
        return self.connected

    async def call(self, body, timeout_s, max_disconnected_s=0.0):
        self.calls.append(body)
        if not isinstance(body, wire.Query):
            return Result(accepted=True)
        if body.max_bytes and len(self.document) > body.max_bytes:
            return wire.QueryReply(True, b"", is_too_large=True)
        return wire.QueryReply(True, self.document)


@pytest.fixture
def link():
    return Link(bytes(MAX_RELAYED_BYTES + 1))


def create_client(link, own_address="", *, metrics=None):
    return QueueClient(
        link=link,
        clock=SystemClock(),
        metrics=metrics or Metrics(),
        stalls=StallWatch(SystemClock()),
        own_address=own_address,
    )


# Guards against LOST and CONFIG on the grown sites: a large configuration held up the
# stream that all calls of an instance share, so its leader seemed to be silent.
def test_large_configuration_is_not_relayed(link):
    client = create_client(link, OTHER)
    with pytest.raises(LargeDocumentError) as error:
        anyio.run(client.check_size, MAX_RELAYED_BYTES + 1)
    assert error.value.leader_host == "10.0.0.4"
    with pytest.raises(LargeDocumentError):
        anyio.run(client.read_configuration)
    assert [call.max_bytes for call in link.calls] == [MAX_RELAYED_BYTES]


def test_leader_serves_a_large_configuration_itself(link):
    client = create_client(link, LEADER)
    anyio.run(client.check_size, MAX_RELAYED_BYTES + 1)
    assert anyio.run(client.read_configuration) == link.document


def test_small_configuration_is_relayed(link):
    link.document = bytes(MAX_RELAYED_BYTES)
    client = create_client(link, OTHER)
    anyio.run(client.check_size, MAX_RELAYED_BYTES)
    assert anyio.run(client.read_configuration) == link.document


@pytest.mark.parametrize(
    ("size", "tolerated_s"),
    [(MAX_RELAYED_BYTES, 0.0), (400_000, 2.0), (8_000_000, MAX_TRANSFER_S)],
)
def test_silence_is_tolerated_while_a_large_body_arrives(link, size, tolerated_s):
    create_client(link, OTHER).expect_body(size)
    assert link.tolerated_s == pytest.approx(tolerated_s)


def test_caller_is_sent_nowhere_without_a_leader(link):
    link.connected = False
    link.leader_address = ""
    client = create_client(link, OTHER)
    anyio.run(client.check_size, MAX_RELAYED_BYTES + 1)
    assert anyio.run(client.read_configuration) is None


class RefusingLink(Link):
    """Link to a leader that refuses each request to a queue."""

    async def call(self, body, timeout_s, max_disconnected_s=0.0):
        self.calls.append(body)
        self.timeout_s = timeout_s
        return wire.QueueReply("unauthenticated", reason="no")


# Guards against a refusal that is not counted, and against a digest in a log.
def test_refused_callers_are_counted_by_code(caplog):
    link, metrics = RefusingLink(b""), Metrics()
    client = create_client(link, metrics=metrics)

    async def request():
        return await client.request(
            wire.QueueAction.READ, "h", "/q/", timeout_s=1.0, credential="5c0e7a21d9"
        )

    with caplog.at_level(logging.INFO, "bluebellyoke.queues"):
        assert anyio.run(request).code == "unauthenticated"
    assert [call.credential for call in link.calls] == ["5c0e7a21d9"]
    assert 'queue_requests_total{outcome="read/unauthenticated"} 1' in metrics.render()
    assert not any("5c0e7a21d" in str(vars(record)) for record in caplog.records)


# Guards against a reply that is by an earlier configuration than the one acknowledged
# 2.5 s ago, and against another timeout for callers without workspaces.
@pytest.mark.parametrize(
    ("credential", "timeout_s", "expected_s"),
    [("5c0e", 9.0, MAX_DECISION_AGE_S), ("5c0e", 1.0, 1.0), ("", 9.0, 9.0)],
)
def test_reply_to_a_request_with_a_credential_is_not_awaited_for_long(
    credential, timeout_s, expected_s
):
    link = RefusingLink(b"")
    client = create_client(link)

    async def request():
        await client.request(
            wire.QueueAction.READ,
            "h",
            "/q/",
            timeout_s=timeout_s,
            credential=credential,
        )

    anyio.run(request)
    assert link.timeout_s == expected_s
    assert MAX_DECISION_AGE_S < 2.5


class FailingAdvisor:
    """Advisor whose first response cannot be decoded."""

    def __init__(self):
        self.calls = 0

    async def request_tickets(self, step, workers):
        self.calls += 1
        if self.calls == 1:
            raise RecursionError("too deep")
        return {"w1": "ticket"}

    async def close(self):
        pass


# Guards against the end of an instance because of one response of the advisor.
def test_unexpected_error_of_the_advisor_means_no_advice(link, caplog):
    handler = AdviceHandler(
        advisor=FailingAdvisor(), link=link, clock=SystemClock(), metrics=Metrics()
    )

    async def run():
        for number in (1, 2):
            handler.enqueue(wire.AdviceCall(number, ("5c0e", 0, 1), ("w1",)))
        with anyio.fail_after(WAIT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(handler.run)
                while len(link.sent) < 2:
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

    with caplog.at_level(logging.INFO, "bluebellyoke.queues"):
        anyio.run(run)
    assert link.sent == [
        wire.AdviceReply(1),
        wire.AdviceReply(2, {"w1": "ticket"}),
    ]
    faults = [x.fault for x in caplog.records if hasattr(x, "fault")]
    assert faults == ["RecursionError too deep", ""]


# Guards against an odd entry that reaches the leader and the replicated log.
@pytest.mark.parametrize("fields", ODD_FIELDS)
def test_heartbeat_that_is_not_valid_is_not_forwarded(fields):
    link = Link(b"")
    client = create_client(link)
    spec = msgspec.structs.replace(create_worker(), **fields)
    announcement = wire.WorkerAnnouncement(spec.id, spec)
    result = anyio.run(client.announce, announcement)
    assert (result.accepted, result.code) == (False, "malformed")
    assert link.calls == []


@pytest.mark.parametrize("worker_id", ["", "a\r\nb", "x" * 9000])
def test_leave_of_an_odd_id_is_not_forwarded(worker_id):
    link = Link(b"")
    client = create_client(link)
    announcement = wire.WorkerAnnouncement(worker_id, None, leaving=True)
    assert anyio.run(client.announce, announcement).code == "malformed"
    assert link.calls == []
