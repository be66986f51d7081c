"""Queues of the configuration, and those that were removed while they had work."""

from collections.abc import Collection, Iterable

from bluebellyoke.workflow.specs import QueueSpec

__all__ = ["QueueTable"]


class QueueTable:
    """Queues by name; part of the replicated state.

    An accepted workflow goes on after its queue has been removed. Its starts still need
    tickets of the queue's advisor, so the last definition of the queue is kept.

    Args:
        removed: Last definitions of the queues that are no longer configured.
    """

    def __init__(self, removed: Iterable[QueueSpec] = ()) -> None:
        self._configured: dict[str, QueueSpec] = {}
        self._removed = {queue.name: queue for queue in removed}

    def configure(self, queues: Iterable[QueueSpec], used: Collection[str]) -> None:
        """Replace the configured queues.

        Args:
            queues: Queues of the new configuration.
            used: Names of the queues of workflows that have not ended.
        """
        last = self._removed | self._configured
        self._configured = {queue.name: queue for queue in queues}
        self._removed = {
            name: queue
            for name, queue in last.items()
            if name in used and name not in self._configured
        }

    def find(self, name: str) -> QueueSpec | None:
        """Return a queue of the current configuration, or None."""
        return self._configured.get(name)

    def find_last(self, name: str) -> QueueSpec | None:
        """Return the last definition of a queue, or None if it is not known."""
        return self._configured.get(name) or self._removed.get(name)

    def dump_removed(self) -> list[QueueSpec]:
        """Return the removed queues for a snapshot."""
        return list(self._removed.values())
