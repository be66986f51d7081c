"""All workflows, called workers and the configuration that the replicas agree on."""

import msgspec

from bluebellyoke.cell.result import Result, refuse
from bluebellyoke.workflow import commands as wc
from bluebellyoke.workflow.specs import Configuration, QueueSpec, WorkerSpec
from bluebellyoke.workflow.workflow import Workflow

__all__ = ["MAX_OPEN_TASKS", "BookImage", "RunKey", "WorkflowBook"]

#: Tasks of the workflows that have not ended, at most. A task takes about 500 bytes of
#: an instance's memory.
MAX_OPEN_TASKS = 200_000

#: Name and number of a run.
RunKey = tuple[wc.TaskName, int]


class BookImage(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of the book."""

    configuration: Configuration
    workers: list[WorkerSpec]
    workflows: list[Workflow]


class WorkflowBook:
    """Applies the commands on workflows.

    Attributes:
        workers: Present life of each called worker, by identity.
        runs: Runs that may take room on each life of a worker.
        active: Workflows that have not ended or still have placed runs.
        open_tasks: Tasks of these.
    """

    def __init__(self) -> None:
        self.configuration = Configuration(version=0)
        self.workers: dict[str, WorkerSpec] = {}
        self.workflows: dict[str, Workflow] = {}
        self.active: dict[str, Workflow] = {}
        self.open_tasks = 0
        self.runs: dict[tuple[str, int], dict[RunKey, None]] = {}
        self._queues: dict[str, QueueSpec] = {}

    def apply(self, command: wc.WorkflowCommand) -> Result:
        """Apply one command and return its result."""
        return _HANDLERS[type(command)](self, command)

    def find_queue_named(self, name: str) -> QueueSpec | None:
        """Return a queue of the configuration in force."""
        return self._queues.get(name)

    def find_pool(self, workflow: Workflow) -> str:
        """Return the pool that runs a workflow's tasks now."""
        queue = self._queues.get(workflow.spec.queue)
        return queue.pool if queue is not None else workflow.pool

    def find_life(self, worker: str, born: int) -> WorkerSpec | None:
        """Return a worker if that life of it is the present one."""
        spec = self.workers.get(worker)
        return spec if spec is not None and spec.born == born else None

    # Configuration.

    def _apply_configuration(self, command: wc.ApplyConfiguration) -> Result:
        if command.configuration.version <= self.configuration.version:
            return Result(accepted=True, code="overtaken")
        self._adopt(command.configuration)
        return Result(accepted=True)

    def _adopt(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._queues = {queue.name: queue for queue in configuration.queues}

    # Workflows.

    def _submit(self, command: wc.SubmitWorkflow) -> Result:
        spec = command.spec
        known = self.workflows.get(spec.id)
        if known is not None:
            if known.spec.queue != spec.queue:
                return refuse("id-taken", "another queue holds this id; choose another")
            return Result(accepted=True, code="known")
        queue = self._queues.get(spec.queue)
        if queue is None:
            return refuse("unknown-queue", "no such queue is in force")
        if self.open_tasks + spec.count_tasks() > MAX_OPEN_TASKS:
            return refuse("overloaded", "too many tasks wait; submit later")
        workflow = Workflow(spec, command.time, queue.attempts, queue.pool)
        self.workflows[spec.id] = workflow
        self._open(workflow)
        return Result(accepted=True)

    def _open(self, workflow: Workflow) -> None:
        self.active[workflow.spec.id] = workflow
        self.open_tasks += workflow.spec.count_tasks()

    def _cancel(self, command: wc.CancelWorkflow) -> Result:
        workflow = self.workflows.get(command.workflow)
        if workflow is None or workflow.spec.queue != command.queue:
            return refuse("unknown-job", "no such workflow is known")
        workflow.cancel(command.time)
        self._retire_if_over(workflow)
        return Result(accepted=True)

    def _forget(self, command: wc.ForgetWorkflows) -> Result:
        for name in command.workflows:
            workflow = self.workflows.get(name)
            if workflow is not None and workflow.outcome and not workflow.placed:
                del self.workflows[name]
        return Result(accepted=True)

    def _retire_if_over(self, workflow: Workflow) -> None:
        if not workflow.outcome or workflow.placed:
            return
        if self.active.pop(workflow.spec.id, None) is not None:
            self.open_tasks -= workflow.spec.count_tasks()

    # Workers.

    def _enrol(self, command: wc.EnrolWorker) -> Result:
        spec = command.spec
        known = self.workers.get(spec.id)
        if known is not None and known.born > spec.born:
            return refuse("stale", "a later life of this worker is known")
        if known is not None and known.born < spec.born:
            self._lose_runs(known.key, command.time)
        if known is not None and known.born == spec.born and known.draining:
            # Draining is never taken back, so a late heartbeat cannot undo it.
            spec = msgspec.structs.replace(spec, draining=True)
        self.workers[spec.id] = spec
        self.runs.setdefault(spec.key, {})
        return Result(accepted=True)

    def _remove(self, command: wc.RemoveWorker) -> Result:
        if self.find_life(command.worker, command.born) is None:
            return refuse("unknown-worker", "this life of the worker is over")
        del self.workers[command.worker]
        self._lose_runs((command.worker, command.born), command.time)
        return Result(accepted=True)

    def _lose_runs(self, life: tuple[str, int], time: float) -> None:
        for task, run in list(self.runs.get(life, ())):
            self._record_end(wc.RunEnd(task, run, wc.RunOutcome.LOST), time)
        self.runs.pop(life, None)

    # Runs.

    def _assign(self, command: wc.AssignRuns) -> Result:
        """Assign runs; a gang whose members cannot all be assigned is left out."""
        done = []
        starts = command.starts
        position = 0
        while position < len(starts):
            group = self._take_group(starts, position)
            position += len(group)
            valid = all(map(self._can_assign, group)) and self._is_whole(group)
            if valid:
                for start in group:
                    self._assign_one(start)
            done.append(("1" if valid else "0") * len(group))
        return Result(accepted=True, detail={"done": "".join(done)})

    def _take_group(
        self, starts: tuple[wc.RunStart, ...], position: int
    ) -> tuple[wc.RunStart, ...]:
        """Return the starts of one gang, or a single start."""
        first = starts[position]
        if not self._is_gang(first.task):
            return (first,)
        step = (first.task.workflow, first.task.repetition, first.task.step)
        end = position
        while end < len(starts):
            task = starts[end].task
            if (task.workflow, task.repetition, task.step) != step:
                break
            end += 1
        return starts[position:end]

    def _is_gang(self, task: wc.TaskName) -> bool:
        workflow = self.workflows.get(task.workflow)
        return (
            workflow is not None
            and task.step < len(workflow.spec.steps)
            and workflow.spec.steps[task.step].gang
        )

    def _is_whole(self, group: tuple[wc.RunStart, ...]) -> bool:
        first = group[0]
        if not self._is_gang(first.task):
            return True
        step = self.workflows[first.task.workflow].spec.steps[first.task.step]
        runs = {start.run for start in group}
        return len(group) == step.count and len(runs) == 1

    def _can_assign(self, start: wc.RunStart) -> bool:
        workflow = self.workflows.get(start.task.workflow)
        worker = self.find_life(start.worker, start.born)
        return (
            workflow is not None
            and worker is not None
            and not worker.draining
            and workflow.can_assign(start)
        )

    def _assign_one(self, start: wc.RunStart) -> None:
        workflow = self.workflows[start.task.workflow]
        workflow.assign(start)
        key = (start.task, start.run)
        self.runs.setdefault((start.worker, start.born), {})[key] = None

    def _record_ends(self, command: wc.RecordEnds) -> Result:
        for end in command.ends:
            self._record_end(end, command.time)
        return Result(accepted=True)

    def _record_end(self, end: wc.RunEnd, time: float) -> None:
        workflow = self.workflows.get(end.task.workflow)
        task = workflow.find_task(end.task) if workflow is not None else None
        if task is None or task.run != end.run:
            return
        workflow.record_end(end, time)
        life = (task.worker, task.born)
        self.runs.get(life, {}).pop((end.task, end.run), None)
        self._retire_if_over(workflow)

    # Snapshots.

    def dump(self) -> BookImage:
        """Return the stored form."""
        return BookImage(
            self.configuration,
            list(self.workers.values()),
            list(self.workflows.values()),
        )

    @classmethod
    def load(cls, image: BookImage) -> "WorkflowBook":
        """Return the book of a stored form."""
        book = cls()
        book._adopt(image.configuration)
        book.workers = {spec.id: spec for spec in image.workers}
        book.runs = {spec.key: {} for spec in image.workers}
        for workflow in image.workflows:
            book.workflows[workflow.spec.id] = workflow
            if not workflow.outcome or workflow.placed:
                book._open(workflow)
            for name, task in workflow.iterate_placed():
                life = (task.worker, task.born)
                book.runs.setdefault(life, {})[(name, task.run)] = None
        return book


_HANDLERS = {
    wc.ApplyConfiguration: WorkflowBook._apply_configuration,
    wc.SubmitWorkflow: WorkflowBook._submit,
    wc.CancelWorkflow: WorkflowBook._cancel,
    wc.ForgetWorkflows: WorkflowBook._forget,
    wc.EnrolWorker: WorkflowBook._enrol,
    wc.RemoveWorker: WorkflowBook._remove,
    wc.AssignRuns: WorkflowBook._assign,
    wc.RecordEnds: WorkflowBook._record_ends,
}
