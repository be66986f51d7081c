"""Stops of runs that are not wanted any more."""

from collections.abc import Iterable

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.events import StopFinished
from bluebellyoke.dispatch.looks import Looks
from bluebellyoke.dispatch.members import Member, RunPhase
from bluebellyoke.dispatch.ports import StopOrder
from bluebellyoke.workflow import commands as wc
from bluebellyoke.workflow.book import RunKey
from bluebellyoke.workflow.workflow import TaskProgress, Workflow

__all__ = ["Stops"]


class Stops:
    """Stops runs of ended workflows and of gangs that are not whole.

    Args:
        context: State of the duties.
        looks: Requests for the workers' lists.
    """

    def __init__(self, context: DispatchContext, *, looks: Looks) -> None:
        self._context = context
        self._looks = looks

    def is_over(self, name: wc.TaskName) -> bool:
        """Return whether a task's workflow has ended or is unknown."""
        workflow = self._context.book.workflows.get(name.workflow)
        return workflow is None or bool(workflow.outcome)

    def stop_over(self, workflow: Workflow | None) -> None:
        """Stop the runs of a workflow that has ended."""
        if workflow is None or not workflow.placed:
            return
        for name, task in workflow.iterate_placed():
            self._stop_if_started(name, task)

    def stop_incomplete_gangs(
        self, names: Iterable[wc.TaskName], *, is_lost: bool = False
    ) -> None:
        """Stop the members of gangs of which one has ended without being done.

        Args:
            is_lost: Whether the fate of the named members is unknown, which ends
                their gangs too.
        """
        steps = {(x.workflow, x.repetition, x.step) for x in names}
        for workflow_id, repetition, step in steps:
            workflow = self._context.book.workflows.get(workflow_id)
            if workflow is None or not workflow.spec.steps[step].gang:
                continue
            progress = workflow.repetitions[repetition].steps[step]
            placed = [task.placed for task in progress.tasks]
            is_whole = all(placed) and not is_lost
            if progress.is_done or is_whole or not any(placed):
                continue
            for index, task in enumerate(progress.tasks):
                if task.placed:
                    name = wc.TaskName(workflow_id, repetition, step, index)
                    self._stop_if_started(name, task)

    def _stop_if_started(self, name: wc.TaskName, task: TaskProgress) -> None:
        member = self._context.members.get(task.worker)
        if member is None or member.spec.born != task.born:
            return
        run = member.runs.get((name, task.run))
        if run is not None and run.phase is RunPhase.STARTED:
            self.stop_run(member, (name, task.run))

    def stop_run(self, member: Member, key: RunKey) -> None:
        """Stop a run that the worker has."""
        member.set_phase(key, RunPhase.STOPPING, self._context.now)
        self.send_stop(member, key)

    def send_stop(self, member: Member, key: RunKey) -> None:
        """Send a stop, which also bars a run that the worker does not have."""
        order = StopOrder(task=key[0], run=key[1], fence=self._context.fence)
        self._context.calls.stop(member.spec, order)

    def receive(self, member: Member, event: StopFinished, now: float) -> None:
        """Note whether a run that the worker did not have is barred now.

        When a stop of a run that the worker has gets no answer, a look tells whether
        it has to be sent again.
        """
        run = member.runs.get(event.key)
        if run is None:
            return
        if run.phase is RunPhase.STOPPING and event.fault is not None:
            self._looks.request(member)
        if run.phase is not RunPhase.BARRING:
            return
        phase = RunPhase.BARRED if event.accepted else RunPhase.UNSURE
        member.set_phase(event.key, phase, now)
        self._looks.request(member)
