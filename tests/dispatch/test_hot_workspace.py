"""Tests of one workspace that sends far more than its usual traffic for a while."""

import pytest

from tests.dispatch.hot_workspace import HotCell

#: Longest wait with which a job still meets its objective, in seconds, by queue: the
#: additional time, and the slack factor less 1 times the run time of its one step.
LONGEST_WAITS = {
    "short": 0.25 + 0.5 * 0.64,
    "long": 1.0 + 1.2 * 5.0,
    "batch": 3.0 + 3.0 * 3.4,
}


def count_late(waits):
    """Return the late jobs of the other workspaces, by queue."""
    return {
        queue: sum(wait > LONGEST_WAITS[queue] for wait in found)
        for (is_hot, queue), found in waits.items()
        if not is_hot
    }


# Guards against a burst of one workspace that makes jobs of others late, which would
# all be on time without it.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("factor", [4.0, 7.5])
def test_other_workspaces_see_nothing_of_a_burst(factor, seed):
    assert set(count_late(HotCell(1, seed).play()).values()) == {0}
    assert set(count_late(HotCell(factor, seed).play()).values()) == {0}


# Guards against an order without effect: by rank alone, the burst delays the batches of
# the others several times as long.
@pytest.mark.parametrize("seed", range(4))
def test_fair_order_shortens_the_waits_of_the_others(seed):
    fair = HotCell(7.5, seed).play()[False, "batch"]
    by_rank = HotCell(7.5, seed, orders=()).play()[False, "batch"]
    assert sum(fair) < sum(by_rank) / 2
