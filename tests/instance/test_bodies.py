import json

import pytest
from returns.pipeline import is_successful

from bluebellyoke.instance import bodies

HEARTBEAT = {"worker": "w", "session": "s", "sequence": 1, "total": {}}
RUNNING = {"job": "j", "task": 0, "epoch": 1}
UPSTREAM = {
    "name": "u",
    "incarnation": "1",
    "service": "s",
    "address": "10.0.0.1",
    "port": 1,
    "slots": 1,
}


def parse_errors(model, text):
    return bodies.parse_body(model, text.encode()).failure().errors


def test_every_error_of_a_body_is_reported():
    text = '{"number": 0, "workspaces": [{"name": "a b"}], "colour": 1}'
    errors = parse_errors(bodies.TicketBody, text)
    keys = sorted(error.split(":")[0] for error in errors)
    assert keys == ["colour", "number", "workspaces.0.name"]


def test_invalid_json_is_an_error():
    assert len(parse_errors(bodies.JobBody, "{")) == 1


def test_same_content_has_the_same_digest():
    first = bodies.parse_body(bodies.JobBody, b'{"id": "a", "workspace": "w"}').unwrap()
    again = bodies.parse_body(
        bodies.JobBody, b'{"workspace": "w", "tasks": 1, "id": "a"}'
    ).unwrap()
    other = bodies.parse_body(
        bodies.JobBody, b'{"workspace": "w", "tasks": 2, "id": "a"}'
    ).unwrap()
    assert first.build().digest == again.build().digest
    assert first.build().digest != other.build().digest


def test_upstream_address_must_be_an_ip_address():
    text = (
        '{"name": "u", "incarnation": "1", "service": "s", "address": "host",'
        ' "port": 1, "slots": 1}'
    )
    (error,) = parse_errors(bodies.UpstreamBody, text)
    assert error.startswith("address")


@pytest.mark.parametrize(
    ("text", "expected"), [(None, 10.0), (b"500", 0.5), (b"99999999", 30.0)]
)
def test_deadline_is_bounded(text, expected):
    assert bodies.parse_deadline(text, 10.0, 30.0).unwrap() == expected


@pytest.mark.parametrize("text", [b"", b"0", b"-5", b"1.5", b"soon"])
def test_invalid_deadline_is_an_error(text):
    assert not is_successful(bodies.parse_deadline(text, 10.0, 30.0))


# Such a body ended the instance, as no message to the leader can carry the integer.
@pytest.mark.parametrize(
    ("model", "fields"),
    [
        (bodies.HeartbeatBody, {**HEARTBEAT, "sequence": 2**64}),
        (bodies.HeartbeatBody, {**HEARTBEAT, "running": [{**RUNNING, "task": 2**64}]}),
        (bodies.HeartbeatBody, {**HEARTBEAT, "running": [{**RUNNING, "epoch": 2**64}]}),
        (bodies.UpstreamBody, {**UPSTREAM, "running": {"h": 2**64}}),
    ],
)
def test_integer_above_64_bits_is_an_error(model, fields):
    (error,) = parse_errors(model, json.dumps(fields))
    assert "less than or equal" in error


# Guards against a status 502 that says that the outcome is unknown, for a header that
# no instance can convert.
@pytest.mark.parametrize("digits", [19, 20, 400, 5000])
def test_deadline_of_too_many_digits_is_an_error(digits):
    result = bodies.parse_deadline(b"9" * digits, 10.0, 30.0)
    assert len(str(result.failure())) < 200


# Guards against an infinite run time in the replicated log.
@pytest.mark.parametrize("value", ["Infinity", "1e999", "NaN"])
def test_duration_that_is_not_finite_is_an_error(value):
    ended = [{**RUNNING, "outcome": "done", "ran_s": 1}]
    text = json.dumps({**HEARTBEAT, "ended": ended}).replace(
        '"ran_s": 1', f'"ran_s": {value}'
    )
    assert parse_errors(bodies.HeartbeatBody, text)
    job = json.dumps({"id": "a", "workspace": "w", "expected_s": 1})
    job = job.replace(": 1", f": {value}")
    assert parse_errors(bodies.JobBody, job)


# Guards against a scope, which may contain any character, in the head of requests.
@pytest.mark.parametrize(
    "address", ["fe80::1%a\r\nX: y", "fe80::1%eth0", "", "nowhere"]
)
def test_address_of_an_upstream_is_an_ip_address_without_a_scope(address):
    text = json.dumps({**UPSTREAM, "address": address})
    assert parse_errors(bodies.UpstreamBody, text)


# Guards against numbers of the project's own interface whose quotients are infinite.
@pytest.mark.parametrize(
    ("model", "fields", "key"),
    [
        (bodies.JobBody, {"id": "a", "workspace": "w", "expected_s": 1e-322}, "exp"),
        (bodies.JobBody, {"id": "a", "workspace": "w", "expected_s": 1e300}, "exp"),
        (bodies.TicketBody, {"workspaces": [{"name": "w", "share": 5e-324}]}, "work"),
        (bodies.TicketBody, {"services": [{"name": "s", "deadline_s": 5e-324}]}, "ser"),
    ],
)
def test_numbers_out_of_range_are_refused(model, fields, key):
    if model is bodies.TicketBody:
        fields = {"number": 1, **fields}
    (error,) = parse_errors(model, json.dumps(fields))
    assert error.startswith(key)


@pytest.mark.parametrize(("sent", "taken"), [(1e-322, 0.0), (1e300, 1e9), (2.5, 2.5)])
def test_measured_run_times_are_bounded(sent, taken):
    body = bodies.EndedBody(**RUNNING, outcome="done", ran_s=sent)
    assert body.ran_s == taken
