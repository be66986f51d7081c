"""Planning of tasks that may crash their workers."""

from collections.abc import Container, Sequence

from bluebellyoke.dispatch.advice import StepAdvice, StepKey
from bluebellyoke.dispatch.drains import Drains
from bluebellyoke.dispatch.isolation import Isolation, RecentCrashes, is_overdue
from bluebellyoke.dispatch.placement import (
    Candidate,
    count_allowed,
    select_gang_workers,
)
from bluebellyoke.dispatch.planning_round import PlanningRound, WaitReason
from bluebellyoke.dispatch.reservations import Reservations
from bluebellyoke.dispatch.step_tickets import StepTickets, have_tickets
from bluebellyoke.dispatch.waiting import Suspect, WaitingStep
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.specs import StepSpec
from bluebellyoke.workflow.store import WorkflowStore

__all__ = ["SuspectPlanner", "choose_few_workers"]

#: Maximum number of suspects that a round looks at, and how many of them are the first
#: in the order. The others take turns, so that none is kept back by suspects that can
#: never start.
MAX_SUSPECTS_PER_ROUND = 64
FIRST_SUSPECTS = 32

#: Number of waiting suspects whose tickets are renewed while they wait, also while all
#: places of their pool are in use. The others ask once about each worker, and for new
#: tickets only when they could start.
RENEWED_SUSPECTS = 8


