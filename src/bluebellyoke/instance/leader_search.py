"""Selection of the next address to try in the search for the leader."""

from bluebellyoke.instance.directory import ReplicaDirectory

__all__ = ["LeaderSearch"]

#: Rounds through the other addresses before a silent leader is tried again.
ROUNDS_WITHOUT_SILENT_LEADER = 2


class LeaderSearch:
    """Selects addresses of replicas, with the likely leader first.

    A silent leader is skipped for a while, even if other replicas still redirect to
    it: a connection to a machine without power is neither accepted nor refused.

    Args:
        directory: Known addresses of replicas.
    """

    def __init__(self, *, directory: ReplicaDirectory) -> None:
        self._directory = directory
        self._leader_hint = ""
        self._silent_address = ""
        self._attempts = 0
        self._attempts_without_silent = 0

    def set_leader_hint(self, address: str) -> None:
        """Set the leader's address from a redirect; it may be empty."""
        self._leader_hint = address

    def record_connected(self, address: str) -> None:
        """Record a connection to the leader; it is tried first after a disconnect."""
        self._leader_hint = address
        self._silent_address = ""

    def record_silent(self, address: str) -> None:
        """Record that the leader went silent without closing the stream."""
        self._leader_hint = ""
        self._silent_address = address
        self._attempts_without_silent = 0

    def choose_address(self) -> str:
        """Return the last known address of the leader, or else each one in turn."""
        leader_hint, self._leader_hint = self._leader_hint, ""
        if leader_hint and leader_hint != self._silent_address:
            return leader_hint
        known = self._directory.addresses
        others = [address for address in known if address != self._silent_address]
        if (
            not others
            or self._attempts_without_silent
            >= ROUNDS_WITHOUT_SILENT_LEADER * len(others)
        ):
            self._silent_address = ""
            others = known
        self._attempts += 1
        self._attempts_without_silent += 1
        return others[self._attempts % len(others)]
