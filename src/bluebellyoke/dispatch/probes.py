"""Probes, which request a worker's status while a poll is waiting there."""

from bluebellyoke.dispatch.calls import CALL_TIMEOUT_S, MAX_EVENT_DELAY_S
from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.ports import PollRequest
from bluebellyoke.dispatch.workers import TrackedWorker

__all__ = ["WorkerProber"]

#: Time after which a probe without an event counts as lost, in seconds.
LOST_PROBE_S = CALL_TIMEOUT_S + MAX_EVENT_DELAY_S


class WorkerProber:
    """Requests the status of workers at once when the state of a run is uncertain.

    Args:
        context: Shared state of the dispatcher.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context

    def request(self, worker: TrackedWorker) -> None:
        """Send a probe, which renews no lease, unless one is in flight."""
        now, sent_at = self._context.now, worker.probe_sent_at
        is_probing = sent_at is not None and now - sent_at <= LOST_PROBE_S
        if is_probing or not worker.has_responded:
            return
        worker.probe_sent_at = now
        request = PollRequest(
            deadline_ms=None,
            fence=worker.fence,
            acknowledged_end=0,
            is_probe=True,
        )
        self._context.calls.poll(worker.spec, request)
