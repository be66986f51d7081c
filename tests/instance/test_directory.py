"""Tests of finding the cell through the addresses that an instance has heard of."""

import pytest

from bluebellyoke.consensus import messages
from bluebellyoke.instance import wire
from bluebellyoke.instance.directory import MAX_ADDRESSES, ReplicaDirectory
from bluebellyoke.instance.directory_service import DirectoryService
from tests.test_addresses import ODD_ADDRESSES

MEMBER = messages.Member("r9", "i9", "10.0.0.9", 7000, "dc1")
OWN_ADDRESS = "10.0.0.5:7000"
HELLO = wire.Hello("c", "i9", "1", "dc1")


@pytest.fixture
def sent():
    return []


@pytest.fixture
def directory():
    return ReplicaDirectory(seeds=("10.0.0.8:7000",))


@pytest.fixture
def service(directory, sent):
    return DirectoryService(
        cell="c",
        own_address=OWN_ADDRESS,
        directory=directory,
        send=lambda *item: sent.append(item),
    )


def create_envelope(message, cell="c"):
    return messages.Envelope(cell, "r1", "10.0.0.1:7000", "", message)


def create_join_request():
    return messages.Envelope(
        "c", "r9", "10.0.0.9:7000", "", messages.JoinRequest(0, MEMBER)
    )


def test_instances_are_redirected_to_the_received_addresses(service):
    service.receive(
        create_envelope(messages.PeerList(0, ("10.0.0.1:7000", "10.0.0.2:7000")))
    )
    redirects = []
    service.redirect(HELLO, redirects.append)
    assert redirects == [wire.Redirect("", ("10.0.0.1:7000", "10.0.0.2:7000")), None]


def test_instance_of_another_cell_is_not_redirected(service, directory):
    directory.record_leader_list(("10.0.0.1:7000",))
    redirects = []
    service.redirect(wire.Hello("other", "i9", "1", "dc1"), redirects.append)
    assert redirects == [None]


# Guards against a replica that never joins because its only seed has no replica.
@pytest.mark.parametrize("source", ["peer", "leader"])
def test_sender_of_a_join_request_is_told_all_known_replicas(
    service, directory, sent, source
):
    """The leader's replies on the link count as much as the lists of replicas."""
    addresses = ("10.0.0.1:7000", "10.0.0.2:7000")
    if source == "leader":
        directory.record_leader_list(addresses)
    else:
        service.receive(create_envelope(messages.PeerList(0, addresses)))
    service.receive(create_join_request())
    reply = messages.Envelope("c", "", OWN_ADDRESS, "", messages.PeerList(0, addresses))
    assert sent == [("10.0.0.9:7000", reply)]


def test_join_request_circulates_among_no_instances(service, directory, sent):
    """Two instances without a replica may each take the other for one."""
    directory.record_peer_list(("10.0.0.6:7000",))
    service.receive(create_join_request())
    assert [address for address, _ in sent] == ["10.0.0.9:7000"]


def test_messages_of_another_cell_are_dropped(service, directory):
    service.receive(
        create_envelope(messages.PeerList(0, ("10.0.0.1:7000",)), cell="other")
    )
    assert directory.replicas == ()


def test_addresses_of_all_sources_are_known_and_the_seeds_come_last(directory):
    a, b, c, d, e = (f"10.0.0.1:{port}" for port in range(1, 6))
    directory.record_peer_list((b, c))
    directory.record_leader_list((a, b))
    directory.set_member_source(lambda: (c, d))
    directory.record_sender(e)
    assert directory.replicas == (a, b, e, c, d)
    assert directory.addresses == (a, b, e, c, d, "10.0.0.8:7000")


def test_empty_lists_remove_no_address(directory):
    directory.record_peer_list(("10.0.0.2:7000",))
    directory.record_leader_list(("10.0.0.1:7000",))
    directory.record_peer_list(())
    directory.record_leader_list(())
    assert directory.replicas == ("10.0.0.1:7000", "10.0.0.2:7000")


def test_number_of_received_addresses_is_limited(directory):
    for number in range(3 * MAX_ADDRESSES):
        directory.record_sender(f"10.0.1.{number}:7000")
    directory.record_leader_list(tuple(f"10.0.2.{number}:7000" for number in range(99)))
    assert len(directory.replicas) == 2 * MAX_ADDRESSES


# Guards against the end of an instance that dials what another has sent, and against
# a list of which the sound addresses are dropped with an odd one.
@pytest.mark.parametrize("odd", ODD_ADDRESSES)
def test_address_that_cannot_be_dialled_is_left_out_of_a_list(directory, odd):
    directory.record_peer_list((odd, "10.0.0.2:7000"))
    directory.record_leader_list((odd, "10.0.0.1:7000"))
    directory.record_sender(odd)
    assert directory.replicas == ("10.0.0.1:7000", "10.0.0.2:7000")
    directory.record_peer_list((odd,))
    directory.record_leader_list((odd,))
    assert directory.replicas == ("10.0.0.1:7000", "10.0.0.2:7000")
