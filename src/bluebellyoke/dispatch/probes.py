"""Probes, which request a worker's status while a poll is waiting there."""

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.ports import PollRequest
from bluebellyoke.dispatch.workers import TrackedWorker

__all__ = ["WorkerProber"]


class WorkerProber:
    """Requests the status of workers at once when the state of a run is uncertain.

    Args:
        context: Shared state of the dispatcher.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context

    def request(self, worker: TrackedWorker) -> None:
        """Send a probe, which renews no lease, unless one is in flight."""
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
