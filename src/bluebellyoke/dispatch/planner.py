"""Planning rounds, which select the waiting tasks to start and their workers.

Steps are planned by priority and age. A gang that does not fit yet reserves workers, so
that smaller tasks behind it do not delay its start forever. Tasks that may crash their
workers are planned first, on workers that the others do not get meanwhile.
"""

from collections.abc import Collection

from bluebellyoke.dispatch.advice import (
    MAX_WORKERS_PER_CALL,
    AdviceManager,
    StepAdvice,
    StepKey,
    WorkerKey,
)
from bluebellyoke.dispatch.isolation import Isolation, RecentCrashes
from bluebellyoke.dispatch.placement import (
    Candidate,
    CandidateQueue,
    count_allowed,
    select_gang_workers,
)
from bluebellyoke.dispatch.planning_round import (
    PlannedStart,
    PlanningRound,
    WaitReason,
)
from bluebellyoke.dispatch.selection import order_by_room
from bluebellyoke.dispatch.waiting import NextStep, Suspect, WaitingStep, WaitingSteps
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.commands import RunStart, TaskName
from bluebellyoke.workflow.specs import StepSpec
from bluebellyoke.workflow.store import WorkflowStore

__all__ = ["Planner"]

#: Number of steps at the head of the order whose tickets are renewed while they wait.
#: Steps whose tasks are larger than any worker do not count.
RENEWED_STEPS = 8

#: Maximum number of suspects that a round looks at.
MAX_SUSPECTS_PER_ROUND = 64

#: Maximum number of gangs that reserve workers at the same time.
MAX_RESERVING_GANGS = 2

#: Estimated duration below which a task may use a reserved worker, in milliseconds.
SHORT_TASK_MS = 900.0

#: Pause between two starts of a step that workers refuse as malformed, in seconds.
REFUSED_PAUSE_S = 0.7

#: Number of starts after which a round plans no further step.
MAX_STARTS_PER_ROUND = 400


