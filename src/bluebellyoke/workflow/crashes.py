"""Crashes of workers, and the tasks that may have caused them.

A crash ends all runs on its worker, and most of them have nothing to do with it.

Rules:
    * The next incarnation of a worker proves a crash. Connections that are refused
      until the lease has ended make suspects, but prove nothing.
    * A task is a suspect if its run was young at an unexplained crash, or if it shared
      several crashes whose young tasks have all been cleared.
    * A suspect starts apart from other young runs. If its worker crashes again, and
      both crashes are proved, it is the cause, and its workflow fails.
    * A cause explains all crashes that it was in: other tasks are cleared of them.
    * The tasks of a gang start together, so they are suspects together, and one of them
      is the cause of a crash if no task of another gang can be. Which of them has to be
      given up depends on its own crashes: others of its gang may run elsewhere.
"""

from collections.abc import Callable, Iterable

import msgspec

from bluebellyoke.workflow.commands import CrashedRun, TaskName
from bluebellyoke.workflow.task_crashes import (
    SHARED_CRASHES,
    SharedCrash,
    TaskCrashes,
)

__all__ = ["CERTAIN_CRASHES", "MAX_CRASHES", "CrashHistory"]

#: Proved crashes alone that show a task to be their cause: of runs that have certainly
#: begun, and if some of them may not have begun.
CERTAIN_CRASHES = 2
UNCERTAIN_CRASHES = 3

#: Runs that ended in a crash that make a task fail without proof.
MAX_CRASHES = 5

#: Time for which a crash counts, in seconds. A service shares one now and then.
CRASH_MEMORY_S = 600.0


