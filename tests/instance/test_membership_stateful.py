"""Stateful property test: replacements in succession never lose the cell.

Pattern: machines with a voter are replaced one after the other by empty machines with
other addresses, until no founder is left. Voters also restart, lose their disks and
shut down. Each fault comes once the previous replacement has had its time.
"""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tests.instance.membership import TARGET_VOTERS, ManagedCluster

#: Time in which a new machine must be a voter, in seconds.
CATCH_UP_S = 4.0


class ReplacementMachine(RuleBasedStateMachine):
    """Replaces, restarts, wipes and stops voters; one of them at a time."""

    def __init__(self):
        super().__init__()
        self.cluster = ManagedCluster()
        self.count = TARGET_VOTERS
        self.gone = set()
        self.cluster.settle(3.0)

    def choose_voter(self, number):
        voters = sorted(self.cluster.list_voters())
        return voters[number % len(voters)]

    @precondition(lambda self: len(self.cluster.nodes) == TARGET_VOTERS)
    @rule()
    def add_spare(self):
        self.start_newcomer()
        self.cluster.settle(CATCH_UP_S)

    @rule(has_leading_seeds=st.booleans())
    def change_seeds(self, has_leading_seeds):
        """Without leading seeds, a new machine knows a single follower at first."""
        self.cluster.has_leading_seeds = has_leading_seeds

    def start_newcomer(self):
        name = f"r{self.count}"
        self.count += 1
        self.cluster.add_replica(name)

    @rule(number=st.integers(0, 9), delay_s=st.sampled_from([0.1, 1.0, 3.0]))
    def replace_voter(self, number, delay_s):
        name = self.choose_voter(number)
        self.gone.add(name)
        self.cluster.wipe(name)
        self.cluster.settle(delay_s)
        self.start_newcomer()
        self.cluster.settle(CATCH_UP_S)

    @rule(number=st.integers(0, 9), drain_s=st.sampled_from([0.6, 2.0]))
    def replace_voter_as_planned(self, number, drain_s):
        """Start the new machine first, then shut the old one down.

        Another voter fails as soon as the old machine is gone.
        """
        self.start_newcomer()
        self.cluster.settle(CATCH_UP_S)
        name = self.choose_voter(number)
        self.cluster.managers[name].start_leaving()
        self.cluster.settle(drain_s)
        self.hand_over(name)
        self.cluster.settle(0.6)
        self.gone.add(name)
        self.cluster.wipe(name)
        other = next(x for x in sorted(self.cluster.list_voters()) if x != name)
        self.cluster.crash(other)
        self.cluster.settle(3.0)
        assert self.cluster.find_leader() is not None
        self.cluster.start(other)
        self.cluster.settle(CATCH_UP_S)

    def hand_over(self, name):
        node = self.cluster.nodes[name]
        if node.is_leader:
            leaving = self.cluster.managers[name].list_leaving()
            target = next(x for x in sorted(node.progress) if x not in leaving)
            node.transfer_leadership(target, self.cluster.now)
            self.cluster.process_effects(name)

    @rule(number=st.integers(0, 9), down_s=st.sampled_from([0.5, 3.0]))
    def restart_voter(self, number, down_s):
        name = self.choose_voter(number)
        self.cluster.crash(name)
        self.cluster.settle(down_s)
        self.cluster.start(name)
        self.cluster.settle(CATCH_UP_S)

    @precondition(lambda self: len(self.cluster.nodes) > TARGET_VOTERS)
    @rule(number=st.integers(0, 9))
    def lose_voter_beside_a_spare(self, number):
        name = self.choose_voter(number)
        self.gone.add(name)
        self.cluster.wipe(name)
        self.cluster.settle(CATCH_UP_S)

    @invariant()
    def cell_keeps_its_voters(self):
        self.cluster.settle(2.0)
        voters = self.cluster.list_voters()
        assert len(voters) == TARGET_VOTERS, f"voters are {voters or 'leaderless'}"
        assert not voters & self.gone, "a replica that is gone for good still votes"
        assert voters <= set(self.cluster.nodes)

    @invariant()
    def cell_commits(self):
        before = len(self.cluster.committed)
        self.cluster.propose(self.cluster.find_leader(), b"x")
        self.cluster.settle(0.5)
        assert len(self.cluster.committed) > before


TestReplacements = ReplacementMachine.TestCase
TestReplacements.settings = settings(
    max_examples=25, stateful_step_count=8, deadline=None, derandomize=True
)
