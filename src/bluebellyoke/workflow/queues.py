"""Queues of the configuration, and those that were removed while they had work."""

from collections.abc import Collection, Iterable

from bluebellyoke.workflow.specs import QueueAddress, QueueSpec

__all__ = ["QueueTable"]


class QueueTable:
    """Queues by address; part of the replicated state.

    An accepted workflow goes on after its queue has been removed. Its starts still need
    tickets of the queue's advisor, so the last definition of the queue is kept.

    Args:
        removed: Last definitions of the queues that are no longer configured.
        configured: Queues of the configuration.
    """

    def __init__(
        self, removed: Iterable[QueueSpec] = (), configured: Iterable[QueueSpec] = ()
    ) -> None:
        self._configured = {queue.address: queue for queue in configured}
        self._removed = {queue.address: queue for queue in removed}

    def configure(
        self, queues: Iterable[QueueSpec], used: Collection[QueueAddress]
    ) -> None:
        """Replace the configured queues.

        Args:
            queues: Queues of the new configuration.
            used: Addresses of the queues of workflows that have not ended.
        """
        last = self._removed | self._configured
        self._configured = {queue.address: queue for queue in queues}
        self._removed = {
            address: queue
            for address, queue in last.items()
            if address in used and address not in self._configured
        }

    def find(self, address: QueueAddress) -> QueueSpec | None:
        """Return a queue of the current configuration, or None."""
        return self._configured.get(address)

    def find_last(self, address: QueueAddress) -> QueueSpec | None:
        """Return the last definition of a queue, or None if it is not known."""
        return self._configured.get(address) or self._removed.get(address)

    def find_address(self, name: str) -> QueueAddress:
        """Return the address of the queue that has a name, for an older record.

        Returns:
            An address that no caller can send, if no queue has the name.
        """
        for queues in (self._configured, self._removed):
            for queue in queues.values():
                if queue.name == name:
                    return queue.address
        return QueueAddress("", name)

    def dump_removed(self) -> list[QueueSpec]:
        """Return the removed queues for a snapshot."""
        return list(self._removed.values())
