"""Translation of a worker's response to a poll.

A row that cannot be read is left out. The other rows of the worker still count, since
its lease would end with all of its runs otherwise.
"""

from collections.abc import Callable, Iterable

import msgspec

from bluebellyoke.dispatch.ports import EndedRun, RunningRun, StatusReport
from bluebellyoke.platform.bodies import (
    DECODE_ERRORS,
    MAX_INTEGER,
    MIN_INTEGER,
    Integer,
    UnreadableBodyError,
    decode_body,
)
from bluebellyoke.workflow.commands import RunOutcome, TaskName

__all__ = ["decode_status", "parse_task"]

#: Maximum number of ended runs in one response.
MAX_REPORTED_ENDS = 500

#: Largest number of an end: the largest integer that every JSON library represents. An
#: end with a larger one would acknowledge all later ends, too.
MAX_END_NUMBER = 2**53 - 1

#: Maximum length of a checkpoint, which enters the replicated log, in characters.
MAX_CHECKPOINT_CHARACTERS = 64 * 1024

#: Exceptions that a row raises that does not have the documented format.
_ROW_ERRORS = (*DECODE_ERRORS, ValueError, IndexError, TypeError, OverflowError)


class Hold(msgspec.Struct):
    """Response of a worker to a poll."""

    CurrentTimeMs: Integer
    # Rows of task, run, checkpoint, percentage done and approximate load.
    Running: tuple[list, ...] = ()
    # Rows of sequence number, task, run, outcome and checkpoint.
    Ended: tuple[list, ...] = ()
    born: Integer = 0


class HoldWithRawRows(msgspec.Struct):
    """The same, with rows that are decoded one by one."""

    CurrentTimeMs: Integer
    Running: tuple[msgspec.Raw, ...] = ()
    Ended: tuple[msgspec.Raw, ...] = ()
    born: Integer = 0


def decode_status(body: bytes) -> StatusReport:
    """Return the status of a worker from its response to a poll.

    Raises:
        UnreadableBodyError: The body does not have the documented format.
    """
    try:
        hold = decode_body(body, Hold)
    except UnreadableBodyError:
        # Slower, but one odd value does not make the other rows unreadable.
        hold = decode_body(body, HoldWithRawRows)
    running = _translate_rows(hold.Running, _translate_running)
    ended = _translate_rows(hold.Ended, _translate_ended)
    known_running = tuple(row for row in running if row is not None)
    known_ended = tuple(row for row in ended if row is not None)
    unreadable = len(running) + len(ended) - len(known_running) - len(known_ended)
    return StatusReport(
        hold.CurrentTimeMs,
        hold.born,
        known_running,
        known_ended,
        complete=not unreadable and len(ended) < MAX_REPORTED_ENDS,
        unreadable_rows=unreadable,
        acknowledgeable_end=_find_acknowledgeable_end(ended),
    )


def _translate_rows(rows: Iterable, translate: Callable[[list], object]) -> list:
    """Return the rows in the project's types, with None for an unreadable one."""
    translated = []
    for row in rows:
        try:
            if isinstance(row, msgspec.Raw):
                row = msgspec.json.decode(row, type=list)
            translated.append(translate(row))
        except _ROW_ERRORS:
            translated.append(None)
    return translated


def _translate_running(row: list) -> RunningRun:
    return RunningRun(
        parse_task(row[0]),
        _parse_number(row[1]),
        _parse_checkpoint(row[2]),
        _parse_integer(row[3]),
        _parse_integer(row[4] or 0) if len(row) > 4 else 0,
    )


def _translate_ended(row: list) -> EndedRun:
    number = _parse_number(row[0])
    if not 0 <= number <= MAX_END_NUMBER:
        raise ValueError("the number of an end is out of range")
    return EndedRun(
        number,
        parse_task(row[1]),
        _parse_number(row[2]),
        RunOutcome(row[3]),
        _parse_checkpoint(row[4]),
    )


def _find_acknowledgeable_end(ended: list[EndedRun | None]) -> int | None:
    """Return the number of the last end before an unreadable one, or None if none is.

    A worker forgets the ends that are acknowledged, and with them the unreadable one.
    """
    if None not in ended:
        return None
    before = [end.number for end in ended[: ended.index(None)]]
    return max(before, default=0)


def parse_task(text: str) -> TaskName:
    """Parse a task name of the form ID.REPETITION.STEP.INDEX."""
    if not isinstance(text, str):
        raise ValueError(f"{text!r} is no task")
    workflow, repetition, step, index = text.split(".")
    return TaskName(
        workflow, _parse_digits(repetition), _parse_digits(step), _parse_digits(index)
    )


def _parse_digits(text: str) -> int:
    if not text.isascii() or not text.isdigit():
        raise ValueError("a part of a task name is no number")
    return _parse_integer(text)


def _parse_checkpoint(value: object) -> str:
    """Return a checkpoint; an empty one may be sent as null."""
    if not value:
        return ""
    if not isinstance(value, str) or len(value) > MAX_CHECKPOINT_CHARACTERS:
        raise ValueError("a checkpoint is no text, or it is too long")
    return value


def _parse_number(value: object) -> int:
    """Return the number of a run or of an end.

    Raises:
        ValueError: The value is no whole number. A rounded one could name another run.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{value!r} is no number")
    if value != int(value):
        raise ValueError(f"{value!r} is no whole number")
    return _parse_integer(value)


def _parse_integer(value: object) -> int:
    """Return an integer of at most 64 bits.

    Raises:
        ValueError: The value is no number, or it is too large.
        TypeError: The value is of another type.
    """
    number = int(value)
    if MIN_INTEGER <= number <= MAX_INTEGER:
        return number
    raise ValueError("an integer has more than 64 bits")
