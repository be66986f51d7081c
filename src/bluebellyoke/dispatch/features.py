"""Optional parts of the dispatcher that the settings turn on."""

from dataclasses import dataclass

__all__ = ["DispatchFeatures"]


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatchFeatures:
    """Which optional parts are in use.

    Attributes:
        admission: Refuse jobs that cannot end in time while room is short; includes
            `urgency`.
        urgency: Plan jobs that can end on time before late ones, and stop tasks that
            save progress for short jobs that would be late.
        uneven_workers: Learn run times and the speed of workers, and place by them.
        move_stragglers: Also move runs off workers that have become slow.
        interference: Learn which tasks slow each other down, keep them apart, and slow
            down backfill tasks beside serving tasks that near their targets.
    """

    admission: bool = False
    urgency: bool = False
    uneven_workers: bool = False
    move_stragglers: bool = False
    interference: bool = False
