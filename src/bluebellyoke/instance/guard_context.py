"""What the guarded connections of a process share."""

from collections.abc import Mapping

from bluebellyoke.clock import Clock
from bluebellyoke.instance.connection_limits import ListenerLimits
from bluebellyoke.instance.connection_table import ConnectionTable

__all__ = ["ConnectionGuard"]

#: Size of the buffer that all connections read into, one at a time.
READ_BYTES = 32 * 1024


class ConnectionGuard:
    """What the connections of a process share.

    Args:
        table: The connections and their limits.
        clock: Source of time.
        listeners: Limits by the address and port of a listener.
        default_limits: Limits of all other listeners.
    """

    def __init__(
        self,
        *,
        table: ConnectionTable,
        clock: Clock,
        listeners: Mapping[tuple[str, int], ListenerLimits],
        default_limits: ListenerLimits,
    ) -> None:
        self.table = table
        self.clock = clock
        self.buffer = memoryview(bytearray(READ_BYTES))
        self._listeners = listeners
        self._default_limits = default_limits

    def get_listener_limits(self, address: tuple[str, int] | None) -> ListenerLimits:
        """Return the limits of the listener with this address."""
        if address is None:
            return self._default_limits
        return self._listeners.get(address[:2], self._default_limits)
