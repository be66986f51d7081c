"""Looks: requests for a worker's lists beside the hold that waits there."""

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.members import Member
from bluebellyoke.dispatch.ports import HoldOrder

__all__ = ["Looks"]


class Looks:
    """Asks workers for their lists at once when the fate of a run is in doubt.

    Args:
        context: State of the duties.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context

    def request(self, member: Member) -> None:
        """Send a look, which renews no lease, unless one is under way."""
        if member.is_looking or not member.is_held:
            return
        member.is_looking = True
        order = HoldOrder(
            deadline_ms=None,
            fence=self._context.fence,
            seen=member.seen,
            is_look=True,
        )
        self._context.calls.hold(member.spec, order)
