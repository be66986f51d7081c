"""Structured logs: one JSON object a line, with a fixed prefix for each part.

Lines are bounded: each kind of line has a rate, and only so many lines wait for a slow
reader. What is left out is counted and told. A process never waits for its reader.

The message is a short sentence that begins with the part's name. Facts stand in
fields of their own. Each routing and placement decision is one line.
"""

import atexit
import logging
import queue
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from bluebellyoke.cell.commands import SlotChange
from bluebellyoke.placement.engine import Decision

__all__ = ["PlacementLog", "configure_logs"]

_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"

#: Lines that wait for a slow reader, and lines of one write, at most.
WAITING_LINES = 2_000
BATCH_LINES = 100

#: Lines of one kind in a second; warnings and errors are always written.
KIND_LINES_PER_S = 200

#: Time for the last lines at the end of the process, in seconds.
LAST_LINES_S = 0.3

LEFT_OUT = "logs: left out lines"

_VERBS = {"place": "placement: starts a task", "preempt": "placement: stops a task"}


def configure_logs(*, level: str, instance: str, to: TextIO | None = None) -> None:
    """Send all logs of the process to a stream, standard error if none is given."""
    handler = BoundedHandler(to or sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            _FORMAT,
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"instance": instance},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for name in ("grpclib", "h2", "hpack", "httpcore", "uvicorn", "asyncio"):
        logging.getLogger(name).setLevel(logging.WARNING)


class BoundedHandler(logging.Handler):
    """Writes lines from a thread of its own, and drops what it cannot write.

    Args:
        stream: Where the lines go.
        clock: Returns seconds that never run backwards.
    """

    def __init__(
        self, stream: TextIO, clock: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self._stream = stream
        self._clock = clock
        self._lines: queue.Queue[str] = queue.Queue(WAITING_LINES)
        self._second = -1
        self._counts: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()
        self._writer: threading.Thread | None = None

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, unless its kind is over its rate or too many lines wait."""
        kind = record.msg
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._counts.clear()
            self._tell_left_out()
        self._counts[kind] += 1
        is_minor = record.levelno < logging.WARNING
        if is_minor and self._counts[kind] > KIND_LINES_PER_S:
            self._left_out[kind] += 1
            return
        self._put(self.format(record), kind)

    def _tell_left_out(self) -> None:
        left_out, self._left_out = self._left_out, Counter()
        if not left_out:
            return
        record = logging.LogRecord(
            "bluebellyoke.logs", logging.WARNING, "", 0, LEFT_OUT, None, None
        )
        record.lines = dict(left_out)
        self._put(self.format(record), LEFT_OUT)

    def _put(self, line: str, kind: str) -> None:
        if self._writer is None:
            self._writer = threading.Thread(target=self._write, daemon=True)
            self._writer.start()
            atexit.register(self._finish)
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._left_out[kind] += 1

    def _write(self) -> None:
        while True:
            lines = [self._lines.get()]
            while len(lines) < BATCH_LINES and not self._lines.empty():
                lines.append(self._lines.get())
            try:
                self._stream.write("\n".join(lines) + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                # A reader that is gone or a full disk must not end the process.
                self._left_out["unwritable"] += len(lines)
            for _ in lines:
                self._lines.task_done()

    def _finish(self) -> None:
        """Give the writer a moment for the last lines."""
        end = time.monotonic() + LAST_LINES_S
        while self._lines.unfinished_tasks and time.monotonic() < end:
            time.sleep(0.01)


class PlacementLog:
    """Writes one line for each placement decision and slot assignment."""

    def __init__(self) -> None:
        self._logger = logging.getLogger("bluebellyoke.placement")

    def write(self, decision: Decision) -> None:
        """Write the line of a placement decision."""
        self._logger.info(
            _VERBS[decision.action],
            extra={
                "job": decision.job_id,
                "task": decision.index,
                "worker": decision.worker,
                "reason": decision.reason,
                "waited_s": round(decision.waited_s, 4),
            },
        )

    def write_slot_change(self, change: SlotChange) -> None:
        """Write the line of slots assigned to an instance."""
        self._logger.info(
            "slots: assigns slots",
            extra={
                "upstream": change.upstream,
                "holder": change.holder,
                "slots": change.delta,
            },
        )
