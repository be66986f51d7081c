"""Tests of the rules by which workspaces share resources."""

import hypothesis.strategies as st
import pytest
from hypothesis import given

from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.sharing import (
    compute_fair_shares,
    count_within_quota,
    is_within_quota,
)

AMOUNTS = st.builds(
    Resources, st.integers(0, 20), st.integers(0, 20), st.integers(0, 3)
)


# Guards against a count of places that the check of the same quota would refuse.
@given(used=AMOUNTS, quota=AMOUNTS, need=AMOUNTS)
def test_count_agrees_with_the_check_of_the_quota(used, quota, need):
    count = count_within_quota(used, quota, need, 5)
    fits = [is_within_quota(used, quota, need, x) for x in range(7)]
    assert count == next((x - 1 for x in range(1, 6) if not fits[x]), 5)


# Guards against shares that exceed the whole or a demand, or leave capacity unused.
@given(
    items=st.lists(st.tuples(st.floats(0, 5), st.floats(0, 2)), min_size=1, max_size=8)
)
def test_fair_shares_use_the_whole_and_no_more(items):
    weights = {str(number): weight for number, (weight, _) in enumerate(items)}
    demands = {str(number): demand for number, (_, demand) in enumerate(items)}
    fair = compute_fair_shares(weights, demands)
    assert all(fair[name] <= demands[name] for name in demands)
    assert sum(fair.values()) == pytest.approx(min(sum(demands.values()), 1.0))


# Guards against an unfair division: who gets less than it asks for has no smaller part
# for its weight than any other.
def test_unsatisfied_workspaces_share_by_weight():
    fair = compute_fair_shares(
        {"a": 1.0, "b": 3.0, "c": 1.0}, {"a": 0.9, "b": 0.9, "c": 0.1}
    )
    assert fair == pytest.approx({"a": 0.225, "b": 0.675, "c": 0.1})


# Guards against a division by zero if only workspaces without a share are active.
def test_workspaces_without_a_share_get_what_is_left():
    fair = compute_fair_shares({"a": 0.0, "b": 1.0}, {"a": 0.8, "b": 0.5})
    assert fair == pytest.approx({"a": 0.5, "b": 0.5})
