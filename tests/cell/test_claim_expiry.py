"""Claims of a key that was released and claimed again."""

import pytest

from bluebellyoke.cell import commands
from bluebellyoke.cell.claims import OUTCOME_RETENTION_S
from bluebellyoke.cell.snapshot import dump_state, load_state
from tests.cell.factories import create_state

NOT_RUN = commands.Outcome(commands.ClaimStatus.NOT_RUN)
UNKNOWN = commands.Outcome(commands.ClaimStatus.UNKNOWN)
DONE = commands.Outcome(commands.ClaimStatus.DONE, 200, (), b"body")


def claim(state, holder, *, time, expires):
    return state.apply(
        commands.ClaimRequest(
            key="w|s|k", digest="d", holder=holder, expires=expires, time=time
        )
    )


def record(state, holder, outcome):
    command = commands.RecordOutcome(key="w|s|k", holder=holder, outcome=outcome)
    return state.apply(command)


# Guards against a request that runs twice, perhaps at the same time: the expiry of an
# earlier claim of the key, which had been released, dropped the present one.
@pytest.mark.parametrize("outcome", [DONE, UNKNOWN])
@pytest.mark.parametrize("is_restored", [False, True])
def test_expiry_of_a_released_claim_leaves_the_next_one(outcome, is_restored):
    state = create_state()
    claim(state, "i1/a/1", time=1.0, expires=36.0)
    record(state, "i1/a/1", NOT_RUN)
    claim(state, "i2/b/1", time=2.0, expires=12.0)
    record(state, "i2/b/1", outcome)
    if is_restored:
        state = load_state(dump_state(state))
    for time in (12.0, 36.0, 40.0):
        state.apply(commands.AdvanceTime(time=time))
    again = claim(state, "i3/c/1", time=41.0, expires=51.0)
    assert (again.accepted, again.code, again.outcome) == (False, "recorded", outcome)
    state.apply(commands.AdvanceTime(time=12.0 + OUTCOME_RETENTION_S))
    assert not state.claims.claims
    assert not state.claims.expiries


# Guards against a request that runs twice at the same time: the wall clock of its
# instance was hours behind the leader's, so that its claim was dropped at once.
def test_claim_of_an_instance_with_a_slow_clock_is_kept():
    state = create_state()
    time = 1.0 + 2 * OUTCOME_RETENTION_S
    assert claim(state, "i1/a/1", time=time, expires=30.0).accepted
    state.apply(commands.AdvanceTime(time=time + 1.0))
    again = claim(state, "i2/b/1", time=time + 2.0, expires=time + 10.0)
    assert not again.accepted
    state.apply(commands.AdvanceTime(time=time + OUTCOME_RETENTION_S))
    assert not state.claims.claims
