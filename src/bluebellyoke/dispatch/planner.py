"""Planning rounds, which select the waiting tasks to start and their workers.

Steps are planned by priority and age. A gang that does not fit yet reserves workers, so
that smaller tasks behind it do not delay its start forever. Tasks that may crash their
workers are planned first, on workers that the others do not get meanwhile.
"""

import contextlib
from collections.abc import Iterable, MutableMapping

from bluebellyoke.containment import ErrorContainment
from bluebellyoke.dispatch.advice import AdviceManager, StepAdvice, StepKey
from bluebellyoke.dispatch.costs import CostTables, PlacementCost
from bluebellyoke.dispatch.isolation import RecentCrashes
from bluebellyoke.dispatch.ordering import StepOrder
from bluebellyoke.dispatch.placement import (
    Candidate,
    CandidateQueue,
    select_gang_workers,
)
from bluebellyoke.dispatch.planning_round import (
    PlannedStart,
    PlanningRound,
    WaitReason,
)
from bluebellyoke.dispatch.quotas import RoundQuotas
from bluebellyoke.dispatch.reservations import Reservations
from bluebellyoke.dispatch.restarts import RestartPlanner
from bluebellyoke.dispatch.step_tickets import (
    StepTickets,
    find_expired_workers,
    have_tickets,
)
from bluebellyoke.dispatch.suspects import SuspectPlanner
from bluebellyoke.dispatch.waiting import WaitingStep, WaitingSteps
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.specs import StepSpec
from bluebellyoke.workflow.store import RunKey, WorkflowStore
from bluebellyoke.workflow.workflow import TaskProgress

__all__ = ["Planner"]

#: Number of steps at the head of the order whose tickets are renewed while they wait.
#: Steps whose tasks are larger than any worker do not count.
RENEWED_STEPS = 8

#: Pause between two starts of a step that workers refuse as malformed, in seconds.
REFUSED_PAUSE_S = 0.7

#: Time after such a refusal for which other workers are preferred, in seconds.
REFUSED_AVOID_S = 10.0

#: Time for which a step that is no gang waits for its quota before the steps behind it
#: leave it quota, in seconds. Smaller ones use what it cannot use meanwhile.
QUOTA_WAIT_S = 10.0

#: Number of starts after which a round plans no further step.
MAX_STARTS_PER_ROUND = 400


