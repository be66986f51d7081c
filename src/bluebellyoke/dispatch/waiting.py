"""Steps with waiting tasks, kept in the order in which they are planned.

The index follows the changes that the store records, so a round of planning costs
nothing for the workflows that have not changed since the last one.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from bluebellyoke.dispatch.advice import StepKey
from bluebellyoke.dispatch.isolation import compute_turn
from bluebellyoke.workflow.commands import TaskName
from bluebellyoke.workflow.specs import QueueSpec, StepSpec
from bluebellyoke.workflow.store import WorkflowStore
from bluebellyoke.workflow.workflow import (
    Repetition,
    TaskProgress,
    TaskState,
    Workflow,
)

__all__ = [
    "SHORT_TASK_MS",
    "NextStep",
    "Suspect",
    "SuspectKey",
    "WaitingStep",
    "WaitingSteps",
]

#: Step of a suspect and the index of its first task.
SuspectKey = tuple[StepKey, int]

#: Estimated duration below which a task may use a reserved worker, or quota that is
#: kept for a gang, in milliseconds.
SHORT_TASK_MS = 900.0


@dataclass(slots=True)
class WaitingStep:
    """A step with waiting tasks.

    Attributes:
        indexes: Indexes of the waiting tasks.
        rank: Sort key; steps with a lower rank are planned first.
        is_part: Whether an order has divided the step, and these are not its last
            waiting tasks.
    """

    workflow: Workflow
    queue: QueueSpec | None
    key: StepKey
    spec: StepSpec
    indexes: list[int]
    rank: tuple
    is_part: bool = False

    @property
    def is_short(self) -> bool:
        """Whether the tasks are known to end soon."""
        return 0 < self.spec.estimate_ms < SHORT_TASK_MS

    @property
    def tasks(self) -> list[TaskProgress]:
        """All tasks of the step, by index."""
        _, repetition, index = self.key
        return self.workflow.repetitions[repetition].steps[index].tasks


@dataclass(frozen=True, slots=True)
class Suspect:
    """A waiting task, or a gang, that may crash its workers.

    Attributes:
        indexes: Indexes of the task, or of all tasks of the gang.
        turn: Wall-clock time by which suspects are ordered, in seconds.
    """

    step: WaitingStep
    indexes: list[int]
    turn: float

    @property
    def key(self) -> SuspectKey:
        """Key that no other waiting suspect has."""
        return self.step.key, self.indexes[0]


@dataclass(frozen=True, slots=True)
class NextStep:
    """A step that can begin once the placed tasks before it have ended."""

    workflow: Workflow
    queue: QueueSpec
    key: StepKey
    spec: StepSpec
    rank: tuple


class WaitingSteps:
    """Index of the steps that wait for workers or will do so next."""

    def __init__(self) -> None:
        self._store: WorkflowStore | None = None
        self._version = -1
        self._waiting: dict[str, list[WaitingStep]] = {}
        self._next: dict[str, list[NextStep]] = {}
        self._open_gangs: dict[str, list[StepKey]] = {}
        self._repeating: set[str] = set()
        self._ordered: list[WaitingStep] = []
        self._suspects: dict[str, list[Suspect]] = {}
        self._ordered_suspects: list[Suspect] = []

    def update(self, store: WorkflowStore, wall_time: float) -> None:
        """Take over the changes of the store since the last update."""
        changed = store.pop_changed()
        version = store.configuration.version
        if store is not self._store or version != self._version:
            self._store, self._version = store, version
            self._clear()
            changed = set(store.active)
        if self._repeating:
            # Repetitions become due without a change of the store.
            changed |= self._repeating
        if not changed:
            return
        for workflow_id in changed:
            self._update_workflow(store, workflow_id, wall_time)
        steps = [step for steps in self._waiting.values() for step in steps]
        self._ordered = sorted(steps, key=lambda step: step.rank)
        suspects = [item for items in self._suspects.values() for item in items]
        self._ordered_suspects = sorted(suspects, key=_rank_suspect)

    def list_waiting(self) -> list[WaitingStep]:
        """Return the steps with waiting tasks, in the order of their rank."""
        return self._ordered

    def list_suspects(self) -> list[Suspect]:
        """Return the waiting suspects, in the order of their turns."""
        return self._ordered_suspects

    def iter_next(self) -> Iterator[NextStep]:
        """Yield the steps that can begin once the placed tasks have ended."""
        for steps in self._next.values():
            yield from steps

    def iter_open_gangs(self) -> Iterator[StepKey]:
        """Yield the gangs that wait for the end of some of their runs."""
        for keys in self._open_gangs.values():
            yield from keys

    def _clear(self) -> None:
        self._waiting.clear()
        self._next.clear()
        self._open_gangs.clear()
        self._repeating.clear()
        self._ordered = []
        self._suspects.clear()
        self._ordered_suspects = []

    def _update_workflow(
        self, store: WorkflowStore, workflow_id: str, wall_time: float
    ) -> None:
        self._waiting.pop(workflow_id, None)
        self._next.pop(workflow_id, None)
        self._open_gangs.pop(workflow_id, None)
        self._suspects.pop(workflow_id, None)
        self._repeating.discard(workflow_id)
        workflow = store.active.get(workflow_id)
        if workflow is None or workflow.outcome:
            return
        if workflow.spec.repeats:
            self._repeating.add(workflow_id)
        queue = store.find_last_queue(workflow.spec.address)
        waiting = list(_find_waiting(workflow, queue, wall_time))
        if store.crashes.has_workflow(workflow_id):
            suspects = [x for step in waiting for x in _take_suspects(store, step)]
            self._suspects[workflow_id] = suspects
            waiting = [step for step in waiting if step.indexes]
        if waiting:
            self._waiting[workflow_id] = waiting
        open_gangs = list(_find_open_gangs(workflow)) if workflow.placed else []
        if open_gangs:
            self._open_gangs[workflow_id] = open_gangs
        following = list(_find_next(workflow, queue))
        if following:
            self._next[workflow_id] = following


def _find_waiting(
    workflow: Workflow, queue: QueueSpec | None, wall_time: float
) -> Iterator[WaitingStep]:
    rank = _rank(workflow, queue)
    for number in _find_due_repetitions(workflow, wall_time):
        yield from _find_waiting_steps(workflow, queue, number, rank)


def _take_suspects(store: WorkflowStore, step: WaitingStep) -> Iterator[Suspect]:
    """Remove the suspects from the waiting tasks of a step, and yield them."""
    groups = [step.indexes] if step.spec.gang else [[x] for x in step.indexes]
    for indexes in groups:
        name = TaskName(*step.key, indexes[0])
        crashes = store.crashes.find_suspect(name)
        if crashes is not None:
            step.indexes = [x for x in step.indexes if x not in indexes]
            yield Suspect(step, indexes, compute_turn(crashes))


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


def _find_open_gangs(workflow: Workflow) -> Iterator[StepKey]:
    """Yield the gangs of which some runs have not ended, but others have."""
    for number, repetition in workflow.repetitions.items():
        for index, spec in enumerate(workflow.spec.steps):
            progress = repetition.steps[index]
            if not spec.gang or progress.is_done:
                continue
            placed = sum(task.placed for task in progress.tasks)
            if 0 < placed < len(progress.tasks):
                yield workflow.spec.id, number, index


def _find_next(workflow: Workflow, queue: QueueSpec | None) -> Iterator[NextStep]:
    if queue is None or queue.advisor is None:
        return
    for number, repetition in workflow.repetitions.items():
        for index, spec in enumerate(workflow.spec.steps):
            if not spec.depends_on or repetition.steps[index].tasks[0].run:
                continue
            if _is_next(repetition, spec):
                key = (workflow.spec.id, number, index)
                yield NextStep(workflow, queue, key, spec, _rank(workflow, queue))


def _rank(workflow: Workflow, queue: QueueSpec | None) -> tuple:
    priority = queue.priority if queue is not None else 0
    return priority, workflow.submitted_at, workflow.spec.id


def _rank_suspect(suspect: Suspect) -> tuple:
    return suspect.turn, suspect.step.rank, suspect.step.key, suspect.indexes


def _is_next(repetition: Repetition, spec: StepSpec) -> bool:
    """Return whether all tasks that a step depends on are placed or done."""
    return all(
        task.placed or task.state is TaskState.DONE
        for other in spec.depends_on
        for task in repetition.steps[other].tasks
    )
