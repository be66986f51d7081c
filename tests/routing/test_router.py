import pytest

from bluebellyoke.cell import commands
from bluebellyoke.cell.state import UpstreamView, ViewUpdate
from bluebellyoke.instance import wire
from bluebellyoke.routing.decisions import Dispatch, Refusal
from bluebellyoke.routing.queue import RouteRequest
from bluebellyoke.routing.router import Router

UPSTREAMS = ("u1", "u2")


def create_upstream(name, *, leaving=False, incarnation="a", data_centre="dc1"):
    return UpstreamView(
        name, incarnation, "s", "127.0.0.1", 1, 8, 60, data_centre, leaving
    )


def create_view(version=1, upstreams=None, whole=True, since=0):
    return ViewUpdate(
        version=version,
        ticket=1,
        since=since,
        whole=whole,
        services=(
            commands.ServiceSpec(name="s"),
            commands.ServiceSpec(name="off", enabled=False),
        ),
        workspaces=(commands.WorkspaceSpec(name="w"), commands.WorkspaceSpec(name="v")),
        upstreams=tuple(map(create_upstream, UPSTREAMS))
        if upstreams is None
        else upstreams,
    )


@pytest.fixture
def router():
    """A router with a lease until 10 and two slots at each of two upstreams."""
    router = Router(data_centre="dc1")
    router.receive(wire.PollReply(0.0, 10.0, create_view()))
    for number, name in enumerate(UPSTREAMS):
        router.receive(wire.Grant(number + 1, name, "a", 2))
    return router


def submit(router, number, *, now=1.0, deadline=5.0, workspace="w", service="s"):
    request = RouteRequest(number, service, workspace, now, deadline)
    return router.submit(request, now)


def fill_slots(router, count=4):
    return [submit(router, number) for number in range(count)]


def get_held_slots(router):
    return {x.upstream: x.held for x in router.build_poll(1.0).holdings}


def test_requests_use_held_slots_and_no_more(router):
    dispatches = fill_slots(router)
    assert all(isinstance(item, Dispatch) for item in dispatches)
    assert submit(router, 9) is None
    router.release_slot(dispatches[0].slots)
    (dispatch,) = router.process_queues(1.1)
    assert dispatch.request.id == 9


@pytest.mark.parametrize(
    ("fields", "kind"),
    [
        ({"now": 10.0, "deadline": 20.0}, "no-lease"),
        ({"service": "none"}, "unknown-service"),
        ({"workspace": "none"}, "unknown-workspace"),
        ({"service": "off"}, "service-disabled"),
    ],
)
def test_refusal_has_its_kind(router, fields, kind):
    refusal = submit(router, 1, **fields)
    assert isinstance(refusal, Refusal)
    assert refusal.kind == kind


def test_queued_requests_are_refused_when_the_lease_ends(router):
    fill_slots(router)
    assert submit(router, 9, deadline=60.0) is None
    assert router.process_queues(10.0) == []
    ((request, refusal),) = router.refused
    assert (request.id, refusal.kind) == (9, "no-lease")


def test_free_slot_without_lease_is_not_used(router):
    dispatches = fill_slots(router)
    assert submit(router, 9, deadline=60.0) is None
    router.release_slot(dispatches[0].slots)
    assert router.process_queues(10.5) == []


def test_leaving_upstream_gets_no_requests_and_its_slots_are_released(router):
    router.receive(
        create_view(2, (create_upstream("u1", leaving=True), create_upstream("u2")))
    )
    targets = {item.upstream.name for item in fill_slots(router, 2)}
    assert targets == {"u2"}
    assert get_held_slots(router)["u1"] == 0


def test_slots_of_an_earlier_incarnation_are_not_used(router):
    router.receive(create_view(2, (create_upstream("u1", incarnation="b"),)))
    decision = submit(router, 1)
    assert decision is None


def test_recalled_slots_are_released_once_idle(router):
    dispatches = fill_slots(router)
    router.receive(wire.Recall("u1", "a", 0))
    assert get_held_slots(router)["u1"] == 2
    for item in dispatches:
        if item.upstream.name == "u1":
            router.release_slot(item.slots)
    assert get_held_slots(router)["u1"] == 0
    assert submit(router, 9) is None


def test_grant_after_a_recall_is_added(router):
    router.receive(wire.Recall("u1", "a", 1))
    router.receive(wire.Grant(3, "u1", "a", 2))
    assert get_held_slots(router)["u1"] == 3
    assert router.build_poll(1.0).last_grant == 3


