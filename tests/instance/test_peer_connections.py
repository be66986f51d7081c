"""What lost connections tell about the process at an address."""

import pytest

from bluebellyoke.instance.peer_connections import (
    MAX_CLOSE_AGE_S,
    ConnectionLoss,
    PeerConnections,
)

NOW = 100.0


@pytest.fixture
def peer():
    """Return an address with two open connections and a response."""
    peer = PeerConnections()
    peer.record_open()
    peer.record_open()
    peer.record_response()
    return peer


def test_process_has_ended_once_all_connections_are_closed_in_order(peer):
    peer.record_loss(ConnectionLoss.CLOSED, NOW)
    assert not peer.has_process_ended(NOW)
    peer.record_loss(ConnectionLoss.CLOSED, NOW)
    assert peer.has_process_ended(NOW)


# Guards against a live worker that is removed: it had closed a surplus connection, the
# poll on the other one timed out, and the network refused the next.
def test_close_of_an_idle_connection_proves_nothing(peer):
    peer.record_loss(ConnectionLoss.CLOSED, NOW)
    peer.record_failure()
    peer.record_loss(ConnectionLoss.CLOSED_HERE, NOW)
    assert not peer.has_process_ended(NOW)


# Guards against the same, if a cut resets one connection and another one is closed.
def test_close_after_a_reset_proves_nothing(peer):
    peer.record_loss(ConnectionLoss.RESET, NOW)
    peer.record_loss(ConnectionLoss.CLOSED, NOW)
    assert not peer.has_process_ended(NOW)


# Guards against the same, on a replica that leads again long after it led before.
def test_close_is_forgotten_after_a_while(peer):
    peer.record_loss(ConnectionLoss.CLOSED, NOW)
    peer.record_loss(ConnectionLoss.CLOSED, NOW)
    assert not peer.has_process_ended(NOW + MAX_CLOSE_AGE_S + 0.1)


def test_new_connection_shows_a_process(peer):
    peer.record_loss(ConnectionLoss.CLOSED, NOW)
    peer.record_loss(ConnectionLoss.CLOSED, NOW)
    peer.record_open()
    assert not peer.has_process_ended(NOW)
