import pytest

from bluebellyoke.consensus import messages
from bluebellyoke.consensus.membership_planner import MembershipOptions, plan_membership
from tests.consensus.cluster import Cluster, create_member

OPTIONS = MembershipOptions(target_voters=3, replace_after_s=30.0)


@pytest.fixture
def cluster():
    cluster = Cluster(3)
    cluster.settle()
    return cluster


class MembershipController:
    """Makes the leader plan and propose membership changes periodically."""

    def __init__(self, cluster, joining):
        self.cluster = cluster
        self.joining = joining
        self.voter_counts = []

    def run(self, seconds):
        end = self.cluster.now + seconds
        while self.cluster.now < end:
            self.cluster.settle(0.5)
            # A replica plans again within milliseconds, before any reply arrives.
            self.step()
            self.step()

    def step(self):
        name = self.cluster.find_leader()
        if name is None:
            return
        node = self.cluster.nodes[name]
        joining = {
            key: member
            for key, member in self.joining.items()
            if key not in node.membership.members
        }
        membership = plan_membership(node, joining, self.cluster.now, OPTIONS)
        if membership is not None:
            node.propose_membership(membership, self.cluster.now)
            self.cluster.process_effects(name)
            self.voter_counts.append(len(membership.voters))


def test_cell_grows_from_one_voter_to_three():
    cluster = Cluster(1)
    for name in ("r1", "r2"):
        cluster.add_replica(name)
    joining = {name: create_member(name) for name in ("r1", "r2")}
    MembershipController(cluster, joining).run(10.0)
    assert len(cluster.nodes["r0"].membership.voters) == 3


def test_learner_that_never_replied_is_not_promoted():
    cluster = Cluster(1)
    cluster.settle(3.0)
    cluster.add_replica("r1")
    cluster.partitioned.add("r1")
    MembershipController(cluster, {"r1": create_member("r1")}).run(10.0)
    assert set(cluster.nodes["r0"].membership.voters) == {"r0"}
    assert cluster.find_leader() == "r0"


def wipe_follower(cluster):
    leader = cluster.find_leader()
    lost = next(name for name in sorted(cluster.nodes) if name != leader)
    cluster.wipe(lost)
    return lost


def test_dead_voter_is_replaced_only_after_the_timeout(cluster):
    lost = wipe_follower(cluster)
    cluster.add_replica("r9")
    controller = MembershipController(cluster, {"r9": create_member("r9")})
    controller.run(20.0)
    assert lost in cluster.nodes[cluster.find_leader()].membership.voters
    controller.run(20.0)
    voters = cluster.nodes[cluster.find_leader()].membership.voters
    assert lost not in voters
    assert len(voters) == 3
    assert min(controller.voter_counts) >= 3


def test_cell_survives_second_loss_after_replacement(cluster):
    cluster.propose(cluster.find_leader(), b"kept")
    cluster.settle(1.0)
    lost = wipe_follower(cluster)
    cluster.add_replica("r9")
    controller = MembershipController(cluster, {"r9": create_member("r9")})
    controller.run(45.0)
    voters = cluster.nodes[cluster.find_leader()].membership.voters
    assert lost not in voters
    second = next(x for x in voters if x not in ("r9", cluster.find_leader()))
    cluster.wipe(second)
    cluster.settle(5.0)
    leader = cluster.find_leader()
    assert leader is not None
    before = len(cluster.committed)
    cluster.propose(leader, b"after")
    cluster.settle(1.0)
    assert len(cluster.committed) > before
    assert any(entry.payload == b"kept" for entry in cluster.committed.values())


def test_wiped_instance_is_replaced_without_the_timeout(cluster):
    lost = wipe_follower(cluster)
    cluster.add_replica("new")
    member = messages.Member("new", lost, "127.0.0.1", 1, f"dc-{lost}")
    MembershipController(cluster, {"new": member}).run(10.0)
    voters = cluster.nodes[cluster.find_leader()].membership.voters
    assert "new" in voters
    assert lost not in voters


def test_wiped_instance_replaces_its_former_replica_not_a_live_voter(cluster):
    """All four voters are in different data centres.

    While the former replica and its replacement both vote, the data centres do not
    determine which voter is surplus, so a live one could be removed.
    """
    leader = cluster.find_leader()
    lost = wipe_follower(cluster)
    alive = next(x for x in cluster.nodes if x not in (leader, lost))
    cluster.add_replica("new")
    member = messages.Member("new", lost, "127.0.0.1", 1, "dc-new")
    MembershipController(cluster, {"new": member}).run(10.0)
    voters = cluster.nodes[cluster.find_leader()].membership.voters
    assert set(voters) == {leader, alive, "new"}


def test_unreachable_voter_is_removed_before_a_live_one(cluster):
    """One voter is surplus and all voters are in different data centres.

    Only reachability determines which one to remove.
    """
    leader = cluster.find_leader()
    cluster.add_replica("r9")
    voters = dict(cluster.nodes[leader].membership.voters)
    voters["r9"] = create_member("r9")
    cluster.nodes[leader].propose_membership(
        messages.Membership(voters, {}), cluster.now
    )
    cluster.process_effects(leader)
    cluster.settle(1.0)
    lost = wipe_follower(cluster)
    cluster.settle(3.0)
    MembershipController(cluster, {}).run(6.0)
    remaining = cluster.nodes[cluster.find_leader()].membership.voters
    assert lost not in remaining
    assert len(remaining) == 3


def test_replacement_is_chosen_from_data_centre_with_fewest_members(cluster):
    lost = wipe_follower(cluster)
    data_centre = f"dc-{cluster.find_leader()}"
    near = messages.Member("r8", "r8", "127.0.0.1", 1, data_centre)
    far = messages.Member("r9", "r9", "127.0.0.1", 1, "dc-new")
    for name in ("r8", "r9"):
        cluster.add_replica(name)
    MembershipController(cluster, {"r8": near, "r9": far}).run(45.0)
    voters = cluster.nodes[cluster.find_leader()].membership.voters
    assert "r9" in voters
    assert lost not in voters
