"""Tracking of the current membership, the latest one in the log."""

import msgspec

from bluebellyoke.consensus import messages
from bluebellyoke.consensus.log import EntryLog

__all__ = ["MembershipTracker", "decode_membership"]


class MembershipTracker:
    """Current membership and the index of its log entry.

    A membership takes effect when it is appended to the log, before it is committed.

    Args:
        log: Log to search for membership entries.

    Attributes:
        current: Current membership.
        index: Index of its entry. A new leader sets a higher index, because entries
            of earlier terms are committed only with an entry of its own term.
    """

    def __init__(self, log: EntryLog) -> None:
        self._log = log
        self.index, self.current = self._search(log.last_index)

    def set_current(self, membership: messages.Membership, index: int) -> None:
        """Set the membership that was appended at `index`."""
        self.current = membership
        self.index = index

    def handle_truncation(self, first: int) -> None:
        """Revert to the previous membership if the entry of this one was removed."""
        if first <= self.index:
            self.index, self.current = self._search(self._log.last_index)

    def find_at(self, index: int) -> messages.Membership:
        """Return the membership in effect at `index`."""
        return self._search(index)[1]

    def _search(self, last: int) -> tuple[int, messages.Membership]:
        for index in range(last, self._log.base.index, -1):
            entry = self._log.read_range(index, index)[0]
            if entry.kind is messages.EntryKind.MEMBERSHIP:
                return index, decode_membership(entry)
        return self._log.base.index, self._log.base.membership


def decode_membership(entry: messages.Entry) -> messages.Membership:
    """Return the membership stored in an entry."""
    return msgspec.msgpack.decode(entry.payload, type=messages.Membership)
