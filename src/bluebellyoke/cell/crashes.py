"""Crashes of workers under the tasks that run on them.

Rules:
    * A new session proves a crash if the earlier one is still live: the worker's
      process has ended without a report. A lease that expires proves nothing.
    * A task that was young at a crash is a suspect. It starts again on a worker of its
      own, so that a further crash has one possible cause.
    * A suspect under which several workers have crashed that it had to itself fails.
    * A suspect is cleared once it ends, or once it has outlived the suspect age.
    * The tasks of a gang start together, so they are suspects together. Which of them
      fails depends on its own crashes.
"""

from collections.abc import Iterable

import msgspec

from bluebellyoke.cell.jobs import Job, Task

__all__ = [
    "CrashRecord",
    "clear",
    "find_suspects",
    "is_given_up",
    "is_suspect",
    "record_crash",
]

#: Age up to which a task is suspected of a crash, in seconds. The next session of the
#: worker begins some seconds after the crash, and the age counts up to then.
SUSPECT_AGE_S = 30.0

#: Crashes of workers that ran no other task, after which the task under them fails.
MAX_LONE_CRASHES = 3


class CrashRecord(msgspec.Struct, array_like=True):
    """Crashes that a task was young at.

    Attributes:
        shared: Crashes of workers that ran other tasks too.
        alone: Crashes of workers that ran nothing else, but tasks of the same gang.
        names_task: Whether all of them were under this very task. Earlier builds kept
            the crashes of all tasks of a gang under its first one.
    """

    shared: int = 0
    alone: int = 0
    names_task: bool = False


def is_suspect(job: Job, index: int) -> bool:
    """Return whether a task of a job, or its gang, may crash its worker."""
    return bool(job.crashes) and (job.is_gang or index in job.crashes)


def is_given_up(task: Task) -> bool:
    """Return whether too many workers have crashed under a task."""
    record = task.job.crashes.get(task.index)
    if record is None or not (record.names_task or not task.job.is_gang):
        return False
    return record.alone >= MAX_LONE_CRASHES


def is_young(task: Task, now: float) -> bool:
    """Return whether a placed task has not outlived the suspect age."""
    return now - task.since < SUSPECT_AGE_S


def find_suspects(tasks: Iterable[Task], now: float) -> list[Task]:
    """Return the suspects among placed tasks that are still young."""
    return [
        task
        for task in tasks
        if is_suspect(task.job, task.index) and is_young(task, now)
    ]


def record_crash(tasks: Iterable[Task], now: float) -> None:
    """Record a crash under the tasks of a worker, and clear those that were not young.

    Args:
        tasks: Tasks that were placed on the worker.
        now: Wall-clock time, in seconds.
    """
    tasks = list(tasks)
    is_alone = len({_get_group(task) for task in tasks}) == 1
    for task in tasks:
        if not is_young(task, now):
            clear(task)
            continue
        record = task.job.crashes.get(task.index)
        if record is None or not record.names_task:
            earlier = record if not task.job.is_gang else None
            record = earlier or CrashRecord()
            record.names_task = True
            task.job.crashes[task.index] = record
        if is_alone:
            record.alone += 1
        else:
            record.shared += 1


def _get_group(task: Task) -> tuple[str, int]:
    """Return what the tasks of a gang have in common, and no others."""
    return task.job.spec.id, -1 if task.job.is_gang else task.index


def clear(task: Task) -> None:
    """Remove the record of the crashes under a task."""
    task.job.crashes.pop(task.index, None)
