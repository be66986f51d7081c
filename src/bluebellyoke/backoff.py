"""Pauses that double with each failure in a row."""

__all__ = ["compute_pause"]

#: Number of failures from which on the pause no longer grows, whatever its maximum. A
#: float holds no power of two above 1,023.
MAX_DOUBLINGS = 64


def compute_pause(initial_s: float, failures: int, max_s: float) -> float:
    """Return the pause after some failures in addition to the first, in seconds.

    Args:
        initial_s: Pause after the first failure.
        failures: Number of earlier failures in a row.
        max_s: Longest pause.
    """
    return min(initial_s * 2 ** min(failures, MAX_DOUBLINGS), max_s)
