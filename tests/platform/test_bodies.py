import hashlib
import json

import pytest

from bluebellyoke.cell.resources import Resources
from bluebellyoke.platform import bodies, status
from bluebellyoke.workflow.commands import TaskName
from tests.test_addresses import ODD_ADDRESSES

CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r-1",
            "Host": "nony24.example",
            "PathPrefix": "/lohu930/",
            "RouteType": "non_idempotent",
            "TimeoutMs": 3000,
            "TargetDurationMs": 250,
            "Priority": 0,
            "Service": "huvo11a",
            "Attempts": 4,
            "SlackFactor": 1.5,
            "Advisor": {"DecisionMs": 11.84, "PerWorkerMs": 0.11, "ValidityMs": 1500},
        }
    ],
    "Services": [{"Name": "huvo11a", "EnforceCapacity": False, "Standby": False}],
    "Limits": {"MaxBodyBytes": 262144},
}

HEARTBEAT = {
    "Service": "huvo11a",
    "Address": "10.128.0.9:8080",
    "Zone": "my-west-a",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Capacity": {"Cpu": 16000, "MemMb": 32768, "Gpu": 0},
    "Labels": ["a", "r1-3"],
    "CurrentTimeMs": 482113,
    "Seq": 4,
    "born": 1700000000000,
}


def encode(value):
    return json.dumps(value).encode()


def test_job_is_translated_with_defaults():
    steps = [
        {"Count": 4, "Cpu": 500, "MemMb": 256, "EstimateMs": 900, "DataRack": "r1-3"},
        {"Count": 20, "Cpu": 2000, "DependsOn": [0], "SavesProgress": True},
    ]
    spec = bodies.decode_job(encode({"TaskSpec": "(text)", "Steps": steps}))
    first, second = spec.steps
    assert spec.payload == "(text)"
    assert first.need == Resources(500, 256, 0)
    assert (first.count, first.estimate_ms, first.data_rack) == (4, 900, "r1-3")
    assert (first.gang, first.long_running, first.max_unavailable) == (False, False, -1)
    assert (second.depends_on, second.checkpoints) == ((0,), True)


def test_configuration_is_translated_and_its_body_kept():
    body = encode(CONFIG)
    configuration = bodies.decode_configuration(body)
    (queue,) = configuration.queues
    assert configuration.version == 7
    assert configuration.document == body
    assert (queue.host, queue.prefix, queue.pool) == (
        "nony24.example",
        "/lohu930/",
        "huvo11a",
    )
    assert (queue.priority, queue.attempts, queue.slack_factor) == (0, 4, 1.5)
    assert queue.advisor.validity_ms == 1500


def test_workspaces_are_translated_with_digests_of_their_keys():
    """Guards against keys that are kept in the clear outside the document."""
    tenants = [
        {
            "Name": "w-1",
            "ApiKeys": ["k-1", "k-\u00e9"],
            "Priority": 2,
            "Weight": 3.5,
            "Cap": {"Cpu": 64000, "MemMb": 1000, "Gpu": 0},
        },
        {"Name": "w-2", "ApiKeys": None, "Cap": None},
    ]
    body = encode({**CONFIG, "Tenants": tenants})
    configuration = bodies.decode_configuration(body)
    first, second = configuration.workspaces
    digests = tuple(
        hashlib.sha256(key.encode()).hexdigest() for key in ("k-1", "k-\u00e9")
    )
    assert (first.name, first.credentials) == ("w-1", digests)
    assert (first.share, first.quota) == (3.5, Resources(64000, 1000, 0))
    assert (second.credentials, second.quota) == ((), Resources())
    assert configuration.document == body
    assert bodies.hash_key(b"k-1") == digests[0]


@pytest.mark.parametrize("fields", [{}, {"Tenants": None}, {"Tenants": []}])
def test_configuration_may_have_no_workspaces(fields):
    configuration = bodies.decode_configuration(encode({**CONFIG, **fields}))
    assert configuration.workspaces == ()


def test_queue_is_public_only_if_the_configuration_says_so():
    route = CONFIG["Routes"][0]
    routes = [route, {**route, "Name": "r-2", "Public": True}]
    configuration = bodies.decode_configuration(encode({**CONFIG, "Routes": routes}))
    assert [queue.public for queue in configuration.queues] == [False, True]


# Guards against a key that an error message shows, and against the end of an instance
# for an integer that no message can carry.
@pytest.mark.parametrize(
    "tenant",
    [
        b'{"Name":"w-1","ApiKeys":"secret"}',
        b'{"Name":"w-1","ApiKeys":["secret",7]}',
        b'{"Name":"w-1","ApiKeys":["secret"],"Cap":{"Cpu":"1"}}',
        b'{"Name":"w-1","ApiKeys":["secret"],"Cap":{"Cpu":18446744073709551616}}',
    ],
)
def test_invalid_workspace_is_refused_without_its_keys(tenant):
    body = encode({**CONFIG, "Tenants": []}).replace(b"[]}", b"[" + tenant + b"]}")
    with pytest.raises(bodies.UnreadableBodyError) as error:
        bodies.decode_configuration(body)
    assert "secret" not in str(error.value)


