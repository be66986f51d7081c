"""Which connections are closed once a limit is reached, without a network."""

import pytest

from bluebellyoke.instance.connection_limits import (
    MIN_HELD_BYTES,
    ConnectionLimits,
    Phase,
    Refusal,
    derive_limits,
)
from bluebellyoke.instance.connection_table import (
    ConnectionOwner,
    ConnectionRecord,
    ConnectionTable,
)

LIMITS = ConnectionLimits(
    head_timeout_s=10.0,
    body_silence_s=20.0,
    body_timeout_s=90.0,
    idle_timeout_s=75.0,
    reply_silence_s=20.0,
    descriptors=100,
    connections_per_address=4,
    held_bytes=1000,
)


class Owner(ConnectionOwner):
    """Connection that notes how it was closed."""

    def __init__(self):
        self.refusal = None
        self.unsent = 0
        self.reads = True

    def refuse(self, refusal):
        self.refusal = refusal

    def count_unsent_bytes(self):
        return self.unsent

    def is_reading(self):
        return self.reads


@pytest.fixture
def reports():
    return []


@pytest.fixture
def table(reports):
    return ConnectionTable(LIMITS, lambda *report: reports.append(report))


@pytest.fixture
def add(table):
    """Return a function that adds a connection and returns its owner and record."""

    def add(address="10.0.0.1", *, descriptor=10, phase=Phase.IDLE, held=0, now=0.0):
        record = ConnectionRecord(Owner(), address, descriptor)
        assert table.add(record, now) is None
        table.set_phase(record, phase, now)
        table.hold(record, held)
        return record

    return add


def sweep(table, now, step=1.0):
    """Sweep as often as a process does that is not held up."""
    table.sweep(now - step)
    table.sweep(now)


# Guards against new clients that are turned away while idle connections stay.
def test_longest_idle_connection_makes_room(add):
    first, second, third = (add(f"10.0.0.{x}", now=float(x)) for x in range(3))
    add("10.0.0.9", descriptor=100)
    found = [record.owner.refusal for record in (first, second, third)]
    assert found == [Refusal.EVICTED, None, None]


def test_reused_connection_counts_as_idle_anew(table, add):
    first, second = add(now=1.0), add(now=2.0)
    table.set_phase(first, Phase.REPLY, 3.0)
    table.set_phase(first, Phase.IDLE, 4.0)
    add(descriptor=100, now=5.0)
    assert (first.owner.refusal, second.owner.refusal) == (None, Refusal.EVICTED)


def test_incomplete_request_of_the_busiest_address_makes_room(add):
    lone = add("10.0.0.2", phase=Phase.HEAD)
    crowd = [add("10.0.0.1", phase=Phase.BODY, now=float(x)) for x in range(3)]
    add("10.0.0.3", descriptor=100)
    assert crowd[0].owner.refusal is Refusal.CONNECTIONS
    assert [x.owner.refusal for x in (lone, *crowd[1:])] == [None] * 3


# Guards against the loss of a request that may have run.
def test_whole_requests_are_never_closed(table, add):
    records = [add("10.0.0.1", phase=Phase.REPLY, held=900) for _ in range(3)]
    assert table.add(ConnectionRecord(Owner(), "10.0.0.2", 100), 0.0) is (
        Refusal.CONNECTIONS
    )
    newcomer = add("10.0.0.2", phase=Phase.BODY, held=10)
    assert newcomer.owner.refusal is Refusal.MEMORY
    assert [record.owner.refusal for record in records] == [None] * 3


def test_address_has_its_share(table, add, reports):
    records = [add(phase=Phase.REPLY) for _ in range(3)]
    idle = add()
    add()
    assert idle.owner.refusal is Refusal.EVICTED
    table.remove(records[0])
    add(phase=Phase.REPLY)
    other = add("10.0.0.2")
    assert other.owner.refusal is None
    assert reports == [(Refusal.EVICTED, "10.0.0.1")]


def test_address_that_fills_its_share_is_refused(table, add):
    for _ in range(4):
        add(phase=Phase.REPLY)
    refused = ConnectionRecord(Owner(), "10.0.0.1", 10)
    assert table.add(refused, 0.0) is Refusal.ADDRESS
    table.set_phase(refused, Phase.HEAD, 1.0)
    table.hold(refused, 5000)
    table.remove(refused)
    assert (len(table), table.held_bytes) == (4, 0)


