import pytest

from bluebellyoke.consensus import messages as m
from bluebellyoke.consensus.membership_planner import MembershipOptions, plan_membership
from tests.consensus.cluster import Cluster, create_member

OPTIONS = MembershipOptions(target_voters=3, replace_after_s=30.0)


@pytest.fixture
def cluster():
    cluster = Cluster(3)
    cluster.settle()
    return cluster


class Repairer:
    """Lets the leader carry out its plans until none is left."""

    def __init__(self, cluster, candidates):
        self.cluster = cluster
        self.candidates = candidates
        self.voter_counts = []

    def run(self, seconds):
        end = self.cluster.now + seconds
        while self.cluster.now < end:
            self.cluster.settle(0.5)
            # A shell asks again within milliseconds, before any answer has come.
            self.step()
            self.step()

    def step(self):
        name = self.cluster.find_leader()
        if name is None:
            return
        node = self.cluster.nodes[name]
        offers = {
            key: member
            for key, member in self.candidates.items()
            if key not in node.membership.members
        }
        plan = plan_membership(node, offers, self.cluster.now, OPTIONS)
        if plan is not None:
            node.propose_membership(plan, self.cluster.now)
            self.cluster.process_effects(name)
            self.voter_counts.append(len(plan.voters))


def test_cell_grows_from_one_voter_to_three():
    cluster = Cluster(1)
    for name in ("r1", "r2"):
        cluster.add_replica(name)
    offers = {name: create_member(name) for name in ("r1", "r2")}
    Repairer(cluster, offers).run(10.0)
    assert len(cluster.nodes["r0"].membership.voters) == 3


def test_learner_that_never_answered_is_not_promoted():
    cluster = Cluster(1)
    cluster.settle(3.0)
    cluster.add_replica("r1")
    cluster.partitioned.add("r1")
    Repairer(cluster, {"r1": create_member("r1")}).run(10.0)
    assert set(cluster.nodes["r0"].membership.voters) == {"r0"}
    assert cluster.find_leader() == "r0"


def lose_follower(cluster):
    leader = cluster.find_leader()
    lost = next(name for name in sorted(cluster.nodes) if name != leader)
    cluster.wipe(lost)
    return lost


def test_dead_voter_stays_until_its_time_is_over(cluster):
    lost = lose_follower(cluster)
    cluster.add_replica("r9")
    repairer = Repairer(cluster, {"r9": create_member("r9")})
    repairer.run(20.0)
    assert lost in cluster.nodes[cluster.find_leader()].membership.voters
    repairer.run(20.0)
    voters = cluster.nodes[cluster.find_leader()].membership.voters
    assert lost not in voters
    assert len(voters) == 3
    assert min(repairer.voter_counts) >= 3


def test_second_loss_right_after_the_repair_is_survived(cluster):
    cluster.propose(cluster.find_leader(), b"kept")
    cluster.settle(1.0)
    lost = lose_follower(cluster)
    cluster.add_replica("r9")
    repairer = Repairer(cluster, {"r9": create_member("r9")})
    repairer.run(45.0)
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


def test_wiped_instance_takes_its_own_place_without_the_wait(cluster):
    lost = lose_follower(cluster)
    cluster.add_replica("new")
    member = m.Member("new", lost, "127.0.0.1", 1, f"dc-{lost}")
    Repairer(cluster, {"new": member}).run(10.0)
    voters = cluster.nodes[cluster.find_leader()].membership.voters
    assert "new" in voters
    assert lost not in voters


def test_wiped_instance_replaces_its_old_self_and_no_live_voter(cluster):
    """Also where the data centres tell nothing of which of four voters may go."""
    leader = cluster.find_leader()
    lost = lose_follower(cluster)
    alive = next(x for x in cluster.nodes if x not in (leader, lost))
    cluster.add_replica("new")
    member = m.Member("new", lost, "127.0.0.1", 1, "dc-new")
    Repairer(cluster, {"new": member}).run(10.0)
    voters = cluster.nodes[cluster.find_leader()].membership.voters
    assert set(voters) == {leader, alive, "new"}


def test_silent_voter_leaves_before_a_live_one(cluster):
    """There is one voter too many, and nothing else tells which is to go."""
    leader = cluster.find_leader()
    cluster.add_replica("r9")
    voters = dict(cluster.nodes[leader].membership.voters)
    voters["r9"] = create_member("r9")
    cluster.nodes[leader].propose_membership(m.Membership(voters, {}), cluster.now)
    cluster.process_effects(leader)
    cluster.settle(1.0)
    lost = lose_follower(cluster)
    cluster.settle(3.0)
    Repairer(cluster, {}).run(6.0)
    left = cluster.nodes[cluster.find_leader()].membership.voters
    assert lost not in left
    assert len(left) == 3


def test_replacement_goes_to_the_emptiest_data_centre(cluster):
    lost = lose_follower(cluster)
    place = f"dc-{cluster.find_leader()}"
    near = m.Member("r8", "r8", "127.0.0.1", 1, place)
    far = m.Member("r9", "r9", "127.0.0.1", 1, "dc-new")
    for name in ("r8", "r9"):
        cluster.add_replica(name)
    Repairer(cluster, {"r8": near, "r9": far}).run(45.0)
    voters = cluster.nodes[cluster.find_leader()].membership.voters
    assert "r9" in voters
    assert lost not in voters
