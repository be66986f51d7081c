"""Queues of the configuration, and those that were removed while they had workflows."""

import math
from collections.abc import Collection, Iterable, Mapping

from bluebellyoke.workflow.specs import QueueAddress, QueueSpec

__all__ = ["QueueTable"]


class QueueTable:
    """Queues by address; part of the replicated state.

    An accepted workflow goes on after its queue has been removed. Its starts still need
    tickets of the queue's advisor, so its last definition is kept. The time
    of the removal tells which requests arrived before it.

    Args:
        removed: Last definitions of the queues that are no longer configured.
        configured: Queues of the configuration.
        removal_times: Wall-clock times at which queues were removed, in seconds.
    """

    def __init__(
        self,
        removed: Iterable[QueueSpec] = (),
        configured: Iterable[QueueSpec] = (),
        removal_times: Mapping[QueueAddress, float] | None = None,
    ) -> None:
        self._configured = {queue.address: queue for queue in configured}
        self._removed = {queue.address: queue for queue in removed}
        self._removal_times = dict(removal_times or {})

    def configure(
        self,
        queues: Iterable[QueueSpec],
        used: Collection[QueueAddress],
        known: Collection[QueueAddress],
        time: float,
    ) -> None:
        """Replace the configured queues.

        Args:
            queues: Queues of the new configuration.
            used: Addresses of the queues of workflows that have not ended.
            known: Addresses of the queues of all workflows that are known.
            time: Wall-clock time of the new configuration, in seconds.
        """
        last = self._removed | self._configured
        removal_times = self._removal_times | dict.fromkeys(self._configured, time)
        self._configured = {queue.address: queue for queue in queues}
        self._removed = {
            address: queue
            for address, queue in last.items()
            if address in used and address not in self._configured
        }
        self._removal_times = {
            address: removed_at
            for address, removed_at in removal_times.items()
            if address in known and address not in self._configured
        }

    def find(self, address: QueueAddress) -> QueueSpec | None:
        """Return a queue of the current configuration, or None."""
        return self._configured.get(address)

    def find_last(self, address: QueueAddress) -> QueueSpec | None:
        """Return the last definition of a queue, or None if it is not known."""
        return self._configured.get(address) or self._removed.get(address)

    def get_removal_time(self, address: QueueAddress) -> float:
        """Return when a queue was removed, as a wall-clock time in seconds.

        Returns:
            Infinity for a queue that is configured, minus infinity if the time is not
            known.
        """
        if address in self._configured:
            return math.inf
        return self._removal_times.get(address, -math.inf)

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

    def dump_removal_times(self) -> list[tuple[QueueAddress, float]]:
        """Return the times of the removals for a snapshot."""
        return list(self._removal_times.items())
