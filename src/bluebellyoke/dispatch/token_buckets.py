"""Token buckets, which separate jobs within a workspace's share from its excess."""

from dataclasses import dataclass

__all__ = ["TokenBucket"]

#: Depth of a bucket, in seconds of the share. A longer time lets more of a burst count
#: as within the share; a shorter one lets random arrivals at the rate of the share
#: count as excess.
DEPTH_S = 2.0

#: Minimum depth, in jobs, so that two jobs that arrive together are within a small
#: share.
MIN_DEPTH = 2.0


@dataclass(slots=True)
class TokenBucket:
    """Tokens of one workspace; each stands for a job within its share.

    Accepted jobs beyond the share go into debt, at most by the depth of the bucket.

    Attributes:
        rate: Jobs a second.
        tokens: Tokens at `updated_at`.
    """

    rate: float
    tokens: float = 0.0
    updated_at: float = 0.0

    @classmethod
    def create(cls, rate: float, now: float) -> "TokenBucket":
        """Return a full bucket, as nothing is known of earlier jobs."""
        bucket = cls(rate, 0.0, now)
        bucket.tokens = bucket.depth
        return bucket

    @property
    def depth(self) -> float:
        """Maximum number of tokens, and maximum debt."""
        return max(DEPTH_S * self.rate, MIN_DEPTH)

    def update(self, rate: float, now: float) -> None:
        """Add the tokens of the time since the last update."""
        elapsed_s = max(now - self.updated_at, 0.0)
        earned = elapsed_s * self.rate
        self.rate, self.updated_at = rate, now
        self.tokens = min(self.tokens + earned, self.depth)

    def has_token(self) -> bool:
        """Return whether another job is within the share now."""
        return self.rate > 0 and self.tokens >= 1

    def take(self) -> None:
        """Take the token of an accepted job, or go into debt."""
        self.tokens = max(self.tokens - 1, -self.depth)

    def is_exhausted(self) -> bool:
        """Return whether the debt has reached its maximum.

        The random excess of a workspace that keeps to its share on average does not
        reach it; a burst of several times the share does within seconds.
        """
        return self.tokens <= 1 - self.depth

    def compute_wait(self) -> float:
        """Return the time until there is a token, in seconds."""
        if self.rate <= 0:
            return float("inf")
        return max(1 - self.tokens, 0.0) / self.rate
