import pytest

from bluebellyoke.consensus import messages
from bluebellyoke.consensus.raft import MembershipBusyError
from tests.consensus.cluster import Cluster, create_member


@pytest.fixture
def cluster():
    cluster = Cluster(3)
    cluster.settle()
    return cluster


def test_single_leader_is_elected_and_commits(cluster):
    leader = cluster.find_leader()
    cluster.propose(leader, b"a")
    cluster.settle(1.0)
    payloads = [entry.payload for entry in cluster.committed.values()]
    assert b"a" in payloads
    assert len(set(cluster.applied.values())) == 1


def test_replica_returning_from_partition_does_not_raise_the_term(cluster):
    leader = cluster.find_leader()
    other = next(name for name in cluster.nodes if name != leader)
    term = cluster.nodes[leader].term
    cluster.partitioned.add(other)
    cluster.settle(30.0)
    cluster.partitioned.clear()
    cluster.settle(3.0)
    assert cluster.find_leader() == leader
    assert cluster.nodes[leader].term == term


def test_partitioned_leader_loses_its_lease_before_another_is_elected(cluster):
    leader = cluster.find_leader()
    cluster.partitioned.add(leader)
    leaders = set()
    for _ in range(200):
        cluster.advance(0.02)
        while cluster.network:
            cluster.deliver(0)
        leaders.add(cluster.find_leader())
    assert not cluster.nodes[leader].is_leader
    assert leaders - {leader, None}


def test_restarted_voter_ignores_vote_requests_at_first(cluster):
    leader = cluster.find_leader()
    voter = next(name for name in cluster.nodes if name != leader)
    cluster.crash(voter)
    cluster.start(voter)
    node = cluster.nodes[voter]
    request = messages.VoteRequest(node.term + 1, 99, 99, False)
    node.receive("r9", request, cluster.now + 0.1)
    assert node.term < request.term


def test_lagging_replica_catches_up_from_snapshot(cluster):
    leader = cluster.find_leader()
    lagging = next(name for name in cluster.nodes if name != leader)
    cluster.partitioned.add(lagging)
    for number in range(20):
        cluster.propose(leader, b"%d" % number)
    cluster.settle(1.0)
    cluster.compact(leader)
    cluster.partitioned.clear()
    cluster.settle(3.0)
    assert cluster.applied[lagging] == cluster.applied[leader]
    assert cluster.disks[lagging].snapshots.data


def test_wiped_replica_rejoins_under_a_new_identity(cluster):
    leader = cluster.find_leader()
    wiped = next(name for name in cluster.nodes if name != leader)
    cluster.propose(leader, b"kept")
    cluster.settle(1.0)
    cluster.wipe(wiped)
    cluster.add_replica("r9")
    node = cluster.nodes[leader]
    voters = dict(node.membership.voters)
    learners = {"r9": create_member("r9")}
    node.propose_membership(messages.Membership(voters, learners), cluster.now)
    cluster.process_effects(leader)
    cluster.settle(2.0)
    voters["r9"] = create_member("r9")
    node.propose_membership(messages.Membership(voters, {}), cluster.now)
    cluster.process_effects(leader)
    cluster.settle(2.0)
    del voters[wiped]
    node.propose_membership(messages.Membership(voters, {}), cluster.now)
    cluster.process_effects(leader)
    cluster.settle(2.0)
    assert cluster.applied["r9"] == cluster.applied[leader]
    assert set(cluster.nodes["r9"].membership.voters) == set(voters)


def test_leadership_transfer_succeeds_without_two_leaders(cluster):
    leader = cluster.find_leader()
    target = next(name for name in cluster.nodes if name != leader)
    assert cluster.nodes[leader].transfer_leadership(target, cluster.now)
    cluster.process_effects(leader)
    cluster.settle(1.0)
    assert cluster.find_leader() == target


def test_lost_transfer_request_leads_to_new_election(cluster):
    leader = cluster.find_leader()
    target = next(name for name in cluster.nodes if name != leader)
    cluster.nodes[leader].transfer_leadership(target, cluster.now)
    cluster.nodes[leader].take_effects()
    cluster.settle(6.0)
    assert cluster.find_leader() is not None


def test_candidate_with_outdated_log_gets_no_vote(cluster):
    leader = cluster.find_leader()
    cluster.propose(leader, b"a")
    cluster.settle(1.0)
    voter = next(name for name in cluster.nodes if name != leader)
    node = cluster.nodes[voter]
    cluster.now += 10
    node.receive("r8", messages.VoteRequest(node.term + 1, 1, 1, False), cluster.now)
    replies = [x for _, x in node.take_effects().messages]
    assert [reply.granted for reply in replies] == [False]


def test_vote_survives_a_restart():
    cluster = Cluster(3)
    cluster.now += 10
    request = messages.VoteRequest(5, 9, 9, False)
    cluster.nodes["r0"].receive("r1", request, cluster.now)
    cluster.process_effects("r0")
    assert cluster.network[-1][2].granted
    cluster.crash("r0")
    cluster.start("r0")
    cluster.now += 10
    cluster.nodes["r0"].receive("r2", request, cluster.now)
    cluster.process_effects("r0")
    assert not cluster.network[-1][2].granted


def test_entry_of_earlier_term_is_committed_only_with_one_of_current_term():
    cluster = Cluster(3)
    node = cluster.nodes["r0"]
    cluster.now += 10
    earlier = messages.AppendRequest(
        2, 1, 1, 1, 0.0, (messages.Entry(2, 2, messages.EntryKind.NOOP),)
    )
    node.receive("r1", earlier, cluster.now)
    cluster.process_effects("r0")
    cluster.now += 10
    node.tick(cluster.now)
    node.receive("r2", messages.VoteReply(3, True, True), cluster.now)
    node.receive("r2", messages.VoteReply(3, True, False), cluster.now)
    cluster.process_effects("r0")
    assert node.is_leader
    node.receive("r2", messages.AppendReply(3, True, 2, cluster.now), cluster.now)
    assert node.commit_index == 1
    node.receive("r2", messages.AppendReply(3, True, 3, cluster.now), cluster.now)
    assert node.commit_index == 3


def test_lease_is_invalid_during_leadership_transfer(cluster):
    leader = cluster.find_leader()
    target, third = sorted(set(cluster.nodes) - {leader})
    cluster.network.clear()
    cluster.nodes[leader].transfer_leadership(target, cluster.now)
    cluster.process_effects(leader)
    cluster.deliver(0)
    cluster.partitioned.add(leader)
    while cluster.network:
        cluster.deliver(0)
    assert cluster.nodes[target].is_leader
    cluster.check_leases()
    assert third in cluster.nodes


def test_second_membership_change_is_rejected_until_the_first_is_committed(cluster):
    leader = cluster.find_leader()
    node = cluster.nodes[leader]
    voters = {**node.membership.voters, "r8": create_member("r8")}
    node.propose_membership(messages.Membership(voters, {}), cluster.now)
    voters["r9"] = create_member("r9")
    with pytest.raises(MembershipBusyError):
        node.propose_membership(messages.Membership(voters, {}), cluster.now)
