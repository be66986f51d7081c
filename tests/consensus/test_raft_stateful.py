"""Random faults against the agreement; what is committed is never lost."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bluebellyoke.consensus import messages as m
from tests.consensus.cluster import Cluster, create_member

MAX_REPLICAS = 5


class AgreementMachine(RuleBasedStateMachine):
    """Votes, loss, duplication, reordering, restarts, wiped disks, memberships."""

    def __init__(self):
        super().__init__()
        self.cluster = Cluster(3, seed=7)
        self.cluster.settle(2.0)
        self.count = 3
        self.payloads = 0
        self.stopped = set()

    def pick(self, number):
        names = sorted(self.cluster.nodes)
        return names[number % len(names)] if names else None

    @rule(steps=st.integers(1, 40))
    def pass_time(self, steps):
        for _ in range(steps):
            self.cluster.advance(0.05)

    @rule(tenths=st.integers(1, 25))
    def work(self, tenths):
        """Let the network work for a while, as far as nothing is cut."""
        self.cluster.settle(tenths / 10)

    @rule(number=st.integers(0, 9), payloads=st.integers(1, 3))
    def cut_leader_with_entries(self, number, payloads):
        """Leave entries on a leader, and on one follower at most, and cut it."""
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
    def heal(self):
        self.cluster.partitioned.clear()

    @rule(number=st.integers(0, 200), count=st.integers(1, 30))
    def deliver(self, number, count):
        for _ in range(min(count, len(self.cluster.network))):
            self.cluster.deliver(number % len(self.cluster.network))

    @rule()
    def deliver_all_in_order(self):
        for _ in range(min(400, len(self.cluster.network))):
            if self.cluster.network:
                self.cluster.deliver(0)

    @precondition(lambda self: self.cluster.network)
    @rule(number=st.integers(0, 200))
    def lose(self, number):
        self.cluster.network.pop(number % len(self.cluster.network))

    @precondition(lambda self: self.cluster.network)
    @rule(number=st.integers(0, 200))
    def repeat(self, number):
        network = self.cluster.network
        network.append(network[number % len(network)])

    @rule(number=st.integers(0, 9), is_partitioned=st.booleans())
    def cut(self, number, is_partitioned):
        name = self.pick(number)
        if name is not None:
            (
                self.cluster.partitioned.add
                if is_partitioned
                else self.cluster.partitioned.discard
            )(name)

    @rule(number=st.integers(0, 9))
    def propose(self, number):
        name = self.pick(number)
        if name is not None:
            self.payloads += 1
            self.cluster.propose(name, b"%d" % self.payloads)

    @rule(number=st.integers(0, 9))
    def crash(self, number):
        name = self.pick(number)
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
        name = self.pick(number)
        if name is not None:
            self.cluster.compact(name)

    @rule(number=st.integers(0, 9))
    def hand_over(self, number):
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
        name = self.find_settled_leader()
        if name is None:
            return
        new = f"r{self.count}"
        self.count += 1
        self.cluster.add_replica(new)
        members = self.cluster.nodes[name].membership
        learners = {**members.learners, new: create_member(new)}
        self.change(name, m.Membership(members.voters, learners))

    @rule()
    def promote_learner(self):
        name = self.find_settled_leader()
        if name is None:
            return
        members = self.cluster.nodes[name].membership
        if not members.learners:
            return
        learners = dict(members.learners)
        new = sorted(learners)[0]
        voters = {**members.voters, new: learners.pop(new)}
        self.change(name, m.Membership(voters, learners))

    @rule(number=st.integers(0, 9))
    def remove_voter(self, number):
        name = self.find_settled_leader()
        if name is None:
            return
        members = self.cluster.nodes[name].membership
        if len(members.voters) < 4:
            return
        gone = sorted(members.voters)[number % len(members.voters)]
        voters = {k: v for k, v in members.voters.items() if k != gone}
        self.change(name, m.Membership(voters, members.learners))

    def find_settled_leader(self):
        for name, node in self.cluster.nodes.items():
            if node.can_change_membership:
                return name
        return None

    def change(self, name, membership):
        self.cluster.nodes[name].propose_membership(membership, self.cluster.now)
        self.cluster.process_effects(name)

    @invariant()
    def one_trusted_leader(self):
        self.cluster.check_leases()

    def teardown(self):
        """After all faults the cell agrees and commits again."""
        for name in sorted(self.stopped):
            self.cluster.start(name)
        self.cluster.partitioned.clear()
        self.cluster.settle(12.0)
        leader = self.cluster.find_leader()
        assert leader is not None, "no leader on a good network"
        before = len(self.cluster.committed)
        self.cluster.propose(leader, b"last")
        self.cluster.settle(1.0)
        assert len(self.cluster.committed) > before


TestAgreement = AgreementMachine.TestCase
TestAgreement.settings = settings(max_examples=60, stateful_step_count=60)
