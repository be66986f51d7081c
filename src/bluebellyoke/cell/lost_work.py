"""Work that is lost when a task is stopped before its end."""

from bluebellyoke.cell.resources import Resources

__all__ = ["compute_lost_work"]

#: Fraction of the work so far that a task loses although it saves its progress.
CHECKPOINT_COST = 0.1


def compute_lost_work(age_s: float, need: Resources, *, saves_progress: bool) -> float:
    """Return the work that the stop of a task loses, in core-seconds.

    Args:
        age_s: Time for which the task has run, in seconds.
    """
    work = max(age_s, 0.0) * need.cpu_millis / 1000
    return work * CHECKPOINT_COST if saves_progress else work