class Planner:
    """Plans starts from the store, the workers and the advice.

    Args:
        advice: Advice on which workers may run a step.
        recent_crashes: Crashes that suspects have caused.
        costs: Costs by which a task prefers some workers to others.
        orders: Orders of the waiting steps, which are applied one after the other.
            Without any, steps are planned by priority and age.
        containment: Contains unexpected errors to a step, or None to pass them on.

    Attributes:
        wait_reasons: Why each step waits for which the last round started nothing.
    """

    def __init__(
        self,
        advice: AdviceManager,
        recent_crashes: RecentCrashes | None = None,
        *,
        costs: Iterable[PlacementCost] = (),
        orders: Iterable[StepOrder] = (),
        containment: ErrorContainment | None = None,
    ) -> None:
        self._tickets = StepTickets(advice)
        self._reservations = Reservations()
        crashes = recent_crashes or RecentCrashes()
        self._suspects = SuspectPlanner(self._tickets, self._reservations, crashes)
        self._restarts = RestartPlanner(self._tickets, self._reservations, crashes)
        self._costs = CostTables(tuple(costs))
        self._orders = tuple(orders)
        self._containment = containment
        self._steps = WaitingSteps()
        self._paused_until: dict[StepKey, float] = {}
        self._refused_until: dict[StepKey, float] = {}
        self._quota_waits: dict[StepKey, float] = {}
        self.wait_reasons: dict[StepKey, WaitReason] = {}

    def reset(self) -> None:
        """Forget what is known of the store, whose changes may have been missed."""
        self._steps = WaitingSteps()
        self._paused_until.clear()
        self._refused_until.clear()
        self._quota_waits.clear()
        self._suspects.reset()
        self._reservations.reset()
        self.wait_reasons = {}

    def pause(self, step: StepKey, now: float) -> None:
        """Plan a step that a worker has refused as malformed only some time later."""
        self._paused_until[step] = now + REFUSED_PAUSE_S
        self._refused_until[step] = now + REFUSED_AVOID_S

    def plan(
        self,
        store: WorkflowStore,
        workers: dict[str, TrackedWorker],
        now: float,
        wall_time: float,
        restartable: MutableMapping[RunKey, str] | None = None,
    ) -> list[PlannedStart]:
        """Return the starts to make now; those of a gang are next to each other.

        Args:
            restartable: Runs whose tasks may start again in their place, with the IDs
                of their workers. Those that may no longer are removed.
        """
        self._steps.update(store, wall_time)
        self._costs.start_round(workers)
        self._tickets.start_round(now)
        self._reservations.start_round(now)
        planning = PlanningRound(
            now,
            workers,
            RoundQuotas(store),
            wall_time=wall_time,
            costs=self._costs,
        )
        waiting = self._steps.list_waiting()
        for order in self._orders:
            with self._contain("order"):
                waiting = order.arrange(waiting, planning)
        if len(waiting) > RENEWED_STEPS:
            # Computed before any start, so that it is an upper bound during the round.
            planning.get_max_free()
        self._paused_until = _keep_current(self._paused_until, now)
        self._refused_until = _keep_current(self._refused_until, now)
        if restartable:
            with self._contain("restarts"):
                pools = self._list_suspect_pools(store)
                paused = self._paused_until
                self._restarts.plan(store, restartable, planning, paused, pools)
        with self._contain("suspects"):
            self._suspects.plan(
                store, self._steps.list_suspects(), planning, self._paused_until
            )
        self._plan_steps(store, waiting, planning)
        with self._contain("advice"):
            self._prefetch_advice(store, planning)
        planning.drop_reasons_of_started_steps()
        for key in self._steps.iter_open_gangs():
            planning.wait_reasons[key] = WaitReason.OPEN_RUNS
        self.wait_reasons = planning.wait_reasons
        return planning.starts

    def _list_suspect_pools(self, store: WorkflowStore) -> set[str]:
        return {store.find_pool(x.step.workflow) for x in self._steps.list_suspects()}

    def _plan_steps(
        self,
        store: WorkflowStore,
        waiting: Iterable[WaitingStep],
        planning: PlanningRound,
    ) -> None:
        """Plan the waiting steps in their order, up to the maximum of starts."""
        head_steps = 0
        quota_waits: dict[StepKey, float] = {}
        for step in waiting:
            if len(planning.starts) >= MAX_STARTS_PER_ROUND:
                planning.wait_reasons.setdefault(step.key, WaitReason.MAX_STARTS)
                continue
            if step.key in self._paused_until:
                planning.wait_reasons[step.key] = WaitReason.REFUSED
                continue
            # A step that waits for its quota neither reserves workers nor asks the
            # advisor, and leaves the places at the head to others.
            if not planning.quotas.allows(step):
                planning.wait_reasons[step.key] = WaitReason.QUOTA
                since = self._quota_waits.get(step.key, planning.now)
                quota_waits[step.key] = since
                is_overdue = planning.now - since >= QUOTA_WAIT_S
                planning.quotas.keep(step, is_overdue=is_overdue)
                continue
            is_head = head_steps < RENEWED_STEPS and _can_ever_fit(step.spec, planning)
            head_steps += is_head
            self._plan_or_pause(store, step, planning, is_head)
        self._quota_waits = quota_waits

    def _plan_or_pause(
        self,
        store: WorkflowStore,
        step: WaitingStep,
        planning: PlanningRound,
        is_head: bool,
    ) -> None:
        """Plan a step; after an unexpected error, leave it to a later round."""
        before = len(planning.starts)
        is_planned = False
        with self._contain("step", job=step.key[0]):
            self._plan_step(store, step, planning, is_head)
            is_planned = True
        if not is_planned:
            del planning.starts[before:]
            self.pause(step.key, planning.now)

    def _contain(
        self, part: str, **details: object
    ) -> contextlib.AbstractContextManager:
        if self._containment is None:
            return contextlib.nullcontext()
        return self._containment.contain(part, **details)

    def _prefetch_advice(self, store: WorkflowStore, planning: PlanningRound) -> None:
        """Request advice on steps that can begin once the placed tasks have ended."""
        for step in self._steps.iter_next():
            pool = store.find_pool(step.workflow)
            self._tickets.request_missing(step, pool, planning)

    def list_lacking_room(self) -> list[WaitingStep]:
        """Return the steps for which the last round found no room at all."""
        reasons = (WaitReason.NO_ROOM, WaitReason.RESERVED)
        return [
            step
            for step in self._steps.list_waiting()
            if self.wait_reasons.get(step.key) in reasons
        ]

    # One step.

    def _plan_step(
        self,
        store: WorkflowStore,
        step: WaitingStep,
        planning: PlanningRound,
        is_head: bool,
    ) -> None:
        if not is_head and not _might_fit(step.spec, planning):
            planning.wait_reasons[step.key] = WaitReason.NO_ROOM
            return
        pool, label = store.find_pool(step.workflow), step.spec.required_label
        if step.queue is None or step.queue.advisor is None:
            self._place(step, planning.list_workers(pool, label), planning, None)
            return
        advice = self._tickets.get_step_advice(step.key)
        if is_head:
            self._tickets.renew(step, advice, pool, planning)
        workers = planning.list_allowed(pool, label, advice)
        if self._place(step, workers, planning, advice):
            if not step.is_part:
                self._tickets.withdraw(step.key)
        else:
            self._tickets.request_missing(step, pool, planning)

    def _place(
        self,
        step: WaitingStep,
        workers: list[TrackedWorker],
        planning: PlanningRound,
        advice: StepAdvice | None,
    ) -> bool:
        """Start what is possible on some workers; return whether nothing waits."""
        if not workers:
            planning.wait_reasons[step.key] = WaitReason.NO_WORKER
            return False
        candidates = planning.collect_candidates(step, workers)
        if step.spec.gang:
            return self._plan_gang(step, workers, candidates, planning, advice)
        return self._plan_tasks(step, workers, candidates, planning, advice)

    def _plan_gang(
        self,
        step: WaitingStep,
        workers: list[TrackedWorker],
        candidates: list[Candidate],
        planning: PlanningRound,
        advice: StepAdvice | None,
    ) -> bool:
        chosen = None
        expired = find_expired_workers(workers, advice, planning.now)
        if expired and not (step.spec.same_rack or step.spec.data_rack):
            usable = [x for x in candidates if x.worker not in expired]
            chosen = self._choose_gang_workers(step, usable)
        if chosen is None:
            chosen = self._choose_gang_workers(step, candidates)
        if chosen is None:
            planning.wait_reasons[step.key] = _explain_lack(workers, candidates)
            self._reservations.reserve_workers(step, workers, planning)
            return False
        worker_keys = {worker.spec.id: worker.spec.key for worker in workers}
        used = {worker_keys[candidate.worker] for candidate in chosen}
        if not have_tickets(advice, used, planning.now):
            planning.wait_reasons[step.key] = WaitReason.NO_TICKET
            if self._tickets.replace_expired(step, planning.now):
                for candidate in chosen:
                    candidate.free = candidate.free - step.spec.allocation
            return False
        run = 1 + max(task.run for task in step.tasks)
        for index, candidate in zip(step.indexes, chosen, strict=True):
            worker_key = worker_keys[candidate.worker]
            planning.add_start(step, index, run, worker_key, advice)
            candidate.free = candidate.free - step.spec.allocation
        return True

    def _choose_gang_workers(
        self, step: WaitingStep, candidates: list[Candidate]
    ) -> list[Candidate] | None:
        """Return workers for a gang, if possible without those to avoid."""
        avoided = {self._find_avoided(step, task) for task in step.tasks} - {""}
        if avoided:
            others = [x for x in candidates if x.worker not in avoided]
            chosen = select_gang_workers(step.spec, others)
            if chosen is not None:
                return chosen
        return select_gang_workers(step.spec, candidates)

    def _plan_tasks(
        self,
        step: WaitingStep,
        workers: list[TrackedWorker],
        candidates: list[Candidate],
        planning: PlanningRound,
        advice: StepAdvice | None,
    ) -> bool:
        worker_keys = {worker.spec.id: worker.spec.key for worker in workers}
        tasks = step.tasks
        expired = find_expired_workers(workers, advice, planning.now)
        ranked = CandidateQueue(step.spec, candidates, deferred=expired)
        reason = None
        has_started = False
        lacking = []
        allowed = planning.quotas.count_startable(step)
        for position, index in enumerate(step.indexes):
            if position >= allowed:
                reason = reason or WaitReason.QUOTA
                break
            task = tasks[index]
            candidate = ranked.take(avoid=self._find_avoided(step, task))
            if candidate is None:
                reason = reason or _explain_lack(workers, candidates)
                break
            worker_key = worker_keys[candidate.worker]
            if not have_tickets(advice, {worker_key}, planning.now):
                reason = WaitReason.NO_TICKET
                lacking.append(candidate)
                continue
            run = tasks[index].run + 1
            planning.add_start(step, index, run, worker_key, advice)
            has_started = True
        if lacking and not self._tickets.replace_expired(step, planning.now):
            for candidate in lacking:
                candidate.free = candidate.free + step.spec.allocation
        if reason is not None and not has_started:
            planning.wait_reasons[step.key] = reason
        return reason is None

    def _find_avoided(self, step: WaitingStep, task: TaskProgress) -> str:
        """Return the worker on which a task has failed or was refused, if any."""
        is_avoided = task.failures or step.key in self._refused_until
        return task.worker if is_avoided else ""


def _keep_current(times: dict[StepKey, float], now: float) -> dict[StepKey, float]:
    """Return the times that have not been reached."""
    return {step: until for step, until in times.items() if now < until}


def _can_ever_fit(spec: StepSpec, planning: PlanningRound) -> bool:
    """Return whether a task of a step may fit on an idle worker."""
    return spec.allocation.fits_in(planning.get_max_capacity())


def _might_fit(spec: StepSpec, planning: PlanningRound) -> bool:
    """Return whether planning a step can have an effect.

    Planning a gang always can, since it reserves workers even while it does not fit.
    """
    return spec.gang or spec.allocation.fits_in(planning.get_max_free())


def _explain_lack(
    workers: list[TrackedWorker], candidates: list[Candidate]
) -> WaitReason:
    """Return why a step fits on none of the workers that it may use."""
    is_kept_out = len(candidates) < len(workers)
    return WaitReason.RESERVED if is_kept_out else WaitReason.NO_ROOM