def test_limit_from_the_leader_removes_slots_at_once(router):
    router.receive(wire.PollReply(1.0, 10.0, None, (wire.Holding("u1", "a", 0, 0),)))
    assert get_held_slots(router)["u1"] == 0
    assert {item.upstream.name for item in fill_slots(router, 2)} == {"u2"}


def test_outdated_view_is_ignored(router):
    router.receive(create_view(5, ()))
    router.receive(create_view(4))
    assert router.view.version == 5
    assert not router.view.upstreams


def test_partial_view_after_a_missing_version_is_ignored(router):
    router.receive(create_view(9, whole=False, since=7, upstreams=()))
    assert router.view.version == 1


def complete(router, dispatch, seconds=1.0, now=2.0):
    router.release_slot(dispatch.slots)
    router.record_response(dispatch, now - seconds, now)


def test_request_that_cannot_meet_its_deadline_is_refused_at_once(router):
    complete(router, submit(router, 1), seconds=2.0)
    fill_slots(router)
    refusal = submit(router, 9, now=1.0, deadline=3.0)
    assert isinstance(refusal, Refusal)
    assert refusal.kind == "deadline"
    assert 0 < refusal.retry_after_s < 2.0


def test_queued_request_is_refused_once_it_cannot_meet_its_deadline(router):
    complete(router, submit(router, 1), seconds=1.0)
    fill_slots(router)
    assert submit(router, 9, deadline=4.0) is None
    router.process_queues(3.5)
    assert [refusal.kind for _, refusal in router.refused] == ["deadline"]


def test_queue_of_a_workspace_is_bounded(router):
    fill_slots(router)
    decisions = [submit(router, 10 + n, deadline=1e9) for n in range(300)]
    refused = [item for item in decisions if item is not None]
    assert len(refused) == 300 - 256
    assert {item.kind for item in refused} == {"queue-full"}
    assert submit(router, 999, workspace="v", deadline=1e9) is None


def test_failing_upstream_is_excluded_and_probed(router):
    for number in range(3):
        dispatch = submit(router, number)
        router.release_slot(dispatch.slots)
        dispatch = next(
            item
            for item in [dispatch, *fill_slots(router, 3)]
            if item.upstream.name == "u1"
        )
        router.record_failure(dispatch, 2.0, has_response=False)
        for slots in router._slots.values():
            slots.in_use = 0
    assert {item.upstream.name for item in fill_slots(router, 2)} == {"u2"}
    for slots in router._slots.values():
        slots.in_use = 0
    later = [submit(router, 20 + n, now=4.0, deadline=9.0) for n in range(4)]
    targets = [item.upstream.name for item in later if item is not None]
    assert targets.count("u1") == 1


def test_slow_upstream_ranks_behind_a_faster_one(router):
    for name, seconds in (("u1", 1.0), ("u2", 0.1)):
        slots = router._get_slots(name, "a")
        slots.breaker.record_success(seconds)
    assert [item.upstream.name for item in fill_slots(router, 2)] == ["u2", "u2"]


def test_retries_are_bounded(router):
    allowed = sum(router.take_retry_token() for _ in range(100))
    assert allowed == 20


def test_draining_router_refuses_requests_and_releases_slots(router):
    dispatch = submit(router, 1)
    router.draining = True
    assert submit(router, 2).kind == "draining"
    poll = router.build_poll(1.0)
    assert poll.draining
    assert sum(item.held for item in poll.holdings) == 1
    router.release_slot(dispatch.slots)
    assert sum(item.held for item in router.build_poll(1.0).holdings) == 0


def test_queued_retry_does_not_block_the_queue(router):
    dispatches = fill_slots(router)
    retry = RouteRequest(8, "s", "w", 1.0, 5.0, frozenset({"u1"}))
    assert router.submit(retry, 1.0) is None
    assert submit(router, 9, workspace="v") is None
    for item in dispatches:
        if item.upstream.name == "u1":
            router.release_slot(item.slots)
    assert {item.request.id for item in router.process_queues(1.1)} == {8, 9}


def test_error_responses_exclude_at_most_half_of_the_upstreams(router):
    dispatches = {item.upstream.name: item for item in fill_slots(router)}
    opened = {
        name: any(
            [
                router.record_failure(dispatches[name], 2.0, has_response=True)
                for _ in "1234"
            ]
        )
        for name in UPSTREAMS
    }
    assert opened == {"u1": True, "u2": False}
    assert router.record_failure(dispatches["u2"], 2.0, has_response=False) is False
    router.record_failure(dispatches["u2"], 2.0, has_response=False)
    assert router.record_failure(dispatches["u2"], 2.0, has_response=False)
