import pytest
from returns.pipeline import is_successful

from bluebellyoke.instance import bodies


def parse_faults(model, text):
    return bodies.parse_body(model, text.encode()).failure().faults


def test_every_fault_of_a_body_is_reported():
    text = '{"number": 0, "workspaces": [{"name": "a b"}], "colour": 1}'
    faults = parse_faults(bodies.TicketBody, text)
    keys = sorted(fault.split(":")[0] for fault in faults)
    assert keys == ["colour", "number", "workspaces.0.name"]


def test_invalid_json_is_a_fault():
    assert len(parse_faults(bodies.JobBody, "{")) == 1


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


def test_upstream_address_must_be_an_ip_number():
    text = (
        '{"name": "u", "incarnation": "1", "service": "s", "address": "host",'
        ' "port": 1, "slots": 1}'
    )
    (fault,) = parse_faults(bodies.UpstreamBody, text)
    assert fault.startswith("address")


@pytest.mark.parametrize(
    ("text", "expected"), [(None, 10.0), (b"500", 0.5), (b"99999999", 30.0)]
)
def test_deadline_is_bounded(text, expected):
    assert bodies.parse_deadline(text, 10.0, 30.0).unwrap() == expected


@pytest.mark.parametrize("text", [b"", b"0", b"-5", b"1.5", b"soon"])
def test_invalid_deadline_is_an_error(text):
    assert not is_successful(bodies.parse_deadline(text, 10.0, 30.0))
