"""Limits of what a worker says of itself."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellyoke.cell.resources import Resources
from bluebellyoke.workflow.commands import EnrolWorker
from bluebellyoke.workflow.specs import WorkerSpec
from bluebellyoke.workflow.worker_validation import validate_worker
from tests.test_addresses import ODD_ADDRESSES
from tests.workflow.factories import create_store, create_worker

#: Fields of descriptions that name no worker.
ODD_FIELDS = [
    *({"id": x} for x in ("", " ", "a b", "a\r\nX: y", "\x00", "é", "x" * 256)),
    *({"incarnation": x} for x in (-1, 4_102_444_800_000, 2**53, 2**63 - 1)),
    *({"sequence": x} for x in (-1, 2**53, 2**63 - 1)),
    *({"address": x} for x in ODD_ADDRESSES),
    *({"capacity": Resources(x)} for x in (-1, 10**9 + 1, 2**63 - 1)),
    {"capacity": Resources(0, -1)},
    {"capacity": Resources(0, 0, 2**62)},
    {"pool": ""},
    {"pool": "x" * 256},
    {"data_centre": "x" * 256},
    {"labels": ("x" * 256,)},
    {"labels": ("x",) * 65},
]

#: Descriptions at the limits of what workers may send.
LEGAL_SPECS = st.builds(
    WorkerSpec,
    id=st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1).map(
        lambda text: text[:255]
    ),
    incarnation=st.integers(0, 4_102_444_799_999),
    pool=st.text(min_size=1, max_size=255),
    address=st.builds("{}:{}".format, st.ip_addresses(), st.integers(1, 65535)),
    data_centre=st.text(max_size=255),
    capacity=st.builds(Resources, *[st.integers(0, 10**9)] * 3),
    labels=st.lists(st.text(max_size=20), max_size=64).map(tuple),
    draining=st.booleans(),
    sequence=st.integers(0, 2**53 - 1),
)


# Guards against an entry of another writer that is taken for a worker.
@pytest.mark.parametrize("fields", ODD_FIELDS)
def test_odd_description_is_refused_with_a_remedy(fields):
    spec = msgspec.structs.replace(create_worker(), **fields)
    (error,) = validate_worker(spec)
    assert "; " in error
    assert len(error) < 250


# Guards against limits that keep real workers out, and against an accepted entry with
# which a follower, a restart or a snapshot fails.
@given(spec=LEGAL_SPECS)
def test_legal_description_is_accepted_and_survives_log_and_snapshot(spec):
    assert validate_worker(spec) == []
    command = EnrolWorker(time=1.0, spec=spec)
    encoded = msgspec.msgpack.encode(command)
    assert msgspec.msgpack.decode(encoded, type=EnrolWorker) == command
    store = create_store(workers=0)
    store.apply(command)
    dumped = msgspec.msgpack.encode(store.dump())
    loaded = type(store).load(msgspec.msgpack.decode(dumped, type=type(store.dump())))
    assert loaded.workers == {spec.id: spec}
