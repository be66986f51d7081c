"""Stateful property test of Raft: random faults never lose a committed entry."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bluebellyoke.consensus import messages
from tests.consensus.cluster import Cluster, create_member

MAX_REPLICAS = 5


class RaftMachine(RuleBasedStateMachine):
    """Injects message loss, duplication, reordering, partitions and restarts.

    It also compacts logs, transfers leadership and changes the membership.
    """

    def __init__(self):
        super().__init__()
        self.cluster = Cluster(3, seed=7)
        self.cluster.settle(2.0)
        self.count = 3
        self.payloads = 0
        self.stopped = set()

    def choose_replica(self, number):
        names = sorted(self.cluster.nodes)
        return names[number % len(names)] if names else None

    @rule(steps=st.integers(1, 40))
    def advance_time(self, steps):
        for _ in range(steps):
            self.cluster.advance(0.05)

    @rule(tenths=st.integers(1, 25))
    def deliver_for(self, tenths):
        """Advance time while delivering all messages between connected replicas."""
        self.cluster.settle(tenths / 10)

    @rule(number=st.integers(0, 9), payloads=st.integers(1, 3))
    def partition_leader_with_uncommitted_entries(self, number, payloads):
        """Partition a leader whose new entries reached at most one follower."""
        for name, node in self.cluster.nodes.items():
            if node.is_leader and name not in self.cluster.partitioned:
                for _ in range(payloads):
                    self.payloads += 1
                    self.cluster.propose(name, b"%d" % self.payloads)
                if self.cluster.network:
                    self.cluster.deliver(number % len(self.cluster.network))
                self.cluster.partitioned.add(name)
                return

    @rule()
    def heal_partitions(self):
        self.cluster.partitioned.clear()

    @rule(number=st.integers(0, 200), count=st.integers(1, 30))
    def deliver(self, number, count):
        for _ in range(min(count, len(self.cluster.network))):
            self.cluster.deliver(number % len(self.cluster.network))

    @rule()
    def deliver_in_order(self):
        for _ in range(min(400, len(self.cluster.network))):
            if self.cluster.network:
                self.cluster.deliver(0)

    @precondition(lambda self: self.cluster.network)
    @rule(number=st.integers(0, 200))
    def drop_message(self, number):
        self.cluster.network.pop(number % len(self.cluster.network))

    @precondition(lambda self: self.cluster.network)
    @rule(number=st.integers(0, 200))
    def duplicate_message(self, number):
        network = self.cluster.network
        network.append(network[number % len(network)])

    @rule(number=st.integers(0, 9), is_partitioned=st.booleans())
    def set_partitioned(self, number, is_partitioned):
        name = self.choose_replica(number)
        if name is not None:
            (
                self.cluster.partitioned.add
                if is_partitioned
                else self.cluster.partitioned.discard
            )(name)

    @rule(number=st.integers(0, 9))
    def propose(self, number):
        name = self.choose_replica(number)
        if name is not None:
            self.payloads += 1
            self.cluster.propose(name, b"%d" % self.payloads)

    @rule(number=st.integers(0, 9))
    def crash(self, number):
        name = self.choose_replica(number)
        if name is not None and len(self.stopped) < 2:
            self.cluster.crash(name)
            self.stopped.add(name)

    @precondition(lambda self: self.stopped)
    @rule()
    def restart(self):
        name = sorted(self.stopped)[0]
        self.stopped.remove(name)
        self.cluster.start(name)

    @rule(number=st.integers(0, 9))
    def compact(self, number):
        name = self.choose_replica(number)
        if name is not None:
            self.cluster.compact(name)

    @rule(number=st.integers(0, 9))
    def transfer_leadership(self, number):
        for name, node in self.cluster.nodes.items():
            if node.is_leader and node.progress:
                targets = sorted(node.progress)
                node.transfer_leadership(
                    targets[number % len(targets)], self.cluster.now
                )
                self.cluster.process_effects(name)

    @precondition(lambda self: self.count < MAX_REPLICAS)
    @rule()
    def add_learner(self):
        name = self.find_leader_for_membership_change()
        if name is None:
            return
        learner = f"r{self.count}"
        self.count += 1
        self.cluster.add_replica(learner)
        membership = self.cluster.nodes[name].membership
        learners = {**membership.learners, learner: create_member(learner)}
        self.propose_membership(name, messages.Membership(membership.voters, learners))

    @rule()
    def promote_learner(self):
        name = self.find_leader_for_membership_change()
        if name is None:
            return
        membership = self.cluster.nodes[name].membership
        if not membership.learners:
            return
        learners = dict(membership.learners)
        learner = sorted(learners)[0]
        voters = {**membership.voters, learner: learners.pop(learner)}
        self.propose_membership(name, messages.Membership(voters, learners))

    @rule(number=st.integers(0, 9))
    def remove_voter(self, number):
        name = self.find_leader_for_membership_change()
        if name is None:
            return
        membership = self.cluster.nodes[name].membership
        if len(membership.voters) < 4:
            return
        removed = sorted(membership.voters)[number % len(membership.voters)]
        voters = {k: v for k, v in membership.voters.items() if k != removed}
        self.propose_membership(name, messages.Membership(voters, membership.learners))

    def find_leader_for_membership_change(self):
        for name, node in self.cluster.nodes.items():
            if node.can_change_membership:
                return name
        return None

    def propose_membership(self, name, membership):
        self.cluster.nodes[name].propose_membership(membership, self.cluster.now)
        self.cluster.process_effects(name)

    @invariant()
    def at_most_one_valid_lease(self):
        self.cluster.check_leases()

    def teardown(self):
        """Check that the cluster elects a leader and commits once all faults end."""
        for name in sorted(self.stopped):
            self.cluster.start(name)
        self.cluster.partitioned.clear()
        self.cluster.settle(12.0)
        leader = self.cluster.find_leader()
        assert leader is not None, "no leader on a healthy network"
        before = len(self.cluster.committed)
        self.cluster.propose(leader, b"last")
        self.cluster.settle(1.0)
        assert len(self.cluster.committed) > before


TestRaft = RaftMachine.TestCase
TestRaft.settings = settings(max_examples=60, stateful_step_count=60)
