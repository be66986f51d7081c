import pytest

from bluebellyoke.cell import claims, commands
from bluebellyoke.cell.claims import OUTCOME_RETENTION_S
from bluebellyoke.cell.snapshot import dump_state, load_state
from tests.cell.factories import create_state

DONE = commands.Outcome(commands.ClaimStatus.DONE, 200, (("a", "b"),), b"body")


@pytest.fixture
def state():
    return create_state()


def claim(state, holder, *, digest="d", time=1.0):
    return state.apply(
        commands.ClaimRequest(
            key="w|s|k", digest=digest, holder=holder, expires=time + 10, time=time
        )
    )


def record(state, holder, outcome):
    return state.apply(
        commands.RecordOutcome(key="w|s|k", holder=holder, outcome=outcome)
    )


def test_only_one_claim_and_its_retry_succeed(state):
    assert claim(state, "i1/a/1").accepted
    assert claim(state, "i1/a/1").accepted
    other = claim(state, "i2/b/1")
    assert not other.accepted
    assert other.code == "in-progress"


def test_recorded_outcome_survives_a_snapshot(state):
    claim(state, "i1/a/1")
    assert record(state, "i1/a/1", DONE).accepted
    restored = load_state(dump_state(state))
    again = claim(restored, "i2/b/1")
    assert (again.code, again.outcome) == ("recorded", DONE)


def test_request_that_did_not_run_releases_its_key(state):
    claim(state, "i1/a/1")
    record(state, "i1/a/1", commands.Outcome(commands.ClaimStatus.NOT_RUN))
    assert claim(state, "i2/b/1").accepted


def test_only_the_holder_records_an_outcome(state):
    claim(state, "i1/a/1")
    assert not record(state, "i2/b/1", DONE).accepted
    assert claim(state, "i3/c/1").code == "in-progress"


def test_reused_key_of_another_request_is_refused(state):
    claim(state, "i1/a/1")
    assert claim(state, "i2/b/1", digest="other").code == "key-reused"


def test_expired_claim_becomes_unknown_and_is_dropped_later(state):
    claim(state, "i1/a/1", time=1.0)
    state.apply(commands.AdvanceTime(time=11.0))
    late = claim(state, "i2/b/1", time=12.0)
    assert late.outcome.status is commands.ClaimStatus.UNKNOWN
    assert not record(state, "i1/a/1", DONE).accepted
    state.apply(commands.AdvanceTime(time=11.0 + OUTCOME_RETENTION_S))
    assert not state.claims.claims
    assert not state.claims.expiries


def test_size_of_recorded_bodies_is_limited(state, monkeypatch):
    monkeypatch.setattr(claims, "MAX_RECORDED_BYTES", 3)
    claim(state, "i1/a/1")
    assert record(state, "i1/a/1", DONE).code == "not-kept"
    assert claim(state, "i2/b/1").outcome.status is commands.ClaimStatus.UNKNOWN


def test_outcome_is_kept_for_its_retention_after_the_claim_expires(state):
    claim(state, "i1/a/1", time=1.0)
    record(state, "i1/a/1", DONE)
    state.apply(commands.AdvanceTime(time=OUTCOME_RETENTION_S))
    assert claim(state, "i2/b/1", time=OUTCOME_RETENTION_S).outcome == DONE
