"""Incarnations of workers that ended a short time ago, whose calls may still arrive.

A call for one incarnation may be carried out by the next one, seconds after it was
sent. A new leader has to know of it, since that call may have renewed a lease.
"""

from collections.abc import Iterable, Iterator

import msgspec

__all__ = ["EndedIncarnation", "EndedIncarnations"]

#: Time for which an ended incarnation is kept, in seconds: the 12 s after which the
#: last call for it may be carried out, and differences between leaders' clocks.
KEPT_S = 30.0


class EndedIncarnation(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of a worker that was removed or replaced.

    Attributes:
        time: Wall-clock time of its removal, in seconds.
    """

    worker: str
    incarnation: int = msgspec.field(name="born")
    time: float


class EndedIncarnations:
    """Incarnations that ended a short time ago; part of the replicated state."""

    def __init__(self, ended: Iterable[EndedIncarnation] = ()) -> None:
        self._ended = list(ended)

    def __iter__(self) -> Iterator[EndedIncarnation]:
        return iter(self._ended)

    def dump(self) -> list[EndedIncarnation]:
        """Return the state for a snapshot."""
        return list(self._ended)

    def add(self, worker_key: tuple[str, int], time: float) -> None:
        """Add an incarnation by its ID and number."""
        self._ended.append(EndedIncarnation(*worker_key, time))

    def drop_old(self, time: float) -> None:
        """Drop those that ended long before a wall-clock time, in seconds."""
        if self._ended:
            self._ended = [x for x in self._ended if time - x.time <= KEPT_S]