class CrashHistory:
    """Crashes by the tasks that they may be due to; part of the replicated state.

    Args:
        tasks: State of a snapshot.
        is_gang: Returns whether a task belongs to a gang.
    """

    def __init__(
        self,
        tasks: Iterable[TaskCrashes] = (),
        *,
        is_gang: Callable[[TaskName], bool] = lambda task: False,
    ) -> None:
        self._tasks = {item.task: item for item in tasks}
        self._is_gang = is_gang
        self._workflows: dict[str, list[TaskCrashes]] = {}
        for item in self._tasks.values():
            self._workflows.setdefault(item.task.workflow, []).append(item)
        self._young: set[tuple[str, int]] = set()
        self._update_young()

    def dump(self) -> list[TaskCrashes]:
        """Return the state for a snapshot."""
        return list(self._tasks.values())

    def find(self, task: TaskName) -> TaskCrashes | None:
        """Return the crashes of a task."""
        return self._tasks.get(task)

    def find_suspect(self, task: TaskName) -> TaskCrashes | None:
        """Return the crashes of a task, or of its whole gang, if it is a suspect."""
        if not self.has_workflow(task.workflow):
            return None
        found = self._tasks.get(task)
        if self._is_gang(task):
            found = self._merge_gang(task)
        is_suspect = found is not None and self._are_suspicious(found.unexplained)
        return found if is_suspect else None

    def _get_group(self, task: TaskName) -> TaskName:
        """Return the task, or the first one of its gang."""
        if not self._is_gang(task):
            return task
        return msgspec.structs.replace(task, index=0)

    def _list_group(self, task: TaskName) -> list[TaskCrashes]:
        """Return the crashes of a task, or of each task of its gang."""
        group = self._get_group(task)
        found = self._workflows.get(task.workflow, ())
        return [x for x in found if self._get_group(x.task) == group]

    def _merge_gang(self, task: TaskName) -> TaskCrashes:
        """Return the crashes of all tasks of a gang."""
        crashes = [x for item in self._list_group(task) for x in item.crashes]
        return TaskCrashes(self._get_group(task), crashes)

    def _are_suspicious(self, crashes: list[SharedCrash]) -> bool:
        """Return whether some unexplained crashes of a task make it a suspect."""
        if any(crash.was_young for crash in crashes):
            return True
        shared = [x for x in crashes if x.worker_key not in self._young]
        return len(shared) >= SHARED_CRASHES

    def _update_young(self) -> None:
        """Collect the unexplained crashes that still have a young suspect."""
        self._young = {
            crash.worker_key
            for crashes in self._tasks.values()
            for crash in crashes.unexplained
            if crash.was_young
        }

    def has_workflow(self, workflow: str) -> bool:
        """Return whether a task of a workflow was in a crash."""
        return workflow in self._workflows

    def list_workflows(self) -> set[str]:
        """Return the IDs of all workflows that have shared a crash."""
        return set(self._workflows)

    def record(
        self,
        worker_key: tuple[str, int],
        runs: Iterable[CrashedRun],
        time: float,
        *,
        is_proved: bool = True,
    ) -> list[TaskCrashes]:
        """Record a crash; return the tasks that have to be given up.

        Args:
            worker_key: ID and incarnation of the worker.
            time: Wall-clock time, in seconds.
            runs: Runs that the crash ended.
            is_proved: Whether the worker's process is known to have ended.
        """
        self._drop_before(time - CRASH_MEMORY_S)
        runs = list(runs)
        young = {item.task for item in runs if item.is_suspect}
        cause = self._find_cause(young, runs) if is_proved else None
        if len({self._get_group(item.task) for item in runs}) == 1:
            young = {item.task for item in runs}
        suspects = len({self._get_group(task) for task in young})
        given_up = []
        for item in runs:
            was_young = item.task in young
            shared = SharedCrash(
                *worker_key,
                item.run,
                time,
                item.age_ms,
                was_young,
                suspects,
                is_proved=is_proved,
                has_begun=item.has_begun,
                is_settled=item.is_settled,
                is_uncertain=item.is_uncertain,
                names_task=True,
            )
            crashes = self._add(item.task, shared)
            if item.task == cause or self._has_max_crashes(crashes):
                given_up.append(crashes)
        if cause is not None:
            self._explain(cause)
        self._update_young()
        return given_up

    def _drop_before(self, time: float) -> None:
        for crashes in self._tasks.values():
            crashes.drop_before(time)
        self._update_young()

    def _find_cause(
        self, young: set[TaskName], runs: list[CrashedRun]
    ) -> TaskName | None:
        """Return a young task if an earlier run of it was a suspect before.

        Only tasks of one gang may be young besides.
        """
        if len({self._get_group(task) for task in young}) != 1:
            return None
        for item in runs:
            crashes = self._tasks.get(item.task)
            if item.task not in young or crashes is None:
                continue
            if not (item.has_begun and item.is_settled):
                continue
            if self._is_repeated(crashes, item.run, item.is_uncertain):
                return item.task
        return None

    def _is_repeated(self, crashes: TaskCrashes, run: int, is_uncertain: bool) -> bool:
        """Return whether a task was a suspect for proved crashes of its other runs.

        Args:
            run: Number of the run that is in the latest crash.
            is_uncertain: Whether it may not have begun.
        """
        earlier = [
            x
            for x in crashes.unexplained
            if x.is_proved
            and x.has_begun
            and x.is_settled
            and x.run != run
            and self._is_of_task(x, crashes.task)
        ]
        uncertain = sum(x.is_uncertain for x in earlier) + is_uncertain
        has_enough = (
            len(earlier) + 1 - uncertain >= CERTAIN_CRASHES
            or len(earlier) + 1 >= UNCERTAIN_CRASHES
        )
        return has_enough and self._are_suspicious(earlier)

    def _is_of_task(self, crash: SharedCrash, task: TaskName) -> bool:
        """Return whether a crash is known to have struck a run of this very task."""
        return crash.names_task or not self._is_gang(task)

    def _has_max_crashes(self, crashes: TaskCrashes) -> bool:
        """Return whether so many runs of a task were in a crash that it has to fail."""
        own = [x for x in crashes.crashes if self._is_of_task(x, crashes.task)]
        return len(TaskCrashes(crashes.task, own).runs) >= MAX_CRASHES

    def confirm(self, worker_key: tuple[str, int], task: TaskName) -> list[TaskCrashes]:
        """Record that a run was in a crash, since the next incarnation lacks it.

        Returns:
            The task, if it has to be given up.
        """
        crashes = self._tasks.get(task)
        shared = crashes.find(worker_key) if crashes is not None else None
        if shared is None or shared.is_settled:
            return []
        shared.is_settled = True
        others = {
            self._get_group(item.task)
            for item in self._tasks.values()
            if (crash := item.find(worker_key)) is not None and crash.was_young
        } - {self._get_group(task)}
        is_cause = (
            shared.is_proved
            and shared.has_begun
            and shared.was_young
            and not others
            and self._is_repeated(crashes, shared.run, shared.is_uncertain)
        )
        if is_cause:
            self._explain(task)
        self._update_young()
        return [crashes] if is_cause or self._has_max_crashes(crashes) else []

    def withdraw(self, worker_key: tuple[str, int], task: TaskName) -> None:
        """Drop a crash that a task was not in, since its run outlived the worker."""
        crashes = self._tasks.get(task)
        shared = crashes.find(worker_key) if crashes is not None else None
        if shared is not None and not shared.is_settled:
            crashes.drop(worker_key)
            self._update_young()

    def _add(self, task: TaskName, shared: SharedCrash) -> TaskCrashes:
        crashes = self._tasks.get(task)
        if crashes is None:
            crashes = self._tasks[task] = TaskCrashes(task)
            self._workflows.setdefault(task.workflow, []).append(crashes)
        crashes.add(shared)
        return crashes

    def drop_unproved(self, worker_key: tuple[str, int]) -> bool:
        """Drop the crash of a worker that has turned out to run on.

        Returns:
            Whether a task was in it, so that some may be no suspects now.
        """
        dropped = [x.drop_unproved(worker_key) for x in self._tasks.values()]
        self._update_young()
        return any(dropped)

    def _explain(self, cause: TaskName) -> None:
        """Clear all other tasks of the crashes that a task has caused."""
        explained = {crash.worker_key for crash in self._tasks[cause].unexplained}
        for task, crashes in self._tasks.items():
            if task != cause:
                crashes.clear_of(explained)

    def clear(self, task: TaskName) -> bool:
        """Clear a task of all crashes, since a run of it came to an end.

        Returns:
            Whether it was in an unexplained crash, so that others may be suspects now.
        """
        crashes = self._tasks.get(task)
        if crashes is None or not crashes.unexplained:
            return False
        crashes.clear()
        self._update_young()
        return True

    def clear_gang(self, task: TaskName) -> bool:
        """Clear all tasks of a gang, since a run of the gang was done; see `clear`."""
        return any([self.clear(item.task) for item in self._list_group(task)])

    def forget_workflow(self, workflow: str) -> None:
        """Drop the tasks of a workflow that has ended."""
        for item in self._workflows.pop(workflow, ()):
            del self._tasks[item.task]
        self._update_young()
