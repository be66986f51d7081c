import math

import pytest

from bluebellyoke.cell.resources import Resources
from bluebellyoke.workflow.admission import validate_workflow
from bluebellyoke.workflow.configuration import find_queue, validate_configuration
from tests.workflow.factories import (
    create_configuration,
    create_queue,
    create_spec,
    create_step,
)
from tests.workflow.test_access import create_workspace, digest


def test_valid_configuration_has_no_error():
    assert validate_configuration(create_configuration()) == []


@pytest.mark.parametrize(
    ("queues", "expected_text"),
    [
        ([create_queue(pool="unknown")], "unknown pool"),
        ([create_queue(timeout_ms=0)], "timeout"),
        ([create_queue("a", prefix="/x/"), create_queue("b", prefix="/x/")], "prefix"),
        ([create_queue("a", prefix="/x/"), create_queue("a", prefix="/y/")], "named"),
        ([create_queue(prefix="x")], "begin with /"),
        ([create_queue(attempts=0)], "attempt"),
    ],
)
def test_invalid_configuration_is_reported(queues, expected_text):
    errors = validate_configuration(create_configuration(queues=queues))
    assert len(errors) == 1
    assert expected_text in errors[0]


# Guards against a configuration that leaves open to which workspace a request belongs.
@pytest.mark.parametrize(
    ("workspaces", "expected_text"),
    [
        ([create_workspace("a", "k"), create_workspace("b", "k")], "'a' and 'b' share"),
        ([create_workspace("a", "k"), create_workspace("a", "l")], "rename one"),
        ([create_workspace("a", "k"), create_workspace("a", "k")], "rename one"),
        ([create_workspace("", "k")], "give it one"),
        ([create_workspace("a", "k", "")], "remove or replace it"),
        ([create_workspace("a", "k", share=-0.5)], "at least 0"),
        ([create_workspace("a", "k", share=float("inf"))], "at least 0"),
        ([create_workspace("a", "k", share=float("nan"))], "at least 0"),
        ([create_workspace("a", "k", quota=Resources(-1, 0, 0))], "0 means no limit"),
        ([create_workspace("a", "k", quota=Resources(0, -1, 0))], "0 means no limit"),
        ([create_workspace("a", "k", quota=Resources(0, 0, -1))], "0 means no limit"),
    ],
)
def test_invalid_workspace_is_reported_without_its_keys(workspaces, expected_text):
    configuration = create_configuration(workspaces=tuple(workspaces))
    (error,) = validate_configuration(configuration)
    assert expected_text in error
    assert digest("k")[:8] not in error


def test_each_fault_of_the_workspaces_is_reported():
    workspaces = (
        create_workspace("a", "k", share=-1.0),
        create_workspace("b", "k", "l"),
        create_workspace("c", "l"),
    )
    errors = validate_configuration(create_configuration(workspaces=workspaces))
    assert len(errors) == 3


# Guards against the refusal of a configuration in which a workspace has no key for a
# time, shares nothing, or lists a key twice.
@pytest.mark.parametrize("keys", [(), ("k",), ("k", "k")])
def test_valid_workspaces_have_no_error(keys):
    workspaces = (
        create_workspace("a", *keys, share=0.0),
        create_workspace("b", "l", quota=Resources(1000, 0, 0)),
    )
    configuration = create_configuration(workspaces=workspaces)
    assert validate_configuration(configuration) == []


def test_longest_prefix_of_the_host_selects_the_queue():
    queues = [
        create_queue("short", prefix="/a/"),
        create_queue("long", prefix="/a/b/"),
        create_queue("other", host="o.example", prefix="/a/b/c/"),
    ]
    configuration = create_configuration(queues=queues)
    assert find_queue(configuration, "h.example", "/a/b/c/1").name == "long"
    assert find_queue(configuration, "h.example", "/a/1").name == "short"
    assert find_queue(configuration, "h.example", "/c/1") is None
    assert find_queue(configuration, "x.example", "/a/1") is None


def test_valid_workflow_has_no_error():
    steps = [create_step(), create_step(depends_on=(0,))]
    assert validate_workflow(create_spec(steps=steps)) == []


@pytest.mark.parametrize(
    ("steps", "expected_text"),
    [
        ([create_step(depends_on=(0,))], "earlier steps"),
        ([create_step(depends_on=(-1,))], "earlier steps"),
        ([create_step(0)], "tasks"),
        ([create_step(cpu=-1)], "negative"),
        ([create_step(max_per_worker=-1)], "negative"),
    ],
)
def test_invalid_step_is_reported(steps, expected_text):
    errors = validate_workflow(create_spec(steps=steps))
    assert len(errors) == 1
    assert expected_text in errors[0]


# One such job stopped each leader: repetitions that are due are created in one round.
@pytest.mark.parametrize(
    ("repeats", "count", "expected_text"),
    [(10_001, 1, "repetitions"), (10**9, 1, "repetitions"), (1_000, 101, "tasks")],
)
def test_too_many_repetitions_are_reported(repeats, count, expected_text):
    spec = create_spec(steps=[create_step(count)], repeats=repeats)
    (error,) = validate_workflow(spec)
    assert expected_text in error


# The limits must not refuse the repetitions that the planner can create in one round.
@pytest.mark.parametrize(
    ("repeats", "count"), [(10_000, 10), (1_000, 100), (0, 20_000)]
)
def test_repetitions_within_the_limits_have_no_error(repeats, count):
    spec = create_spec(steps=[create_step(count)], repeats=repeats)
    assert validate_workflow(spec) == []


def test_payload_limit_is_in_bytes():
    spec = create_spec()
    long = type(spec)(id=spec.id, queue="q", payload="\u00e9" * 2001, steps=spec.steps)
    assert "4000 bytes" in validate_workflow(long)[0]


# Guards against a job that ended the leader, and then each leader after it, when its
# declared run time was squared or added up.
@pytest.mark.parametrize("value", [-1.0, 1e12 + 1, 1e308, math.inf, math.nan])
@pytest.mark.parametrize("field", ["estimate_ms", "tail_target_ms"])
def test_job_with_an_impossible_duration_is_refused(field, value):
    spec = create_spec(steps=[create_step(**{field: value})])
    (error,) = validate_workflow(spec)
    assert "must be from 0 to" in error


@pytest.mark.parametrize("field", ["estimate_ms", "tail_target_ms"])
def test_job_with_a_duration_at_the_limits_is_accepted(field):
    for value in (0.0, 1e12):
        spec = create_spec(steps=[create_step(**{field: value})])
        assert validate_workflow(spec) == []
