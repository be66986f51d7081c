"""Crashes that the runs of one task were in."""

import msgspec

from bluebellyoke.workflow.commands import TaskName

__all__ = ["SHARED_CRASHES", "SharedCrash", "TaskCrashes"]

#: Crashes without a young suspect that make a task a suspect that was not young.
SHARED_CRASHES = 2


class SharedCrash(msgspec.Struct, array_like=True):
    """A crash that a run of a task was in.

    Attributes:
        worker, incarnation: Worker that crashed.
        run: Number of the run.
        time: Wall-clock time of the crash, in seconds.
        age_ms: Time for which the run had run, in milliseconds, or None.
        was_young: Whether the run was young enough to be the cause.
        suspects: Number of tasks that were young at that crash.
        is_explained: Whether the task has been cleared of it.
        is_proved: Whether the worker's process is known to have ended.
        has_begun: Whether the run is known to have begun.
        is_settled: Whether the run cannot be on the next incarnation of the worker. If
            it is there, the task was not in this crash.
        is_uncertain: Whether the run may not have begun all the same: its start got no
            response, or only an earlier leader may have known.
        names_task: Whether the run was of this very task. Earlier builds kept the
            crashes of all tasks of a gang under its first one.
    """

    worker: str
    incarnation: int = msgspec.field(name="born")
    run: int
    time: float
    age_ms: int | None
    was_young: bool
    suspects: int
    is_explained: bool = False
    is_proved: bool = True
    has_begun: bool = True
    is_settled: bool = True
    is_uncertain: bool = False
    names_task: bool = False

    @property
    def worker_key(self) -> tuple[str, int]:
        """ID and incarnation of the worker."""
        return self.worker, self.incarnation

    @property
    def suspicion(self) -> float:
        """Estimated probability that the task is the cause."""
        return 1 / self.suspects if self.was_young else 0.0


class TaskCrashes(msgspec.Struct, array_like=True):
    """Recent crashes that the runs of a task were in, or those of all tasks of a gang.

    Attributes:
        task: The task, or the first one of the gang.
    """

    task: TaskName
    crashes: list[SharedCrash] = []

    @property
    def runs(self) -> set[int]:
        """Numbers of the runs that ended in a crash.

        A run that may not have begun counts if the crash is proved.
        """
        return {
            x.run for x in self.crashes if x.is_settled and (x.has_begun or x.is_proved)
        }

    @property
    def unexplained(self) -> list[SharedCrash]:
        """Crashes that the task may have caused."""
        return [crash for crash in self.crashes if not crash.is_explained]

    @property
    def suspicion(self) -> float:
        """Estimated probability that the task crashes its workers."""
        return max((crash.suspicion for crash in self.unexplained), default=0.0)

    @property
    def max_age_ms(self) -> int:
        """Longest known time from a start to an unexplained crash, in milliseconds."""
        return max((crash.age_ms or 0 for crash in self.unexplained), default=0)

    def describe(self) -> str:
        """Return why a workflow fails because of these crashes."""
        task = self.task
        return (
            f"{len(self.runs)} workers crashed under task "
            f"{task.repetition}.{task.step}.{task.index}"
        )

    def find(self, worker_key: tuple[str, int]) -> SharedCrash | None:
        """Return the crash of a worker, or None."""
        return next((x for x in self.crashes if x.worker_key == worker_key), None)

    def drop(self, worker_key: tuple[str, int]) -> None:
        """Drop the crash of a worker."""
        self.crashes = [x for x in self.crashes if x.worker_key != worker_key]

    def add(self, crash: SharedCrash) -> None:
        """Add a crash, in place of what was known of it before it was proved."""
        known = [x for x in self.crashes if x.worker_key == crash.worker_key]
        crash.is_explained = any(x.is_explained for x in known)
        self.crashes = [x for x in self.crashes if x not in known]
        self.crashes.append(crash)

    def drop_unproved(self, worker_key: tuple[str, int]) -> bool:
        """Drop the crash of a worker that runs on; return whether there was one."""
        kept = [x for x in self.crashes if x.is_proved or x.worker_key != worker_key]
        is_dropped = len(kept) < len(self.crashes)
        self.crashes = kept
        return is_dropped

    def drop_before(self, time: float) -> None:
        """Drop the crashes before a wall-clock time, in seconds."""
        self.crashes = [crash for crash in self.crashes if crash.time >= time]

    def clear(self) -> None:
        """Clear the task of all crashes."""
        for crash in self.crashes:
            crash.is_explained = True

    def clear_of(self, worker_keys: set[tuple[str, int]]) -> None:
        """Clear the task of the crashes of some workers, which another has caused.

        A task that was young at its second crash or a later one has to prove itself.
        """
        is_repeated = len(self.runs) >= SHARED_CRASHES
        shared = [crash for crash in self.crashes if crash.worker_key in worker_keys]
        for crash in shared:
            if not crash.was_young:
                self.crashes.remove(crash)
            elif not is_repeated:
                crash.is_explained = True
