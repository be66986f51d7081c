import os
import resource

import hypothesis.strategies as st
import pytest
from hypothesis import given

from bluebellyoke.consensus import messages
from bluebellyoke.consensus import storage as storage_module
from bluebellyoke.consensus.log import EntryLog
from bluebellyoke.consensus.storage import (
    CellMismatchError,
    CorruptFileError,
    DiskError,
    FolderInUseError,
    FolderMissingError,
    Storage,
    create_identity,
    read_identity,
)


def create_entry(index, payload=b"x"):
    return messages.Entry(index, 1, messages.EntryKind.COMMANDS, payload)


@pytest.fixture
def folder(tmp_path):
    create_identity(tmp_path / "data", cell="c", replica="r1")
    return tmp_path / "data"


@pytest.fixture
def filled_folder(folder):
    """Data folder with ten synced entries."""
    fill(folder, 10)
    return folder


def fill(folder, count):
    storage = Storage(folder)
    storage.recover()
    for index in range(1, count + 1):
        storage.write(
            hard_state=messages.HardState(1, "r1"),
            truncate_from=None,
            entries=[create_entry(index, b"payload-%d" % index)],
        )
    storage.close()


def recover(folder):
    storage = Storage(folder)
    recovered = storage.recover()
    storage.close()
    return recovered


def find_segment(folder):
    return max(folder.glob("log-*.seg"))


def test_synced_entries_are_recovered(filled_folder):
    recovered = recover(filled_folder)
    assert recovered.log.last_index == 10
    assert recovered.hard_state == messages.HardState(1, "r1")
    assert recovered.log.read(10, 1, 100)[0].payload == b"payload-10"


def test_truncated_entries_are_not_recovered(filled_folder):
    storage = Storage(filled_folder)
    storage.recover()
    entry = messages.Entry(4, 2, messages.EntryKind.COMMANDS, b"new")
    storage.write(hard_state=None, truncate_from=4, entries=[entry])
    storage.close()
    log = recover(filled_folder).log
    assert (log.last_index, log.last_term) == (4, 2)


@pytest.mark.parametrize("missing_bytes", [1, 7, 15, 16, 17, 30])
def test_torn_write_is_removed_and_the_log_continues(filled_folder, missing_bytes):
    path = find_segment(filled_folder)
    path.write_bytes(path.read_bytes()[:-missing_bytes])
    recovered = recover(filled_folder)
    assert recovered.log.last_index == 9
    storage = Storage(filled_folder)
    storage.recover()
    storage.write(hard_state=None, truncate_from=None, entries=[create_entry(10)])
    storage.close()
    assert recover(filled_folder).log.last_index == 10


def test_trailing_zeros_are_removed(filled_folder):
    path = find_segment(filled_folder)
    path.write_bytes(path.read_bytes() + bytes(64))
    assert recover(filled_folder).torn_bytes == 64


def test_corruption_before_the_last_frame_is_an_error(filled_folder):
    path = find_segment(filled_folder)
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 0xFF
    path.write_bytes(bytes(data))
    with pytest.raises(CorruptFileError, match="damaged at byte"):
        recover(filled_folder)


@given(position=st.integers(0, 10_000), value=st.integers(1, 255))
def test_any_flipped_byte_is_detected_or_harmless(tmp_path_factory, position, value):
    folder = tmp_path_factory.mktemp("fuzz") / "data"
    create_identity(folder, cell="c", replica="r1")
    fill(folder, 6)
    path = find_segment(folder)
    data = bytearray(path.read_bytes())
    data[position % len(data)] ^= value
    path.write_bytes(bytes(data))
    try:
        log = recover(folder).log
    except CorruptFileError:
        return
    # Only the last frame may be treated as a torn write.
    assert log.last_index >= 5
    for index in range(1, log.last_index + 1):
        assert log.read(index, 1, 100)[0].payload == b"payload-%d" % index


@given(tail=st.binary(max_size=200))
def test_trailing_garbage_never_becomes_an_entry(tmp_path_factory, tail):
    folder = tmp_path_factory.mktemp("fuzz") / "data"
    create_identity(folder, cell="c", replica="r1")
    fill(folder, 3)
    path = find_segment(folder)
    path.write_bytes(path.read_bytes() + tail)
    try:
        assert recover(folder).log.last_index == 3
    except CorruptFileError:
        return


