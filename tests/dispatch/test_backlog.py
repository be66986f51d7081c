"""Tests of refused submissions and their retry time."""

import pytest

from bluebellyoke.dispatch.backlog import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    BacklogEstimator,
)
from bluebellyoke.dispatch.queue_requests import QueueRequestHandler
from bluebellyoke.instance import wire
from bluebellyoke.workflow import store as store_module
from bluebellyoke.workflow.store import MAX_OPEN_TASKS
from tests.dispatch.simulation import DispatcherSimulation
from tests.workflow.factories import create_spec, create_step


@pytest.fixture
def backlog():
    """An estimator that has measured 100 ended tasks per second."""
    backlog = BacklogEstimator()
    backlog.record_ended_tasks(0, 0.0)
    backlog.record_ended_tasks(1000, 10.0)
    return backlog


def test_wait_is_the_time_in_which_the_excess_tasks_end(backlog):
    assert backlog.estimate_wait(MAX_OPEN_TASKS, 500) == pytest.approx(5.0)


def test_wait_is_bounded(backlog):
    assert backlog.estimate_wait(MAX_OPEN_TASKS, 1) == MIN_RETRY_AFTER_S
    assert backlog.estimate_wait(MAX_OPEN_TASKS * 2, 1) == MAX_RETRY_AFTER_S
    assert BacklogEstimator().estimate_wait(MAX_OPEN_TASKS, 1) == MAX_RETRY_AFTER_S


def submit(simulation, spec):
    """Submit a workflow as a caller does and return the reply."""
    replies = []
    request = wire.QueueRequest(
        wire.QueueAction.SUBMIT, "h.example", f"/q/{spec.id}", draft=spec
    )
    handler = QueueRequestHandler(simulation.dispatcher)
    handler.handle(simulation.store, request, simulation.now, replies.append)
    simulation.commit()
    (reply,) = replies
    return reply


def test_job_beyond_the_limit_is_rejected_and_never_runs(monkeypatch):
    monkeypatch.setattr(store_module, "MAX_OPEN_TASKS", 5)
    simulation = DispatcherSimulation()
    first = create_spec("0000000000000001", [create_step(4)])
    second = create_spec("0000000000000002", [create_step(2)])
    assert submit(simulation, first).code == "accepted"
    reply = submit(simulation, second)
    assert reply.code == "overloaded"
    assert reply.retry_after_s >= MIN_RETRY_AFTER_S
    assert second.id not in simulation.store.workflows
    assert submit(simulation, first).code == "accepted"
    simulation.run_until_finished()
    assert submit(simulation, second).code == "accepted"


def test_accepted_job_is_accepted_again_at_the_limit(monkeypatch):
    """A caller that repeats the submission of an accepted job is never refused."""
    monkeypatch.setattr(store_module, "MAX_OPEN_TASKS", 5)
    simulation = DispatcherSimulation()
    spec = create_spec("0000000000000001", [create_step(5)])
    assert submit(simulation, spec).code == "accepted"
    assert submit(simulation, spec).code == "accepted"
