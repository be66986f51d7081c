"""Structured logs: one JSON object a line, with a fixed prefix for each part.

The message is a short sentence that begins with the part's name. Facts stand in
fields of their own. Each routing and placement decision is one line.
"""

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from bluebellyoke.cell.commands import SlotChange
from bluebellyoke.placement.engine import Decision

__all__ = ["PlacementLog", "configure_logs"]

_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"

_VERBS = {"place": "placement: starts a task", "preempt": "placement: stops a task"}


def configure_logs(*, level: str, instance: str, to: TextIO | None = None) -> None:
    """Send all logs of the process to a stream, standard error if none is given."""
    handler = logging.StreamHandler(to or sys.stderr)
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

    def write_grant(self, change: SlotChange) -> None:
        """Write the line of slots assigned to an instance."""
        self._logger.info(
            "slots: assigns slots",
            extra={
                "upstream": change.upstream,
                "holder": change.holder,
                "slots": change.delta,
            },
        )
