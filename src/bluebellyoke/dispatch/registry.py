"""Workers that announce themselves, drain, leave or are given up."""

import logging
from collections.abc import Callable

from bluebellyoke.cell.result import Result
from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.run_ends import log_run_end
from bluebellyoke.dispatch.stops import RunStopper
from bluebellyoke.dispatch.workers import RunPhase, TrackedWorker
from bluebellyoke.workflow import commands as wc
from bluebellyoke.workflow.specs import WorkerSpec

__all__ = ["WorkerRegistry"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: How the log calls the end of a run whose worker was given up.
LOST = "lost"


class WorkerRegistry:
    """Keeps the members in step with the workers of the book.

    Args:
        context: State of the duties.
        stops: Stops of runs.
    """

    def __init__(self, context: DispatchContext, stopper: RunStopper) -> None:
        self._context = context
        self._stopper = stopper
        self._removing: set[tuple[str, int]] = set()

    def clear(self) -> None:
        """Forget all members."""
        self._context.workers.clear()
        self._removing.clear()

    def register(
        self, spec: WorkerSpec, wall: float, reply: Callable[[Result], None]
    ) -> None:
        """Take a worker's description; answer once it is known to all replicas."""
        known = self._context.store.workers.get(spec.id)
        if known is not None and known.incarnation > spec.incarnation:
            reply(Result(accepted=True, code="overtaken"))
            return
        if known == spec or (
            known is not None
            and known.incarnation == spec.incarnation
            and known.draining
        ):
            reply(Result(accepted=True, code="known"))
            return

        def finish(result: Result) -> None:
            logger.info(
                "dispatch: took in a worker",
                extra={
                    "worker": spec.id,
                    "born": spec.incarnation,
                    "draining": spec.draining,
                    "code": result.code,
                },
            )
            self.sync_workers(self._context.now)
            reply(result)

        self._context.proposals.add(wc.EnrolWorker(time=wall, spec=spec), finish)

    def mark_leaving(self, worker_id: str) -> None:
        """Note that a worker says that it ends now."""
        worker = self._context.workers.get(worker_id)
        if worker is not None:
            worker.has_left = True
            worker.poll_due = self._context.now

    def sync_workers(self, now: float) -> None:
        """Follow the workers of the book."""
        self._context.needs_planning = True
        for name in [
            x for x in self._context.workers if x not in self._context.store.workers
        ]:
            del self._context.workers[name]
        for name, spec in self._context.store.workers.items():
            worker = self._context.workers.get(name)
            if worker is not None and worker.spec.incarnation == spec.incarnation:
                worker.spec = spec
                continue
            worker = self._context.workers[name] = TrackedWorker(
                spec, now, last_response_at=now
            )
            for key in self._context.store.runs.get(spec.key, ()):
                worker.add_run(key, self._context.find_need(key), RunPhase.UNKNOWN, now)

    def remove(self, worker: TrackedWorker, reason: str) -> None:
        """Record that a worker's life has ended."""
        worker_key = worker.spec.key
        if worker_key in self._removing:
            return
        self._removing.add(worker_key)
        logger.info(
            "dispatch: gives up a worker",
            extra={
                "worker": worker_key[0],
                "born": worker_key[1],
                "reason": reason,
                "runs": len(worker.runs),
                "silent_s": round(self._context.now - worker.last_response_at, 3),
            },
        )

        def finish(result: Result) -> None:
            self._removing.discard(worker_key)
            for key in worker.runs:
                log_run_end(key, worker_key[0], LOST)
            self.sync_workers(self._context.now)
            self._stopper.stop_incomplete_gangs(name for name, _ in worker.runs)

        self._context.proposals.add(
            wc.RemoveWorker(worker=worker_key[0], incarnation=worker_key[1]), finish
        )
