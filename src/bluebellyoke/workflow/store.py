"""Replicated state of workflows, called workers and the configuration."""

from collections.abc import Collection

import msgspec

from bluebellyoke.cell.early_cancels import EarlyCancels
from bluebellyoke.cell.result import Result, refuse
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.configuration import split_path
from bluebellyoke.workflow.configuration_state import ConfigurationState
from bluebellyoke.workflow.crash_recorder import CrashRecorder
from bluebellyoke.workflow.crashes import CrashHistory
from bluebellyoke.workflow.ended_incarnations import EndedIncarnations
from bluebellyoke.workflow.gangs import find_start_group, is_complete
from bluebellyoke.workflow.queues import QueueTable
from bluebellyoke.workflow.quotas import has_quota_for
from bluebellyoke.workflow.requests import RequestPolicy
from bluebellyoke.workflow.run_states import RunKey, RunStates
from bluebellyoke.workflow.snapshot import WorkflowSnapshot
from bluebellyoke.workflow.specs import (
    Configuration,
    QueueAddress,
    QueueSpec,
    WorkerSpec,
    WorkspaceSpec,
)
from bluebellyoke.workflow.usage import WorkspaceUsage
from bluebellyoke.workflow.workflow import Workflow

__all__ = ["MAX_OPEN_TASKS", "RunKey", "WorkflowStore"]

#: Maximum number of tasks of workflows that have not ended. A task takes about 500
#: bytes of an instance's memory.
MAX_OPEN_TASKS = 200_000


