"""Workers that announce themselves, drain, leave or are given up."""

import logging
from collections.abc import Callable

from bluebellyoke.cell.result import Result
from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.members import Member, RunPhase
from bluebellyoke.dispatch.records import log_run_end
from bluebellyoke.dispatch.stops import Stops
from bluebellyoke.workflow import commands as wc
from bluebellyoke.workflow.specs import WorkerSpec

__all__ = ["Roster"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: How the log calls the end of a run whose worker was given up.
LOST = "lost"


class Roster:
    """Keeps the members in step with the workers of the book.

    Args:
        context: State of the duties.
        stops: Stops of runs.
    """

    def __init__(self, context: DispatchContext, stops: Stops) -> None:
        self._context = context
        self._stops = stops
        self._removing: set[tuple[str, int]] = set()

    def clear(self) -> None:
        """Forget all members."""
        self._context.members.clear()
        self._removing.clear()

    def announce(
        self, spec: WorkerSpec, wall: float, answer: Callable[[Result], None]
    ) -> None:
        """Take a worker's description; answer once it is known to all replicas."""
        known = self._context.book.workers.get(spec.id)
        if known is not None and known.born > spec.born:
            answer(Result(accepted=True, code="overtaken"))
            return
        if known == spec or (
            known is not None and known.born == spec.born and known.draining
        ):
            answer(Result(accepted=True, code="known"))
            return

        def finish(result: Result) -> None:
            logger.info(
                "dispatch: took in a worker",
                extra={
                    "worker": spec.id,
                    "born": spec.born,
                    "draining": spec.draining,
                    "code": result.code,
                },
            )
            self.follow_book(self._context.now)
            answer(result)

        self._context.proposals.add(wc.EnrolWorker(time=wall, spec=spec), finish)

    def take_leave(self, worker: str) -> None:
        """Note that a worker says that it ends now."""
        member = self._context.members.get(worker)
        if member is not None:
            member.has_left = True
            member.hold_due = self._context.now

    def follow_book(self, now: float) -> None:
        """Follow the workers of the book."""
        self._context.is_plan_wanted = True
        for name in [
            x for x in self._context.members if x not in self._context.book.workers
        ]:
            del self._context.members[name]
        for name, spec in self._context.book.workers.items():
            member = self._context.members.get(name)
            if member is not None and member.spec.born == spec.born:
                member.spec = spec
                continue
            member = self._context.members[name] = Member(spec, now, heard_at=now)
            for key in self._context.book.runs.get(spec.key, ()):
                member.add_run(key, self._context.find_need(key), RunPhase.UNSURE, now)

    def remove(self, member: Member, reason: str) -> None:
        """Record that a worker's life has ended."""
        life = member.spec.key
        if life in self._removing:
            return
        self._removing.add(life)
        logger.info(
            "dispatch: gives up a worker",
            extra={
                "worker": life[0],
                "born": life[1],
                "reason": reason,
                "runs": len(member.runs),
                "silent_s": round(self._context.now - member.heard_at, 3),
            },
        )

        def finish(result: Result) -> None:
            self._removing.discard(life)
            for key in member.runs:
                log_run_end(key, life[0], LOST)
            self.follow_book(self._context.now)
            self._stops.stop_incomplete_gangs(name for name, _ in member.runs)

        self._context.proposals.add(
            wc.RemoveWorker(worker=life[0], born=life[1]), finish
        )