class Planner:
    """Plans starts from the store, the workers and the advice.

    Attributes:
        wait_reasons: Why each step waits for which the last round started nothing.
    """

    def __init__(
        self, advice: AdviceManager, recent_crashes: RecentCrashes | None = None
    ) -> None:
        self._advice = advice
        self._recent_crashes = recent_crashes or RecentCrashes()
        self._isolated: frozenset[str] = frozenset()
        self._steps = WaitingSteps()
        self._paused_until: dict[StepKey, float] = {}
        self.wait_reasons: dict[StepKey, WaitReason] = {}

    def reset(self) -> None:
        """Forget what is known of the store, whose changes may have been missed."""
        self._steps = WaitingSteps()
        self._paused_until.clear()
        self._isolated = frozenset()
        self.wait_reasons = {}

    def pause(self, step: StepKey, now: float) -> None:
        """Plan a step that a worker has refused as malformed only some time later."""
        self._paused_until[step] = now + REFUSED_PAUSE_S

    def plan(
        self,
        store: WorkflowStore,
        workers: dict[str, TrackedWorker],
        now: float,
        wall_time: float,
    ) -> list[PlannedStart]:
        """Return the starts to make now; those of a gang are next to each other."""
        self._steps.update(store, wall_time)
        planning = PlanningRound(now, workers)
        waiting = self._steps.list_waiting()
        if len(waiting) > RENEWED_STEPS:
            planning.get_max_free()
        self._paused_until = {
            step: until for step, until in self._paused_until.items() if now < until
        }
        self._plan_suspects(store, planning)
        head_steps = 0
        for step in waiting:
            if len(planning.starts) >= MAX_STARTS_PER_ROUND:
                break
            if step.key in self._paused_until:
                planning.wait_reasons[step.key] = WaitReason.REFUSED
                continue
            is_head = head_steps < RENEWED_STEPS and _can_ever_fit(step.spec, planning)
            head_steps += is_head
            self._plan_step(store, step, planning, is_head)
        self._prefetch_advice(store, planning)
        self.wait_reasons = planning.wait_reasons
        return planning.starts

    def _prefetch_advice(self, store: WorkflowStore, planning: PlanningRound) -> None:
        """Request advice on steps that can begin once the placed tasks have ended."""
        for step in self._steps.iter_next():
            pool = store.find_pool(step.workflow)
            self._request_missing_advice(step, pool, planning)

    # Suspects.

    def _plan_suspects(self, store: WorkflowStore, planning: PlanningRound) -> None:
        """Start tasks that may crash their workers, and set workers apart for them."""
        isolation = Isolation(
            now=planning.now,
            workers=planning.workers,
            recent_crashes=self._recent_crashes,
            previous=self._isolated,
        )
        waiting = 0
        for suspect in self._steps.list_suspects()[:MAX_SUSPECTS_PER_ROUND]:
            if isolation.is_full:
                break
            if suspect.step.key in self._paused_until:
                continue
            is_head = waiting < RENEWED_STEPS
            waiting += not self._plan_suspect(
                store, suspect, planning, isolation, is_head
            )
        self._isolated = frozenset(isolation.chosen)
        planning.isolated = isolation.chosen

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
            is_head: Whether it may ask the advisor while it waits.
        """
        step = suspect.step
        pool, label = store.find_pool(step.workflow), step.spec.required_label
        advice = None
        workers = planning.list_workers(pool, label)
        if step.queue is not None and step.queue.advisor is not None:
            advice = self._advice.get_step_advice(step.key)
            if is_head:
                self._renew_tickets(step, advice, pool, planning)
            workers = planning.list_allowed(pool, label, advice)
        reason = self._start_suspect(suspect, workers, planning, isolation, advice)
        if reason is not None:
            planning.wait_reasons[step.key] = reason
        if reason is not None and advice is not None and is_head:
            self._request_missing_advice(step, pool, planning)
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
        ordered = isolation.order(workers)
        candidates = self._collect_candidates(step, ordered, planning)
        chosen = _choose_few_workers(step.spec, len(indexes), candidates)
        if chosen is None:
            _free_a_worker(step.spec, ordered, isolation)
            return WaitReason.NO_ROOM if workers else WaitReason.NO_WORKER
        used = [planning.workers[x] for x in {item.worker: None for item in chosen}]
        if not _have_tickets(advice, [x.spec.key for x in used], planning.now):
            self._replace_expired_tickets(step, planning.now)
            return WaitReason.NO_TICKET
        if not isolation.take(used) or not all(map(isolation.has_no_young_run, used)):
            return WaitReason.SUSPECT
        run = 1 + max(_get_tasks(step)[index].run for index in indexes)
        for index, candidate in zip(indexes, chosen, strict=True):
            worker_key = planning.workers[candidate.worker].spec.key
            self._add_start(step, index, run, worker_key, planning, advice)
        return None

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
        advice = self._advice.get_step_advice(step.key)
        if is_head:
            self._renew_tickets(step, advice, pool, planning)
        workers = planning.list_allowed(pool, label, advice)
        if self._place(step, workers, planning, advice):
            self._advice.withdraw(step.key)
        else:
            self._request_missing_advice(step, pool, planning)

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
        candidates = self._collect_candidates(step, workers, planning)
        if step.spec.gang:
            return self._plan_gang(step, workers, candidates, planning, advice)
        return self._plan_tasks(step, workers, candidates, planning, advice)

    def _request_missing_advice(
        self, step: WaitingStep | NextStep, pool: str, planning: PlanningRound
    ) -> None:
        """Request advice on workers that the advisor has not evaluated yet."""
        advice = self._advice.get_step_advice(step.key)
        label = step.spec.required_label
        if advice.is_evaluating:
            return
        if planning.list_worker_keys(pool, label) <= advice.evaluated:
            return
        unknown = [
            worker
            for worker in planning.list_workers(pool, label)
            if worker.spec.key not in advice.evaluated
        ]
        worker_keys = order_by_room(step.key, step.spec.need, unknown)
        self._advice.evaluate(step.key, worker_keys, step.queue.advisor, step.rank)

    def _renew_tickets(
        self, step: WaitingStep, advice: StepAdvice, pool: str, planning: PlanningRound
    ) -> None:
        """Request new tickets for a waiting step before its tickets expire."""
        spec = step.queue.advisor
        call_size = min(len(advice.tickets), MAX_WORKERS_PER_CALL)
        duration_s = (spec.decision_ms + spec.per_worker_ms * call_size) / 1000
        self._advice.renew(
            step.key,
            spec,
            step.rank,
            until=planning.now + duration_s,
            workers=planning.list_worker_keys(pool, step.spec.required_label),
        )

    def _replace_expired_tickets(self, step: WaitingStep, now: float) -> None:
        """Request new tickets for a step that could start with them."""
        self._advice.renew(step.key, step.queue.advisor, step.rank, until=now)

    def _collect_candidates(
        self, step: WaitingStep, workers: list[TrackedWorker], planning: PlanningRound
    ) -> list[Candidate]:
        is_short = 0 < step.spec.estimate_ms < SHORT_TASK_MS
        candidates = []
        for worker in workers:
            if worker.spec.id in planning.isolated:
                continue
            candidate = planning.find_candidate(worker)
            if step.spec.max_per_worker:
                candidate.step_runs = _count_step_runs(worker, step.key)
            if is_short or worker.spec.id not in planning.reserved:
                candidates.append(candidate)
        return candidates

    def _plan_gang(
        self,
        step: WaitingStep,
        workers: list[TrackedWorker],
        candidates: list[Candidate],
        planning: PlanningRound,
        advice: StepAdvice | None,
    ) -> bool:
        chosen = None
        expired = _find_expired(workers, advice, planning.now)
        if expired and not (step.spec.same_rack or step.spec.data_rack):
            usable = [x for x in candidates if x.worker not in expired]
            chosen = self._choose_gang_workers(step, usable)
        if chosen is None:
            chosen = self._choose_gang_workers(step, candidates)
        if chosen is None:
            planning.wait_reasons[step.key] = _explain_lack(workers, candidates)
            self._reserve(step, workers, planning)
            return False
        worker_keys = {worker.spec.id: worker.spec.key for worker in workers}
        used = {worker_keys[candidate.worker] for candidate in chosen}
        if not _have_tickets(advice, used, planning.now):
            planning.wait_reasons[step.key] = WaitReason.NO_TICKET
            self._replace_expired_tickets(step, planning.now)
            # Keep the resources free until the new tickets arrive.
            for candidate in chosen:
                candidate.free = candidate.free - step.spec.need
            return False
        run = 1 + max(task.run for task in _get_tasks(step))
        for index, candidate in zip(step.indexes, chosen, strict=True):
            self._add_start(
                step, index, run, worker_keys[candidate.worker], planning, advice
            )
            candidate.free = candidate.free - step.spec.need
        return True

    def _choose_gang_workers(
        self, step: WaitingStep, candidates: list[Candidate]
    ) -> list[Candidate] | None:
        """Return workers for a gang, if possible without those where a task failed."""
        failed_on = {task.worker for task in _get_tasks(step) if task.failures}
        if failed_on:
            others = [
                candidate
                for candidate in candidates
                if candidate.worker not in failed_on
            ]
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
        tasks = _get_tasks(step)
        expired = _find_expired(workers, advice, planning.now)
        ranked = CandidateQueue(step.spec, candidates, deferred=expired)
        reason = None
        has_started = False
        for index in step.indexes:
            task = tasks[index]
            candidate = ranked.take(avoid=task.worker if task.failures else "")
            if candidate is None:
                reason = reason or _explain_lack(workers, candidates)
                break
            worker_key = worker_keys[candidate.worker]
            if not _have_tickets(advice, {worker_key}, planning.now):
                reason = WaitReason.NO_TICKET
                continue
            run = tasks[index].run + 1
            self._add_start(step, index, run, worker_key, planning, advice)
            has_started = True
        if reason is WaitReason.NO_TICKET:
            self._replace_expired_tickets(step, planning.now)
        if reason is not None and not has_started:
            planning.wait_reasons[step.key] = reason
        return reason is None

    def _add_start(
        self,
        step: WaitingStep,
        index: int,
        run: int,
        worker_key: tuple[str, int],
        planning: PlanningRound,
        advice: StepAdvice | None,
    ) -> None:
        workflow, repetition, number = step.key
        name = TaskName(workflow, repetition, number, index)
        ticket = (
            advice.find_ticket(worker_key, planning.now) if advice is not None else ""
        )
        start = RunStart(name, run, worker_key[0], worker_key[1])
        planning.starts.append(PlannedStart(start, ticket))

    def _reserve(
        self, step: WaitingStep, workers: list[TrackedWorker], planning: PlanningRound
    ) -> None:
        """Reserve the workers with the most free CPU for a waiting gang."""
        if planning.reserving >= MAX_RESERVING_GANGS:
            return
        places = {
            worker.spec.id: count_allowed(
                step.spec, planning.find_candidate(worker), worker.spec.capacity
            )
            for worker in workers
        }
        if sum(places.values()) < step.spec.count:
            # It would not fit even if these workers were idle.
            return
        planning.reserving += 1
        missing = step.spec.count
        order = sorted(
            workers,
            key=lambda x: (-planning.find_candidate(x).free.cpu_millis, x.spec.id),
        )
        for worker in order:
            name = worker.spec.id
            if missing <= 0:
                return
            if name in planning.reserved or not places[name]:
                continue
            missing -= places[name]
            planning.reserved.add(name)


def _free_a_worker(
    spec: StepSpec, ordered: list[TrackedWorker], isolation: Isolation
) -> None:
    """Set a worker apart that has room for a suspect once its runs have ended."""
    full = [
        worker
        for worker in ordered
        if spec.need.fits_in(worker.spec.capacity)
        and not spec.need.fits_in(worker.free)
    ]
    if full and not spec.gang:
        isolation.take(full[:1])


def _choose_few_workers(
    spec: StepSpec, count: int, candidates: list[Candidate]
) -> list[Candidate] | None:
    """Return the workers for some tasks, among the first ones that they fit on.

    Args:
        count: Number of tasks: all of a gang, or one.
        candidates: Workers, the best first.
    """
    fitting = [x for x in candidates if count_allowed(spec, x, x.free)]
    if count == 1:
        return fitting[:1] or None
    size = 1
    while fitting:
        chosen = select_gang_workers(spec, fitting[:size])
        if chosen is not None or size >= len(fitting):
            return chosen
        size *= 2
    return None


def _can_ever_fit(spec: StepSpec, planning: PlanningRound) -> bool:
    """Return whether a task of a step may fit on an idle worker."""
    return spec.backfill or spec.need.fits_in(planning.get_max_capacity())


def _might_fit(spec: StepSpec, planning: PlanningRound) -> bool:
    """Return whether planning a step can have an effect.

    Planning a gang always can, since it reserves workers even while it does not fit.
    """
    return spec.gang or spec.backfill or spec.need.fits_in(planning.get_max_free())


def _have_tickets(
    advice: StepAdvice | None, worker_keys: Collection[WorkerKey], now: float
) -> bool:
    """Return whether a step may start on workers; without advice it always may."""
    return advice is None or all(advice.is_ticket_valid(x, now) for x in worker_keys)


def _explain_lack(
    workers: list[TrackedWorker], candidates: list[Candidate]
) -> WaitReason:
    """Return why a step fits on none of the workers that it may use."""
    is_kept_out = len(candidates) < len(workers)
    return WaitReason.RESERVED if is_kept_out else WaitReason.NO_ROOM


def _find_expired(
    workers: list[TrackedWorker], advice: StepAdvice | None, now: float
) -> set[str]:
    """Return the IDs of the workers whose tickets have expired while others are valid.

    If all are valid or all have expired, there is nothing to prefer.
    """
    expired = advice.list_expired(now) if advice is not None else set()
    if not expired or len(expired) == len(advice.tickets):
        return set()
    return {x.spec.id for x in workers if x.spec.key in expired}


def _get_tasks(step: WaitingStep) -> list:
    _, number, index = step.key
    return step.workflow.repetitions[number].steps[index].tasks


def _count_step_runs(worker: TrackedWorker, key: StepKey) -> int:
    return sum(
        (name.workflow, name.repetition, name.step) == key for name, _ in worker.runs
    )