def take_snapshot(folder, index):
    storage = Storage(folder)
    recovered = storage.recover()
    meta = messages.SnapshotMeta(index, 1, messages.Membership(), 5)
    storage.save_snapshot(meta, b"state")
    storage.activate_snapshot(meta)
    return storage, recovered, meta


def test_snapshot_replaces_the_entries_it_covers(filled_folder):
    storage, recovered, meta = take_snapshot(filled_folder, 7)
    recovered.log.compact(meta)
    storage.compact(recovered.log, recovered.hard_state)
    assert storage.read_chunk(1, 3) == b"tat"
    storage.close()
    reopened = recover(filled_folder)
    assert reopened.state == b"state"
    assert (reopened.log.first_index, reopened.log.last_index) == (8, 10)
    assert reopened.hard_state == messages.HardState(1, "r1")
    assert len(list(filled_folder.glob("log-*.seg"))) == 1


def test_crash_between_snapshot_and_compaction_loses_nothing(filled_folder):
    storage, _, _ = take_snapshot(filled_folder, 7)
    storage.close()
    reopened = recover(filled_folder)
    assert (reopened.log.first_index, reopened.log.last_index) == (8, 10)


def test_leader_snapshot_replaces_a_conflicting_log(filled_folder):
    storage = Storage(filled_folder)
    storage.recover()
    meta = messages.SnapshotMeta(50, 3, messages.Membership(), 5)
    storage.save_snapshot(meta, b"other")
    storage.close()
    reopened = recover(filled_folder)
    assert (reopened.log.base.index, reopened.log.last_index) == (50, 50)


def test_corrupt_snapshot_is_an_error(filled_folder):
    storage, _, _ = take_snapshot(filled_folder, 7)
    storage.close()
    path = next(filled_folder.glob("snapshot-*.snap"))
    path.write_bytes(path.read_bytes()[:-1] + b"?")
    with pytest.raises(CorruptFileError):
        recover(filled_folder)


def test_writes_fail_after_a_failed_sync(filled_folder, monkeypatch):
    storage = Storage(filled_folder)
    storage.recover()

    def fail(descriptor):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(storage_module.os, "fdatasync", fail)
    with pytest.raises(DiskError, match="No space left"):
        storage.write(hard_state=None, truncate_from=None, entries=[create_entry(11)])
    monkeypatch.setattr(storage_module.os, "fdatasync", os.fsync)
    with pytest.raises(DiskError, match="earlier write failed"):
        storage.write(hard_state=None, truncate_from=None, entries=[create_entry(11)])
    storage.close()


def test_close_after_failed_write_does_not_raise(filled_folder):
    storage = Storage(filled_folder)
    storage.recover()
    limits = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (storage.segment_bytes + 5, limits[1]))
    try:
        with pytest.raises(DiskError, match="File too large"):
            storage.write(
                hard_state=None, truncate_from=None, entries=[create_entry(11)]
            )
        storage.close()
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, limits)
    assert recover(filled_folder).log.last_index == 10


def test_identity_is_created_once_and_checked(tmp_path, folder):
    with pytest.raises(FolderMissingError, match="bluebellyoke init"):
        read_identity(tmp_path / "empty", cell="c")
    with pytest.raises(CellMismatchError):
        read_identity(folder, cell="other")
    with pytest.raises(FolderInUseError):
        create_identity(folder, cell="c", replica="r2")


def test_gap_in_the_log_is_an_error(filled_folder):
    storage = Storage(filled_folder)
    storage.recover()
    storage.write(hard_state=None, truncate_from=None, entries=[create_entry(12)])
    storage.close()
    with pytest.raises(CorruptFileError, match="leaves a gap"):
        recover(filled_folder)


def test_log_read_is_limited_by_entries_and_bytes():
    log = EntryLog(
        messages.SnapshotMeta(), [create_entry(i, bytes(10)) for i in range(1, 6)]
    )
    assert len(log.read(1, 3, 1000)) == 3
    assert len(log.read(1, 9, 25)) == 2
    assert len(log.read(1, 9, 1)) == 1
