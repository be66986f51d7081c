"""One workflow with its repetitions, steps and tasks, and their state transitions."""

import enum
from collections.abc import Iterator

import msgspec

from bluebellyoke.workflow.commands import RunEnd, RunOutcome, RunStart, TaskName
from bluebellyoke.workflow.specs import StepSpec, WorkflowSpec

__all__ = ["Repetition", "StepProgress", "TaskProgress", "TaskState", "Workflow"]


#: Outcomes after which a workflow waits as if it had never begun, unless a task of it
#: is assigned or done.
_RESTARTING_OUTCOMES = {RunOutcome.NEVER_STARTED, RunOutcome.LOST}


class TaskState(enum.IntEnum):
    """State of a task."""

    WAITING = 0
    ASSIGNED = 1
    DONE = 2


class TaskProgress(msgspec.Struct, array_like=True):
    """State of a task and its latest run.

    Attributes:
        run: Number of the latest run; 0 before the first.
        worker, incarnation: Worker that has or had that run.
        placed: Whether the latest run may still take up resources on its worker. A task
            of a gang can be done by the end of another before its own end is known.
        failures: Number of runs that ended as failed.
        checkpoint: Latest saved progress, or an empty text.
        confirmed: Whether that incarnation of the worker is known to have begun the
            latest run.
        open_until: Wall-clock time until which an earlier start of the task may still
            be carried out by that worker, in seconds, or 0. Until then, the task keeps
            its place there.
        has_ended: Whether the latest run has ended, but the task keeps its place.
        kept_since: Wall-clock time at which that incarnation was removed while the task
            kept its place, in seconds, or 0.
        has_ticket: Whether the start of the latest run carries a ticket.
    """

    state: TaskState = TaskState.WAITING
    run: int = 0
    worker: str = ""
    incarnation: int = msgspec.field(default=0, name="born")
    placed: bool = False
    failures: int = 0
    checkpoint: str = ""
    confirmed: bool = False
    open_until: float = 0.0
    has_ended: bool = False
    kept_since: float = 0.0
    has_ticket: bool = False


class StepProgress(msgspec.Struct, array_like=True):
    """State of a step in one repetition.

    Attributes:
        tasks: Tasks by index.
        failures: Number of runs of a gang in which a task failed.
        failed_run: Latest run of the gang that is counted in `failures`.
        done: Number of tasks that are done.
    """

    tasks: list[TaskProgress]
    failures: int = 0
    failed_run: int = 0
    done: int = 0

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return self.done == len(self.tasks)


class Repetition(msgspec.Struct, array_like=True):
    """State of one execution of a workflow's steps."""

    steps: list[StepProgress]

    @property
    def is_done(self) -> bool:
        """Whether all steps are done."""
        return all(step.is_done for step in self.steps)


