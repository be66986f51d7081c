"""Responses of workers to polls, among them such with odd rows."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellyoke.dispatch.ports import StatusReport
from bluebellyoke.platform.bodies import UnreadableBodyError
from bluebellyoke.platform.status import MAX_REPORTED_ENDS, decode_status
from bluebellyoke.workflow.commands import RunOutcome, TaskName
from tests.platform.test_bodies import encode

#: Integer that no message between instances can carry.
TOO_LARGE = 2**64

RUNNING = ["5c0e.0.1.17", 2, "00000bb8", 41, 900]
ENDED = [58, "5c0e.0.1.9", 1, "done", ""]

#: JSON of rows that name no run.
ODD_ROWS = [
    b"7",
    b"null",
    b"{}",
    b"[]",
    b'["5c0e.0.1.17"]',
    b'["5c0e.0.1", 1, "", 41]',
    b'[7, 1, "", 41]',
    b'["5c0e.0.1.1_7", 1, "", 41]',
    b'["5c0e.0.1.\xc2\xb2", 1, "", 41]',
    b'["5c0e.0.1.-1", 1, "", 41]',
    b'["5c0e.0.1.' + b"9" * 4000 + b'", 1, "", 41]',
    b'["5c0e.0.1.17", 18446744073709551616, "", 41]',
    b'["5c0e.0.1.17", 2, "", 1e999]',
    b'["5c0e.0.1.17", 2, "", ' + b"9" * 400 + b"]",
    b'["5c0e.0.1.17", 2, {"a": 1}, 41]',
    b'["5c0e.0.1.17", 2, "' + b"x" * 70_000 + b'", 41]',
    b"[" * 200 + b"]" * 200,
    b'["5c0e.0.1.17", 1.5, "", 41]',
    b'["5c0e.0.1.17", "1", "", 41]',
    b'["5c0e.0.1.17", true, "", 41]',
]

#: JSON of rows that name no end.
ODD_ENDS = [
    *ODD_ROWS,
    b'[9007199254740992, "5c0e.0.1.9", 1, "done", ""]',
    b'[18446744073709551616, "5c0e.0.1.9", 1, "done", ""]',
    b'[-1, "5c0e.0.1.9", 1, "done", ""]',
    b'[59, "5c0e.0.1.9", 1, "vanished", ""]',
    b'[59, "5c0e.0.1.9", 1, ["done"], ""]',
    b'[59, "5c0e.0.1.9", 1, "done"]',
    b'[59, "5c0e.0.1.9", 1.5, "done", ""]',
    b'[59.5, "5c0e.0.1.9", 1, "done", ""]',
    b'["59", "5c0e.0.1.9", 1, "done", ""]',
    b'[59, "5c0e.0.1.9", "1", "done", ""]',
    b'[59, "5c0e.0.1.9", true, "done", ""]',
]


def test_status_of_a_worker_is_translated():
    body = {
        "CurrentTimeMs": 482113,
        "born": 5,
        "Running": [["5c0e.0.1.17", 2, "00000bb8", 41, 900]],
        "Ended": [[58, "5c0e.0.1.9", 1, "done", ""]],
    }
    report = decode_status(encode(body))
    assert (report.clock_ms, report.incarnation, report.complete) == (482113, 5, True)
    assert report.running[0].task == TaskName("5c0e", 0, 1, 17)
    assert report.running[0].checkpoint == "00000bb8"
    assert report.ended[0].outcome is RunOutcome.DONE
    assert report.ended[0].number == 58


def insert_row(key, row):
    """Return a status with an odd row between two sound ones."""
    sound = {"Running": RUNNING, "Ended": ENDED}[key]
    later = [60, *ENDED[1:]] if key == "Ended" else ["5c0e.0.1.18", *RUNNING[1:]]
    body = encode({"CurrentTimeMs": 1, "Running": [RUNNING], "Ended": [ENDED]})
    return body.replace(
        encode([sound]), b"[" + b",".join((encode(sound), row, encode(later))) + b"]"
    )


# Guards against the end of a worker's lease, with all of its runs, because of one odd
# row; a run that the row may stand for must not count as missing.
@pytest.mark.parametrize("row", ODD_ROWS)
def test_odd_row_of_a_run_leaves_the_others(row):
    report = decode_status(insert_row("Running", row))
    assert [item.task.index for item in report.running] == [17, 18]
    assert [item.number for item in report.ended] == [58]
    assert (report.complete, report.unreadable_rows) == (False, 1)
    assert report.acknowledgeable_end is None


# Guards against the same, and against an end that a worker forgets although the leader
# could not read it, so that its task runs again.
@pytest.mark.parametrize("row", ODD_ENDS)
def test_odd_row_of_an_end_is_not_acknowledged(row):
    report = decode_status(insert_row("Ended", row))
    assert [item.task.index for item in report.running] == [17]
    assert [item.number for item in report.ended] == [58, 60]
    assert (report.complete, report.unreadable_rows) == (False, 1)
    assert report.acknowledgeable_end == 58


def test_nothing_is_acknowledged_if_the_first_end_is_odd():
    body = {"CurrentTimeMs": 1, "Ended": [["odd"], ENDED]}
    assert decode_status(encode(body)).acknowledgeable_end == 0


def test_list_of_ends_at_its_limit_is_not_complete():
    ends = [[number, *ENDED[1:]] for number in range(MAX_REPORTED_ENDS)]
    for count, complete in ((MAX_REPORTED_ENDS, False), (MAX_REPORTED_ENDS - 1, True)):
        body = {"CurrentTimeMs": 1, "Ended": ends[:count]}
        assert decode_status(encode(body)).complete is complete


# The leader ended when it computed with a clock of 400 digits.
@pytest.mark.parametrize(
    "fields",
    [
        {"CurrentTimeMs": 10**400},
        {"CurrentTimeMs": "1"},
        {"CurrentTimeMs": None},
        {"born": TOO_LARGE},
        {"Running": 7},
        {"Ended": {}},
    ],
)
def test_status_without_a_usable_head_is_refused(fields):
    with pytest.raises(UnreadableBodyError):
        decode_status(encode({"CurrentTimeMs": 1, **fields}))


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda values: st.lists(values) | st.dictionaries(st.text(), values),
    max_leaves=8,
)


# Guards against an error that the poll does not expect, whatever the rows are.
@given(
    running=st.lists(JSON_VALUES | st.just(RUNNING), max_size=5),
    ended=st.lists(JSON_VALUES | st.just(ENDED), max_size=5),
)
def test_any_rows_are_read_or_refused(running, ended):
    body = encode({"CurrentTimeMs": 1, "Running": running, "Ended": ended})
    try:
        report = decode_status(body)
    except UnreadableBodyError:
        return
    assert isinstance(report, StatusReport)
    rows = len(report.running) + len(report.ended) + report.unreadable_rows
    assert rows == len(running) + len(ended)
