"""Planner that looks at all workflows and all workers in each round.

It is the reference for the decisions of `bluebellyoke.dispatch.planner`, which keeps
an index between rounds.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.advice import AdviceManager, StepAdvice, StepKey
from bluebellyoke.dispatch.placement import (
    Candidate,
    CandidateQueue,
    count_allowed,
    select_gang_workers,
)
from bluebellyoke.dispatch.planner import (
    MAX_STARTS_PER_ROUND,
    RENEWED_STEPS,
)
from bluebellyoke.dispatch.planning_round import MAX_WORKER_SILENCE_S, PlannedStart
from bluebellyoke.dispatch.reservations import MAX_RESERVING_GANGS
from bluebellyoke.dispatch.waiting import SHORT_TASK_MS
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.commands import RunStart, TaskName
from bluebellyoke.workflow.specs import QueueSpec, StepSpec
from bluebellyoke.workflow.store import WorkflowStore
from bluebellyoke.workflow.workflow import TaskState, Workflow

__all__ = ["Planner"]


@dataclass(slots=True)
class WaitingStep:
    """A step with waiting tasks.

    Attributes:
        indexes: Indexes of the waiting tasks.
        rank: Sort key; steps with a lower rank are planned first.
    """

    workflow: Workflow
    queue: QueueSpec | None
    key: StepKey
    spec: StepSpec
    indexes: list[int]
    rank: tuple


@dataclass(slots=True)
class PlanningRound:
    """State of one round of planning.

    Attributes:
        candidates: Workers that may get tasks, by ID.
        pools: These workers by pool.
        usable: What each of them has free once all its runs but long-running ones end.
        max_free: Maximum of each resource that any worker had free at the start of the
            round.
        reserved: IDs of workers that gangs have reserved.
        reserving: Number of gangs that have reserved workers.
    """

    now: float
    candidates: dict[str, Candidate]
    pools: dict[str, list[TrackedWorker]]
    usable: dict[str, Resources]
    max_free: Resources
    reserved: set[str] = field(default_factory=set)
    reserving: int = 0
    starts: list[PlannedStart] = field(default_factory=list)


class Planner:
    """Plans starts from the store, the workers and the advice."""

    def __init__(self, advice: AdviceManager) -> None:
        self._advice = advice

    def plan(
        self,
        store: WorkflowStore,
        workers: dict[str, TrackedWorker],
        now: float,
        wall_time: float,
    ) -> list[PlannedStart]:
        """Return the starts to make now; those of a gang are next to each other."""
        waiting = sorted(_find_waiting(store, wall_time), key=lambda step: step.rank)
        if not waiting:
            return []
        planning = _create_round(store, workers, now)
        for position, step in enumerate(waiting):
            if len(planning.starts) >= MAX_STARTS_PER_ROUND:
                break
            self._plan_step(store, step, planning, position < RENEWED_STEPS)
        return planning.starts

    def prefetch_advice(
        self, store: WorkflowStore, workers: dict[str, TrackedWorker], now: float
    ) -> None:
        """Request advice on steps that can begin once the placed tasks have ended."""
        for workflow in store.active.values():
            queue = store.find_last_queue(workflow.spec.address)
            if workflow.outcome or queue is None or queue.advisor is None:
                continue
            for number, repetition in workflow.repetitions.items():
                for index, spec in enumerate(workflow.spec.steps):
                    if not spec.depends_on or repetition.steps[index].tasks[0].run:
                        continue
                    if _is_next(repetition, spec):
                        key = (workflow.spec.id, number, index)
                        worker_keys = _list_worker_keys(
                            workers, store.find_pool(workflow), spec
                        )
                        self._request_missing_advice(
                            key, worker_keys, queue, _rank(workflow, queue)
                        )

    # One step.

    def _plan_step(
        self,
        store: WorkflowStore,
        step: WaitingStep,
        planning: PlanningRound,
        is_head: bool,
    ) -> None:
        if not is_head and not _might_fit(step.spec, planning):
            return
        pool = store.find_pool(step.workflow)
        workers = [
            worker
            for worker in planning.pools.get(pool, ())
            if not step.spec.required_label
            or step.spec.required_label in worker.spec.labels
        ]
        advice = None
        if step.queue is not None and step.queue.advisor is not None:
            advice = self._advice.get_step_advice(step.key)
            worker_keys = [worker.spec.key for worker in workers]
            self._request_missing_advice(step.key, worker_keys, step.queue, step.rank)
            if is_head:
                self._renew_tickets(step, advice, planning.now)
            workers = [x for x in workers if x.spec.key in advice.tickets]
        if not workers:
            return
        candidates = self._collect_candidates(step, workers, planning)
        if step.spec.gang:
            self._plan_gang(step, workers, candidates, planning, advice)
        else:
            self._plan_tasks(step, workers, candidates, planning, advice)

    def _request_missing_advice(
        self, key: StepKey, worker_keys: list, queue: QueueSpec, rank: tuple
    ) -> None:
        known = self._advice.get_step_advice(key).evaluated
        unknown = [worker_key for worker_key in worker_keys if worker_key not in known]
        self._advice.evaluate(key, unknown, queue.advisor, rank)

    def _renew_tickets(self, step: WaitingStep, advice: StepAdvice, now: float) -> None:
        """Request new tickets for a waiting step before its tickets expire."""
        spec = step.queue.advisor
        count = len(advice.tickets)
        duration_s = (spec.decision_ms + spec.per_worker_ms * count) / 1000
        self._advice.renew(step.key, spec, step.rank, until=now + duration_s)

    def _collect_candidates(
        self, step: WaitingStep, workers: list[TrackedWorker], planning: PlanningRound
    ) -> list[Candidate]:
        is_short = 0 < step.spec.estimate_ms < SHORT_TASK_MS
        candidates = []
        for worker in workers:
            candidate = planning.candidates[worker.spec.id]
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
    ) -> None:
        chosen = None
        expired = _find_expired(workers, advice, planning.now)
        if expired and not (step.spec.same_rack or step.spec.data_rack):
            usable = [x for x in candidates if x.worker not in expired]
            chosen = self._choose_gang_workers(step, usable)
        if chosen is None:
            chosen = self._choose_gang_workers(step, candidates)
        if chosen is None:
            self._reserve(step, workers, planning)
            return
        worker_keys = {worker.spec.id: worker.spec.key for worker in workers}
        used = {worker_keys[candidate.worker] for candidate in chosen}
        if self._lacks_tickets(step, advice, used, planning.now):
            # Keep the resources free until the new tickets arrive.
            for candidate in chosen:
                candidate.free = candidate.free - step.spec.allocation
            return
        run = 1 + max(task.run for task in _get_tasks(step))
        for index, candidate in zip(step.indexes, chosen, strict=True):
            self._add_start(
                step, index, run, worker_keys[candidate.worker], planning, advice
            )
            candidate.free = candidate.free - step.spec.allocation

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
    ) -> None:
        worker_keys = {worker.spec.id: worker.spec.key for worker in workers}
        tasks = _get_tasks(step)
        expired = _find_expired(workers, advice, planning.now)
        ranked = CandidateQueue(step.spec, candidates, deferred=expired)
        for index in step.indexes:
            task = tasks[index]
            candidate = ranked.take(avoid=task.worker if task.failures else "")
            if candidate is None:
                return
            worker_key = worker_keys[candidate.worker]
            if self._lacks_tickets(step, advice, {worker_key}, planning.now):
                continue
            run = tasks[index].run + 1
            self._add_start(step, index, run, worker_key, planning, advice)

    def _lacks_tickets(
        self, step: WaitingStep, advice: StepAdvice | None, worker_keys: set, now: float
    ) -> bool:
        """Return whether a ticket has expired, and request new ones in that case."""
        if advice is None:
            return False
        if all(
            advice.find_ticket(worker_key, now) is not None
            for worker_key in worker_keys
        ):
            return False
        self._advice.renew(step.key, step.queue.advisor, step.rank, until=now)
        return True

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
        start = RunStart(name, run, *worker_key, has_ticket=bool(ticket))
        planning.starts.append(PlannedStart(start, ticket))

    def _reserve(
        self, step: WaitingStep, workers: list[TrackedWorker], planning: PlanningRound
    ) -> None:
        """Reserve the workers with the most free CPU for a waiting gang."""
        if planning.reserving >= MAX_RESERVING_GANGS:
            return
        places = {
            worker.spec.id: count_allowed(
                step.spec,
                planning.candidates[worker.spec.id],
                planning.usable[worker.spec.id],
            )
            for worker in workers
        }
        if sum(places.values()) < step.spec.count:
            return
        planning.reserving += 1
        missing = step.spec.count
        order = sorted(
            workers,
            key=lambda x: (-planning.candidates[x.spec.id].free.cpu_millis, x.spec.id),
        )
        for worker in order:
            name = worker.spec.id
            if missing <= 0:
                return
            if name in planning.reserved or not places[name]:
                continue
            missing -= places[name]
            planning.reserved.add(name)


def _create_round(
    store: WorkflowStore, workers: dict[str, TrackedWorker], now: float
) -> PlanningRound:
    candidates: dict[str, Candidate] = {}
    pools: dict[str, list[TrackedWorker]] = {}
    usable: dict[str, Resources] = {}
    for worker in workers.values():
        if not worker.can_accept_tasks(now, MAX_WORKER_SILENCE_S):
            continue
        spec = worker.spec
        candidates[spec.id] = Candidate(
            spec.id, spec.labels, worker.free, spec.capacity
        )
        pools.setdefault(spec.pool, []).append(worker)
        usable[spec.id] = spec.capacity
        for (task, _), run in worker.runs.items():
            workflow = store.workflows[task.workflow]
            if workflow.spec.steps[task.step].long_running and not workflow.outcome:
                usable[spec.id] = usable[spec.id] - run.need
    free = [candidate.free for candidate in candidates.values()]
    max_free = Resources(
        max((item.cpu_millis for item in free), default=0),
        max((item.memory_mb for item in free), default=0),
        max((item.accelerators for item in free), default=0),
    )
    return PlanningRound(now, candidates, pools, usable, max_free)


def _might_fit(spec: StepSpec, planning: PlanningRound) -> bool:
    """Return whether planning a step can have an effect.

    Planning a gang always can, since it reserves workers even while it does not fit.
    """
    return spec.gang or spec.allocation.fits_in(planning.max_free)


def _find_waiting(store: WorkflowStore, wall_time: float) -> Iterator[WaitingStep]:
    for workflow in store.active.values():
        if workflow.outcome:
            continue
        queue = store.find_last_queue(workflow.spec.address)
        rank = _rank(workflow, queue)
        for number in _find_due_repetitions(workflow, wall_time):
            yield from _find_waiting_steps(workflow, queue, number, rank)


def _find_due_repetitions(workflow: Workflow, wall_time: float) -> Iterator[int]:
    """Yield the repetitions that are due and not done."""
    spec = workflow.spec
    for number in range(workflow.count_repetitions()):
        due_ms = spec.first_at_ms + number * spec.interval_ms if spec.repeats else 0
        if wall_time * 1000 < due_ms:
            return
        begun = workflow.repetitions.get(number)
        if begun is None or not begun.is_done:
            yield number


def _find_waiting_steps(
    workflow: Workflow, queue: QueueSpec | None, number: int, rank: tuple
) -> Iterator[WaitingStep]:
    repetition = workflow.get_repetition(number)
    for index, spec in enumerate(workflow.spec.steps):
        progress = repetition.steps[index]
        if progress.is_done or not workflow.is_ready(repetition, index):
            continue
        indexes = [
            position
            for position, task in enumerate(progress.tasks)
            if task.state is TaskState.WAITING and not task.placed
        ]
        if not indexes or (spec.gang and len(indexes) < spec.count):
            continue
        key = (workflow.spec.id, number, index)
        yield WaitingStep(workflow, queue, key, spec, indexes, rank)


def _rank(workflow: Workflow, queue: QueueSpec | None) -> tuple:
    priority = queue.priority if queue is not None else 0
    return priority, workflow.submitted_at, workflow.spec.id


def _is_next(repetition, spec: StepSpec) -> bool:
    """Return whether all tasks that a step depends on are placed or done."""
    return all(
        task.placed or task.state is TaskState.DONE
        for other in spec.depends_on
        for task in repetition.steps[other].tasks
    )


def _list_worker_keys(
    workers: dict[str, TrackedWorker], pool: str, spec: StepSpec
) -> list:
    return [
        worker.spec.key
        for worker in workers.values()
        if worker.spec.pool == pool
        and not worker.spec.draining
        and (not spec.required_label or spec.required_label in worker.spec.labels)
    ]


def _find_expired(
    workers: list[TrackedWorker], advice: StepAdvice | None, now: float
) -> set[str]:
    """Return the IDs of the workers for which a step lacks a valid ticket."""
    if advice is None:
        return set()
    return {x.spec.id for x in workers if not advice.is_ticket_valid(x.spec.key, now)}


def _get_tasks(step: WaitingStep) -> list:
    _, number, index = step.key
    return step.workflow.repetitions[number].steps[index].tasks


def _count_step_runs(worker: TrackedWorker, key: StepKey) -> int:
    return sum(
        (name.workflow, name.repetition, name.step) == key for name, _ in worker.runs
    )
