"""Random faults around the slots; no upstream is ever overcommitted."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, rule

from tests.leader.harness import World


class SlotsMachine(RuleBasedStateMachine):
    """Cuts, pauses, crashes, leader changes, leaving and restarted upstreams."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.world.pass_time(1.0)

    def pick(self, number):
        return self.world.instances[number % len(self.world.instances)]

    @rule(number=st.integers(0, 2), count=st.integers(1, 8), tenths=st.integers(1, 45))
    def send(self, number, count, tenths):
        for _ in range(count):
            self.world.request(self.pick(number), tenths / 10)
        self.world.check()

    @rule(
        number=st.integers(0, 2),
        how=st.sampled_from(["cut", "pause", "crash"]),
        tenths=st.integers(15, 80),
    )
    def lose_a_busy_holder(self, number, how, tenths):
        """An instance with all slots vanishes while the others want them."""
        holder = self.pick(number)
        self.flood(holder)
        self.world.pass_time(1.0)
        if how == "crash":
            self.world.crash(holder)
        holder.is_cut = how == "cut"
        holder.is_paused = how == "pause"
        for _ in range(tenths // 5):
            self.flood(holder)
            self.flood(self.pick(number + 1))
            self.world.pass_time(0.5)

    def flood(self, instance):
        for _ in range(8):
            self.world.request(instance, 5.0)

    @rule(tenths=st.integers(1, 30))
    def wait(self, tenths):
        self.world.pass_time(tenths / 10)

    @rule(seconds=st.integers(6, 12))
    def wait_long(self, seconds):
        self.world.pass_time(seconds)

    @rule(number=st.integers(0, 2), is_cut=st.booleans())
    def cut(self, number, is_cut):
        self.pick(number).is_cut = is_cut

    @rule(number=st.integers(0, 2), is_paused=st.booleans())
    def pause(self, number, is_paused):
        self.pick(number).is_paused = is_paused

    @rule(number=st.integers(0, 2))
    def lose_messages(self, number):
        self.pick(number).inbox.clear()
        self.world.controller.close_session(self.pick(number).session)

    @rule(number=st.integers(0, 2))
    def crash(self, number):
        self.world.crash(self.pick(number))

    @rule(apply_pending=st.booleans())
    def change_leader(self, apply_pending):
        self.world.controller.tick(self.world.now, self.world.now)
        self.world.change_leader(apply_pending=apply_pending)

    @rule(number=st.integers(0, 1))
    def leave(self, number):
        self.world.leave(f"u{number}")

    @rule(number=st.integers(0, 1))
    def restart_upstream(self, number):
        self.world.restart_upstream(f"u{number}")

    def teardown(self):
        """After all faults every slot can be used again."""
        for instance in self.world.instances:
            instance.is_cut = instance.is_paused = False
        for name in self.world.incarnations:
            self.world.restart_upstream(name)
        self.world.pass_time(15.0)
        instance = self.world.instances[0]
        for _ in range(12):
            self.world.request(instance, 4.0)
        self.world.pass_time(1.5)
        assert len(self.world.running) == 6, "slots were lost"


TestSlots = SlotsMachine.TestCase
TestSlots.settings = settings(max_examples=40, stateful_step_count=25)
