"""Connections of clients, and which of them are closed once a limit is reached.

The table knows the phase of every connection and the bytes that it makes the process
hold. It decides without a network; a connection's owner carries the decisions out.
"""

import abc
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bluebellyoke.instance.connection_limits import ConnectionLimits, Phase, Refusal

__all__ = ["ConnectionOwner", "ConnectionRecord", "ConnectionTable"]

#: Longest time without a sweep after which the next one closes nothing, in seconds. The
#: process stood still meanwhile and has not read what clients sent in time.
MAX_SWEEP_INTERVAL_S = 3.0


class ConnectionOwner(abc.ABC):
    """The protocol of a connection."""

    @abc.abstractmethod
    def refuse(self, refusal: Refusal) -> None:
        """Refuse the incomplete request, if there is one, and close the connection."""

    @abc.abstractmethod
    def count_unsent_bytes(self) -> int:
        """Return the number of bytes that the client has not read yet."""

    @abc.abstractmethod
    def is_reading(self) -> bool:
        """Return whether the process reads what the client sends."""


@dataclass(slots=True, eq=False)
class ConnectionRecord:
    """What the table knows of a connection.

    Attributes:
        owner: Protocol of the connection.
        address: IP address of the client.
        descriptor: Number of the socket's descriptor. A new one has the lowest free
            number, so at least as many descriptors are open.
        phase: What the connection waits for, since `phase_since`.
        read_at: Time at which the client's last bytes were read.
        held_bytes: Bytes that the connection makes the process hold.
        unsent_bytes: Bytes that the client had not read at the last change.
        unsent_since: Time of that change.
    """

    owner: ConnectionOwner
    address: str
    descriptor: int
    phase: Phase = Phase.IDLE
    phase_since: float = 0.0
    read_at: float = 0.0
    held_bytes: int = 0
    unsent_bytes: int = 0
    unsent_since: float = 0.0

    @property
    def is_receiving(self) -> bool:
        """Whether the connection waits for the rest of a request."""
        return self.phase is Phase.HEAD or self.phase is Phase.BODY


@dataclass(slots=True)
class _AddressUse:
    """Connections of a client address; dictionaries keep the order of insertion."""

    connections: int = 0
    held_bytes: int = 0
    idle: dict[ConnectionRecord, None] = field(default_factory=dict)
    receiving: dict[ConnectionRecord, None] = field(default_factory=dict)


