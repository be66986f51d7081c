import pytest

from bluebellyoke.cell import claims
from bluebellyoke.cell import commands as c
from bluebellyoke.cell.claims import OUTCOME_RETENTION_S
from bluebellyoke.cell.snapshot import dump_state, load_state
from tests.cell.factories import create_state

DONE = c.Outcome(c.ClaimStatus.DONE, 200, (("a", "b"),), b"body")


@pytest.fixture
def state():
    return create_state()


def claim(state, holder, *, digest="d", time=1.0):
    return state.apply(
        c.ClaimRequest(
            key="w|s|k", digest=digest, holder=holder, expires=time + 10, time=time
        )
    )


def record(state, holder, outcome):
    return state.apply(c.RecordOutcome(key="w|s|k", holder=holder, outcome=outcome))


def test_one_claim_succeeds_and_its_own_resend_too(state):
    assert claim(state, "i1/a/1").accepted
    assert claim(state, "i1/a/1").accepted
    other = claim(state, "i2/b/1")
    assert not other.accepted
    assert other.code == "in-progress"


def test_recorded_outcome_is_returned_after_a_restore(state):
    claim(state, "i1/a/1")
    assert record(state, "i1/a/1", DONE).accepted
    restored = load_state(dump_state(state))
    again = claim(restored, "i2/b/1")
    assert (again.code, again.outcome) == ("recorded", DONE)


def test_request_that_did_not_run_frees_its_key(state):
    claim(state, "i1/a/1")
    record(state, "i1/a/1", c.Outcome(c.ClaimStatus.NOT_RUN))
    assert claim(state, "i2/b/1").accepted


def test_only_the_holder_records(state):
    claim(state, "i1/a/1")
    assert not record(state, "i2/b/1", DONE).accepted
    assert claim(state, "i3/c/1").code == "in-progress"


def test_key_of_another_request_is_refused(state):
    claim(state, "i1/a/1")
    assert claim(state, "i2/b/1", digest="other").code == "key-reused"


def test_claim_without_outcome_ends_as_unknown_and_is_dropped_later(state):
    claim(state, "i1/a/1", time=1.0)
    state.apply(c.AdvanceTime(time=11.0))
    late = claim(state, "i2/b/1", time=12.0)
    assert late.outcome.status is c.ClaimStatus.UNKNOWN
    assert not record(state, "i1/a/1", DONE).accepted
    state.apply(c.AdvanceTime(time=11.0 + OUTCOME_RETENTION_S))
    assert not state.claims.claims
    assert not state.claims.expiries


def test_recorded_bodies_are_bounded(state, monkeypatch):
    monkeypatch.setattr(claims, "RECORDED_BYTES_LIMIT", 3)
    claim(state, "i1/a/1")
    assert record(state, "i1/a/1", DONE).code == "not-kept"
    assert claim(state, "i2/b/1").outcome.status is c.ClaimStatus.UNKNOWN


def test_outcome_outlives_its_claim_by_the_retention(state):
    claim(state, "i1/a/1", time=1.0)
    record(state, "i1/a/1", DONE)
    state.apply(c.AdvanceTime(time=OUTCOME_RETENTION_S))
    assert claim(state, "i2/b/1", time=OUTCOME_RETENTION_S).outcome == DONE
