import pytest

from bluebellyoke.instance import wire as w
from tests.leader.harness import SLOTS, World

LONGEST_S = 5.0


@pytest.fixture
def world():
    world = World()
    world.pass_time(1.0)
    return world


def flood(world, instance, count=8):
    for _ in range(count):
        world.request(instance, LONGEST_S)


def flood_for(world, seconds, *instances):
    for _ in range(int(seconds / 0.25)):
        for instance in instances:
            flood(world, instance)
        world.pass_time(0.25)


def gather(world, instance):
    """Give one instance all slots, and have it use them."""
    flood(world, instance)
    world.pass_time(1.0)
    assert len(world.running) == 2 * SLOTS


def test_slots_move_to_where_the_callers_are(world):
    first, second, _ = world.instances
    flood(world, first)
    world.pass_time(0.5)
    assert len(world.running) == 2 * SLOTS
    world.pass_time(6.0)
    flood(world, second)
    world.pass_time(0.5)
    assert len(world.running) == 2 * SLOTS


def test_slots_of_a_dead_instance_wait_for_its_requests(world):
    first, second, _ = world.instances
    gather(world, first)
    world.crash(first)
    first.is_cut = True
    flood_for(world, 9.0, second)
    assert any(item.holder.startswith("i1") for item in world.running)


def test_cut_instance_stops_before_its_slots_go_elsewhere(world):
    slow, other, _ = world.instances
    gather(world, slow)
    slow.is_cut = True
    flood_for(world, 12.0, slow, other)
    assert any(item.holder.startswith("i1") for item in world.running)


def test_request_of_the_last_moment_ends_before_its_slot_moves(world):
    slow, other, _ = world.instances
    gather(world, slow)
    for item in world.running:
        item.ends = world.now + 0.5
    world.pass_time(0.6)
    slow.is_cut = True
    asked = 0
    while slow.router.has_lease(slow.read_clock(world.now)):
        if slow.router.lease_expiry - slow.read_clock(world.now) < 0.1 and not asked:
            asked = 1
            flood(world, slow)
        world.step(0.01)
    assert asked
    assert any(item.holder.startswith("i0") for item in world.running)
    flood_for(world, 9.0, other)
    assert any(item.holder.startswith("i1") for item in world.running)


def test_paused_instance_resumes_without_its_slots(world):
    first, second, _ = world.instances
    gather(world, first)
    first.is_paused = True
    flood_for(world, 9.0, second)
    first.is_paused = False
    first.is_cut = True
    flood_for(world, 2.0, first, second)


def test_returning_instance_does_not_use_slots_on_their_way_back(world):
    first, second, _ = world.instances
    gather(world, first)
    first.is_cut = True
    commit, world.commit = world.commit, lambda: None
    # The reclaim is proposed but not yet applied when the instance comes back.
    while not world.director.slots._moving:
        world.step()
    first.is_cut = False
    first.poll_due = world.now
    world.step()
    world.step()
    assert not first.router.has_lease(first.read_clock(world.now))
    world.commit = commit
    flood_for(world, 3.0, second, first)


def test_slots_given_back_twice_count_once(world):
    first, second, third = world.instances
    gather(world, first)
    commit, world.commit = world.commit, lambda: None
    world.running.clear()
    for slot in first.router._slots.values():
        slot.in_use = 0
        slot.keep = 2
        slot.release_excess()
    flood(world, first)
    for _ in range(2):
        first.poll_due = world.now
        world.step()
    world.commit = commit
    world.pass_time(1.0)
    flood_for(world, 3.0, first, second, third)


@pytest.mark.parametrize("apply_pending", [False, True])
def test_new_leader_waits_for_holders_that_it_cannot_hear(world, apply_pending):
    first, second, _ = world.instances
    gather(world, first)
    first.is_cut = True
    world.change_leader(apply_pending=apply_pending)
    flood_for(world, 12.0, first, second)
    assert any(item.holder.startswith("i1") for item in world.running)


def test_upstream_that_says_what_it_runs_gets_free_slots_back_early(world):
    first, second, _ = world.instances
    gather(world, first)
    world.crash(first)
    first.is_cut = True
    world.running.clear()
    world.pass_time(3.5)
    renewal = w.Renewal("u0", "1", {})
    world.director.slots._renew_upstream(renewal, world.now, world.now)
    flood_for(world, 1.0, second)
    assert {item.upstream for item in world.running} == {"u0"}


def test_leaving_upstream_gets_nothing_after_three_seconds(world):
    first, second, _ = world.instances
    first.is_cut = True
    world.leave("u0")
    flood_for(world, 3.0, first, second)
    sent = len(world.sent_after_leave)
    flood_for(world, 6.0, first, second)
    assert len(world.sent_after_leave) == sent
    assert max(world.sent_after_leave, default=0.0) <= 3.0


def test_shrunken_upstream_gets_its_slots_back(world):
    first, _, _ = world.instances
    upstream = world.state.slots.upstreams["u0"]
    gather(world, first)
    upstream.slots = 1
    world.pass_time(6.0)
    assert upstream.free >= 0