class Workflow(msgspec.Struct, array_like=True):
    """A workflow that the cell has accepted.

    Attributes:
        submitted_at: Wall-clock time of its acceptance, in seconds.
        attempts: Failed runs of a task that make the workflow fail.
        pool: Pool of its queue when it was accepted.
        repetitions: Executions that have begun, by number.
        has_started: Whether a task is assigned or done, or an assigned one ended with
            a result.
        finished_at: Wall-clock time of its end, in seconds, or 0.
        outcome: `completed`, `failed` or `cancelled` once it has ended.
        reason: Reason of the outcome.
        placed: Number of runs that may still take up resources.
        credential: Digest of the key that it was submitted with, or an empty text.
    """

    spec: WorkflowSpec
    submitted_at: float
    attempts: int
    pool: str
    repetitions: dict[int, Repetition] = {}
    has_started: bool = False
    finished_at: float = 0.0
    outcome: str = ""
    reason: str = ""
    placed: int = 0
    credential: str = ""

    @property
    def state(self) -> str:
        """State that callers see."""
        if self.outcome:
            return self.outcome
        return "running" if self.has_started else "pending"

    def count_repetitions(self) -> int:
        """Return the number of executions of the steps."""
        return max(self.spec.repeats, 1)

    def get_repetition(self, number: int) -> Repetition:
        """Return an execution of the steps, which is created if it has not begun."""
        found = self.repetitions.get(number)
        if found is None:
            steps = [
                StepProgress([TaskProgress() for _ in range(step.count)])
                for step in self.spec.steps
            ]
            found = self.repetitions[number] = Repetition(steps)
        return found

    def find_task(self, name: TaskName) -> TaskProgress | None:
        """Return a task of a repetition that has begun, or None."""
        repetition = self.repetitions.get(name.repetition)
        if repetition is None or name.step >= len(repetition.steps):
            return None
        tasks = repetition.steps[name.step].tasks
        return tasks[name.index] if name.index < len(tasks) else None

    def is_ready(self, repetition: Repetition, step: int) -> bool:
        """Return whether all steps that a step depends on are done."""
        return all(
            repetition.steps[other].is_done
            for other in self.spec.steps[step].depends_on
        )

    def iter_placed_tasks(self) -> Iterator[tuple[TaskName, TaskProgress]]:
        """Yield the tasks whose latest run may still take up resources."""
        for number, repetition in self.repetitions.items():
            for step, progress in enumerate(repetition.steps):
                for index, task in enumerate(progress.tasks):
                    if task.placed:
                        yield TaskName(self.spec.id, number, step, index), task

    # State transitions.

    def can_assign(self, start: RunStart) -> bool:
        """Return whether a start is a valid next run of a waiting task."""
        name = start.task
        if self.outcome or name.step >= len(self.spec.steps):
            return False
        if not 0 <= name.repetition < self.count_repetitions():
            return False
        if not 0 <= name.index < self.spec.steps[name.step].count:
            return False
        repetition = self.get_repetition(name.repetition)
        task = repetition.steps[name.step].tasks[name.index]
        return (
            (self.can_replace(start) or not task.placed)
            and task.state is not TaskState.DONE
            and start.run > task.run
            and self.is_ready(repetition, name.step)
        )

    def can_replace(self, start: RunStart) -> bool:
        """Return whether a start takes the place of the present run of its task."""
        task = self.find_task(start.task)
        return (
            task is not None
            and task.placed
            and start.open_until > 0
            and (task.worker, task.incarnation) == (start.worker, start.incarnation)
        )

    def assign(self, start: RunStart) -> None:
        """Assign the next run of a task to a worker."""
        task = self.find_task(start.task)
        task.state = TaskState.ASSIGNED
        task.run = start.run
        task.worker = start.worker
        task.incarnation = start.incarnation
        task.confirmed = False
        task.open_until = start.open_until
        task.has_ticket = start.has_ticket
        task.has_ended = False
        task.kept_since = 0.0
        task.placed = True
        self.has_started = True
        self.placed += 1

    def confirm(self, start: RunStart) -> None:
        """Record that a worker has begun a run, if the run is still assigned to it."""
        task = self.find_task(start.task)
        worker_key = (start.worker, start.incarnation)
        if task is None or not task.placed or task.run != start.run:
            return
        if (task.worker, task.incarnation) == worker_key:
            task.confirmed = True

    def move(self, name: TaskName, incarnation: int) -> None:
        """Assign a placed run to the next incarnation of its worker."""
        task = self.find_task(name)
        task.incarnation = incarnation
        task.confirmed = False

    def fail(self, reason: str, time: float) -> None:
        """End the workflow as failed; the caller has to stop its placed runs."""
        if not self.outcome:
            self._finish("failed", reason, time)

    def cancel(self, time: float) -> None:
        """End the workflow as cancelled; the caller has to stop its placed runs."""
        if not self.outcome:
            self._finish("cancelled", "cancelled by its caller", time)

    def record_end(self, end: RunEnd, time: float) -> bool:
        """Record the end of a run; return whether the task has left its place.

        While an earlier start may still be carried out by the worker, the task keeps
        its place there, so that it does not start elsewhere meanwhile.
        """
        task = self.find_task(end.task)
        if task is None or not task.placed or task.run != end.run:
            return False
        spec = self.spec.steps[end.task.step]
        is_done = end.outcome is RunOutcome.DONE and not spec.long_running
        is_releasing = is_done or end.outcome in _RESTARTING_OUTCOMES
        if task.has_ended and not is_releasing:
            return False
        progress = self.repetitions[end.task.repetition].steps[end.task.step]
        task.has_ended = not is_releasing and time < task.open_until
        if not task.has_ended:
            self._release(task)
        if end.checkpoint:
            self._save_checkpoint(spec, progress, task, end.checkpoint)
        if is_done:
            self._mark_done(spec, progress, task)
        elif end.outcome is RunOutcome.FAILED and task.state is not TaskState.DONE:
            self._count_failure(spec, progress, task, time)
        elif end.outcome in _RESTARTING_OUTCOMES and not self.placed:
            self.has_started = any(
                step.done for item in self.repetitions.values() for step in item.steps
            )
        if not self.outcome:
            self._finish_if_done(time)
        elif task.placed:
            self._release(task)
        return not task.placed

    def save_progress(self, end: RunEnd) -> None:
        """Store the checkpoint of a lost run whose task keeps its place."""
        task = self.find_task(end.task)
        spec = self.spec.steps[end.task.step]
        progress = self.repetitions[end.task.repetition].steps[end.task.step]
        self._save_checkpoint(spec, progress, task, end.checkpoint)

    def _release(self, task: TaskProgress) -> None:
        task.placed = False
        self.placed -= 1
        if task.state is TaskState.ASSIGNED:
            task.state = TaskState.WAITING

    def _save_checkpoint(
        self, spec: StepSpec, progress: StepProgress, task: TaskProgress, text: str
    ) -> None:
        """Store a checkpoint; a gang shares the checkpoint of each of its tasks."""
        for other in progress.tasks if spec.gang else (task,):
            other.checkpoint = text

    def _mark_done(
        self, spec: StepSpec, progress: StepProgress, task: TaskProgress
    ) -> None:
        """Mark a task as done, together with all tasks of its gang."""
        for other in progress.tasks if spec.gang else (task,):
            other.state = TaskState.DONE
        progress.done = sum(x.state is TaskState.DONE for x in progress.tasks)

    def _count_failure(
        self,
        spec: StepSpec,
        progress: StepProgress,
        task: TaskProgress,
        time: float,
    ) -> None:
        task.failures += 1
        failures = task.failures
        if spec.gang and progress.failed_run < task.run:
            progress.failed_run = task.run
            progress.failures += 1
        if spec.gang:
            failures = max(failures, progress.failures)
        if failures >= self.attempts and not spec.long_running and not self.outcome:
            self._finish("failed", f"a task failed {failures} times", time)

    def _finish_if_done(self, time: float) -> None:
        if len(self.repetitions) < self.count_repetitions():
            return
        if all(item.is_done for item in self.repetitions.values()):
            self._finish("completed", "all tasks are done", time)

    def _finish(self, outcome: str, reason: str, time: float) -> None:
        self.outcome = outcome
        self.reason = reason
        self.finished_at = time
