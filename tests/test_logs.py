"""Logs under load and with readers that are slow or gone."""

import json
import logging
import os
import threading

import pytest
from pythonjsonlogger.json import JsonFormatter

from bluebellyoke import logs

WAIT_S = 30.0


class Pipe:
    """A pipe whose reader reads only when told."""

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


def test_each_kind_has_a_rate_and_what_is_left_out_is_told(logger, pipe, time):
    for number in range(logs.KIND_LINES_PER_S + 7):
        logger.info("part: does it", extra={"number": number})
    logger.info("part: does another thing")
    time[0] = 1.0
    logger.info("part: is last")
    lines = [json.loads(line) for line in pipe.read_until("is last")]
    told = [line["lines"] for line in lines if line["message"] == logs.LEFT_OUT]
    assert told == [{"part: does it": 7}]
    assert sum(line["message"] == "part: does it" for line in lines) == 200
    assert any(line["message"] == "part: does another thing" for line in lines)


def test_warnings_have_no_rate(logger, pipe):
    for _ in range(logs.KIND_LINES_PER_S + 7):
        logger.warning("part: fails")
    logger.info("part: is last")
    lines = pipe.read_until("is last")
    assert len(lines) == logs.KIND_LINES_PER_S + 8


def test_pipe_that_nobody_reads_does_not_block(logger, pipe, time):
    """More than a pipe and the queue hold is written, and the writer goes on."""
    done = threading.Event()

    def write():
        for number in range(4 * logs.WAITING_LINES):
            time[0] = float(number)
            logger.info("part: does it", extra={"filling": "x" * 200})
        done.set()

    threading.Thread(target=write, daemon=True).start()
    assert done.wait(WAIT_S)


def test_reader_that_is_gone_does_not_end_the_process(logger, pipe):
    pipe.reader.close()
    for _ in range(10):
        logger.info("part: does it")
    logger.handlers[0]._lines.join()
    assert logger.handlers[0]._left_out["unwritable"] == 10
