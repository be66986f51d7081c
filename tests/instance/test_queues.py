"""Calls to the leader that carry a configuration."""

import anyio
import pytest

from bluebellyoke.cell.result import Result
from bluebellyoke.clock import SystemClock
from bluebellyoke.instance import wire
from bluebellyoke.instance.queues import (
    MAX_RELAYED_BYTES,
    MAX_TRANSFER_S,
    LargeDocumentError,
    QueueClient,
)
from bluebellyoke.metrics import Metrics

LEADER = "10.0.0.4:7000"
OTHER = "10.0.0.9:7000"


class Link:
    """Stream to a leader that has one configuration."""

    def __init__(self, document):
        self.document = document
        self.connected = True
        self.leader_address = LEADER
        self.calls = []
        self.tolerated_s = 0.0

    def tolerate_silence(self, seconds):
        self.tolerated_s = seconds

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


def create_client(link, own_address):
    return QueueClient(
        link=link, clock=SystemClock(), metrics=Metrics(), own_address=own_address
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
