"""One round of planning, and why it starts nothing for a step."""

import enum
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.advice import StepAdvice, StepKey, WorkerKey
from bluebellyoke.dispatch.costs import CostTables
from bluebellyoke.dispatch.open_starts import compute_open_until
from bluebellyoke.dispatch.placement import Candidate
from bluebellyoke.dispatch.quotas import RoundQuotas
from bluebellyoke.dispatch.tracked_run import TrackedRun
from bluebellyoke.dispatch.waiting import WaitingStep
from bluebellyoke.dispatch.workers import ESTIMATE_FACTOR, TrackedWorker
from bluebellyoke.workflow.commands import RunStart, TaskName

__all__ = ["HeldPlace", "PlannedStart", "PlanningRound", "WaitReason"]

#: Time without a response after which a worker gets no new task, in seconds.
MAX_WORKER_SILENCE_S = 2.5


class WaitReason(enum.Enum):
    """What a waiting step lacked in a round.

    Attributes:
        NO_WORKER: No worker that may run it accepts tasks, as far as is known.
        NO_ROOM: Its tasks fit on no worker that it may use.
        RESERVED: The same, and gangs have reserved some of these workers.
        NO_TICKET: The ticket for a worker with room has expired.
        SUSPECT: It may crash its worker, and has to wait for one of those that are set
            apart from the other tasks.
        REFUSED: A worker has just refused it as malformed.
        QUOTA: The quota of its workspace leaves no room for one of its tasks or, if it
            is a gang, for all of them.
        MAX_STARTS: The round had planned its maximum of starts for steps before it.
        OPEN_RUNS: Some runs of its gang have not ended yet, or their end is unknown.
    """

    NO_WORKER = "no-worker"
    NO_ROOM = "no-room"
    RESERVED = "reserved"
    NO_TICKET = "no-ticket"
    SUSPECT = "suspect"
    REFUSED = "refused"
    QUOTA = "quota"
    MAX_STARTS = "max-starts"
    OPEN_RUNS = "open-runs"


@dataclass(frozen=True, slots=True)
class PlannedStart:
    """A start with its ticket, which is empty if the queue has no advisor.

    Attributes:
        replaced: Number of the run whose place it takes, or 0.
    """

    start: RunStart
    ticket: str
    replaced: int = 0


@dataclass(frozen=True, slots=True)
class HeldPlace:
    """A place that a task keeps on a worker.

    Attributes:
        number: Number of the run that has the place.
    """

    worker: TrackedWorker
    run: TrackedRun
    number: int


