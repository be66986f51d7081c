import pytest

from bluebellyoke.instance import wire as w
from tests.leader.harness import SLOTS, ClusterSimulation

MAX_REQUEST_S = 5.0


@pytest.fixture
def simulation():
    simulation = ClusterSimulation()
    simulation.advance(1.0)
    return simulation


def send_requests(simulation, instance, count=8):
    for _ in range(count):
        simulation.send_request(instance, MAX_REQUEST_S)


def send_requests_for(simulation, seconds, *instances):
    for _ in range(int(seconds / 0.25)):
        for instance in instances:
            send_requests(simulation, instance)
        simulation.advance(0.25)


def assign_all_slots(simulation, instance):
    """Make one instance hold and use all slots."""
    send_requests(simulation, instance)
    simulation.advance(1.0)
    assert len(simulation.running_requests) == 2 * SLOTS


def test_slots_follow_demand(simulation):
    first, second, _ = simulation.instances
    send_requests(simulation, first)
    simulation.advance(0.5)
    assert len(simulation.running_requests) == 2 * SLOTS
    simulation.advance(6.0)
    send_requests(simulation, second)
    simulation.advance(0.5)
    assert len(simulation.running_requests) == 2 * SLOTS


def test_slots_of_crashed_instance_are_kept_until_its_requests_end(simulation):
    first, second, _ = simulation.instances
    assign_all_slots(simulation, first)
    simulation.crash(first)
    first.is_partitioned = True
    send_requests_for(simulation, 9.0, second)
    assert any(item.holder.startswith("i1") for item in simulation.running_requests)


def test_partitioned_instance_stops_before_its_slots_are_reassigned(simulation):
    slow, other, _ = simulation.instances
    assign_all_slots(simulation, slow)
    slow.is_partitioned = True
    send_requests_for(simulation, 12.0, slow, other)
    assert any(item.holder.startswith("i1") for item in simulation.running_requests)


def test_request_sent_at_lease_expiry_ends_before_its_slot_is_reassigned(simulation):
    slow, other, _ = simulation.instances
    assign_all_slots(simulation, slow)
    for item in simulation.running_requests:
        item.ends_at = simulation.now + 0.5
    simulation.advance(0.6)
    slow.is_partitioned = True
    sent = 0
    while slow.router.has_lease(slow.read_clock(simulation.now)):
        if (
            slow.router.lease_expiry - slow.read_clock(simulation.now) < 0.1
            and not sent
        ):
            sent = 1
            send_requests(simulation, slow)
        simulation.step(0.01)
    assert sent
    assert any(item.holder.startswith("i0") for item in simulation.running_requests)
    send_requests_for(simulation, 9.0, other)
    assert any(item.holder.startswith("i1") for item in simulation.running_requests)


def test_paused_instance_resumes_without_its_slots(simulation):
    first, second, _ = simulation.instances
    assign_all_slots(simulation, first)
    first.is_paused = True
    send_requests_for(simulation, 9.0, second)
    first.is_paused = False
    first.is_partitioned = True
    send_requests_for(simulation, 2.0, first, second)


def test_reconnected_instance_does_not_use_slots_being_reclaimed(simulation):
    first, second, _ = simulation.instances
    assign_all_slots(simulation, first)
    first.is_partitioned = True
    commit, simulation.commit = simulation.commit, lambda: None
    # The reclaim is proposed but not yet applied when the instance reconnects.
    while not simulation.controller.slots._pending_changes:
        simulation.step()
    first.is_partitioned = False
    first.poll_due = simulation.now
    simulation.step()
    simulation.step()
    assert not first.router.has_lease(first.read_clock(simulation.now))
    simulation.commit = commit
    send_requests_for(simulation, 3.0, second, first)


def test_slots_reported_as_returned_twice_are_released_once(simulation):
    first, second, third = simulation.instances
    assign_all_slots(simulation, first)
    commit, simulation.commit = simulation.commit, lambda: None
    simulation.running_requests.clear()
    for slot in first.router._slots.values():
        slot.in_use = 0
        slot.keep = 2
        slot.release_excess()
    send_requests(simulation, first)
    for _ in range(2):
        first.poll_due = simulation.now
        simulation.step()
    simulation.commit = commit
    simulation.advance(1.0)
    send_requests_for(simulation, 3.0, first, second, third)


@pytest.mark.parametrize("apply_pending", [False, True])
def test_new_leader_waits_for_leases_of_partitioned_holders(simulation, apply_pending):
    first, second, _ = simulation.instances
    assign_all_slots(simulation, first)
    first.is_partitioned = True
    simulation.change_leader(apply_pending=apply_pending)
    send_requests_for(simulation, 12.0, first, second)
    assert any(item.holder.startswith("i1") for item in simulation.running_requests)


def test_report_of_upstream_frees_idle_slots_early(simulation):
    first, second, _ = simulation.instances
    assign_all_slots(simulation, first)
    simulation.crash(first)
    first.is_partitioned = True
    simulation.running_requests.clear()
    simulation.advance(3.5)
    renewal = w.Renewal("u0", "1", {})
    simulation.controller.slots._renew_upstream(renewal, simulation.now, simulation.now)
    send_requests_for(simulation, 1.0, second)
    assert {item.upstream for item in simulation.running_requests} == {"u0"}


def test_leaving_upstream_gets_no_requests_after_three_seconds(simulation):
    first, second, _ = simulation.instances
    first.is_partitioned = True
    simulation.announce_leaving("u0")
    send_requests_for(simulation, 3.0, first, second)
    sent = len(simulation.delays_after_leaving)
    send_requests_for(simulation, 6.0, first, second)
    assert len(simulation.delays_after_leaving) == sent
    assert max(simulation.delays_after_leaving, default=0.0) <= 3.0


def test_slots_are_recalled_from_holders_when_an_upstream_shrinks(simulation):
    first, _, _ = simulation.instances
    upstream = simulation.state.slots.upstreams["u0"]
    assign_all_slots(simulation, first)
    upstream.slots = 1
    simulation.advance(6.0)
    assert upstream.free_slots >= 0
