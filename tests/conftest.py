"""Settings of the test run, and the known failures.

KNOWN-RED.txt lists tests that fail because of a known bug that is not fixed yet. They
run and are printed, but do not fail the run; failures of all other tests do.
"""

import logging
from pathlib import Path

import hypothesis
import pytest

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None, print_blob=False
)
hypothesis.settings.load_profile("fixed")


def read_known_red():
    """Return the IDs of the listed tests."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix("test: ") for line in lines if line.startswith("test: ")}


def pytest_collection_modifyitems(items):
    listed = read_known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter):
    for outcome, word in (("xfailed", "fails as known"), ("xpassed", "passes now")):
        for report in terminalreporter.stats.get(outcome, ()):
            terminalreporter.write_line(f"KNOWN-RED: {report.nodeid} {word}")


class ErrorCollector(logging.Handler):
    """Collects the lines on contained errors."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(self.format(record))


@pytest.fixture(autouse=True)
def fail_on_contained_errors(request):
    """Fail a test in which an unexpected error was contained, unless it brings it."""
    collector = ErrorCollector()
    logger = logging.getLogger("bluebellyoke.containment")
    logger.addHandler(collector)
    yield
    logger.removeHandler(collector)
    if request.node.get_closest_marker("contains_errors") is None:
        assert collector.lines == []
