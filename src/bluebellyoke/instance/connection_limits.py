"""Limits on the connections and requests of clients."""

import enum
from dataclasses import dataclass

__all__ = [
    "ACCEPT_BATCH",
    "BodyLimits",
    "ConnectionLimits",
    "ListenerLimits",
    "Phase",
    "Refusal",
    "derive_limits",
]

#: Descriptors that clients leave to the process: for calls to workers, connections to
#: other instances and files.
RESERVED_DESCRIPTORS = 200

#: Descriptors of connections that are accepted but not admitted yet: five listeners
#: accept up to 12 at once.
ACCEPT_BATCH = 12
ACCEPTED_DESCRIPTORS = 5 * ACCEPT_BATCH

#: Fewest connections that an instance admits, however few descriptors it has.
MIN_CONNECTIONS = 16

#: Share of the connections that a client address may have. Clients may come through
#: few addresses of a forwarder, so one address may have most of them.
ADDRESS_SHARE = 0.75

#: Share of the connections that the listener for other instances may have.
PEER_SHARE = 0.25

#: Share of the machine's memory for requests that are incomplete or not answered yet,
#: and for replies that are not read. A body is held up to three times while it is
#: joined and decoded.
HELD_SHARE = 1 / 12

#: Share of the machine's memory for connections, and memory of an idle one: 2,880 took
#: 22 MiB.
CONNECTION_SHARE = 1 / 8
CONNECTION_BYTES = 8 * 1024

#: Fewest bytes for these requests, so that one configuration of 4 MiB always fits.
MIN_HELD_BYTES = 8 * 1024 * 1024


class Refusal(enum.Enum):
    """Why a connection is closed: name in metrics, status and reason.

    Status 0 stands for connections that are closed without a response.
    """

    MALFORMED = ("malformed", 400, "the request is no valid HTTP/1.1")
    HEAD_TOO_LONG = ("head-too-long", 431, "the head is too long")
    BODY_TOO_LONG = ("body-too-long", 413, "the body is too long")
    HEAD_TIMEOUT = ("head-timeout", 408, "the head was not complete in time")
    BODY_TIMEOUT = ("body-timeout", 408, "the body was not complete in time")
    MEMORY = ("memory", 503, "requests hold too much memory")
    CONNECTIONS = ("connections", 503, "there are too many connections")
    ADDRESS = ("address", 503, "the address has too many connections")
    IDLE = ("idle", 0, "the connection was idle")
    EVICTED = ("evicted", 0, "the idle connection made room for another")
    UNREAD_REPLY = ("unread-reply", 0, "the response was not read")

    def __init__(self, label: str, status: int, reason: str) -> None:
        self.label = label
        self.status = status
        self.reason = reason


class Phase(enum.Enum):
    """What a connection waits for."""

    IDLE = "a request"
    HEAD = "the rest of a head"
    BODY = "the rest of a body"
    REPLY = "the response to a whole request"


@dataclass(frozen=True, slots=True)
class BodyLimits:
    """Limits on the body of a request.

    Attributes:
        max_bytes: Maximum size, or None if longer bodies are passed on in parts.
        unforwarded_bytes: Size up to which the request does not run before its body is
            whole, which is also the most that is held of it.
    """

    max_bytes: int | None
    unforwarded_bytes: int


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits on the bodies that a listener takes.

    Attributes:
        default: Limits of all targets without a prefix of `by_prefix`.
        by_prefix: Limits by the first bytes of a request's target.
    """

    default: BodyLimits
    by_prefix: tuple[tuple[bytes, BodyLimits], ...] = ()

    def find(self, target: bytes) -> BodyLimits:
        """Return the limits of a request."""
        for prefix, limits in self.by_prefix:
            if target.startswith(prefix):
                return limits
        return self.default


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits on the connections of one process.

    Attributes:
        head_bytes: Maximum size of a head, and of everything else that is no body.
        head_timeout_s: Time from a head's first byte to its end.
        body_silence_s: Time without a byte of an incomplete body.
        body_timeout_s: Time from the end of a head to the end of a body.
        idle_timeout_s: Time for which an idle connection is kept.
        reply_silence_s: Time in which a client reads nothing of a response.
        descriptors: Number of open descriptors from which connections have to go.
        connections_per_address: Maximum number of connections of a client address.
        peer_connections: Maximum number of connections of other instances.
        held_bytes: Bytes that requests and unread responses may hold together.
    """

    head_bytes: int = 80 * 1024
    head_timeout_s: float = 10.0
    body_silence_s: float = 20.0
    body_timeout_s: float = 90.0
    idle_timeout_s: float = 75.0
    reply_silence_s: float = 20.0
    descriptors: int = 3840
    connections_per_address: int = 2880
    peer_connections: int = 960
    held_bytes: int = 40 * 1024 * 1024


def derive_limits(
    *,
    memory_mb: float,
    max_descriptors: int,
    head_kb: int,
    head_timeout_s: float,
    body_timeout_s: float,
) -> ConnectionLimits:
    """Return the limits for a machine.

    Args:
        memory_mb: Memory of the machine, in MiB.
        max_descriptors: Maximum number of open descriptors of the process.
        head_kb: Maximum size of a request's head, in KiB.
        head_timeout_s: Time for a head, in seconds.
        body_timeout_s: Time for a body, in seconds.
    """
    free = max_descriptors - RESERVED_DESCRIPTORS - ACCEPTED_DESCRIPTORS
    memory_bytes = memory_mb * 1024 * 1024
    affordable = int(memory_bytes * CONNECTION_SHARE / CONNECTION_BYTES)
    descriptors = max(min(free, affordable), MIN_CONNECTIONS)
    return ConnectionLimits(
        head_bytes=head_kb * 1024,
        head_timeout_s=head_timeout_s,
        body_timeout_s=body_timeout_s,
        descriptors=descriptors,
        connections_per_address=max(int(descriptors * ADDRESS_SHARE), 1),
        peer_connections=max(int(descriptors * PEER_SHARE), MIN_CONNECTIONS),
        held_bytes=max(int(memory_bytes * HELD_SHARE), MIN_HELD_BYTES),
    )