@dataclass(slots=True)
class PlanningRound:
    """State of one round of planning.

    What it needs of the workers is worked out on first use: a round often looks at a
    few of them only.

    Attributes:
        workers: All workers, by ID.
        quotas: What the workspaces may still start.
        wall_time: Wall-clock time, in seconds.
        costs: Costs by which a task prefers some workers to others, if there are any.
        reserved: Workers that gangs have reserved, by ID, with the time until which
            short tasks on them have to end.
        isolated: IDs of workers that are set apart for suspects.
        reserving: Number of gangs that have reserved workers.
        starts: Starts that are planned so far.
        wait_reasons: Why each step that got no start waits.
    """

    now: float
    workers: dict[str, TrackedWorker]
    quotas: RoundQuotas
    wall_time: float = 0.0
    costs: CostTables | None = None
    reserved: dict[str, float] = field(default_factory=dict)
    isolated: Collection[str] = ()
    reserving: int = 0
    starts: list[PlannedStart] = field(default_factory=list)
    wait_reasons: dict[StepKey, WaitReason] = field(default_factory=dict)
    _candidates: dict[str, Candidate | None] = field(default_factory=dict)
    _pools: dict[tuple[str, str], list[TrackedWorker]] = field(default_factory=dict)
    _keys: dict[tuple[str, str], frozenset[WorkerKey]] = field(default_factory=dict)
    _lasting: dict[str, Resources] = field(default_factory=dict)
    _max_free: Resources | None = None
    _max_capacity: Resources | None = None

    def find_candidate(self, worker: TrackedWorker) -> Candidate | None:
        """Return what a worker has free, or None if it accepts no tasks."""
        name = worker.spec.id
        if name in self._candidates:
            return self._candidates[name]
        candidate = None
        if worker.can_accept_tasks(self.now, MAX_WORKER_SILENCE_S):
            spec = worker.spec
            candidate = Candidate(name, spec.labels, worker.free, spec.capacity)
        self._candidates[name] = candidate
        return candidate

    def list_workers(self, pool: str, label: str) -> list[TrackedWorker]:
        """Return the workers of a pool that accept tasks and have a label.

        Args:
            label: Label that the workers must have, or an empty text for all.
        """
        found = self._pools.get((pool, label))
        if found is None:
            found = self._pools[(pool, label)] = [
                worker
                for worker in self.workers.values()
                if worker.spec.pool == pool
                and (not label or label in worker.spec.labels)
                and self.find_candidate(worker) is not None
            ]
        return found

    def list_worker_keys(self, pool: str, label: str) -> frozenset[WorkerKey]:
        """Return the keys of the workers that `list_workers` returns."""
        found = self._keys.get((pool, label))
        if found is None:
            workers = self.list_workers(pool, label)
            found = frozenset(worker.spec.key for worker in workers)
            self._keys[(pool, label)] = found
        return found

    def list_allowed(
        self, pool: str, label: str, advice: StepAdvice
    ) -> list[TrackedWorker]:
        """Return those of `list_workers` that have a ticket, valid or not."""
        found = []
        for worker_key in advice.tickets:
            worker = self.workers.get(worker_key[0])
            if (
                worker is not None
                and worker.spec.incarnation == worker_key[1]
                and worker.spec.pool == pool
                and (not label or label in worker.spec.labels)
                and self.find_candidate(worker) is not None
            ):
                found.append(worker)
        return found

    def collect_candidates(
        self, step: WaitingStep, workers: Sequence[TrackedWorker]
    ) -> list[Candidate]:
        """Return what some workers have free for a step and what they would cost it."""
        excluded = self._list_excluded(step)
        isolated, known = self.isolated, self._candidates
        costs = self._find_costs(step)
        candidates = []
        for worker in workers:
            name = worker.spec.id
            if name in isolated:
                continue
            candidate = known.get(name) or self.find_candidate(worker)
            if step.spec.max_per_worker:
                candidate.step_runs = _count_step_runs(worker, step.key)
            candidate.cost = costs[name] if costs is not None else 0.0
            if name not in excluded:
                candidates.append(candidate)
        return candidates

    def _list_excluded(self, step: WaitingStep) -> Collection[str]:
        """Return the IDs of the reserved workers that a step may not use."""
        if not step.is_short:
            return self.reserved
        end = self.now + step.spec.estimate_ms / 1000 * ESTIMATE_FACTOR
        return [name for name, until in self.reserved.items() if end > until]

    def find_usable(self, worker: TrackedWorker) -> Resources:
        """Return what a worker has free once all its runs but long-running ones end."""
        name = worker.spec.id
        if name not in self._lasting:
            self._lasting[name] = self._sum_lasting(worker)
        return worker.spec.capacity - self._lasting[name]

    def _sum_lasting(self, worker: TrackedWorker) -> Resources:
        """Return what the long-running tasks on a worker take up."""
        store = self.quotas.store
        total = Resources()
        for name, _ in store.runs.get(worker.spec.key, ()):
            workflow = store.workflows[name.workflow]
            step = workflow.spec.steps[name.step]
            if step.long_running and not workflow.outcome:
                total = total + step.allocation
        return total

    def _find_costs(self, step: WaitingStep) -> Mapping[str, float] | None:
        if self.costs is None:
            return None
        return self.costs.find(step.spec, step.workflow.spec.address)

    def add_start(
        self,
        step: WaitingStep,
        index: int,
        run: int,
        worker_key: WorkerKey,
        advice: StepAdvice | None,
    ) -> None:
        """Plan the start of a task on a worker, with its ticket if it needs one."""
        ticket = advice.find_ticket(worker_key, self.now) if advice is not None else ""
        name = TaskName(*step.key, index)
        start = RunStart(name, run, *worker_key, has_ticket=bool(ticket))
        self.quotas.take(step)
        self.starts.append(PlannedStart(start, ticket))

    def add_restart(
        self,
        name: TaskName,
        run: int,
        held: HeldPlace,
        advice: StepAdvice | None,
    ) -> None:
        """Plan the next run of a task in the place of its present one."""
        worker = held.worker
        ticket = ""
        if advice is not None:
            ticket = advice.find_ticket(worker.spec.key, self.now)
        open_until = compute_open_until(worker, held.run, self.now, self.wall_time)
        start = RunStart(
            name, run, *worker.spec.key, open_until, has_ticket=bool(ticket)
        )
        self.starts.append(PlannedStart(start, ticket, held.number))

    def drop_reasons_of_started_steps(self) -> None:
        """Drop the wait reasons of steps of which an order has put a part first."""
        for item in self.starts:
            name = item.start.task
            self.wait_reasons.pop((name.workflow, name.repetition, name.step), None)

    def get_max_free(self) -> Resources:
        """Return the most of each resource that any worker has free.

        It is worked out before the round uses up resources, so it never is too low.
        """
        if self._max_free is None:
            candidates = map(self.find_candidate, self.workers.values())
            free = [item.free for item in candidates if item is not None]
            self._max_free = _find_maxima(free)
        return self._max_free

    def get_max_capacity(self) -> Resources:
        """Return the most of each resource that any worker has."""
        if self._max_capacity is None:
            capacities = [worker.spec.capacity for worker in self.workers.values()]
            self._max_capacity = _find_maxima(capacities)
        return self._max_capacity


def _find_maxima(items: list[Resources]) -> Resources:
    return Resources(
        max((item.cpu_millis for item in items), default=0),
        max((item.memory_mb for item in items), default=0),
        max((item.accelerators for item in items), default=0),
    )


def _count_step_runs(worker: TrackedWorker, key: StepKey) -> int:
    return sum(
        (name.workflow, name.repetition, name.step) == key for name, _ in worker.runs
    )