# Guards against a small request that is refused since large ones fill the memory.
def test_largest_request_of_the_largest_address_is_refused(table, add):
    small = add("10.0.0.2", phase=Phase.BODY, held=300)
    large = [add("10.0.0.1", phase=Phase.BODY, held=200) for _ in range(3)]
    table.hold(large[1], 250)
    newcomer = add("10.0.0.3", phase=Phase.BODY, held=100)
    refused = [x.owner.refusal for x in (small, *large, newcomer)]
    assert refused == [None, None, Refusal.MEMORY, None, None]
    assert table.held_bytes == 800


def test_unread_reply_is_cut_off_for_memory(table, add):
    unread = add(held=600)
    unread.owner.unsent = 600
    newcomer = add("10.0.0.2", phase=Phase.BODY, held=500)
    assert unread.owner.refusal is Refusal.UNREAD_REPLY
    assert newcomer.owner.refusal is None


@pytest.mark.parametrize(
    ("phase", "kept_s", "closed_s", "refusal"),
    [
        (Phase.IDLE, 75.0, 76.0, Refusal.IDLE),
        (Phase.HEAD, 10.0, 11.0, Refusal.HEAD_TIMEOUT),
        (Phase.BODY, 20.0, 21.0, Refusal.BODY_TIMEOUT),
        (Phase.REPLY, 1000.0, None, None),
    ],
)
def test_time_of_each_phase_is_bounded(table, add, phase, kept_s, closed_s, refusal):
    record = add(phase=phase)
    sweep(table, kept_s)
    assert record.owner.refusal is None
    if closed_s is not None:
        sweep(table, closed_s)
    assert record.owner.refusal is refusal


def test_body_that_trickles_has_an_end(table, add):
    record = add(phase=Phase.BODY)
    for now in range(90):
        record.read_at = float(now)
        sweep(table, float(now))
    assert record.owner.refusal is None
    record.read_at = 91.0
    sweep(table, 91.0)
    assert record.owner.refusal is Refusal.BODY_TIMEOUT


def test_body_that_the_process_does_not_read_is_not_silent(table, add):
    record = add(phase=Phase.BODY)
    record.owner.reads = False
    sweep(table, 60.0)
    assert record.owner.refusal is None


def test_client_that_reads_slowly_is_kept(table, add):
    record = add(phase=Phase.REPLY)
    for now in range(1, 60):
        record.owner.unsent = 100_000 - now
        sweep(table, float(now))
    assert record.owner.refusal is None
    sweep(table, 80.0)
    assert record.owner.refusal is Refusal.UNREAD_REPLY


# Guards against a process that was stopped for a while and then takes the time for
# that of its clients.
def test_first_sweep_after_a_pause_closes_nothing(table, add):
    record = add(phase=Phase.HEAD)
    table.sweep(1.0)
    table.sweep(30.0)
    assert record.owner.refusal is None
    table.sweep(30.5)
    assert record.owner.refusal is Refusal.HEAD_TIMEOUT


def test_closed_connections_leave_nothing(table, add):
    records = [add(f"10.0.0.{x % 3}", phase=p) for x, p in enumerate(Phase)]
    for record in records:
        table.remove(record)
        table.remove(record)
    assert (len(table), table.held_bytes) == (0, 0)
    assert table.make_room(99)
    assert not table.make_room(100)


def test_limits_follow_from_the_machine():
    options = {"head_kb": 80, "head_timeout_s": 10.0, "body_timeout_s": 90.0}
    large = derive_limits(memory_mb=300, max_descriptors=4100, **options)
    assert large.descriptors == 4100 - 200 - 60
    assert large.connections_per_address == 2880
    assert large.held_bytes == 25 * 1024 * 1024
    # Connections have to fit into the memory, too.
    assert derive_limits(
        memory_mb=120, max_descriptors=4100, **options
    ).descriptors == (1920)
    small = derive_limits(memory_mb=64, max_descriptors=10, **options)
    assert (small.descriptors, small.peer_connections) == (16, 16)
    assert small.held_bytes == MIN_HELD_BYTES
