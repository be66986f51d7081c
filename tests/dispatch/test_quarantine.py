"""Tests of workers that were quarantined while they had runs that last."""

import pytest

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.planning_round import MAX_WORKER_SILENCE_S
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.dispatch.workers import (
    QUARANTINE_FAILED_WORKFLOWS,
    QUARANTINE_INITIAL_S,
    QUARANTINE_MAX_S,
    QUARANTINE_TRIAL_S,
    TrackedWorker,
)
from bluebellyoke.workflow.commands import RunOutcome
from tests.workflow.factories import create_worker, name_task

NOW = 100.0
NEED = Resources(500, 100, 0)


def add_run(worker, index, now):
    """Add a run and return its key."""
    key = (name_task(index=index), 1)
    worker.add_run(key, NEED, RunPhase.STARTED, now)
    return key


def fail_workflows(worker, now):
    """Let as many workflows fail on a worker as quarantine it."""
    for number in range(QUARANTINE_FAILED_WORKFLOWS):
        worker.record_outcome(f"job{number}", RunOutcome.FAILED, now)


def can_accept_tasks(worker, now):
    """Return whether a worker that responds may get new tasks."""
    worker.last_response_at = now
    return worker.can_accept_tasks(now, MAX_WORKER_SILENCE_S)


@pytest.fixture
def worker():
    return TrackedWorker(create_worker(), NOW, has_responded=True)


# Guards against tasks that wait without a bound beside free room: a worker that had
# been quarantined got no task while a service ran on it.
def test_service_does_not_prolong_the_quarantine_of_its_worker(worker):
    add_run(worker, 0, NOW - 60)
    fail_workflows(worker, NOW)
    assert not can_accept_tasks(worker, NOW + QUARANTINE_INITIAL_S - 0.1)
    assert can_accept_tasks(worker, NOW + QUARANTINE_INITIAL_S)


# Guards against the same, if the service is the first to start after the quarantine.
def test_service_that_starts_after_a_quarantine_admits_others_in_time(worker):
    fail_workflows(worker, NOW)
    started_at = NOW + QUARANTINE_INITIAL_S
    add_run(worker, 0, started_at)
    assert not can_accept_tasks(worker, started_at + 0.1)
    assert can_accept_tasks(worker, started_at + QUARANTINE_MAX_S)


# Guards against a broken worker that fails many tasks at once after each quarantine.
def test_worker_gets_no_task_beside_a_trial_after_a_quarantine(worker):
    add_run(worker, 0, NOW - 60)
    fail_workflows(worker, NOW)
    retried_at = NOW + QUARANTINE_INITIAL_S
    trial = add_run(worker, 1, retried_at)
    assert not can_accept_tasks(worker, retried_at + 0.1)
    worker.drop_run(trial)
    worker.record_outcome("job0", RunOutcome.FAILED, retried_at + 0.2)
    assert worker.quarantines == 2
    assert not can_accept_tasks(worker, retried_at + 0.2 + QUARANTINE_INITIAL_S)
    assert can_accept_tasks(worker, retried_at + QUARANTINE_TRIAL_S)


# Guards against a leader that ends: the length of the 1,025th quarantine in a row,
# which a broken worker reaches within hours, was too large for a number.
def test_quarantine_of_a_worker_that_fails_for_hours_keeps_its_maximum(worker):
    now = NOW
    for _ in range(1100):
        now += QUARANTINE_MAX_S
        fail_workflows(worker, now)
    assert not can_accept_tasks(worker, now + QUARANTINE_MAX_S - 0.1)
    assert can_accept_tasks(worker, now + QUARANTINE_MAX_S)
