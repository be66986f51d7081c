"""What the connections to an address tell about the process that listens there."""

import enum
from dataclasses import dataclass

__all__ = ["ConnectionLoss", "PeerConnections"]

#: Time after the close of the last connection for which a refused connection shows that
#: the process has ended, in seconds. Calls to a worker follow each other faster.
MAX_CLOSE_AGE_S = 2.0


class ConnectionLoss(enum.Enum):
    """How a connection ended.

    Attributes:
        CLOSED: The peer's host closed it in order, as it does when a process ends.
        RESET: It was reset or failed, which the network may have done.
        CLOSED_HERE: This instance closed it.
    """

    CLOSED = "closed"
    RESET = "reset"
    CLOSED_HERE = "closed-here"


@dataclass(slots=True)
class PeerConnections:
    """The connections to one address. All times are monotonic.

    A process that ends loses all its connections by an orderly close. A server may also
    close single idle connections in order, so the others must not be open still.

    Attributes:
        open: Number of open connections.
        is_doubtful: Whether one was reset, or a call was given up, since the last
            response. The network may have failed.
        closed_at: Time at which the last open connection was closed in order, or None.
    """

    open: int = 0
    is_doubtful: bool = False
    closed_at: float | None = None

    def record_open(self) -> None:
        """Record a new connection."""
        self.open += 1
        self.closed_at = None

    def record_response(self) -> None:
        """Record a response."""
        self.is_doubtful = False

    def record_failure(self) -> None:
        """Record a call that was given up without a response."""
        self.is_doubtful = True
        self.closed_at = None

    def record_loss(self, loss: ConnectionLoss, now: float) -> None:
        """Record the end of a connection."""
        self.open -= 1
        if loss is ConnectionLoss.RESET:
            self.record_failure()
        elif loss is ConnectionLoss.CLOSED and not self.open and not self.is_doubtful:
            self.closed_at = now

    def has_process_ended(self, now: float) -> bool:
        """Return whether a refused connection shows that the process has ended."""
        return self.closed_at is not None and now - self.closed_at <= MAX_CLOSE_AGE_S
