"""Containment of unexpected errors to what has caused them.

An error in one event, job or part of a planning round must not end the process that
leads, since the next leader meets the same job. What may be contained is left in a
state that its owner repairs: a lost event is repeated, a step is planned again later,
and what is learned of runs is only an estimate. Errors of the machine, of the storage
and of the agreement between replicas are never contained: they leave the state in
doubt.
"""

import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager

__all__ = ["CONTAINED_ERRORS", "ErrorContainment"]

logger = logging.getLogger("bluebellyoke.containment")

#: Errors of a calculation or of a state that nobody has thought of. Errors of input and
#: output, and of the interpreter's memory or stack, are not among them.
CONTAINED_ERRORS = (
    ArithmeticError,
    AssertionError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)

#: Number of lines with a traceback that are written in one second. All errors count.
MAX_LINES_PER_S = 5


class ErrorContainment:
    """Contains unexpected errors, and logs and counts them.

    Args:
        read_time: Returns the monotonic time, in seconds.
        record: Counts an error by the part in which it occurred.
    """

    def __init__(
        self, read_time: Callable[[], float], record: Callable[[str], None]
    ) -> None:
        self._read_time = read_time
        self._record = record
        self._second = 0
        self._lines = 0

    @contextmanager
    def contain(self, part: str, **details: object) -> Iterator[None]:
        """Keep an unexpected error of the enclosed code from its caller.

        Args:
            part: What is skipped, for the log and the counter.
            details: Fields of the log line.
        """
        try:
            yield
        except CONTAINED_ERRORS:
            self.handle(part, **details)

    def handle(self, part: str, **details: object) -> None:
        """Log and count the error that is being handled.

        Code that runs many times a second calls it in a handler of `CONTAINED_ERRORS`,
        which costs nothing without an error, unlike the context manager.
        """
        self._record(part)
        if self._may_log():
            logger.exception(
                "containment: skipped a part after an unexpected error",
                extra={"part": part, **details},
            )

    def _may_log(self) -> bool:
        second = int(self._read_time())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= MAX_LINES_PER_S
