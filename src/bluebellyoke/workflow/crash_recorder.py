"""What the ends of workers and of runs tell of the tasks that crash their workers."""

from collections.abc import Callable, Iterable, Mapping

import msgspec

from bluebellyoke.cell.result import Result
from bluebellyoke.workflow.commands import (
    CrashedRun,
    CrashEvidence,
    RemoveWorker,
    RunEnd,
    RunOutcome,
    TaskName,
)
from bluebellyoke.workflow.crashes import CrashHistory
from bluebellyoke.workflow.gangs import is_gang
from bluebellyoke.workflow.lost_workers import LostWorker, LostWorkers
from bluebellyoke.workflow.snapshot import WorkflowSnapshot
from bluebellyoke.workflow.specs import WorkerSpec
from bluebellyoke.workflow.task_crashes import TaskCrashes
from bluebellyoke.workflow.unsettled_runs import UnsettledRun, UnsettledRuns
from bluebellyoke.workflow.workflow import TaskState, Workflow

__all__ = ["CrashRecorder"]

#: Outcomes of runs that came to an end by themselves on a worker that runs on.
_CLEARING_OUTCOMES = {RunOutcome.DONE, RunOutcome.FAILED}


class CrashRecorder:
    """Records crashes and fails the workflows that cause them; replicated state.

    Args:
        workflows: Accepted workflows, by ID.
        on_change: Called with the IDs of workflows whose tasks may have become suspects
            or may be none any more.
        on_failed: Called with each workflow that fails for a crash.

    Attributes:
        crashes: Crashes of workers by the tasks that they may be due to.
        lost_workers: Removed workers that may still turn out to have crashed.
        unsettled_runs: Runs that the next incarnation of their worker may have.
    """

    def __init__(
        self,
        workflows: Mapping[str, Workflow],
        *,
        on_change: Callable[[Iterable[str]], None],
        on_failed: Callable[[Workflow], None],
    ) -> None:
        self._workflows = workflows
        self._on_change = on_change
        self._on_failed = on_failed
        self.crashes = CrashHistory(is_gang=self._is_gang)
        self.lost_workers = LostWorkers()
        self.unsettled_runs = UnsettledRuns()

    def load(self, snapshot: WorkflowSnapshot) -> None:
        """Take over the state of a snapshot."""
        self.crashes = CrashHistory(snapshot.crashes, is_gang=self._is_gang)
        self.lost_workers = LostWorkers(snapshot.lost_workers)
        self.unsettled_runs = UnsettledRuns(snapshot.unsettled_runs)

    def _is_gang(self, task: TaskName) -> bool:
        return is_gang(self._workflows, task)

    # Workers.

    def mark_unsettled(
        self, worker_key: tuple[str, int], runs: Iterable[tuple[TaskName, int]]
    ) -> None:
        """Record that runs keep their place after their worker has been removed.

        Each counts for one crash at most, that of the latest incarnation.
        """
        for task, run in runs:
            earlier = self.unsettled_runs.pop(task, run)
            if earlier is not None:
                self._withdraw(earlier)
            self.unsettled_runs.add(UnsettledRun(task, run, *worker_key))

    def record_removal(
        self, command: RemoveWorker, address: str, runs: list[CrashedRun]
    ) -> list[str]:
        """Record a removal that may be due to a crash.

        Args:
            address: Address of the worker.
            runs: Runs of the command that the worker had.

        Returns:
            IDs of the workflows that fail for it.
        """
        worker_key = (command.worker, command.incarnation)
        is_proved = command.evidence is CrashEvidence.NEXT_INCARNATION
        if runs and not is_proved:
            lost = LostWorker(*worker_key, address, command.time, tuple(runs))
            self.lost_workers.add(lost)
        if command.evidence is CrashEvidence.NONE:
            return []
        return self._record(worker_key, runs, command.time, is_proved=is_proved)

    def review_lost_workers(self, spec: WorkerSpec, time: float) -> Result:
        """Record what a worker that has announced itself tells of those lost before.

        An incarnation that is back has not crashed; the next one proves a crash.
        """
        self.lost_workers.drop(spec.key)
        if self.crashes.drop_unproved(spec.key):
            self._on_change(self.crashes.list_workflows())
        crashed = self.lost_workers.pop_crashed(spec, time)
        failed = []
        for lost in crashed:
            failed += self._record(lost.key, self._update_settled(lost.runs), time)
        if not crashed:
            return Result(accepted=True)
        names = " ".join(lost.worker for lost in crashed)
        return Result(
            accepted=True, detail={"crashed": names, "failed": " ".join(failed)}
        )

    def _update_settled(self, runs: Iterable[CrashedRun]) -> list[CrashedRun]:
        """Return runs of a lost worker, some of which have been settled since."""
        return [
            msgspec.structs.replace(
                item, is_settled=(item.task, item.run) not in self.unsettled_runs
            )
            for item in runs
        ]

    def _record(
        self,
        worker_key: tuple[str, int],
        runs: list[CrashedRun],
        time: float,
        *,
        is_proved: bool = True,
    ) -> list[str]:
        """Record a crash; return the IDs of the workflows that fail for it.

        If it is proved late, its runs may have been followed by others meanwhile.
        """
        if not runs:
            return []
        self._on_change(self.crashes.list_workflows())
        given_up = self.crashes.record(worker_key, runs, time, is_proved=is_proved)
        failed = self._give_up(given_up, time)
        for item in runs:
            workflow = self._workflows.get(item.task.workflow)
            if workflow is None or workflow.outcome:
                self.forget_workflow(item.task.workflow)
            elif not self._is_open(item.task):
                self._clear(item.task, RunOutcome.DONE)
        return failed

    def _give_up(self, given_up: list[TaskCrashes], time: float) -> list[str]:
        """Fail the workflows of tasks that crash workers; return their IDs."""
        failed = []
        for crashes in given_up:
            if not self._is_open(crashes.task):
                continue
            workflow = self._workflows[crashes.task.workflow]
            workflow.fail(crashes.describe(), time)
            self._on_failed(workflow)
            failed.append(workflow.spec.id)
        return failed

    def _is_open(self, name: TaskName) -> bool:
        """Return whether a task is not done and its workflow has not ended."""
        workflow = self._workflows.get(name.workflow)
        if workflow is None or workflow.outcome:
            return False
        task = workflow.find_task(name)
        return task is not None and task.state is not TaskState.DONE

    # Runs.

    def record_end(self, end: RunEnd, worker_key: tuple[str, int], time: float) -> None:
        """Record what the end of a run tells of crashes that its task was in.

        Args:
            worker_key: ID and incarnation of the worker that the run was assigned to.
        """
        if end.outcome in _CLEARING_OUTCOMES:
            self._clear(end.task, end.outcome)
        self._settle(end, worker_key, time)
        if self._workflows[end.task.workflow].outcome:
            self.forget_workflow(end.task.workflow)

    def _settle(self, end: RunEnd, worker_key: tuple[str, int], time: float) -> None:
        """Confirm or withdraw the crash that an unsettled run may have been in.

        A run that is lost without a next incarnation counts for the crash as well. One
        that is lost with the next incarnation counts for the crash of that one.
        """
        unsettled = self.unsettled_runs.pop(end.task, end.run)
        if unsettled is None:
            return
        is_lost = end.outcome is RunOutcome.LOST
        is_lost_there = is_lost and worker_key == unsettled.worker_key
        if not (is_lost_there or end.outcome is RunOutcome.NEVER_STARTED):
            self._withdraw(unsettled)
            return
        self._on_change(self.crashes.list_workflows())
        confirmed = self.crashes.confirm(unsettled.worker_key, end.task)
        self._give_up(confirmed, time)

    def _withdraw(self, unsettled: UnsettledRun) -> None:
        """Drop the crash of an incarnation that a run has outlived."""
        self._on_change(self.crashes.list_workflows())
        self.crashes.withdraw(unsettled.worker_key, unsettled.task)

    def forget_workflow(self, workflow: str) -> None:
        """Drop the crashes of the tasks of a workflow that has ended."""
        if self.crashes.has_workflow(workflow):
            self.crashes.forget_workflow(workflow)
            self._on_change(self.crashes.list_workflows())

    def _clear(self, task: TaskName, outcome: RunOutcome) -> None:
        """Clear a task of its crashes, and the others of its gang if that is done.

        A task that fails by itself tells nothing of the others.
        """
        is_done = outcome is RunOutcome.DONE
        clear = self.crashes.clear_gang if is_done else self.crashes.clear
        if clear(task):
            self._on_change(self.crashes.list_workflows())
