"""Decisions of the router, and the slots and latencies that they are based on."""

from dataclasses import dataclass, field

from bluebellyoke.cell.state import UpstreamView
from bluebellyoke.routing.breaker import CircuitBreaker
from bluebellyoke.routing.queue import RouteRequest

__all__ = ["Dispatch", "LatencyEstimate", "Refusal", "RefusalKind", "UpstreamSlots"]

#: Weight of the newest response in a service's average latency.
SERVICE_LATENCY_WEIGHT = 0.05

#: Deviations above the average latency that a response may take.
DEVIATIONS = 2.0


class RefusalKind:
    """Codes of refusals, as callers get them."""

    NO_LEASE = "no-lease"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_WORKSPACE = "unknown-workspace"
    SERVICE_DISABLED = "service-disabled"
    NO_UPSTREAM = "no-upstream"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    DRAINING = "draining"
    CALLER_LEFT = "caller-left"


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Decision not to send a request; nothing has reached an upstream.

    Attributes:
        kind: One of the codes of `RefusalKind`.
        reason: Explanation for the caller.
        retry_after_s: Time after which the caller may retry, in seconds.
    """

    kind: str
    reason: str
    retry_after_s: float


@dataclass(slots=True, eq=False)
class UpstreamSlots:
    """Slots of one upstream incarnation at this instance.

    Attributes:
        held: Slots that the instance holds.
        in_use: Slots that requests occupy.
        keep: Number of slots to keep after a recall, or None without a recall.
    """

    upstream: str
    incarnation: str
    held: int = 0
    in_use: int = 0
    keep: int | None = None
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)

    @property
    def limit(self) -> int:
        """Slots that new requests may occupy."""
        return self.held if self.keep is None else min(self.held, self.keep)

    @property
    def idle(self) -> int:
        """Slots that are free for new requests."""
        return self.limit - self.in_use

    def grant(self, slots: int) -> None:
        """Add granted slots."""
        self.held += slots
        if self.keep is not None:
            self.keep += slots

    def release_excess(self) -> None:
        """Release the idle slots above `keep`."""
        if self.keep is None:
            return
        self.held = min(self.held, max(self.keep, self.in_use))
        if self.held <= self.keep:
            self.keep = None


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Decision to send a request now.

    Attributes:
        slots: Slots of the upstream, of which the request occupies one.
        reason: Explanation for the log.
    """

    request: RouteRequest
    slots: UpstreamSlots
    upstream: UpstreamView
    reason: str


@dataclass(slots=True)
class LatencyEstimate:
    """Average latency of a service and its mean deviation, in seconds."""

    mean: float = 0.0
    deviation: float = 0.0

    def record(self, seconds: float) -> None:
        """Record the latency of one response."""
        if not self.mean:
            self.mean = seconds
            return
        error = seconds - self.mean
        self.mean += SERVICE_LATENCY_WEIGHT * error
        self.deviation += SERVICE_LATENCY_WEIGHT * (abs(error) - self.deviation)

    @property
    def upper_bound(self) -> float:
        """Time in which most responses arrive, in seconds."""
        return self.mean + DEVIATIONS * self.deviation