def test_heartbeat_is_translated():
    worker = bodies.decode_announcement("i-1", encode(HEARTBEAT))
    assert worker.key == ("i-1", 1700000000000)
    assert worker.capacity == Resources(16000, 32768, 0)
    assert worker.labels == ("a", "r1-3")
    assert worker.sequence == 4
    assert not worker.draining
    draining = bodies.decode_announcement(
        "i-1", encode({**HEARTBEAT, "State": "draining"})
    )
    assert draining.draining


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        encode(HEARTBEAT)[:-9],
        encode({**HEARTBEAT, "State": "resting"}),
        encode({**HEARTBEAT, "Address": "nowhere"}),
        encode({**HEARTBEAT, "Capacity": 7}),
        encode({key: x for key, x in HEARTBEAT.items() if key != "Service"}),
    ],
)
def test_invalid_heartbeat_is_refused(body):
    with pytest.raises(bodies.UnreadableBodyError):
        bodies.decode_announcement("i-1", body)


# Guards against an entry whose address no instance can dial.
@pytest.mark.parametrize("odd", ODD_ADDRESSES)
def test_heartbeat_with_an_odd_address_is_refused(odd):
    with pytest.raises(bodies.UnreadableBodyError, match="Address: ") as error:
        bodies.decode_announcement("i-1", encode({**HEARTBEAT, "Address": odd}))
    assert len(str(error.value)) < 600


@pytest.mark.parametrize(
    "body",
    [
        encode(CONFIG)[:-40],
        encode({**CONFIG, "Version": "7"}),
        encode({key: x for key, x in CONFIG.items() if key != "Services"}),
    ],
)
def test_invalid_configuration_is_refused(body):
    with pytest.raises(bodies.UnreadableBodyError):
        bodies.decode_configuration(body)


#: Integer that no message between instances can carry.
TOO_LARGE = 2**64


# Such a job ended each instance that forwarded it to the leader.
@pytest.mark.parametrize(
    ("job", "step"),
    [
        ({"StartAtMs": TOO_LARGE}, {}),
        ({"IntervalMs": TOO_LARGE}, {}),
        ({"RepeatCount": TOO_LARGE}, {}),
        ({"StartAtMs": -TOO_LARGE}, {}),
        ({}, {"Cpu": TOO_LARGE}),
        ({}, {"MaxPerServer": TOO_LARGE}),
        ({}, {"MaxUnavailable": TOO_LARGE}),
        ({}, {"DependsOn": [-TOO_LARGE]}),
    ],
)
def test_job_with_an_integer_above_64_bits_is_refused(job, step):
    body = {"TaskSpec": "", "Steps": [{"Count": 1, **step}], **job}
    with pytest.raises(bodies.UnreadableBodyError):
        bodies.decode_job(encode(body))


# Such a heartbeat ended each instance that forwarded it to the leader.
@pytest.mark.parametrize(
    "fields",
    [{"born": TOO_LARGE}, {"Seq": -TOO_LARGE}, {"Capacity": {"MemMb": TOO_LARGE}}],
)
def test_heartbeat_with_an_integer_above_64_bits_is_refused(fields):
    with pytest.raises(bodies.UnreadableBodyError):
        bodies.decode_announcement("i-1", encode({**HEARTBEAT, **fields}))


# Such a configuration ended each instance that forwarded it to the leader.
@pytest.mark.parametrize(
    "fields",
    [
        {"Version": TOO_LARGE},
        {"Routes": [{**CONFIG["Routes"][0], "Priority": -TOO_LARGE}]},
    ],
)
def test_configuration_with_an_integer_above_64_bits_is_refused(fields):
    with pytest.raises(bodies.UnreadableBodyError):
        bodies.decode_configuration(encode({**CONFIG, **fields}))


# Guards against a RecursionError out of a poll or a request, which no caller expects.
@pytest.mark.parametrize(
    "decode",
    [
        bodies.decode_job,
        bodies.decode_configuration,
        status.decode_status,
        lambda body: bodies.decode_announcement("i-1", body),
    ],
)
def test_body_that_is_nested_too_deeply_is_refused(decode):
    with pytest.raises(bodies.UnreadableBodyError):
        decode(b'{"Other":' + b"[" * 100_000)


def test_task_name_round_trip():
    name = TaskName("5c0e7a21d94b36f8", 3, 1, 17)
    assert bodies.format_task(name) == "5c0e7a21d94b36f8.3.1.17"
    assert status.parse_task(bodies.format_task(name)) == name
