"""Stops of runs that must not go on."""

import logging
from collections.abc import Iterable

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.events import StopFinished
from bluebellyoke.dispatch.ports import StopRequest
from bluebellyoke.dispatch.probes import WorkerProber
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.store import RunKey
from bluebellyoke.workflow.workflow import TaskProgress, Workflow

__all__ = ["STOP_RETRY_S", "RunStopper"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Minimum time between two stops that block the same run, in seconds. A worker that
#: refuses starts may refuse stops, too, and is polled at once while a run is unknown.
BLOCK_INTERVAL_S = 0.3

#: Time after which a stop without effect is sent again, in seconds. It is shorter than
#: the timeout of the stop, so that the probe after a timeout sends it again.
STOP_RETRY_S = 0.3


class RunStopper:
    """Stops runs of finished workflows and of incomplete gangs.

    Args:
        context: Shared state of the dispatcher.
        prober: Sends probes.
    """

    def __init__(self, context: DispatchContext, *, prober: WorkerProber) -> None:
        self._context = context
        self._prober = prober

    def has_workflow_ended(self, name: workflow_commands.TaskName) -> bool:
        """Return whether a task's workflow has ended or is unknown."""
        workflow = self._context.store.workflows.get(name.workflow)
        return workflow is None or bool(workflow.outcome)

    def stop_workflow_runs(self, workflow: Workflow | None) -> None:
        """Stop the runs of a workflow that has finished."""
        if workflow is None or not workflow.placed:
            return
        for name, task in workflow.iter_placed_tasks():
            self._stop_started_run(name, task)

    def stop_incomplete_gangs(
        self,
        names: Iterable[workflow_commands.TaskName],
        *,
        is_state_unknown: bool = False,
    ) -> None:
        """Stop the gangs of some tasks if a run has ended before its gang was done.

        Args:
            names: Tasks whose gangs are checked.
            is_state_unknown: Whether the state of these tasks is unknown, in which case
                their gangs are stopped too.
        """
        steps = {(x.workflow, x.repetition, x.step) for x in names}
        for workflow_id, repetition, step in steps:
            workflow = self._context.store.workflows.get(workflow_id)
            if workflow is None or not workflow.spec.steps[step].gang:
                continue
            progress = workflow.repetitions[repetition].steps[step]
            placed = [task.placed and not task.has_ended for task in progress.tasks]
            is_complete = all(placed) and not is_state_unknown
            if progress.is_done or is_complete or not any(placed):
                continue
            for index, task in enumerate(progress.tasks):
                if task.placed:
                    name = workflow_commands.TaskName(
                        workflow_id, repetition, step, index
                    )
                    self._stop_started_run(name, task)

    def _stop_started_run(
        self, name: workflow_commands.TaskName, task: TaskProgress
    ) -> None:
        worker = self._context.workers.get(task.worker)
        if worker is None or worker.spec.incarnation != task.incarnation:
            return
        run = worker.runs.get((name, task.run))
        if run is not None and run.phase is RunPhase.STARTED:
            self.stop_run(worker, (name, task.run))

    def stop_run(self, worker: TrackedWorker, key: RunKey) -> None:
        """Stop a run that the worker has started."""
        worker.set_phase(key, RunPhase.STOPPING, self._context.now)
        self.send_stop(worker, key)

    def send_stop(self, worker: TrackedWorker, key: RunKey) -> None:
        """Send a stop, which also blocks a run that the worker does not have."""
        now, run = self._context.now, worker.runs.get(key)
        if run is not None:
            is_repeated = now - run.stop_sent_at < BLOCK_INTERVAL_S
            if run.phase is RunPhase.BLOCKING and is_repeated:
                return
            run.stop_sent_at = now
        request = StopRequest(task=key[0], run=key[1], fence=worker.fence)
        self._context.calls.stop(worker.spec, request)

    def stop_unassigned(self, worker: TrackedWorker, now: float) -> None:
        """Stop runs that are not assigned to the worker; retry stops without effect."""
        for key, stopped_at in worker.unassigned_runs.items():
            if now - stopped_at <= STOP_RETRY_S:
                continue
            worker.unassigned_runs[key] = now
            logger.info(
                "dispatch: stops an unassigned run",
                extra={
                    "job": key[0].workflow,
                    "task": [key[0].repetition, key[0].step, key[0].index],
                    "run": key[1],
                    "worker": worker.spec.id,
                },
            )
            self.send_stop(worker, key)

    def receive(self, worker: TrackedWorker, event: StopFinished, now: float) -> None:
        """Process the result of a stop.

        If a stop of a started run gets no response, a probe finds out whether it has to
        be sent again.
        """
        run = worker.runs.get(event.key)
        if run is None:
            return
        if run.phase is RunPhase.STOPPING and event.error is not None:
            self._prober.request(worker)
        if run.phase is not RunPhase.BLOCKING:
            return
        if event.accepted:
            run.unblocked_since = None
            worker.set_phase(event.key, RunPhase.BLOCKED, now)
        else:
            if run.unblocked_since is None:
                run.unblocked_since = now
            worker.set_phase(event.key, RunPhase.UNKNOWN, now)
        self._prober.request(worker)