class ConnectionTable:
    """The connections of a process, and the decisions on which of them are closed.

    Args:
        limits: Limits of the process.
        report: Called with each refusal and the address of its client.
    """

    def __init__(
        self, limits: ConnectionLimits, report: Callable[[Refusal, str], None]
    ) -> None:
        self.limits = limits
        self.held_bytes = 0
        self._report = report
        self._records: dict[ConnectionRecord, None] = {}
        self._addresses: dict[str, _AddressUse] = {}
        self._idle: dict[ConnectionRecord, None] = {}
        self._receiving: dict[ConnectionRecord, None] = {}
        self._swept_at: float | None = None

    def __len__(self) -> int:
        return len(self._records)

    # Connections.

    def add(self, record: ConnectionRecord, now: float) -> Refusal | None:
        """Add a connection; return why it has to be refused, or None.

        The connection that has been idle for longest makes room, or else the oldest
        incomplete request.
        """
        use = self._addresses.get(record.address)
        if use is not None and (
            use.connections >= self.limits.connections_per_address
            and not self._evict(Refusal.ADDRESS, use.idle, use.receiving)
        ):
            self.report(Refusal.ADDRESS, record)
            return Refusal.ADDRESS
        if not self.make_room(record.descriptor):
            self.report(Refusal.CONNECTIONS, record)
            return Refusal.CONNECTIONS
        if use is None or record.address not in self._addresses:
            use = self._addresses[record.address] = _AddressUse()
        use.connections += 1
        record.phase_since = record.read_at = now
        self._records[record] = None
        self._enter(record, use)
        return None

    def make_room(self, descriptor: int) -> bool:
        """Close a connection if a new socket's descriptor says that there are too many.

        Returns:
            Whether the new socket may stay.
        """
        if descriptor < self.limits.descriptors:
            return True
        if self._evict(Refusal.CONNECTIONS, self._idle):
            return True
        uses = self._addresses.values()
        busiest = max(uses, key=lambda use: len(use.receiving), default=None)
        return busiest is not None and self._evict(
            Refusal.CONNECTIONS, busiest.receiving
        )

    def remove(self, record: ConnectionRecord) -> None:
        """Forget a connection."""
        if record not in self._records:
            return
        use = self._addresses[record.address]
        self._set_held(record, 0)
        self._leave(record, use)
        del self._records[record]
        use.connections -= 1
        if not use.connections:
            del self._addresses[record.address]

    def set_phase(self, record: ConnectionRecord, phase: Phase, now: float) -> None:
        """Note what a connection waits for from now on."""
        if phase is record.phase or record not in self._records:
            return
        use = self._addresses[record.address]
        self._leave(record, use)
        record.phase, record.phase_since = phase, now
        self._enter(record, use)

    def _enter(self, record: ConnectionRecord, use: _AddressUse) -> None:
        if record.phase is Phase.IDLE:
            self._idle[record] = use.idle[record] = None
        elif record.is_receiving:
            self._receiving[record] = use.receiving[record] = None

    def _leave(self, record: ConnectionRecord, use: _AddressUse) -> None:
        if record.phase is Phase.IDLE:
            del self._idle[record], use.idle[record]
        elif record.is_receiving:
            del self._receiving[record], use.receiving[record]

    # Memory.

    def hold(self, record: ConnectionRecord, size: int) -> None:
        """Note how many bytes a connection makes the process hold.

        If all connections hold too much, the address that holds most loses the
        incomplete requests or unread responses that hold most. Whole requests stay,
        since they may have run.
        """
        if record not in self._records:
            return
        self._set_held(record, size)
        while self.held_bytes > self.limits.held_bytes:
            victim = self._find_largest_holder()
            if victim is None:
                return
            is_unread = victim.owner.count_unsent_bytes() > 0
            refusal = Refusal.UNREAD_REPLY if is_unread else Refusal.MEMORY
            self._close(victim, refusal)

    def _set_held(self, record: ConnectionRecord, size: int) -> None:
        delta = size - record.held_bytes
        record.held_bytes = size
        self.held_bytes += delta
        self._addresses[record.address].held_bytes += delta

    def _find_largest_holder(self) -> ConnectionRecord | None:
        """Return the connection that has to go, or None if none can."""
        candidates = [
            record
            for record in self._records
            if record.held_bytes
            and (record.is_receiving or record.owner.count_unsent_bytes())
        ]
        return max(
            candidates,
            key=lambda record: (
                self._addresses[record.address].held_bytes,
                record.held_bytes,
            ),
            default=None,
        )

    # Time.

    def sweep(self, now: float) -> None:
        """Close the connections whose time is up."""
        previous, self._swept_at = self._swept_at, now
        if previous is None or now - previous > MAX_SWEEP_INTERVAL_S:
            return
        for record in list(self._records):
            refusal = self._find_timeout(record, now)
            if refusal is not None:
                self._close(record, refusal)

    def _find_timeout(self, record: ConnectionRecord, now: float) -> Refusal | None:
        limits = self.limits
        unsent = record.owner.count_unsent_bytes()
        if unsent != record.unsent_bytes:
            record.unsent_bytes, record.unsent_since = unsent, now
        elif unsent and now - record.unsent_since > limits.reply_silence_s:
            return Refusal.UNREAD_REPLY
        waited_s = now - record.phase_since
        if record.phase is Phase.IDLE:
            return Refusal.IDLE if waited_s > limits.idle_timeout_s else None
        if record.phase is Phase.HEAD:
            return Refusal.HEAD_TIMEOUT if waited_s > limits.head_timeout_s else None
        if record.phase is Phase.BODY:
            if not record.owner.is_reading():
                # The request's receiver is the slow one.
                record.read_at = now
            is_silent = now - record.read_at > limits.body_silence_s
            if is_silent or waited_s > limits.body_timeout_s:
                return Refusal.BODY_TIMEOUT
        return None

    # Refusals.

    def _evict(
        self, refusal: Refusal, *groups: Iterable[ConnectionRecord]
    ) -> ConnectionRecord | None:
        """Close the oldest connection of the first group that has one."""
        for group in groups:
            for record in group:
                is_idle = record.phase is Phase.IDLE
                self._close(record, Refusal.EVICTED if is_idle else refusal)
                return record
        return None

    def report(self, refusal: Refusal, record: ConnectionRecord) -> None:
        """Report a refusal."""
        self._report(refusal, record.address)

    def _close(self, record: ConnectionRecord, refusal: Refusal) -> None:
        self.remove(record)
        self.report(refusal, record)
        record.owner.refuse(refusal)
