"""Circuit breakers that reduce the load on upstreams that fail or are slow.

Rules:
    * Consecutive failures open the breaker for a pause.
    * After the pause one request at a time probes the upstream. A success closes the
      breaker; a failure opens it again for a longer pause.
    * An upstream that is much slower than the others of its service ranks behind
      them, but its breaker stays closed.
"""

from dataclasses import dataclass

from bluebellyoke.backoff import compute_pause

__all__ = ["CircuitBreaker"]

#: Consecutive failures that open the breaker.
FAILURES_TO_OPEN = 3

#: Shortest and longest pause of an open breaker, in seconds.
MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 20.0

#: Weight of the newest response in the average latency.
LATENCY_WEIGHT = 0.1


@dataclass(slots=True)
class CircuitBreaker:
    """Circuit breaker of one upstream at this instance.

    Attributes:
        failures: Consecutive failures since the breaker last opened.
        pauses: Consecutive pauses without a success; zero if the breaker is closed.
        open_until: Monotonic time at which the latest pause ends, in seconds.
        probing: Whether a probe is in flight.
        latency_s: Average latency in seconds; zero before the first response.
    """

    failures: int = 0
    pauses: int = 0
    open_until: float = 0.0
    probing: bool = False
    latency_s: float = 0.0

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent."""
        if not self.pauses:
            return True
        return now >= self.open_until and not self.probing

    def record_sent(self, now: float) -> None:
        """Record a sent request, which is a probe unless the breaker is closed."""
        if self.pauses:
            self.probing = True

    def record_success(self, latency_s: float) -> None:
        """Record a whole response and close the breaker."""
        self.failures = 0
        self.pauses = 0
        self.probing = False
        if not self.latency_s:
            self.latency_s = latency_s
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)

    def record_failure(self, now: float) -> bool:
        """Record a failed request; return whether the breaker opened."""
        self.failures += 1
        was_probing, self.probing = self.probing, False
        if self.failures < FAILURES_TO_OPEN and not was_probing:
            return False
        pause_s = compute_pause(MIN_PAUSE_S, self.pauses, MAX_PAUSE_S)
        self.open_until = now + pause_s
        self.pauses += 1
        self.failures = 0
        return True

    def abandon_probe(self) -> None:
        """End a probe whose outcome does not depend on the upstream."""
        self.probing = False
