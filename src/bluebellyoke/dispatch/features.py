"""Optional parts of the dispatcher that the settings turn on."""

from dataclasses import dataclass

__all__ = ["DispatchFeatures"]


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatchFeatures:
    """Which optional parts are in use.

    Attributes:
        admission: Refuse jobs that cannot end in time while room is short.
        uneven_workers: Learn run times and the speed of workers, and place by them.
        interference: Learn which tasks slow each other down, keep them apart, and slow
            down backfill tasks beside serving tasks that near their targets.
    """

    admission: bool = False
    uneven_workers: bool = False
    interference: bool = False
