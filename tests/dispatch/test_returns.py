"""Tests of the time after which refused callers return."""

from collections import Counter

import pytest

from bluebellyoke.dispatch.returns import (
    ATTEMPT_RETENTION_S,
    MAX_RETRY_AFTER_S,
    FirstAttempts,
    ReturnSchedule,
)

CALLERS = 500


@pytest.fixture
def schedule():
    return ReturnSchedule()


def assign(schedule, number, *, age_s=0.0, opens_in_s=2.0, rate=50.0, now=1000.0):
    return schedule.assign(
        f"{number:016x}",
        cause="pool",
        now=now,
        age_s=age_s,
        opens_in_s=opens_in_s,
        rate=rate,
    )


# Load: 500 callers are refused at once while 50 jobs a second can be accepted. Guards
# against callers that return together and are refused again.
def test_callers_return_as_fast_as_they_can_be_accepted(schedule):
    times = Counter(assign(schedule, number) for number in range(CALLERS))
    assert max(times.values()) <= 50
    assert min(times) == 2
    # A fifth of each second is kept for jobs that were refused before.
    assert max(times) <= 2 + CALLERS / 40


# Guards against returns before anything can be accepted, and against fractions, which
# HTTP clients do not read.
def test_time_is_a_whole_number_after_the_first_acceptance(schedule):
    assert assign(schedule, 1, opens_in_s=3.2) == 4
    assert assign(ReturnSchedule(), 1, opens_in_s=-5.0) == 1


def test_time_is_bounded(schedule):
    assert assign(schedule, 1, opens_in_s=float("inf")) == MAX_RETRY_AFTER_S
    times = [assign(schedule, number, rate=0.1) for number in range(CALLERS)]
    assert max(times) <= MAX_RETRY_AFTER_S


# Guards against callers who wait for long and are overtaken by those who came later.
def test_job_that_was_refused_earlier_returns_earlier(schedule):
    for number in range(CALLERS):
        assign(schedule, number)
    numbers = range(1000, 1050)
    older = [assign(schedule, number, age_s=3.0) for number in numbers]
    fresh = [assign(schedule, number) for number in numbers]
    assert max(older) <= min(fresh)


# Guards against counts that grow for ever and make later callers wait.
def test_returns_that_are_due_no_longer_count(schedule):
    for number in range(CALLERS):
        assign(schedule, number)
    schedule.expire(1100.0)
    assert assign(schedule, 1, now=1100.0) == 2


def test_first_attempt_is_remembered_for_a_time():
    attempts = FirstAttempts()
    assert attempts.find("1" * 16, 10.0) == 10.0
    assert attempts.record("1" * 16, 10.0) == 10.0
    assert attempts.record("1" * 16, 12.0) == 10.0
    assert attempts.find("2" * 16, 12.0) == 12.0
    later = 12.0 + ATTEMPT_RETENTION_S
    assert attempts.find("1" * 16, later) == later