class SuspectPlanner:
    """Plans suspects on workers that other tasks do not get meanwhile.

    Args:
        tickets: Requests the tickets that steps need.
        reservations: Reserves workers for gangs.
        recent_crashes: Crashes that suspects have caused.
    """

    def __init__(
        self,
        tickets: StepTickets,
        reservations: Reservations,
        recent_crashes: RecentCrashes,
    ) -> None:
        self._tickets = tickets
        self._reservations = reservations
        self._recent_crashes = recent_crashes
        self._isolated: frozenset[str] = frozenset()
        self._drains = Drains()
        self._turn = 0

    def reset(self) -> None:
        """Forget which workers the last round has set apart."""
        self._isolated = frozenset()
        self._drains.reset()

    def plan(
        self,
        store: WorkflowStore,
        suspects: Sequence[Suspect],
        planning: PlanningRound,
        paused: Container[StepKey],
    ) -> None:
        """Start tasks that may crash their workers, and set workers apart for them.

        Args:
            suspects: Waiting suspects, in the order in which they are planned.
            paused: Steps that are not planned now.
        """
        self._drains.start_round(suspects, planning)
        isolation = Isolation(
            now=planning.now,
            workers=planning.workers,
            recent_crashes=self._recent_crashes,
            previous=self._isolated,
            drained=self._drains.list_workers(),
            chosen=dict.fromkeys(planning.isolated),
        )
        waiting = seen = 0
        for suspect in self._rotate(suspects):
            step = suspect.step
            if step.key in paused:
                planning.wait_reasons[step.key] = WaitReason.REFUSED
                self._drains.end(suspect)
                continue
            pool = store.find_pool(step.workflow)
            is_head = waiting < RENEWED_SUSPECTS
            if pool in isolation.full_pools or seen >= MAX_SUSPECTS_PER_ROUND:
                planning.wait_reasons.setdefault(step.key, WaitReason.SUSPECT)
                if is_head and _needs_tickets(step):
                    advice = self._tickets.get_step_advice(step.key)
                    self._tickets.renew(step, advice, pool, planning)
                waiting += 1
                continue
            if not planning.quotas.allows(step):
                planning.wait_reasons[step.key] = WaitReason.QUOTA
                planning.quotas.keep(step)
                self._drains.end(suspect)
                continue
            seen += 1
            waiting += not self._plan_suspect(
                store, suspect, planning, isolation, is_head
            )
        self._isolated = frozenset({*isolation.chosen, *self._drains.list_workers()})
        planning.isolated = self._isolated

    def _rotate(self, suspects: Sequence[Suspect]) -> Sequence[Suspect]:
        """Return the suspects with those first that this round has to look at."""
        if len(suspects) <= MAX_SUSPECTS_PER_ROUND:
            return suspects
        first, others = suspects[:FIRST_SUSPECTS], suspects[FIRST_SUSPECTS:]
        turn = self._turn % len(others)
        self._turn = turn + MAX_SUSPECTS_PER_ROUND - FIRST_SUSPECTS
        return [*first, *others[turn:], *others[:turn]]

    def _plan_suspect(
        self,
        store: WorkflowStore,
        suspect: Suspect,
        planning: PlanningRound,
        isolation: Isolation,
        is_head: bool,
    ) -> bool:
        """Start one suspect, or a gang, if possible; return whether it has started.

        Args:
            is_head: Whether its tickets are renewed while it waits.
        """
        step = suspect.step
        pool, label = store.find_pool(step.workflow), step.spec.required_label
        advice = None
        workers = planning.list_workers(pool, label)
        if _needs_tickets(step):
            advice = self._tickets.get_step_advice(step.key)
            if is_head:
                self._tickets.renew(step, advice, pool, planning)
            workers = planning.list_allowed(pool, label, advice)
        reason = self._start_suspect(suspect, workers, planning, isolation, advice)
        if reason is not None:
            planning.wait_reasons[step.key] = reason
        if reason is not None and advice is not None:
            self._tickets.request_missing(step, pool, planning)
        return reason is None

    def _start_suspect(
        self,
        suspect: Suspect,
        workers: list[TrackedWorker],
        planning: PlanningRound,
        isolation: Isolation,
        advice: StepAdvice | None,
    ) -> WaitReason | None:
        """Start one suspect, or a gang; return why it waits, or None."""
        step, indexes = suspect.step, suspect.indexes
        overdue = is_overdue(suspect.turn, planning.wall_time)
        own = self._drains.find(suspect)
        ordered = isolation.order(workers, own)
        candidates = planning.collect_candidates(step, ordered)
        chosen = choose_few_workers(step.spec, len(indexes), candidates)
        if chosen is None:
            if step.spec.gang:
                self._reservations.reserve_workers(step, workers, planning)
            elif ordered:
                places = isolation.count_places(ordered[0].spec.pool)
                self._drains.drain(suspect, ordered, planning, places)
            else:
                self._drains.end(suspect)
            return WaitReason.NO_ROOM if workers else WaitReason.NO_WORKER
        used = [planning.workers[x] for x in {item.worker: None for item in chosen}]
        if not have_tickets(advice, [x.spec.key for x in used], planning.now):
            if not self._tickets.replace_expired(step, planning.now):
                self._drains.end(suspect)
            elif not own:
                _keep_worker(used, isolation, overdue)
            return WaitReason.NO_TICKET
        if not isolation.take(used, is_overdue=overdue):
            return WaitReason.SUSPECT
        if not all(map(isolation.has_no_young_run, used)):
            return WaitReason.SUSPECT
        run = 1 + max(step.tasks[index].run for index in indexes)
        for index, candidate in zip(indexes, chosen, strict=True):
            worker_key = planning.workers[candidate.worker].spec.key
            planning.add_start(step, index, run, worker_key, advice)
        self._drains.end(suspect)
        return None


def _needs_tickets(step: WaitingStep) -> bool:
    return step.queue is not None and step.queue.advisor is not None


def _keep_worker(
    workers: list[TrackedWorker], isolation: Isolation, overdue: bool
) -> None:
    """Keep workers set apart that were so until a suspect fits on them."""
    if isolation.previous.issuperset(worker.spec.id for worker in workers):
        isolation.take(workers, is_overdue=overdue)


def choose_few_workers(
    spec: StepSpec, count: int, candidates: list[Candidate]
) -> list[Candidate] | None:
    """Return the workers for some tasks, among the first ones that they fit on.

    Args:
        count: Number of tasks.
        candidates: Workers, the best first.
    """
    fitting = [x for x in candidates if count_allowed(spec, x, x.free)]
    if count == 1:
        return fitting[:1] or None
    size = 1
    while fitting:
        chosen = select_gang_workers(spec, fitting[:size], count)
        if chosen is not None or size >= len(fitting):
            return chosen
        size *= 2
    return None
