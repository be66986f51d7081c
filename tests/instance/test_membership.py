"""Tests of the leader's view of joining replicas and of its followers."""

import pytest

from bluebellyoke.consensus import messages
from tests.consensus.cluster import create_member
from tests.instance.membership import ManagedCluster

#: Time in which a replica must be a voter, in seconds.
CATCH_UP_S = 4.0


@pytest.fixture
def cluster():
    cluster = ManagedCluster()
    cluster.settle(3.0)
    return cluster


def get_membership(cluster):
    return cluster.nodes[cluster.find_leader()].membership


def deliver_without(cluster, replica):
    """Deliver the messages in flight, and drop those from and to a replica."""
    while cluster.network:
        if replica in cluster.network[0][:2]:
            cluster.network.pop(0)
        else:
            cluster.deliver(0)


def test_paused_leader_replaces_no_follower(cluster):
    """After a pause, the replies of one follower are read before those of the other."""
    leader = cluster.find_leader()
    late = next(x for x in sorted(cluster.nodes) if x != leader)
    cluster.add_replica("r9")
    cluster.settle(1.5)
    cluster.advance(0.2)
    cluster.now += 3.0
    deliver_without(cluster, late)
    cluster.nodes[leader].tick(cluster.now)
    cluster.process_effects(leader)
    deliver_without(cluster, late)
    assert cluster.nodes[leader].is_lease_valid(cluster.now)
    cluster.manage(leader)
    assert "r9" not in cluster.nodes[leader].membership.members
    cluster.settle(2.0)
    assert set(get_membership(cluster).voters) == {"r0", "r1", "r2"}


def test_learner_without_replies_makes_room_for_another_spare(cluster):
    """The requests of one spare arrive, but nothing reaches it."""
    leader = cluster.find_leader()
    cluster.wipe(next(x for x in sorted(cluster.nodes) if x != leader))
    deaf = create_member("r3")
    cluster.add_replica("r9")
    for _ in range(160):
        cluster.managers[leader].record_join_request(deaf, cluster.now)
        cluster.settle(0.05)
    assert "r9" in get_membership(cluster).voters


@pytest.mark.parametrize("is_leader", [True, False])
def test_replica_outside_the_membership_is_told_the_members(cluster, is_leader):
    """Every replica tells them, as only the leader can add the sender."""
    leader = cluster.find_leader()
    receiver = next(x for x in sorted(cluster.nodes) if (x == leader) == is_leader)
    newcomer = create_member("r9")
    cluster.network.clear()
    cluster.addresses[f"{newcomer.address}:{newcomer.port}"] = "r9"
    cluster.managers[receiver].record_join_request(newcomer, cluster.now)
    members = [create_member(x) for x in ("r0", "r1", "r2")]
    addresses = tuple(f"{item.address}:{item.port}" for item in members)
    assert (receiver, "r9", messages.PeerList(0, addresses)) in cluster.network


# Guards against a replica that never joins, so that the loss of a second disk loses
# the cell: its requests reached a follower only, which stored them without a reply.
def test_replica_joins_through_a_seed_that_does_not_lead(cluster):
    lost = next(x for x in sorted(cluster.nodes) if x != cluster.find_leader())
    cluster.wipe(lost)
    cluster.has_leading_seeds = False
    cluster.add_replica("r9")
    cluster.settle(CATCH_UP_S)
    assert "r9" in get_membership(cluster).voters
    assert lost not in get_membership(cluster).members


def test_address_that_becomes_known_is_asked_at_once(cluster):
    """The next request to all addresses would be a second later."""
    leader = create_member(cluster.find_leader())
    address = f"{leader.address}:{leader.port}"
    cluster.has_leading_seeds = False
    cluster.add_replica("r9")
    cluster.managers["r9"].tick(cluster.now)
    cluster.network.clear()
    cluster.directories["r9"].record_peer_list((address,))
    cluster.managers["r9"].tick(cluster.now)
    request = messages.JoinRequest(0, create_member("r9"))
    assert cluster.network == [("r9", leader.replica, request)]


# Guards against a member in the log that no instance can dial: each one that read the
# membership ended, and ended again after every restart.
@pytest.mark.parametrize(
    ("address", "port"),
    [("10.0.0.9", 99999), ("10.0.0.9", 0), ("10.0.0.9", -1), ("nowhere", 7), ("", 7)],
)
def test_replica_at_an_odd_address_does_not_become_a_member(cluster, address, port):
    leader = cluster.find_leader()
    cluster.wipe(next(x for x in sorted(cluster.nodes) if x != leader))
    odd = messages.Member("r8", "i8", address, port, "dc-r8")
    for _ in range(100):
        cluster.managers[leader].record_join_request(odd, cluster.now)
        cluster.settle(0.05)
        assert "r8" not in get_membership(cluster).members
