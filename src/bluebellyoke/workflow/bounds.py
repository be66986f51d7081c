"""Ranges of the numbers with a fraction that come from outside.

Logarithms, quotients, sums and squares of what is in these ranges are finite.
"""

import math

__all__ = [
    "MAX_DURATION_MS",
    "MIN_DURATION_MS",
    "bound_duration",
    "bound_share",
    "bound_weight",
    "round_duration",
]

#: Shortest time that is told from 0, in milliseconds: the precision of the clocks.
MIN_DURATION_MS = 1e-3

#: Longest declared run time or target, in milliseconds: over 30 years.
MAX_DURATION_MS = 10**12

#: Range of a weight or factor other than 0.
MIN_WEIGHT = 1e-6
MAX_WEIGHT = 1e9


def round_duration(duration_ms: float) -> float:
    """Return a duration, or 0 if it is above 0 but too short to be told from it.

    What is no duration, such as a negative one, stays so, and is refused.
    """
    return 0.0 if 0 < duration_ms < MIN_DURATION_MS else duration_ms


def bound_duration(duration_ms: float) -> float:
    """Return a duration, 0 or within its range; 0 if it is none."""
    if not duration_ms >= MIN_DURATION_MS:
        return 0.0
    return min(duration_ms, float(MAX_DURATION_MS))


def bound_share(share: float) -> float:
    """Return a share; one that is negative or infinite stays so, and is refused."""
    return bound_weight(share) if 0 <= share < math.inf else share


def bound_weight(weight: float) -> float:
    """Return a weight or factor, 0 or within its range."""
    return min(weight, MAX_WEIGHT) if weight >= MIN_WEIGHT else 0.0
