"""Circuit breakers: less work for upstreams that fail or are slow.

Rules:
    * Errors in a row open the breaker for a growing pause.
    * After the pause one request at a time probes the upstream; a success closes
      the breaker, a failure opens it for longer.
    * An upstream that is much slower than the others of its service ranks behind
      them, but is not shut out.
"""

from dataclasses import dataclass

__all__ = ["Breaker"]

#: Failures in a row that open the breaker.
FAILURES_TO_OPEN = 3

#: First and longest pause of an open breaker, in seconds.
PAUSE_FIRST_S = 0.5
PAUSE_MAX_S = 20.0

#: Weight of the newest answer in the average latency.
LATENCY_WEIGHT = 0.1


@dataclass(slots=True)
class Breaker:
    """State of one upstream as this instance sees it.

    Attributes:
        latency_s: Average time of an answer, in seconds; zero before the first.
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

    def note_sent(self, now: float) -> None:
        """Count a request that is sent, as a probe if the breaker was open."""
        if self.pauses:
            self.probing = True

    def note_success(self, latency_s: float) -> None:
        """Count a whole answer."""
        self.failures = 0
        self.pauses = 0
        self.probing = False
        if not self.latency_s:
            self.latency_s = latency_s
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)

    def note_failure(self, now: float) -> bool:
        """Count a failed request; return whether the breaker opened."""
        self.failures += 1
        was_probing, self.probing = self.probing, False
        if self.failures < FAILURES_TO_OPEN and not was_probing:
            return False
        pause = min(PAUSE_FIRST_S * 2**self.pauses, PAUSE_MAX_S)
        self.open_until = now + pause
        self.pauses += 1
        self.failures = 0
        return True

    def note_abandoned(self) -> None:
        """Forget a probe whose outcome says nothing of the upstream."""
        self.probing = False
