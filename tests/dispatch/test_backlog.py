"""Callers that are turned away for the backlog."""

import pytest

from bluebellyoke.dispatch.backlog import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    BacklogEstimator,
)
from bluebellyoke.dispatch.queue_requests import QueueRequestHandler
from bluebellyoke.instance import wire as w
from bluebellyoke.workflow import store as store_module
from bluebellyoke.workflow.store import MAX_OPEN_TASKS
from tests.dispatch.world import World
from tests.workflow.factories import create_spec, create_step


@pytest.fixture
def backlog():
    """A backlog of which 100 tasks end in a second."""
    backlog = BacklogEstimator()
    backlog.record_ended_tasks(0, 0.0)
    backlog.record_ended_tasks(1000, 10.0)
    return backlog


def test_wait_is_as_long_as_the_excess_takes_to_end(backlog):
    assert backlog.estimate_wait(MAX_OPEN_TASKS, 500) == pytest.approx(5.0)


def test_wait_has_bounds(backlog):
    assert backlog.estimate_wait(MAX_OPEN_TASKS, 1) == MIN_RETRY_AFTER_S
    assert backlog.estimate_wait(MAX_OPEN_TASKS * 2, 1) == MAX_RETRY_AFTER_S
    assert BacklogEstimator().estimate_wait(MAX_OPEN_TASKS, 1) == MAX_RETRY_AFTER_S


def submit(world, spec):
    """Hand a workflow in as a caller would; return the answer."""
    replies = []
    request = w.QueueRequest(
        w.QueueAction.SUBMIT, "h.example", f"/q/{spec.id}", draft=spec
    )
    handler = QueueRequestHandler(world.dispatcher)
    handler.handle(world.store, request, world.now, replies.append)
    world.commit()
    (reply,) = replies
    return reply


def test_job_beyond_the_bound_is_turned_away_and_never_runs(monkeypatch):
    monkeypatch.setattr(store_module, "MAX_OPEN_TASKS", 5)
    world = World()
    first = create_spec("0000000000000001", [create_step(4)])
    second = create_spec("0000000000000002", [create_step(2)])
    assert submit(world, first).code == "accepted"
    reply = submit(world, second)
    assert reply.code == "overloaded"
    assert reply.retry_after_s >= MIN_RETRY_AFTER_S
    assert second.id not in world.store.workflows
    assert submit(world, first).code == "accepted"
    world.settle()
    assert submit(world, second).code == "accepted"


def test_job_that_was_taken_before_is_acknowledged_again(monkeypatch):
    """Whoever asks again about an accepted job is never told that it does not run."""
    monkeypatch.setattr(store_module, "MAX_OPEN_TASKS", 5)
    world = World()
    spec = create_spec("0000000000000001", [create_step(5)])
    assert submit(world, spec).code == "accepted"
    assert submit(world, spec).code == "accepted"
