"""Runs of removed incarnations of workers that their next incarnations may have.

A request to a worker names its ID, which the next incarnation keeps. A start that was
meant for one incarnation may therefore be carried out by the next one. A run is lost
with an incarnation only if it is known to have been there; until it is settled, any
other keeps its place and counts for no crash.
"""

from collections.abc import Iterable

import msgspec

from bluebellyoke.workflow.commands import TaskName

__all__ = ["UnsettledRun", "UnsettledRuns"]


class UnsettledRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that was assigned to incarnations of a worker which have been removed.

    Attributes:
        worker, incarnation: The latest of them.
    """

    task: TaskName
    run: int
    worker: str
    incarnation: int

    @property
    def worker_key(self) -> tuple[str, int]:
        """ID and incarnation of the worker."""
        return self.worker, self.incarnation


class UnsettledRuns:
    """Unsettled runs by task and number; part of the replicated state."""

    def __init__(self, runs: Iterable[UnsettledRun] = ()) -> None:
        self._runs = {(item.task, item.run): item for item in runs}

    def dump(self) -> list[UnsettledRun]:
        """Return the state for a snapshot."""
        return list(self._runs.values())

    def add(self, run: UnsettledRun) -> None:
        """Add a run."""
        self._runs[(run.task, run.run)] = run

    def __contains__(self, key: tuple[TaskName, int]) -> bool:
        return key in self._runs

    def pop(self, task: TaskName, run: int) -> UnsettledRun | None:
        """Remove and return a run whose end is known, or return None."""
        return self._runs.pop((task, run), None)
