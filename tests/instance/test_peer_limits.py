"""Connections of other instances, and what their messages hold."""

import anyio
import pytest
from grpclib.exceptions import ProtocolError

from bluebellyoke.instance.connection_limits import ConnectionLimits, Refusal
from bluebellyoke.instance.connection_table import ConnectionTable
from bluebellyoke.instance.peer_limits import (
    MAX_MESSAGE_BYTES,
    BoundedBuffer,
    PeerBudget,
    PeerConnection,
)

LIMITS = ConnectionLimits(descriptors=100, peer_connections=3, held_bytes=1000)


@pytest.fixture
def closed():
    return []


@pytest.fixture
def budget(closed):
    table = ConnectionTable(LIMITS, lambda refusal, address: None)
    return PeerBudget(table, lambda *report: closed.append(report))


@pytest.fixture
def add(budget):
    """Return a function that adds a connection and returns it."""

    def add(address, *, is_used=True, held=0):
        connection = PeerConnection(address, lambda: None)
        assert budget.add(connection, 10)
        if is_used:
            budget.set_used(connection)
        budget.hold(connection, held)
        return connection

    return add


# Guards against silent connections that keep instances from reaching each other.
def test_connection_without_a_stream_makes_room(budget, add, closed):
    add("a", is_used=False)
    add("b", is_used=False)
    add("c")
    add("d")
    assert closed == [(Refusal.CONNECTIONS, "a")]
    assert len(budget) == 3


def test_connections_with_streams_stay(budget, add, closed):
    for address in "abc":
        add(address)
    assert not budget.add(PeerConnection("d", lambda: None), 10)
    assert closed == [(Refusal.CONNECTIONS, "d")]


def test_connection_needs_a_descriptor(budget):
    assert not budget.add(PeerConnection("a", lambda: None), 100)
    assert len(budget) == 0


def test_connection_needs_a_stream_in_time(budget, add, closed):
    unused, used = add("a", is_used=False), add("b")
    budget.close_unused(unused)
    budget.close_unused(used)
    assert closed == [(Refusal.HEAD_TIMEOUT, "a")]


def test_largest_incomplete_message_is_given_up(budget, add, closed):
    small, large = add("a", held=400), add("b", held=600)
    budget.hold(small, 50)
    assert closed == [(Refusal.MEMORY, "b")]
    budget.hold(large, 5000)
    budget.remove(small)
    add("c", held=900)
    assert len(closed) == 1


# Guards against a batch that is refused and sent again for ever.
def test_one_message_may_be_larger_than_the_budget(add, closed):
    add("a", held=5000)
    assert closed == []


def test_buffer_counts_what_it_holds():
    changes = []

    async def run():
        buffer = BoundedBuffer(lambda size: None, changes.append)
        buffer.add(b"12345", 5)
        assert await buffer.read(2) == b"12"
        buffer.add(b"678", 3)
        buffer.unacked_size()

    anyio.run(run)
    assert changes == [5, -2, 3, -6]


def test_too_large_message_is_refused_before_it_arrives():
    async def run():
        buffer = BoundedBuffer(lambda size: None, lambda delta: None)
        with pytest.raises(ProtocolError):
            await buffer.read(MAX_MESSAGE_BYTES + 1)

    anyio.run(run)
