"""Logs under load, with slow readers and with closed pipes."""

import json
import logging
import os
import threading

import pytest
from pythonjsonlogger.json import JsonFormatter

from bluebellyoke import logs

WAIT_S = 30.0


class Pipe:
    """A pipe that is read only on request."""

    def __init__(self):
        read, write = os.pipe()
        self.reader = os.fdopen(read, "r")
        self.stream = os.fdopen(write, "w")

    def read_until(self, text):
        lines = []
        while not lines or text not in lines[-1]:
            lines.append(self.reader.readline())
        return lines


@pytest.fixture
def pipe():
    return Pipe()


@pytest.fixture
def time():
    return [0.0]


@pytest.fixture
def logger(pipe, time):
    handler = logs.BoundedHandler(pipe.stream, clock=lambda: time[0])
    handler.setFormatter(JsonFormatter("%(levelname)s %(message)s"))
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return logger


def test_lines_over_the_rate_limit_are_dropped_and_counted(logger, pipe, time):
    for number in range(logs.MAX_LINES_PER_S + 7):
        logger.info("part: does it", extra={"number": number})
    logger.info("part: does another thing")
    time[0] = 1.0
    logger.info("part: is last")
    lines = [json.loads(line) for line in pipe.read_until("is last")]
    dropped = [
        line["lines"] for line in lines if line["message"] == logs.DROPPED_LINES_MESSAGE
    ]
    assert dropped == [{"part: does it": 7}]
    assert sum(line["message"] == "part: does it" for line in lines) == 200
    assert any(line["message"] == "part: does another thing" for line in lines)


def test_warnings_are_exempt_from_the_rate_limit(logger, pipe):
    for _ in range(logs.MAX_LINES_PER_S + 7):
        logger.warning("part: fails")
    logger.info("part: is last")
    lines = pipe.read_until("is last")
    assert len(lines) == logs.MAX_LINES_PER_S + 8


def test_unread_pipe_does_not_block_the_logger(logger, pipe, time):
    """The lines written exceed the capacity of the pipe and the queue."""
    done = threading.Event()

    def write():
        for number in range(4 * logs.MAX_QUEUED_LINES):
            time[0] = float(number)
            logger.info("part: does it", extra={"filling": "x" * 200})
        done.set()

    threading.Thread(target=write, daemon=True).start()
    assert done.wait(WAIT_S)


def test_closed_pipe_does_not_stop_the_process(logger, pipe):
    pipe.reader.close()
    for _ in range(10):
        logger.info("part: does it")
    logger.handlers[0]._queue.join()
    assert logger.handlers[0]._dropped["unwritable"] == 10
