"""Finding the cell through seeds that hold no replica."""

import pytest

from bluebellyoke.consensus import messages as m
from bluebellyoke.instance import wire as w
from bluebellyoke.instance.directory import ReplicaDirectory

MEMBER = m.Member("r9", "i9", "10.0.0.9", 7000, "dc1")


@pytest.fixture
def sent():
    return []


@pytest.fixture
def directory(sent):
    return ReplicaDirectory(cell="c", send=lambda *item: sent.append(item))


def envelop(message, cell="c"):
    return m.Envelope(cell, "r1", "10.0.0.1:7000", "", message)


def test_sends_instances_on_to_the_replicas_it_was_told(directory):
    directory.deliver(envelop(m.PeerList(0, ("10.0.0.1:7000", "10.0.0.2:7000"))))
    answers = []
    directory.answer(answers.append)
    assert answers == [w.Redirect("", ("10.0.0.1:7000", "10.0.0.2:7000")), None]


def test_passes_an_offer_to_join_on(directory, sent):
    directory.deliver(envelop(m.PeerList(0, ("10.0.0.1:7000", "10.0.0.2:7000"))))
    offer = m.Envelope("c", "r9", "10.0.0.9:7000", "", m.JoinRequest(0, MEMBER))
    directory.deliver(offer)
    assert sent == [("10.0.0.1:7000", offer), ("10.0.0.2:7000", offer)]


def test_drops_messages_of_another_cell(directory):
    directory.deliver(envelop(m.PeerList(0, ("10.0.0.1:7000",)), cell="other"))
    assert directory.addresses == ()
