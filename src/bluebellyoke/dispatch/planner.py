"""One round of planning: which tasks that wait start now, and where.

Steps are taken by priority and age. A gang that does not fit yet reserves workers, so
that smaller tasks behind it do not keep it from starting.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.advice import AdviceDuties, StepAdvice, StepKey
from bluebellyoke.dispatch.members import Member
from bluebellyoke.dispatch.placement import (
    Candidates,
    Room,
    count_allowed,
    place_gang,
)
from bluebellyoke.workflow.book import WorkflowBook
from bluebellyoke.workflow.commands import RunStart, TaskName
from bluebellyoke.workflow.specs import QueueSpec, StepSpec
from bluebellyoke.workflow.workflow import TaskState, Workflow

__all__ = ["Planner", "PlannedStart"]

#: Steps at the head of the order whose tickets are kept valid while they wait.
FRESH_STEPS = 8

#: Gangs that may reserve workers at the same time.
RESERVING_GANGS = 2

#: Tasks shorter than this may use a reserved worker, in milliseconds.
SHORT_TASK_MS = 900.0

#: Starts of one round, at most.
ROUND_STARTS = 400

#: Time without an answer after which a worker gets no new task, in seconds.
WORKER_SILENCE_S = 2.5


@dataclass(frozen=True, slots=True)
class PlannedStart:
    """A start with the ticket that goes with it."""

    start: RunStart
    ticket: str


@dataclass(slots=True)
class WaitingStep:
    """A step with tasks that wait."""

    workflow: Workflow
    queue: QueueSpec | None
    key: StepKey
    spec: StepSpec
    indexes: list[int]
    rank: tuple


@dataclass(slots=True)
class Round:
    """What one round of planning uses up.

    Attributes:
        most_free: The most of each resource that any worker had free at its start.
    """

    now: float
    rooms: dict[str, Room]
    pools: dict[str, list[Member]]
    most_free: Resources
    reserved: set[str] = field(default_factory=set)
    reserving: int = 0
    starts: list[PlannedStart] = field(default_factory=list)


class Planner:
    """Plans starts from the book, the members and the advice."""

    def __init__(self, advice: AdviceDuties) -> None:
        self._advice = advice

    def plan(
        self, book: WorkflowBook, members: dict[str, Member], now: float, wall: float
    ) -> list[PlannedStart]:
        """Return the starts that are due now; those of a gang stand together."""
        waiting = sorted(_find_waiting(book, wall), key=lambda step: step.rank)
        if not waiting:
            return []
        planning = _open_round(members, now)
        for position, step in enumerate(waiting):
            if len(planning.starts) >= ROUND_STARTS:
                break
            self._plan_step(book, step, planning, position < FRESH_STEPS)
        return planning.starts

    def ask_ahead(
        self, book: WorkflowBook, members: dict[str, Member], now: float
    ) -> None:
        """Ask about steps that begin when the tasks that run now have ended."""
        for workflow in book.active.values():
            queue = book.find_queue_named(workflow.spec.queue)
            if workflow.outcome or queue is None or queue.advisor is None:
                continue
            for number, repetition in workflow.repetitions.items():
                for index, spec in enumerate(workflow.spec.steps):
                    if not spec.depends_on or repetition.steps[index].tasks[0].run:
                        continue
                    if _is_near(repetition, spec):
                        key = (workflow.spec.id, number, index)
                        lives = _list_lives(members, book.find_pool(workflow), spec)
                        self._ask_unknown(key, lives, queue, _rank(workflow, queue))

    # One step.

    def _plan_step(
        self, book: WorkflowBook, step: WaitingStep, planning: Round, is_head: bool
    ) -> None:
        if not is_head and not _may_fit(step.spec, planning):
            return
        pool = book.find_pool(step.workflow)
        members = [
            member
            for member in planning.pools.get(pool, ())
            if not step.spec.required_label
            or step.spec.required_label in member.spec.labels
        ]
        advice = None
        if step.queue is not None and step.queue.advisor is not None:
            advice = self._advice.find(step.key)
            lives = [member.spec.key for member in members]
            self._ask_unknown(step.key, lives, step.queue, step.rank)
            if is_head:
                self._keep_fresh(step, advice, planning.now)
            members = [x for x in members if x.spec.key in advice.tickets]
        if not members:
            return
        rooms = self._collect_rooms(step, members, planning)
        if step.spec.gang:
            self._plan_gang(step, members, rooms, planning, advice)
        else:
            self._plan_tasks(step, members, rooms, planning, advice)

    def _ask_unknown(
        self, key: StepKey, lives: list, queue: QueueSpec, rank: tuple
    ) -> None:
        known = self._advice.find(key).known
        unknown = [life for life in lives if life not in known]
        self._advice.ask(key, unknown, queue.advisor, rank)

    def _keep_fresh(self, step: WaitingStep, advice: StepAdvice, now: float) -> None:
        """Renew the tickets of a step that waits, before they expire."""
        spec = step.queue.advisor
        count = len(advice.tickets)
        length_s = (spec.decision_ms + spec.per_worker_ms * count) / 1000
        if count and not advice.is_fresh(now + length_s):
            self._advice.ask(step.key, advice.tickets, spec, step.rank)

    def _collect_rooms(
        self, step: WaitingStep, members: list[Member], planning: Round
    ) -> list[Room]:
        is_short = 0 < step.spec.estimate_ms < SHORT_TASK_MS
        rooms = []
        for member in members:
            if member.spec.id in planning.reserved and not is_short:
                continue
            room = planning.rooms[member.spec.id]
            if step.spec.per_worker:
                room.taken_by_step = _count_step_runs(member, step.key)
            rooms.append(room)
        return rooms

    def _plan_gang(
        self,
        step: WaitingStep,
        members: list[Member],
        rooms: list[Room],
        planning: Round,
        advice: StepAdvice | None,
    ) -> None:
        chosen = self._choose_rooms(step, rooms)
        if chosen is None:
            self._reserve(step, members, planning)
            return
        lives = {member.spec.id: member.spec.key for member in members}
        used = {lives[room.worker] for room in chosen}
        if self._lacks_tickets(step, advice, used, planning.now):
            # The room is kept until the tickets have come.
            for room in chosen:
                room.free = room.free - step.spec.need
            return
        run = 1 + max(task.run for task in _find_tasks(step))
        for index, room in zip(step.indexes, chosen, strict=True):
            self._add_start(step, index, run, lives[room.worker], planning, advice)
            room.free = room.free - step.spec.need

    def _choose_rooms(self, step: WaitingStep, rooms: list[Room]) -> list[Room] | None:
        """Return workers for a gang; those where a member failed only if need be."""
        failed_on = {task.worker for task in _find_tasks(step) if task.failures}
        if failed_on:
            others = [room for room in rooms if room.worker not in failed_on]
            chosen = place_gang(step.spec, others)
            if chosen is not None:
                return chosen
        return place_gang(step.spec, rooms)

    def _plan_tasks(
        self,
        step: WaitingStep,
        members: list[Member],
        rooms: list[Room],
        planning: Round,
        advice: StepAdvice | None,
    ) -> None:
        lives = {member.spec.id: member.spec.key for member in members}
        tasks = _find_tasks(step)
        candidates = Candidates(step.spec, rooms)
        for index in step.indexes:
            task = tasks[index]
            room = candidates.take(avoid=task.worker if task.failures else "")
            if room is None:
                return
            life = lives[room.worker]
            if self._lacks_tickets(step, advice, {life}, planning.now):
                continue
            run = tasks[index].run + 1
            self._add_start(step, index, run, life, planning, advice)

    def _lacks_tickets(
        self, step: WaitingStep, advice: StepAdvice | None, lives: set, now: float
    ) -> bool:
        """Return whether a ticket has expired, and ask for new ones then."""
        if advice is None:
            return False
        if all(advice.find_ticket(life, now) is not None for life in lives):
            return False
        self._advice.ask(step.key, advice.tickets, step.queue.advisor, step.rank)
        return True

    def _add_start(
        self,
        step: WaitingStep,
        index: int,
        run: int,
        life: tuple[str, int],
        planning: Round,
        advice: StepAdvice | None,
    ) -> None:
        workflow, repetition, number = step.key
        name = TaskName(workflow, repetition, number, index)
        ticket = advice.find_ticket(life, planning.now) if advice is not None else ""
        start = RunStart(name, run, life[0], life[1])
        planning.starts.append(PlannedStart(start, ticket))

    def _reserve(
        self, step: WaitingStep, members: list[Member], planning: Round
    ) -> None:
        """Keep the workers with the most room for a gang that waits."""
        if planning.reserving >= RESERVING_GANGS:
            return
        planning.reserving += 1
        missing = step.spec.count
        order = sorted(
            members,
            key=lambda x: (-planning.rooms[x.spec.id].free.cpu_millis, x.spec.id),
        )
        for member in order:
            if missing <= 0:
                return
            if member.spec.id in planning.reserved:
                continue
            room = planning.rooms[member.spec.id]
            missing -= count_allowed(step.spec, room, member.spec.capacity)
            planning.reserved.add(member.spec.id)


def _open_round(members: dict[str, Member], now: float) -> Round:
    rooms: dict[str, Room] = {}
    pools: dict[str, list[Member]] = {}
    for member in members.values():
        if not member.is_usable(now, WORKER_SILENCE_S):
            continue
        spec = member.spec
        rooms[spec.id] = Room(spec.id, spec.labels, member.free, spec.capacity)
        pools.setdefault(spec.pool, []).append(member)
    free = [room.free for room in rooms.values()]
    most_free = Resources(
        max((item.cpu_millis for item in free), default=0),
        max((item.memory_mb for item in free), default=0),
        max((item.accelerators for item in free), default=0),
    )
    return Round(now, rooms, pools, most_free)


def _may_fit(spec: StepSpec, planning: Round) -> bool:
    """Return whether it is worth to look for a worker at all.

    A gang may reserve workers also while it fits nowhere.
    """
    return spec.gang or spec.fills or spec.need.fits_in(planning.most_free)


def _find_waiting(book: WorkflowBook, wall: float) -> Iterator[WaitingStep]:
    for workflow in book.active.values():
        if workflow.outcome:
            continue
        queue = book.find_queue_named(workflow.spec.queue)
        rank = _rank(workflow, queue)
        for number in _find_due(workflow, wall):
            yield from _find_waiting_steps(workflow, queue, number, rank)


def _find_due(workflow: Workflow, wall: float) -> Iterator[int]:
    """Yield the repetitions whose time has come."""
    spec = workflow.spec
    for number in range(workflow.count_repetitions()):
        due_ms = spec.first_at_ms + number * spec.interval_ms if spec.repeats else 0
        if wall * 1000 < due_ms:
            return
        begun = workflow.repetitions.get(number)
        if begun is None or not begun.is_done:
            yield number


def _find_waiting_steps(
    workflow: Workflow, queue: QueueSpec | None, number: int, rank: tuple
) -> Iterator[WaitingStep]:
    repetition = workflow.find_repetition(number)
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


def _is_near(repetition, spec: StepSpec) -> bool:
    """Return whether all tasks before a step are placed or done."""
    return all(
        task.placed or task.state is TaskState.DONE
        for other in spec.depends_on
        for task in repetition.steps[other].tasks
    )


def _list_lives(members: dict[str, Member], pool: str, spec: StepSpec) -> list:
    return [
        member.spec.key
        for member in members.values()
        if member.spec.pool == pool
        and not member.spec.draining
        and (not spec.required_label or spec.required_label in member.spec.labels)
    ]


def _find_tasks(step: WaitingStep) -> list:
    _, number, index = step.key
    return step.workflow.repetitions[number].steps[index].tasks


def _count_step_runs(member: Member, key: StepKey) -> int:
    return sum(
        (name.workflow, name.repetition, name.step) == key for name, _ in member.runs
    )
