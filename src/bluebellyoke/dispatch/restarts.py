"""Restarts of tasks in the places that they keep on their workers.

A task whose start may still be carried out late by its worker does not start elsewhere.
Its next run begins in the same place; for a gang, beside new places for the others.
"""

from collections.abc import Container, MutableMapping

from bluebellyoke.dispatch.advice import StepAdvice, StepKey
from bluebellyoke.dispatch.isolation import Isolation, RecentCrashes
from bluebellyoke.dispatch.placement import Candidate, select_gang_workers
from bluebellyoke.dispatch.planning_round import (
    MAX_WORKER_SILENCE_S,
    HeldPlace,
    PlanningRound,
)
from bluebellyoke.dispatch.reservations import Reservations
from bluebellyoke.dispatch.step_tickets import StepTickets, have_tickets
from bluebellyoke.dispatch.suspects import choose_few_workers
from bluebellyoke.dispatch.waiting import WaitingStep
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.commands import TaskName
from bluebellyoke.workflow.store import RunKey, WorkflowStore

__all__ = ["RestartPlanner"]

#: Places that tasks of a step keep, by the index of the task.
Places = dict[int, HeldPlace]


class RestartPlanner:
    """Plans the next runs of tasks that keep their places.

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

    def plan(
        self,
        store: WorkflowStore,
        restartable: MutableMapping[RunKey, str],
        planning: PlanningRound,
        paused: Container[StepKey],
        suspect_pools: Container[str] = (),
    ) -> None:
        """Start the tasks whose workers may run them now.

        Suspects start apart from other young runs, on workers that the round isolates,
        and only while none waits for its turn in their pool. Otherwise they wait for it
        themselves, since each may crash the worker that has just come back.

        Args:
            restartable: Runs whose tasks keep their places, with the IDs of the
                workers. Those that do no longer are removed.
            paused: Steps that are not planned now.
            suspect_pools: Pools in which suspects wait for their turn.
        """
        isolation = Isolation(
            now=planning.now,
            workers=planning.workers,
            recent_crashes=self._recent_crashes,
        )
        for key, places in _group_places(restartable, planning).items():
            step = _create_step(store, key)
            if step is None or key in paused:
                continue
            is_suspect = _is_suspect(store, TaskName(*key, next(iter(places))))
            if is_suspect and store.find_pool(step.workflow) in suspect_pools:
                continue
            usable = {
                index: place
                for index, place in places.items()
                if _may_restart(store, step, index, place, planning)
            }
            if step.spec.gang:
                self._restart_gang(store, step, usable, planning, isolation)
            else:
                self._restart_tasks(store, step, usable, planning, isolation)
        planning.isolated = frozenset(isolation.chosen)

    def _find_advice(
        self,
        store: WorkflowStore,
        step: WaitingStep,
        places: Places,
        planning: PlanningRound,
    ) -> StepAdvice | None:
        """Return the advice on a step; tickets that its places lack are requested."""
        if step.queue is None or step.queue.advisor is None:
            return None
        advice = self._tickets.get_step_advice(step.key)
        pool = store.find_pool(step.workflow)
        worker_keys = {place.worker.spec.key for place in places.values()}
        if not have_tickets(advice, worker_keys, planning.now):
            self._tickets.request_missing(step, pool, planning)
        self._tickets.renew(step, advice, pool, planning)
        return advice

    def _restart_tasks(
        self,
        store: WorkflowStore,
        step: WaitingStep,
        places: Places,
        planning: PlanningRound,
        isolation: Isolation,
    ) -> None:
        if not places or not planning.quotas.allows(step, held=1):
            return
        advice = self._find_advice(store, step, places, planning)
        for index, place in places.items():
            if not have_tickets(advice, {place.worker.spec.key}, planning.now):
                continue
            name = TaskName(*step.key, index)
            if _is_suspect(store, name) and not _isolate([place.worker], isolation):
                continue
            planning.add_restart(name, place.number + 1, place, advice)

    def _restart_gang(
        self,
        store: WorkflowStore,
        step: WaitingStep,
        places: Places,
        planning: PlanningRound,
        isolation: Isolation,
    ) -> None:
        """Start a gang of which some tasks have places, if the others find some."""
        others = [x for x in range(step.spec.count) if x not in places]
        if any(step.tasks[index].placed for index in others):
            return
        if not planning.quotas.allows(step, held=len(places)):
            return
        pool, label = store.find_pool(step.workflow), step.spec.required_label
        advice = self._find_advice(store, step, places, planning)
        workers = planning.list_workers(pool, label)
        if advice is not None:
            workers = planning.list_allowed(pool, label, advice)
        is_suspect = _is_suspect(store, TaskName(*step.key, 0))
        ordered = isolation.order(workers) if is_suspect else workers
        candidates = planning.collect_candidates(step, ordered)
        chosen = _choose(step, candidates, len(others), is_suspect)
        if chosen is None:
            self._reservations.reserve_workers(step, workers, planning)
            return
        names = dict.fromkeys(candidate.worker for candidate in chosen)
        used = [planning.workers[name] for name in names]
        used += [x.worker for x in places.values() if x.worker.spec.id not in names]
        if not have_tickets(advice, {x.spec.key for x in used}, planning.now):
            self._tickets.replace_expired(step, planning.now)
            return
        if is_suspect and not _isolate(used, isolation):
            return
        run = 1 + max(task.run for task in step.tasks)
        for index, candidate in zip(others, chosen, strict=True):
            worker_key = planning.workers[candidate.worker].spec.key
            planning.add_start(step, index, run, worker_key, advice)
            candidate.free = candidate.free - step.spec.allocation
        for index, place in places.items():
            planning.add_restart(TaskName(*step.key, index), run, place, advice)


def _choose(
    step: WaitingStep, candidates: list[Candidate], count: int, is_suspect: bool
) -> list[Candidate] | None:
    """Return the workers for the tasks of a gang that have no place, or None."""
    if not count:
        return []
    if is_suspect:
        return choose_few_workers(step.spec, count, candidates)
    return select_gang_workers(step.spec, candidates, count)


def _is_suspect(store: WorkflowStore, name: TaskName) -> bool:
    return store.crashes.find_suspect(name) is not None


def _isolate(workers: list[TrackedWorker], isolation: Isolation) -> bool:
    """Set workers apart for a suspect; return whether it may start there now."""
    return isolation.take(workers) and all(map(isolation.has_no_young_run, workers))


def _group_places(
    restartable: MutableMapping[RunKey, str], planning: PlanningRound
) -> dict[StepKey, Places]:
    """Return the places that tasks keep, by step; drop the runs that have none."""
    found: dict[StepKey, Places] = {}
    for key, worker_id in list(restartable.items()):
        worker = planning.workers.get(worker_id)
        run = worker.runs.get(key) if worker is not None else None
        if run is None or not run.is_restartable:
            del restartable[key]
            continue
        name, number = key
        step = (name.workflow, name.repetition, name.step)
        found.setdefault(step, {})[name.index] = HeldPlace(worker, run, number)
    return found


def _create_step(store: WorkflowStore, key: StepKey) -> WaitingStep | None:
    """Return a step as it is planned, or None if its workflow has ended."""
    workflow = store.active.get(key[0])
    if workflow is None or workflow.outcome:
        return None
    queue = store.find_last_queue(workflow.spec.address)
    spec = workflow.spec.steps[key[2]]
    rank = (
        queue.priority if queue is not None else 0,
        workflow.submitted_at,
        workflow.spec.id,
    )
    return WaitingStep(workflow, queue, key, spec, list(range(spec.count)), rank)


def _may_restart(
    store: WorkflowStore,
    step: WaitingStep,
    index: int,
    place: HeldPlace,
    planning: PlanningRound,
) -> bool:
    """Return whether a task may start in its place; else it waits for another one.

    A worker on which a task has failed may fail it again.
    """
    worker, spec = place.worker, step.spec
    key = (TaskName(*step.key, index), place.number)
    if place.run.is_restart_planned:
        return False
    if not worker.can_accept_tasks(planning.now, MAX_WORKER_SILENCE_S, key):
        return False
    is_served = worker.spec.pool == store.find_pool(step.workflow)
    has_label = not spec.required_label or spec.required_label in worker.spec.labels
    has_room = worker.allocated.fits_in(worker.spec.capacity)
    has_failed = step.tasks[index].failures and not spec.long_running
    return is_served and has_label and has_room and not has_failed
