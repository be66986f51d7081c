"""Stateful test of slot assignment: faults never overcommit an upstream."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, rule

from tests.leader.simulation import ClusterSimulation


class SlotsStateMachine(RuleBasedStateMachine):
    """Partitions, pauses, crashes, leader changes, leaving and restarted upstreams."""

    def __init__(self):
        super().__init__()
        self.simulation = ClusterSimulation()
        self.simulation.advance(1.0)

    def get_instance(self, number):
        return self.simulation.instances[number % len(self.simulation.instances)]

    @rule(number=st.integers(0, 2), count=st.integers(1, 8), tenths=st.integers(1, 45))
    def submit_requests(self, number, count, tenths):
        for _ in range(count):
            self.simulation.send_request(self.get_instance(number), tenths / 10)
        self.simulation.check_invariants()

    @rule(
        number=st.integers(0, 2),
        failure=st.sampled_from(["partition", "pause", "crash"]),
        tenths=st.integers(15, 80),
    )
    def fail_busy_holder(self, number, failure, tenths):
        """An instance that uses all slots fails while another needs them."""
        holder = self.get_instance(number)
        self.send_requests(holder)
        self.simulation.advance(1.0)
        if failure == "crash":
            self.simulation.crash(holder)
        holder.is_partitioned = failure == "partition"
        holder.is_paused = failure == "pause"
        for _ in range(tenths // 5):
            self.send_requests(holder)
            self.send_requests(self.get_instance(number + 1))
            self.simulation.advance(0.5)

    def send_requests(self, instance):
        for _ in range(8):
            self.simulation.send_request(instance, 5.0)

    @rule(tenths=st.integers(1, 30))
    def wait_briefly(self, tenths):
        self.simulation.advance(tenths / 10)

    @rule(seconds=st.integers(6, 12))
    def wait_long(self, seconds):
        self.simulation.advance(seconds)

    @rule(number=st.integers(0, 2), is_partitioned=st.booleans())
    def partition(self, number, is_partitioned):
        self.get_instance(number).is_partitioned = is_partitioned

    @rule(number=st.integers(0, 2), is_paused=st.booleans())
    def pause(self, number, is_paused):
        self.get_instance(number).is_paused = is_paused

    @rule(number=st.integers(0, 2))
    def lose_messages(self, number):
        self.get_instance(number).inbox.clear()
        self.simulation.controller.close_session(self.get_instance(number).session)

    @rule(number=st.integers(0, 2))
    def crash(self, number):
        self.simulation.crash(self.get_instance(number))

    @rule(apply_pending=st.booleans())
    def change_leader(self, apply_pending):
        self.simulation.controller.tick(self.simulation.now, self.simulation.now)
        self.simulation.change_leader(apply_pending=apply_pending)

    @rule(number=st.integers(0, 1))
    def announce_leaving_upstream(self, number):
        self.simulation.announce_leaving(f"u{number}")

    @rule(number=st.integers(0, 1))
    def restart_upstream(self, number):
        self.simulation.restart_upstream(f"u{number}")

    def teardown(self):
        """Check that every slot is usable once all faults have ended."""
        for instance in self.simulation.instances:
            instance.is_partitioned = instance.is_paused = False
        for name in self.simulation.incarnations:
            self.simulation.restart_upstream(name)
        self.simulation.advance(15.0)
        instance = self.simulation.instances[0]
        for _ in range(12):
            self.simulation.send_request(instance, 4.0)
        self.simulation.advance(1.5)
        assert len(self.simulation.running_requests) == 6, "slots were lost"


TestSlots = SlotsStateMachine.TestCase
TestSlots.settings = settings(max_examples=40, stateful_step_count=25)
