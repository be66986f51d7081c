"""The benchmarks' command line."""

import json

import pytest

from bench import capacity
from bench.__main__ import EXIT_USAGE, MODULES, main


@pytest.mark.parametrize("name", ["--help", "placements"])
def test_unknown_benchmark_ends_in_a_usage_line(name, capsys):
    assert main([name]) == EXIT_USAGE
    message = capsys.readouterr().err
    assert message.startswith("usage: python -m bench")
    assert all(known in message for known in MODULES)


def test_cost_of_the_decision_log_is_measured(capsys):
    capacity.measure_decision_log()
    assert json.loads(capsys.readouterr().out)["name"] == "capacity.decision_log"
