"""Base class of the parts that learn from what workers report about their runs."""

import abc

from bluebellyoke.dispatch.tracked_run import TrackedRun
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.commands import RunOutcome
from bluebellyoke.workflow.store import RunKey

__all__ = ["RunObserver"]


class RunObserver(abc.ABC):
    """Learns from the progress and the ends of runs. All times are monotonic.

    Reports, ends and removals are ignored unless an observer overrides their method.
    """

    def record_progress(  # noqa: B027
        self,
        worker: TrackedWorker,
        key: RunKey,
        run: TrackedRun,
        load: int,
        now: float,
    ) -> None:
        """Take note of a run that a worker lists as running.

        Args:
            load: What the run reports of itself: the tail latency of a long-running
                task in milliseconds, or the CPU time in use of any other in
                thousandths of a core; 0 if unknown.
        """

    def record_end(  # noqa: B027
        self,
        worker: TrackedWorker,
        key: RunKey,
        run: TrackedRun,
        outcome: RunOutcome,
        now: float,
    ) -> None:
        """Take note of the end of a run, before the run is dropped."""

    def forget_worker(self, worker: TrackedWorker) -> None:  # noqa: B027
        """Drop what is known of an incarnation of a worker that has been removed."""

    @abc.abstractmethod
    def clear(self) -> None:
        """Drop everything, because another leader may have run the cell meanwhile."""