class WorkflowStore:
    """Workflows, called workers and the configuration, changed by commands only.

    Attributes:
        workers: Current incarnation of each called worker, by ID.
        workflows: Accepted workflows that have not been dropped, by ID.
        active: Workflows that have not ended or still have placed runs.
        open_tasks: Number of tasks of the active workflows.
        runs: Runs that may take up resources, by ID and incarnation of the
            worker. A worker that is removed keeps those that its next incarnation may
            have.
        usage: Resources that the runs of each workspace take up.
        ended_incarnations: Incarnations of workers that ended a short time ago.
        run_states: What is known of single runs.
    """

    def __init__(self) -> None:
        self.workers: dict[str, WorkerSpec] = {}
        self.workflows: dict[str, Workflow] = {}
        self.active: dict[str, Workflow] = {}
        self.open_tasks = 0
        self.runs: dict[tuple[str, int], dict[RunKey, None]] = {}
        self.usage = WorkspaceUsage()
        self.ended_incarnations = EndedIncarnations()
        self.run_states = RunStates(self.workflows)
        self._state = ConfigurationState(Configuration(version=0))
        self._requests = RequestPolicy(self._state)
        self._changed: set[str] = set()
        self._crash_recorder = CrashRecorder(
            self.workflows,
            on_change=lambda names: self._changed.update(names),
            on_failed=self._deactivate_if_finished,
        )

    @property
    def crashes(self) -> CrashHistory:
        """Crashes of workers by the tasks that they may be due to."""
        return self._crash_recorder.crashes

    def pop_changed(self) -> set[str]:
        """Return the IDs of the workflows changed since the last call, and clear them.

        This is no replicated state. Replicas that do not lead have to clear it too.
        """
        changed, self._changed = self._changed, set()
        return changed

    def apply(self, command: workflow_commands.WorkflowCommand) -> Result:
        """Apply one command and return its result."""
        self.ended_incarnations.drop_old(command.time)
        return _HANDLERS[type(command)](self, command)

    @property
    def configuration(self) -> Configuration:
        """Current configuration."""
        return self._state.configuration

    @property
    def early_cancels(self) -> EarlyCancels:
        """Cancels of workflows that were not known."""
        return self._requests.early_cancels

    def find_queue(self, address: QueueAddress) -> QueueSpec | None:
        """Return a queue of the current configuration, or None."""
        return self._state.queues.find(address)

    def find_last_queue(self, address: QueueAddress) -> QueueSpec | None:
        """Return a queue as it is configured, or was before its removal, or None."""
        return self._state.queues.find_last(address)

    def get_removal_time(self, address: QueueAddress) -> float:
        """Return when a queue was removed, as a wall-clock time in seconds.

        Returns:
            Infinity for a queue that is configured, minus infinity if the time is not
            known.
        """
        return self._state.queues.get_removal_time(address)

    def find_workflow(self, host: str, path: str) -> Workflow | None:
        """Return the workflow that callers address by a host and a path, or None.

        It does not depend on the configuration, which may have changed since.
        """
        address, workflow_id = split_path(host, path)
        workflow = self.workflows.get(workflow_id)
        if workflow is None or workflow.spec.address != address:
            return None
        return workflow

    def find_workspace(self, name: str) -> WorkspaceSpec | None:
        """Return a workspace of the current configuration, or None."""
        return self._state.find_workspace(name)

    def find_pool(self, workflow: Workflow) -> str:
        """Return the pool that runs a workflow's tasks.

        That is the pool of its queue at present or, if the queue is not known, at the
        time of the submission.
        """
        queue = self._state.queues.find_last(workflow.spec.address)
        return queue.pool if queue is not None else workflow.pool

    def find_current_worker(self, worker: str, incarnation: int) -> WorkerSpec | None:
        """Return a worker if the incarnation is its current one, else None."""
        spec = self.workers.get(worker)
        return spec if spec is not None and spec.incarnation == incarnation else None

    # Configuration.

    def _apply_configuration(
        self, command: workflow_commands.ApplyConfiguration
    ) -> Result:
        if command.configuration.version <= self.configuration.version:
            return Result(accepted=True, code="overtaken")
        self._state.configure(
            command.configuration,
            active=self.active.values(),
            known=self.workflows.values(),
            time=command.time,
        )
        return Result(accepted=True)

    # Workflows.

    def _submit(self, command: workflow_commands.SubmitWorkflow) -> Result:
        known = self.workflows.get(command.spec.id)
        spec = self._requests.decide_submission(command, known)
        if isinstance(spec, Result):
            return spec
        if self.open_tasks + spec.count_tasks() > MAX_OPEN_TASKS:
            return refuse("overloaded", "too many tasks wait; submit later")
        queue = self._state.queues.find(spec.address)
        workflow = Workflow(spec, command.time, queue.attempts, queue.pool)
        workflow.credential = command.credential or ""
        self.workflows[spec.id] = workflow
        self._activate(workflow)
        return Result(accepted=True)

    def _activate(self, workflow: Workflow) -> None:
        self._changed.add(workflow.spec.id)
        self.active[workflow.spec.id] = workflow
        self.open_tasks += workflow.spec.count_tasks()

    def _cancel(self, command: workflow_commands.CancelWorkflow) -> Result:
        workflow = self.workflows.get(command.workflow)
        result = self._requests.decide_cancel(command, workflow)
        if not result.accepted:
            return result
        workflow.cancel(command.time)
        self._crash_recorder.forget_workflow(command.workflow)
        self._changed.add(command.workflow)
        self._deactivate_if_finished(workflow)
        return result

    def _forget(self, command: workflow_commands.ForgetWorkflows) -> Result:
        for name in command.workflows:
            workflow = self.workflows.get(name)
            if workflow is not None and workflow.outcome and not workflow.placed:
                del self.workflows[name]
        return Result(accepted=True)

    def _deactivate_if_finished(self, workflow: Workflow) -> None:
        if not workflow.outcome or workflow.placed:
            return
        if self.active.pop(workflow.spec.id, None) is not None:
            self.open_tasks -= workflow.spec.count_tasks()

    # Workers.

    def _enrol(self, command: workflow_commands.EnrolWorker) -> Result:
        spec = command.spec
        known = self.workers.get(spec.id)
        if known is not None and known.incarnation > spec.incarnation:
            return refuse("stale", "a later life of this worker is known")
        if (
            known is not None
            and known.incarnation == spec.incarnation
            and known.sequence > spec.sequence
        ):
            return Result(accepted=True, code="overtaken")
        if known is not None and known.incarnation < spec.incarnation:
            unsettled = self._list_unconfirmed_runs(known.key)
            self._keep_runs(known.key, unsettled, command.time)
            self.ended_incarnations.add(known.key, command.time)
        if (
            known is not None
            and known.incarnation == spec.incarnation
            and known.draining
        ):
            # Draining is final, so that a delayed heartbeat cannot undo it.
            spec = msgspec.structs.replace(spec, draining=True)
        self.workers[spec.id] = spec
        self.runs.setdefault(spec.key, {})
        self._move_unsettled_runs(spec)
        if known is None or known.incarnation != spec.incarnation:
            return self._crash_recorder.review_lost_workers(spec, command.time)
        return Result(accepted=True)

    def _remove(self, command: workflow_commands.RemoveWorker) -> Result:
        spec = self.find_current_worker(command.worker, command.incarnation)
        if spec is None:
            return refuse("unknown-worker", "this life of the worker is over")
        del self.workers[command.worker]
        worker_key = (command.worker, command.incarnation)
        present = self.runs.get(worker_key, {})
        unsettled = [key for key in command.unsettled_runs if key in present]
        crashed = [
            msgspec.structs.replace(x, is_settled=(x.task, x.run) not in unsettled)
            for x in (*command.crashed_runs, *command.lost_runs)
            if (x.task, x.run) in present
        ]
        for end in command.progress:
            if (end.task, end.run) in present and (end.task, end.run) not in unsettled:
                self.workflows[end.task.workflow].save_progress(end)
        self._keep_runs(worker_key, unsettled, command.time)
        self.ended_incarnations.add(worker_key, command.time)
        failed = self._crash_recorder.record_removal(command, spec.address, crashed)
        return Result(accepted=True, detail={"failed": " ".join(failed)})

    def _keep_runs(
        self, worker_key: tuple[str, int], unsettled: Collection[RunKey], time: float
    ) -> None:
        """End the runs of an incarnation that is over, but for those to be kept.

        Kept are the unsettled ones, and those whose tasks the worker may start again.
        """
        self._crash_recorder.mark_unsettled(worker_key, unsettled)
        for key in list(self.runs.get(worker_key, ())):
            name, run = key
            if key in unsettled or self.run_states.is_open(key, time):
                task = self.workflows[name.workflow].find_task(name)
                task.kept_since = time
                task.has_ended |= key not in unsettled
                continue
            outcome = workflow_commands.RunOutcome.LOST
            self._record_end(workflow_commands.RunEnd(name, run, outcome), time)
        if not self.runs.get(worker_key):
            self.runs.pop(worker_key, None)

    # Runs that the next incarnation of their worker may have.

    def list_unsettled_runs(self) -> dict[tuple[str, int], list[RunKey]]:
        """Return the runs whose worker is not enrolled, by ID and incarnation."""
        return {
            worker_key: list(runs)
            for worker_key, runs in self.runs.items()
            if runs and self.find_current_worker(*worker_key) is None
        }

    def _list_unconfirmed_runs(self, worker_key: tuple[str, int]) -> list[RunKey]:
        return [
            key
            for key in self.runs.get(worker_key, ())
            if not (self.run_states.is_confirmed(key) or self.run_states.has_ended(key))
        ]

    def _move_unsettled_runs(self, spec: WorkerSpec) -> None:
        """Assign the unsettled runs of earlier incarnations of a worker to it."""
        earlier = [
            worker_key
            for worker_key in self.runs
            if worker_key[0] == spec.id and worker_key[1] < spec.incarnation
        ]
        for worker_key in earlier:
            for name, run in self.runs.pop(worker_key):
                self.workflows[name.workflow].move(name, spec.incarnation)
                self._changed.add(name.workflow)
                self.runs[spec.key][(name, run)] = None

    # Runs.

    def _assign(self, command: workflow_commands.AssignRuns) -> Result:
        """Assign runs; a gang whose tasks cannot all be assigned is left out."""
        done = []
        starts = command.starts
        position = 0
        while position < len(starts):
            group = find_start_group(self.workflows, starts, position)
            position += len(group)
            valid = (
                all(map(self._can_assign, group))
                and is_complete(self.workflows, group)
                and self._is_within_quota(group)
            )
            if valid:
                self._end_replaced_runs(group, command.time)
                # The end of a run may prove a crash, for which its workflow fails.
                valid = all(map(self._can_assign, group))
            if valid:
                for start in group:
                    self._assign_one(start)
            done.append(("1" if valid else "0") * len(group))
        return Result(accepted=True, detail={"done": "".join(done)})

    def _is_within_quota(self, group: tuple[workflow_commands.RunStart, ...]) -> bool:
        spec = self.workflows[group[0].task.workflow].spec
        workspace = self.find_workspace(spec.workspace)
        if workspace is None:
            return True
        used = self.usage.get_used(spec.workspace)
        step = spec.steps[group[0].task.step]
        replaced = sum(self._can_replace(start) for start in group)
        return has_quota_for(workspace, used - step.allocation * replaced, step)

    def _can_replace(self, start: workflow_commands.RunStart) -> bool:
        return self.workflows[start.task.workflow].can_replace(start)

    def _end_replaced_runs(
        self, group: tuple[workflow_commands.RunStart, ...], time: float
    ) -> None:
        """End the runs whose places some starts take."""
        for start in group:
            if not self._can_replace(start):
                continue
            task = self.workflows[start.task.workflow].find_task(start.task)
            outcome = workflow_commands.RunOutcome.NEVER_STARTED
            end = workflow_commands.RunEnd(start.task, task.run, outcome)
            self._record_end(end, time)

    def _can_assign(self, start: workflow_commands.RunStart) -> bool:
        workflow = self.workflows.get(start.task.workflow)
        worker = self.find_current_worker(start.worker, start.incarnation)
        return (
            workflow is not None
            and worker is not None
            and not worker.draining
            and workflow.can_assign(start)
        )

    def _assign_one(self, start: workflow_commands.RunStart) -> None:
        workflow = self.workflows[start.task.workflow]
        workflow.assign(start)
        step = workflow.spec.steps[start.task.step]
        self.usage.add(workflow.spec.workspace, step)
        self._changed.add(start.task.workflow)
        key = (start.task, start.run)
        self.runs.setdefault((start.worker, start.incarnation), {})[key] = None

    def _confirm(self, command: workflow_commands.ConfirmRuns) -> Result:
        for start in command.starts:
            workflow = self.workflows.get(start.task.workflow)
            if workflow is not None:
                workflow.confirm(start)
        return Result(accepted=True)

    def _record_ends(self, command: workflow_commands.RecordEnds) -> Result:
        for end in command.ends:
            self._record_end(end, command.time)
        return Result(accepted=True)

    def _record_end(self, end: workflow_commands.RunEnd, time: float) -> None:
        workflow = self.workflows.get(end.task.workflow)
        task = workflow.find_task(end.task) if workflow is not None else None
        if task is None or task.run != end.run:
            return
        if workflow.record_end(end, time):
            step = workflow.spec.steps[end.task.step]
            self.usage.release(workflow.spec.workspace, step)
        self._crash_recorder.record_end(end, (task.worker, task.incarnation), time)
        self._changed.add(end.task.workflow)
        if not task.placed:
            self._drop_run((task.worker, task.incarnation), (end.task, end.run))
        self._deactivate_if_finished(workflow)

    def _drop_run(self, worker_key: tuple[str, int], key: RunKey) -> None:
        runs = self.runs.get(worker_key, {})
        runs.pop(key, None)
        if not runs and self.find_current_worker(*worker_key) is None:
            self.runs.pop(worker_key, None)

    # Snapshots.

    def dump(self) -> WorkflowSnapshot:
        """Return a snapshot."""
        return WorkflowSnapshot(
            self.configuration,
            list(self.workers.values()),
            list(self.workflows.values()),
            self.crashes.dump(),
            self._state.queues.dump_removed(),
            self._crash_recorder.lost_workers.dump(),
            self.ended_incarnations.dump(),
            self._crash_recorder.unsettled_runs.dump(),
            self._state.queues.dump_removal_times(),
            self.early_cancels.dump(),
        )

    @classmethod
    def load(cls, snapshot: WorkflowSnapshot) -> "WorkflowStore":
        """Return the store of a snapshot."""
        store = cls()
        queues = QueueTable(
            snapshot.removed_queues,
            snapshot.configuration.queues,
            dict(snapshot.removal_times),
        )
        store._state = ConfigurationState(snapshot.configuration, queues)
        store._requests = RequestPolicy(store._state, snapshot.early_cancels)
        store.workers = {spec.id: spec for spec in snapshot.workers}
        store.runs = {spec.key: {} for spec in snapshot.workers}
        store._crash_recorder.load(snapshot)
        store.ended_incarnations = EndedIncarnations(snapshot.ended_incarnations)
        store.usage = WorkspaceUsage(snapshot.workflows)
        for workflow in snapshot.workflows:
            workflow.spec = store._requests.add_address(workflow.spec)
            store.workflows[workflow.spec.id] = workflow
            if not workflow.outcome or workflow.placed:
                store._activate(workflow)
            for name, task in workflow.iter_placed_tasks():
                worker_key = (task.worker, task.incarnation)
                store.runs.setdefault(worker_key, {})[(name, task.run)] = None
        return store


_HANDLERS = {
    workflow_commands.ApplyConfiguration: WorkflowStore._apply_configuration,
    workflow_commands.SubmitWorkflow: WorkflowStore._submit,
    workflow_commands.CancelWorkflow: WorkflowStore._cancel,
    workflow_commands.ForgetWorkflows: WorkflowStore._forget,
    workflow_commands.EnrolWorker: WorkflowStore._enrol,
    workflow_commands.RemoveWorker: WorkflowStore._remove,
    workflow_commands.AssignRuns: WorkflowStore._assign,
    workflow_commands.ConfirmRuns: WorkflowStore._confirm,
    workflow_commands.RecordEnds: WorkflowStore._record_ends,
}
