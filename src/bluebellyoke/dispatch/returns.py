"""Times after which refused callers may return, spread over the near future.

Callers that are refused together would return together. Each whole second of the near
future takes as many returns as jobs can be accepted in it, and a hash of the job
decides which of these seconds it gets. A part of each second is reserved for jobs that
were refused before, so that these get the earlier ones. The state is a count for each
second and a table of fixed size.
"""

import math
from collections import Counter, defaultdict
from zlib import crc32

__all__ = ["MAX_RETRY_AFTER_S", "FirstAttempts", "ReturnSchedule"]

#: Maximum time after which a refused caller may return, in seconds.
MAX_RETRY_AFTER_S = 60

#: Number of entries of the table of first attempts, which bounds its memory.
TABLE_SIZE = 8192

#: Time after which an attempt no longer counts as one of the same job, in seconds. It
#: exceeds four returns after the longest time.
ATTEMPT_RETENTION_S = 300.0

#: Fraction of the returns in a second that jobs without an earlier refusal get.
FIRST_REFUSAL_FRACTION = 0.8

_HASH_RANGE = 1 << 32


class FirstAttempts:
    """Times at which recently refused jobs were first submitted.

    The table has a fixed size. An entry that another job overwrites makes its job a new
    one, which is accepted rather than refused.
    """

    def __init__(self) -> None:
        self._entries: list[tuple[str, float] | None] = [None] * TABLE_SIZE

    def clear(self) -> None:
        """Forget all attempts."""
        self._entries = [None] * TABLE_SIZE

    def record(self, job: str, now: float) -> float:
        """Record a refusal; return the time of the job's first attempt."""
        first_at = self.find(job, now)
        self._entries[_hash_job(job) % TABLE_SIZE] = (job, first_at)
        return first_at

    def find(self, job: str, now: float) -> float:
        """Return the time of a job's first attempt, which is `now` if it is new."""
        entry = self._entries[_hash_job(job) % TABLE_SIZE]
        if entry is None or entry[0] != job or now - entry[1] > ATTEMPT_RETENTION_S:
            return now
        return entry[1]


class ReturnSchedule:
    """Expected returns of refused callers in each second.

    Callers that wait for different things, such as the share of one workspace, are
    counted apart.
    """

    def __init__(self) -> None:
        self._counts: dict[str, Counter[int]] = defaultdict(Counter)

    def clear(self) -> None:
        """Forget all expected returns."""
        self._counts.clear()

    def expire(self, now: float) -> None:
        """Forget the returns that are due."""
        for cause in list(self._counts):
            counts = self._counts[cause]
            for second in [second for second in counts if second <= now]:
                del counts[second]
            if not counts:
                del self._counts[cause]

    def assign(
        self,
        job: str,
        *,
        cause: str,
        now: float,
        age_s: float,
        opens_in_s: float,
        rate: float,
    ) -> int:
        """Return after how many whole seconds a refused job may return.

        Args:
            cause: What it waits for.
            age_s: Time since its first attempt, in seconds.
            opens_in_s: Time until the first jobs can be accepted, in seconds.
            rate: Jobs that can be accepted a second from then on.
        """
        counts = self._counts[cause]
        is_first_refusal = age_s <= 0
        limit = max(
            math.floor(rate * (FIRST_REFUSAL_FRACTION if is_first_refusal else 1.0)), 1
        )
        earliest = max(math.ceil(min(opens_in_s, MAX_RETRY_AFTER_S)), 1)
        base = math.ceil(now)
        expected = sum(n for second, n in counts.items() if second >= base + earliest)
        window = min(expected // limit + 1, MAX_RETRY_AFTER_S + 1 - earliest)
        position = int(window * _hash_job(job) / _HASH_RANGE) if is_first_refusal else 0
        seconds = [earliest + (position + x) % window for x in range(window)]
        chosen = next(
            (x for x in seconds if counts[base + x] < limit),
            min(seconds, key=lambda x: counts[base + x]),
        )
        counts[base + chosen] += 1
        return chosen


def _hash_job(job: str) -> int:
    return crc32(job.encode())
