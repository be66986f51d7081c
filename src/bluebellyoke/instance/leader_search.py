"""Which address an instance tries next to find the leader."""

from collections.abc import Callable, Iterable

__all__ = ["LeaderSearch"]

#: Rounds through the other addresses before a leader that fell silent is tried again.
ROUNDS_WITHOUT_SILENT = 2


class LeaderSearch:
    """Addresses of replicas, and what is known of the leader's.

    A leader that fell silent is left out for a while, also if others still name it:
    a connection to an instance without power is neither accepted nor refused.

    Args:
        seeds: Addresses to begin with.
        list_known_addresses: Returns further known addresses of replicas.
    """

    def __init__(
        self,
        *,
        seeds: Iterable[str],
        list_known_addresses: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self._seeds = tuple(seeds)
        self._list_known_addresses = list_known_addresses
        self._peers: tuple[str, ...] = ()
        self._hint = ""
        self._silent = ""
        self._attempts = 0
        self._attempts_without = 0

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Use other addresses to begin with."""
        self._seeds = tuple(seeds)

    def note_peers(self, peers: tuple[str, ...]) -> None:
        """Take the addresses of the members, if any are named."""
        self._peers = peers or self._peers

    def note_hint(self, address: str) -> None:
        """Take the address that another replica names as the leader's, if any."""
        self._hint = address

    def note_reached(self, address: str) -> None:
        """Note that the leader answered; it is tried first if the stream breaks."""
        self._hint = address
        self._silent = ""

    def note_silent(self, address: str) -> None:
        """Note that the leader stopped answering without closing the stream."""
        self._hint = ""
        self._silent = address
        self._attempts_without = 0

    def choose(self) -> str:
        """Return the address of the leader as last heard, or all in turn."""
        hint, self._hint = self._hint, ""
        if hint and hint != self._silent:
            return hint
        known = list(
            dict.fromkeys((*self._peers, *self._list_known_addresses(), *self._seeds))
        )
        others = [address for address in known if address != self._silent]
        if not others or self._attempts_without >= ROUNDS_WITHOUT_SILENT * len(others):
            self._silent = ""
            others = known
        self._attempts += 1
        self._attempts_without += 1
        return others[self._attempts % len(others)]
