"""Workers whose lease ended while they were silent, and what proves their crash.

A lease that has ended shows that the worker ended its runs, not that its process did.
Only the next incarnation shows that: it announces itself under the same ID, or at the
same address under another one.
"""

from collections.abc import Iterable

import msgspec

from bluebellyoke.workflow.commands import CrashedRun
from bluebellyoke.workflow.specs import WorkerSpec

__all__ = ["MAX_RESTART_S", "LostWorker", "LostWorkers"]

#: Time after the end of its lease within which the next incarnation of a worker shows
#: that the earlier one crashed under its runs, in seconds. One that comes later may as
#: well have ended long after the runs did.
MAX_RESTART_S = 10.0


class LostWorker(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of a worker that was removed without a proof of its end.

    Attributes:
        time: Wall-clock time of its removal, in seconds.
        runs: Runs that it had.
    """

    worker: str
    incarnation: int = msgspec.field(name="born")
    address: str
    time: float
    runs: tuple[CrashedRun, ...]

    @property
    def key(self) -> tuple[str, int]:
        """ID and incarnation of the worker."""
        return self.worker, self.incarnation

    def is_followed_by(self, spec: WorkerSpec) -> bool:
        """Return whether a worker is the next incarnation of this one."""
        is_same = spec.id == self.worker or spec.address == self.address
        return is_same and spec.incarnation > self.incarnation


class LostWorkers:
    """Lost workers that may still turn out to have crashed; replicated state."""

    def __init__(self, workers: Iterable[LostWorker] = ()) -> None:
        self._workers = list(workers)

    def dump(self) -> list[LostWorker]:
        """Return the state for a snapshot."""
        return list(self._workers)

    def add(self, worker: LostWorker) -> None:
        """Remember a lost worker, and forget those that were lost long ago."""
        self._drop_before(worker.time - MAX_RESTART_S)
        self._workers.append(worker)

    def _drop_before(self, time: float) -> None:
        self._workers = [x for x in self._workers if x.time >= time]

    def pop_crashed(self, spec: WorkerSpec, time: float) -> list[LostWorker]:
        """Remove and return the workers whose next incarnation has announced itself."""
        self._drop_before(time - MAX_RESTART_S)
        found = [x for x in self._workers if x.is_followed_by(spec)]
        self._workers = [x for x in self._workers if x not in found]
        return found

    def drop(self, worker_key: tuple[str, int]) -> None:
        """Forget a worker that has turned out to run on."""
        self._workers = [x for x in self._workers if x.key != worker_key]
