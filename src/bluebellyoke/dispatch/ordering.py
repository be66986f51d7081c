"""Order in which a planning round looks at the waiting steps."""

import abc
from collections.abc import Sequence

from bluebellyoke.dispatch.planning_round import PlanningRound
from bluebellyoke.dispatch.waiting import WaitingStep

__all__ = ["StepOrder"]


class StepOrder(abc.ABC):
    """Rearranges the waiting steps, which are sorted by priority and age."""

    @abc.abstractmethod
    def arrange(
        self, waiting: Sequence[WaitingStep], planning: PlanningRound
    ) -> Sequence[WaitingStep]:
        """Return the waiting steps in the order in which they are planned.

        No step may be left out: a step that the order puts last still starts if there
        is room for it. A step may be divided into parts with some of its tasks each, of
        which all but the last are marked by `is_part`.
        """
