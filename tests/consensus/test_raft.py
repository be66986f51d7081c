import pytest

from bluebellyoke.consensus import messages as m
from bluebellyoke.consensus.raft import MembershipBusyError
from tests.consensus.cluster import Cluster, create_member


@pytest.fixture
def cluster():
    cluster = Cluster(3)
    cluster.settle()
    return cluster


def test_one_leader_is_elected_and_commits(cluster):
    leader = cluster.find_leader()
    cluster.propose(leader, b"a")
    cluster.settle(1.0)
    payloads = [entry.payload for entry in cluster.committed.values()]
    assert b"a" in payloads
    assert len(set(cluster.applied.values())) == 1


def test_returning_replica_does_not_disturb_the_term(cluster):
    leader = cluster.find_leader()
    other = next(name for name in cluster.cores if name != leader)
    term = cluster.cores[leader].term
    cluster.cut.add(other)
    cluster.settle(30.0)
    cluster.cut.clear()
    cluster.settle(3.0)
    assert cluster.find_leader() == leader
    assert cluster.cores[leader].term == term


def test_cut_leader_stops_to_trust_itself_before_another_is_elected(cluster):
    leader = cluster.find_leader()
    cluster.cut.add(leader)
    seen = set()
    for _ in range(200):
        cluster.advance(0.02)
        while cluster.network:
            cluster.deliver(0)
        seen.add(cluster.find_leader())
    assert not cluster.cores[leader].is_leader
    assert seen - {leader, None}


def test_restarted_voter_waits_before_it_votes(cluster):
    leader = cluster.find_leader()
    voter = next(name for name in cluster.cores if name != leader)
    cluster.crash(voter)
    cluster.start(voter)
    core = cluster.cores[voter]
    request = m.VoteRequest(core.term + 1, 99, 99, False)
    core.receive("r9", request, cluster.now + 0.1)
    assert core.term < request.term


def test_snapshot_brings_a_late_replica_up_to_date(cluster):
    leader = cluster.find_leader()
    late = next(name for name in cluster.cores if name != leader)
    cluster.cut.add(late)
    for number in range(20):
        cluster.propose(leader, b"%d" % number)
    cluster.settle(1.0)
    cluster.compact(leader)
    cluster.cut.clear()
    cluster.settle(3.0)
    assert cluster.applied[late] == cluster.applied[leader]
    assert cluster.disks[late].snapshots.data


def test_wiped_replica_rejoins_under_a_new_name(cluster):
    leader = cluster.find_leader()
    wiped = next(name for name in cluster.cores if name != leader)
    cluster.propose(leader, b"kept")
    cluster.settle(1.0)
    cluster.wipe(wiped)
    cluster.add_replica("r9")
    core = cluster.cores[leader]
    voters = dict(core.membership.voters)
    learners = {"r9": create_member("r9")}
    core.propose_membership(m.Membership(voters, learners), cluster.now)
    cluster.pump(leader)
    cluster.settle(2.0)
    voters["r9"] = create_member("r9")
    core.propose_membership(m.Membership(voters, {}), cluster.now)
    cluster.pump(leader)
    cluster.settle(2.0)
    del voters[wiped]
    core.propose_membership(m.Membership(voters, {}), cluster.now)
    cluster.pump(leader)
    cluster.settle(2.0)
    assert cluster.applied["r9"] == cluster.applied[leader]
    assert set(cluster.cores["r9"].membership.voters) == set(voters)


def test_hand_over_moves_the_lead_without_two_leaders(cluster):
    leader = cluster.find_leader()
    target = next(name for name in cluster.cores if name != leader)
    assert cluster.cores[leader].transfer_leadership(target, cluster.now)
    cluster.pump(leader)
    cluster.settle(1.0)
    assert cluster.find_leader() == target


def test_lost_hand_over_ends_the_lead(cluster):
    leader = cluster.find_leader()
    target = next(name for name in cluster.cores if name != leader)
    cluster.cores[leader].transfer_leadership(target, cluster.now)
    cluster.cores[leader].take_effects()
    cluster.settle(6.0)
    assert cluster.find_leader() is not None


def test_follower_with_an_old_log_gets_no_vote(cluster):
    leader = cluster.find_leader()
    cluster.propose(leader, b"a")
    cluster.settle(1.0)
    voter = next(name for name in cluster.cores if name != leader)
    core = cluster.cores[voter]
    cluster.now += 10
    core.receive("r8", m.VoteRequest(core.term + 1, 1, 1, False), cluster.now)
    replies = [x for _, x in core.take_effects().messages]
    assert [reply.granted for reply in replies] == [False]


def test_vote_survives_a_restart():
    cluster = Cluster(3)
    cluster.now += 10
    request = m.VoteRequest(5, 9, 9, False)
    cluster.cores["r0"].receive("r1", request, cluster.now)
    cluster.pump("r0")
    assert cluster.network[-1][2].granted
    cluster.crash("r0")
    cluster.start("r0")
    cluster.now += 10
    cluster.cores["r0"].receive("r2", request, cluster.now)
    cluster.pump("r0")
    assert not cluster.network[-1][2].granted


def test_entry_of_an_earlier_term_waits_for_one_of_the_own_term():
    cluster = Cluster(3)
    core = cluster.cores["r0"]
    cluster.now += 10
    earlier = m.AppendRequest(2, 1, 1, 1, 0.0, (m.Entry(2, 2, m.EntryKind.NOOP),))
    core.receive("r1", earlier, cluster.now)
    cluster.pump("r0")
    cluster.now += 10
    core.tick(cluster.now)
    core.receive("r2", m.VoteReply(3, True, True), cluster.now)
    core.receive("r2", m.VoteReply(3, True, False), cluster.now)
    cluster.pump("r0")
    assert core.is_leader
    core.receive("r2", m.AppendReply(3, True, 2, cluster.now), cluster.now)
    assert core.commit_index == 1
    core.receive("r2", m.AppendReply(3, True, 3, cluster.now), cluster.now)
    assert core.commit_index == 3


def test_leader_that_hands_over_trusts_its_lease_no_more(cluster):
    leader = cluster.find_leader()
    target, third = sorted(set(cluster.cores) - {leader})
    cluster.network.clear()
    cluster.cores[leader].transfer_leadership(target, cluster.now)
    cluster.pump(leader)
    cluster.deliver(0)
    cluster.cut.add(leader)
    while cluster.network:
        cluster.deliver(0)
    assert cluster.cores[target].is_leader
    cluster.check_leases()
    assert third in cluster.cores


def test_second_membership_change_waits_for_the_first(cluster):
    leader = cluster.find_leader()
    core = cluster.cores[leader]
    voters = {**core.membership.voters, "r8": create_member("r8")}
    core.propose_membership(m.Membership(voters, {}), cluster.now)
    voters["r9"] = create_member("r9")
    with pytest.raises(MembershipBusyError):
        core.propose_membership(m.Membership(voters, {}), cluster.now)
