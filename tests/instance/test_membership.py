"""Tests of the leader's view of joining replicas and of its followers."""

import pytest

from bluebellyoke.consensus import messages
from tests.consensus.cluster import create_member
from tests.instance.membership import ManagedCluster


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


def test_replica_outside_the_membership_is_told_the_members(cluster):
    leader = cluster.find_leader()
    newcomer = create_member("r9")
    cluster.network.clear()
    cluster.addresses[f"{newcomer.address}:{newcomer.port}"] = "r9"
    cluster.managers[leader].record_join_request(newcomer, cluster.now)
    members = [create_member(x) for x in ("r0", "r1", "r2")]
    addresses = tuple(f"{item.address}:{item.port}" for item in members)
    assert (leader, "r9", messages.PeerList(0, addresses)) in cluster.network
