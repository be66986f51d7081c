"""Looks: requests for a worker's lists beside the hold that waits there."""

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.ports import PollRequest
from bluebellyoke.dispatch.workers import TrackedWorker

__all__ = ["WorkerProber"]


class WorkerProber:
    """Asks workers for their lists at once when the fate of a run is in doubt.

    Args:
        context: State of the duties.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context

    def request(self, worker: TrackedWorker) -> None:
        """Send a look, which renews no lease, unless one is under way."""
        if worker.is_probing or not worker.has_responded:
            return
        worker.is_probing = True
        request = PollRequest(
            deadline_ms=None,
            fence=self._context.fence,
            acknowledged_end=worker.acknowledged_end,
            is_probe=True,
        )
        self._context.calls.poll(worker.spec, request)
