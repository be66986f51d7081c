"""What the router decides on, and what it keeps of slots and answer times."""

from dataclasses import dataclass, field

from bluebellyoke.cell.state import UpstreamView
from bluebellyoke.routing.breaker import Breaker
from bluebellyoke.routing.queue import RouteRequest

__all__ = ["Dispatch", "Refusal", "RefusalKind", "ServiceTimes", "SlotUse"]

#: Weight of the newest answer in the average time of a service.
SERVICE_TIME_WEIGHT = 0.05

#: Deviations above the average time that an answer may still take.
DEVIATIONS = 2.0


class RefusalKind:
    """Stable words for the reasons of a refusal."""

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
    """A truthful "not run"."""

    kind: str
    reason: str
    retry_after_s: float


@dataclass(slots=True, eq=False)
class SlotUse:
    """Slots of one upstream incarnation at this instance.

    Attributes:
        held: Slots that the instance may fill.
        in_use: Slots that requests occupy.
        keep: Slots to give back down to, or None.
    """

    upstream: str
    incarnation: str
    held: int = 0
    in_use: int = 0
    keep: int | None = None
    breaker: Breaker = field(default_factory=Breaker)

    @property
    def limit(self) -> int:
        """Slots that new requests may fill."""
        return self.held if self.keep is None else min(self.held, self.keep)

    @property
    def idle(self) -> int:
        """Slots that are free for a new request."""
        return self.limit - self.in_use

    def grant(self, slots: int) -> None:
        """Add granted slots."""
        self.held += slots
        if self.keep is not None:
            self.keep += slots

    def give_back(self) -> None:
        """Give back what is idle above `keep`."""
        if self.keep is None:
            return
        self.held = min(self.held, max(self.keep, self.in_use))
        if self.held <= self.keep:
            self.keep = None


@dataclass(frozen=True, slots=True)
class Dispatch:
    """A request that is to be sent now."""

    request: RouteRequest
    slot: SlotUse
    target: UpstreamView
    reason: str


@dataclass(slots=True)
class ServiceTimes:
    """Average time of a service's answers and its deviation, in seconds."""

    mean: float = 0.0
    deviation: float = 0.0

    def note(self, seconds: float) -> None:
        """Take in the time of one answer."""
        if not self.mean:
            self.mean = seconds
            return
        error = seconds - self.mean
        self.mean += SERVICE_TIME_WEIGHT * error
        self.deviation += SERVICE_TIME_WEIGHT * (abs(error) - self.deviation)

    @property
    def safe(self) -> float:
        """Time within which most answers come."""
        return self.mean + DEVIATIONS * self.deviation
