"""The memberships in a log; the latest is in force, committed or not."""

import msgspec

from bluebellyoke.consensus import messages as m
from bluebellyoke.consensus.log import EntryLog

__all__ = ["MembershipTracker", "decode_membership"]


class MembershipTracker:
    """The membership in force, and where it stands in the log.

    Args:
        log: Log to search.

    Attributes:
        current: Membership in force.
        index: Index of its entry. A new leader takes a later one, since entries of
            earlier terms commit only with one of its own.
    """

    def __init__(self, log: EntryLog) -> None:
        self._log = log
        self.index, self.current = self._search(log.last_index)

    def adopt(self, membership: m.Membership, index: int) -> None:
        """Take a later membership."""
        self.current = membership
        self.index = index

    def note_truncation(self, first: int) -> None:
        """Go back to an earlier membership if the entry of this one is gone."""
        if first <= self.index:
            self.index, self.current = self._search(self._log.last_index)

    def find_at(self, last: int) -> m.Membership:
        """Return the membership that was in the log at entry `last`."""
        return self._search(last)[1]

    def _search(self, last: int) -> tuple[int, m.Membership]:
        for index in range(last, self._log.base.index, -1):
            entry = self._log.read_range(index, index)[0]
            if entry.kind is m.EntryKind.MEMBERSHIP:
                return index, decode_membership(entry)
        return self._log.base.index, self._log.base.membership


def decode_membership(entry: m.Entry) -> m.Membership:
    """Return the membership that an entry holds."""
    return msgspec.msgpack.decode(entry.payload, type=m.Membership)
