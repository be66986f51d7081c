"""What the leader notes of a run to measure its rate of progress."""

from dataclasses import dataclass

__all__ = ["ProgressMark"]


@dataclass(slots=True)
class ProgressMark:
    """Progress of a run at the ends of the windows over which its rate is measured.

    Attributes:
        first_at, first_clock_ms: Time of the first report, by the leader's and by the
            worker's clock. Reports may wait on the way, so rates need the latter.
        first_percent: Progress that it held.
        at, clock_ms, percent: The same for the start of the current window.
        rate: Mean rate before the current window, in percent a second; 0 if unknown.
        rate_scale: Speed of the worker at that time relative to its usual one.
        is_counted: Whether the run time of the run has been counted.
        is_usable: Whether its rate tells the speed of its worker.
    """

    first_at: float
    first_clock_ms: int
    first_percent: int
    at: float
    clock_ms: int
    percent: int
    rate: float = 0.0
    rate_scale: float = 1.0
    is_counted: bool = False
    is_usable: bool = True
