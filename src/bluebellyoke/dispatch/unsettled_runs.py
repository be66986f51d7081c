"""Runs that the next incarnation of a removed worker may have.

They keep their place until that incarnation is enrolled, whose reports settle them, or
until no incarnation can have them any more.
"""

from dataclasses import dataclass

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.incarnations import (
    compute_longest_lease,
    find_successor_lease_end,
    list_unsettled_runs,
)
from bluebellyoke.dispatch.open_starts import MAX_WALL_CLOCK_ERROR_S
from bluebellyoke.dispatch.run_ends import RunEndRecorder
from bluebellyoke.dispatch.workers import RemovalReason, TrackedWorker
from bluebellyoke.workflow.store import RunKey

__all__ = ["UnsettledRunTracker"]

#: Time between two checks of the unsettled runs, in seconds.
CHECK_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class RemovedWorker:
    """A removed incarnation of a worker with unsettled runs.

    Attributes:
        address: Its address, or an empty text if an earlier leader removed it.
        lease_end: Monotonic time by which its next incarnation has ended these runs, in
            seconds.
    """

    address: str
    lease_end: float


class UnsettledRunTracker:
    """Ends the unsettled runs of workers that do not come back.

    Args:
        context: Shared state of the dispatcher.
        recorder: Commits ends of runs.
    """

    def __init__(self, context: DispatchContext, recorder: RunEndRecorder) -> None:
        self._context = context
        self._recorder = recorder
        self._removed: dict[tuple[str, int], RemovedWorker] = {}
        self._ending: set[tuple[str, int]] = set()
        self._lease_requests: dict[str, float] = {}
        self._starts: dict[RunKey, float] = {}
        self._open_ends: dict[RunKey, float] = {}
        self._activated_at = 0.0
        self._check_due = 0.0

    def clear(self) -> None:
        """Forget all workers."""
        self._removed.clear()
        self._ending.clear()
        self._lease_requests.clear()
        self._starts.clear()
        self._open_ends.clear()
        self._check_due = 0.0

    def activate(self, now: float) -> None:
        """Begin the term of a leader; earlier ones may have made calls until now."""
        self._activated_at = now

    def remember(self, worker: TrackedWorker) -> None:
        """Remember the calls to an incarnation that is no longer tracked.

        It may be enrolled again, or the next one, and the calls still count.
        """
        self._lease_requests[worker.spec.id] = worker.lease_requested_at
        for key in list_unsettled_runs(worker):
            self._starts[key] = worker.runs[key].sent_by
        for key, run in worker.runs.items():
            if run.open_by > self._context.now:
                self._open_ends[key] = run.open_by

    def find_lease_request(self, worker_id: str) -> float:
        """Return when a call that requested a lease was last made to a worker."""
        return self._lease_requests.get(worker_id, self._activated_at)

    def find_start(self, key: RunKey) -> float | None:
        """Return the time by which the start of a run had been sent, if known."""
        return self._starts.get(key)

    def find_open_end(self, key: RunKey) -> float:
        """Return the time by which earlier starts of a run's task have arrived, or 0.

        It is the time that is known from the incarnations of its worker before.
        """
        return self._open_ends.get(key, 0.0)

    def find_runs(
        self, worker: TrackedWorker, reason: RemovalReason
    ) -> tuple[RunKey, ...]:
        """Return the runs that outlast the removal of a worker."""
        lease_end = find_successor_lease_end(worker, self._context.times)
        is_over = (
            reason is RemovalReason.LEASE_EXPIRED and self._context.now >= lease_end
        )
        if is_over or reason is RemovalReason.ADDRESS_TAKEN:
            return ()
        return tuple(list_unsettled_runs(worker))

    def add(self, worker: TrackedWorker) -> None:
        """Track the unsettled runs of a worker that has been removed."""
        lease_end = find_successor_lease_end(worker, self._context.times)
        self._removed[worker.spec.key] = RemovedWorker(worker.spec.address, lease_end)

    def tick(self, now: float, wall_time: float) -> None:
        """End the runs that no incarnation can have any more."""
        if now < self._check_due:
            return
        self._check_due = now + CHECK_INTERVAL_S
        self._drop_old_calls(now)
        unsettled = self._context.store.list_unsettled_runs()
        self._removed = {k: x for k, x in self._removed.items() if k in unsettled}
        for worker_key, runs in unsettled.items():
            if worker_key in self._ending:
                continue
            removed = self._removed.get(worker_key)
            if removed is None:
                lease_end = now + self._find_remaining_lease(runs, wall_time)
                removed = self._removed[worker_key] = RemovedWorker("", lease_end)
            if now >= removed.lease_end or self._is_address_taken(worker_key):
                self._ending.add(worker_key)
                self._recorder.commit_lost(
                    worker_key,
                    runs,
                    wall_time,
                    lambda key=worker_key: self._ending.discard(key),
                )

    def _find_remaining_lease(self, runs: list[RunKey], wall_time: float) -> float:
        """Return how long a worker that an earlier leader removed may have its runs.

        It has made no call to the worker since.
        """
        longest_s = compute_longest_lease(self._context.times)
        removed_at = max(map(self._context.store.run_states.find_kept_since, runs))
        elapsed_s = wall_time - removed_at - MAX_WALL_CLOCK_ERROR_S
        return (
            min(max(longest_s - elapsed_s, 0.0), longest_s) if removed_at else longest_s
        )

    def _drop_old_calls(self, now: float) -> None:
        """Forget calls that count no more, and starts of runs that have ended."""
        oldest = now - compute_longest_lease(self._context.times)
        self._lease_requests = {
            name: at for name, at in self._lease_requests.items() if at >= oldest
        }
        self._starts = {
            key: at
            for key, at in self._starts.items()
            if self._context.store.run_states.is_placed(key)
        }
        self._open_ends = {key: at for key, at in self._open_ends.items() if at > now}

    def _is_address_taken(self, worker_key: tuple[str, int]) -> bool:
        """Return whether a worker with another ID has taken over the address.

        It started later, and refuses all calls for the removed worker.
        """
        name, incarnation = worker_key
        address = self._removed[worker_key].address
        return any(
            spec.address == address and spec.incarnation > incarnation
            for spec in self._context.store.workers.values()
            if spec.id != name
        )
