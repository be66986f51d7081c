"""Tests of finding the cell through seeds that have no replica."""

import pytest

from bluebellyoke.consensus import messages
from bluebellyoke.instance import wire
from bluebellyoke.instance.directory import ReplicaDirectory

MEMBER = messages.Member("r9", "i9", "10.0.0.9", 7000, "dc1")


@pytest.fixture
def sent():
    return []


@pytest.fixture
def directory(sent):
    return ReplicaDirectory(cell="c", send=lambda *item: sent.append(item))


def create_envelope(message, cell="c"):
    return messages.Envelope(cell, "r1", "10.0.0.1:7000", "", message)


def test_instances_are_redirected_to_the_received_addresses(directory):
    directory.receive(
        create_envelope(messages.PeerList(0, ("10.0.0.1:7000", "10.0.0.2:7000")))
    )
    redirects = []
    directory.redirect(redirects.append)
    assert redirects == [wire.Redirect("", ("10.0.0.1:7000", "10.0.0.2:7000")), None]


def test_join_request_is_forwarded_to_all_known_replicas(directory, sent):
    directory.receive(
        create_envelope(messages.PeerList(0, ("10.0.0.1:7000", "10.0.0.2:7000")))
    )
    request = messages.Envelope(
        "c", "r9", "10.0.0.9:7000", "", messages.JoinRequest(0, MEMBER)
    )
    directory.receive(request)
    assert sent == [("10.0.0.1:7000", request), ("10.0.0.2:7000", request)]


def test_messages_of_another_cell_are_dropped(directory):
    directory.receive(
        create_envelope(messages.PeerList(0, ("10.0.0.1:7000",)), cell="other")
    )
    assert directory.addresses == ()
