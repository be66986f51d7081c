"""Structured logs with one JSON object per line.

The message is a short sentence with the component's name as a prefix; all values are
in fields of their own. Each routing and placement decision is one line.

Logging never blocks the process. Lines are rate limited by message, and the queue of
lines for a slow reader is bounded. Dropped lines are counted, and the counts logged.
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

#: Maximum number of lines queued for a slow reader.
MAX_QUEUED_LINES = 2_000

#: Maximum number of lines per write.
MAX_BATCH_LINES = 100

#: Rate limit for each message; warnings and errors are exempt.
MAX_LINES_PER_S = 200

#: Time to write the queued lines at exit.
FLUSH_TIMEOUT_S = 0.3

DROPPED_LINES_MESSAGE = "logs: left out lines"

_MESSAGES = {"place": "placement: starts a task", "preempt": "placement: stops a task"}


def configure_logs(*, level: str, instance: str, stream: TextIO | None = None) -> None:
    """Configure the logs of the process.

    Args:
        level: Lowest level that is written.
        instance: Name of the instance, for a field in each line.
        stream: Destination, or None for standard error.
    """
    handler = BoundedHandler(stream or sys.stderr)
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
    """Handler that writes from a separate thread and drops excess lines.

    Args:
        stream: Destination of the lines.
        clock: Function that returns monotonic time in seconds.
    """

    def __init__(
        self, stream: TextIO, clock: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self._stream = stream
        self._clock = clock
        self._queue: queue.Queue[str] = queue.Queue(MAX_QUEUED_LINES)
        self._second = -1
        self._counts: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()
        self._writer: threading.Thread | None = None

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or drop it if the rate limit is exceeded or the queue full."""
        message = record.msg
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._counts.clear()
            self._log_dropped()
        self._counts[message] += 1
        is_limited = record.levelno < logging.WARNING
        if is_limited and self._counts[message] > MAX_LINES_PER_S:
            self._dropped[message] += 1
            return
        self._enqueue(self.format(record), message)

    def _log_dropped(self) -> None:
        dropped, self._dropped = self._dropped, Counter()
        if not dropped:
            return
        record = logging.LogRecord(
            "bluebellyoke.logs",
            logging.WARNING,
            "",
            0,
            DROPPED_LINES_MESSAGE,
            None,
            None,
        )
        record.lines = dict(dropped)
        self._enqueue(self.format(record), DROPPED_LINES_MESSAGE)

    def _enqueue(self, line: str, message: str) -> None:
        if self._writer is None:
            self._writer = threading.Thread(target=self._run_writer, daemon=True)
            self._writer.start()
            atexit.register(self._wait_for_writer)
        try:
            self._queue.put_nowait(line)
        except queue.Full:
            self._dropped[message] += 1

    def _run_writer(self) -> None:
        while True:
            lines = [self._queue.get()]
            while len(lines) < MAX_BATCH_LINES and not self._queue.empty():
                lines.append(self._queue.get())
            try:
                self._stream.write("\n".join(lines) + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                # A closed pipe or a full disk must not stop the process.
                self._dropped["unwritable"] += len(lines)
            for _ in lines:
                self._queue.task_done()

    def _wait_for_writer(self) -> None:
        """Wait for the writer thread to write the queued lines."""
        deadline = time.monotonic() + FLUSH_TIMEOUT_S
        while self._queue.unfinished_tasks and time.monotonic() < deadline:
            time.sleep(0.01)


class PlacementLog:
    """Log of placement decisions and slot assignments, one line each."""

    def __init__(self) -> None:
        self._logger = logging.getLogger("bluebellyoke.placement")

    def write(self, decision: Decision) -> None:
        """Log a placement decision."""
        self._logger.info(
            _MESSAGES[decision.action],
            extra={
                "job": decision.job_id,
                "task": decision.index,
                "worker": decision.worker,
                "reason": decision.reason,
                "waited_s": round(decision.waited_s, 4),
            },
        )

    def write_slot_change(self, change: SlotChange) -> None:
        """Log an assignment of slots to an instance."""
        self._logger.info(
            "slots: assigns slots",
            extra={
                "upstream": change.upstream,
                "holder": change.holder,
                "slots": change.delta,
            },
        )
