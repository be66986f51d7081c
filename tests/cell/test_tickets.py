import pytest

from bluebellyoke.cell import commands, tickets
from bluebellyoke.cell.snapshot import dump_state, load_state
from tests.cell.factories import create_job, create_state, create_ticket


@pytest.fixture
def state():
    return create_state()


def declare(number, share, name="w"):
    return create_ticket(
        number, workspaces=(commands.WorkspaceSpec(name=name, share=share),)
    )


def get_share(state):
    return state.scheduling.workspaces["w"].spec.share


def test_first_of_two_tickets_with_the_same_number_is_accepted(state):
    winner, loser = declare(2, 5.0), declare(2, 7.0)
    assert state.apply(winner).accepted
    refusal = state.apply(loser)
    assert refusal.code == "number-taken"
    assert refusal.detail == {"winner": winner.digest, "next_number": "3"}
    assert get_share(state) == 5.0


def test_resubmitted_ticket_gets_its_first_outcome(state):
    first = declare(2, 5.0)
    original = state.apply(first)
    for number in range(3, 400):
        state.apply(declare(number, number))
    version = state.version
    again = state.apply(first)
    assert again.accepted
    assert again.detail == original.detail
    assert state.version == version
    assert get_share(state) == 399


def test_older_ticket_is_refused_and_reverts_nothing(state):
    state.apply(declare(10, 10.0))
    refusal = state.apply(declare(9, 9.0))
    assert refusal.code == "stale-number"
    assert refusal.detail["next_number"] == "11"
    restored = load_state(dump_state(state))
    assert restored.apply(declare(9, 9.0)).code == "stale-number"
    assert get_share(restored) == 10.0


def test_malformed_ticket_changes_nothing_and_reports_all_errors(state):
    state.apply(create_job("j1"))
    before = dump_state(state)
    ticket = create_ticket(
        2,
        workspaces=(commands.WorkspaceSpec(name="a"), commands.WorkspaceSpec(name="a")),
        services=(commands.ServiceSpec(name="new"),),
        removed_workspaces=("w", "nobody"),
    )
    refusal = state.apply(ticket)
    assert refusal.code == "malformed"
    assert refusal.detail["faults"] == "3"
    for message in ("'a' is named twice", "'w' owns unfinished", "'nobody' does not"):
        assert message in refusal.reason
    assert dump_state(state) == before
    assert state.apply(declare(2, 2.0)).accepted


def test_number_of_ticket_records_is_limited(state, monkeypatch):
    monkeypatch.setattr(tickets, "MAX_TICKET_RECORDS", 5)
    for number in range(2, 20):
        state.apply(declare(number, 1.0))
    assert len(state.tickets.records) == 5
    assert state.apply(declare(2, 1.0)).code == "stale-number"


def test_view_update_holds_only_the_changes_since_a_version(state):
    since = state.version
    state.apply(
        create_ticket(
            2, services=(commands.ServiceSpec(name="t"),), removed_services=("s",)
        )
    )
    update = state.build_view_update(since)
    assert not update.whole
    assert [item.name for item in update.services] == ["t"]
    assert update.removed == (("service", "s"),)
    assert state.build_view_update(-1).whole
    assert load_state(dump_state(state)).build_view_update(since).whole


def test_drained_worker_is_marked_until_a_ticket_releases_it(state):
    state.apply(create_ticket(2, drained_workers=("m0",)))
    assert state.scheduling.workers["m0"].drained
    assert load_state(dump_state(state)).scheduling.workers["m0"].drained
    state.apply(create_ticket(3, drained_workers=()))
    assert not state.scheduling.workers["m0"].drained
