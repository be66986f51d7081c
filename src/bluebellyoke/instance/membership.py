"""How a replica joins the members, and how members admit and tell of others."""

import logging
from collections.abc import Callable

from bluebellyoke.consensus import messages as m
from bluebellyoke.consensus.membership_planner import MembershipOptions, plan_membership
from bluebellyoke.consensus.raft import RaftNode
from bluebellyoke.instance.directory import ReplicaDirectory

__all__ = ["MembershipManager"]

logger = logging.getLogger("bluebellyoke.replica")

#: Time between two offers to join, or two messages to the seeds, in seconds.
OFFER_EVERY_S = 1.0

#: Time for which an offer to join is remembered, in seconds.
OFFER_S = 5.0


class MembershipManager:
    """A replica's offers to join, and a leader's answers to the offers of others.

    Args:
        raft: The replica's part in the agreement.
        member: This replica, as it offers itself.
        options: Rules for the membership.
        seeds: Addresses to offer to, before a membership is known.
        directory: Addresses of replicas that others have told.
        send: Called with the address of a replica and a message for it.
    """

    def __init__(
        self,
        *,
        raft: RaftNode,
        member: m.Member,
        options: MembershipOptions,
        seeds: tuple[str, ...],
        directory: ReplicaDirectory,
        send: Callable[[str, m.Message], None],
    ) -> None:
        self._raft = raft
        self._member = member
        self._options = options
        self._seeds = seeds
        self._directory = directory
        self._send = send
        self._offers: dict[str, tuple[float, m.Member]] = {}
        self._offer_due = 0.0

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Offer to other addresses while in no membership."""
        self._seeds = seeds

    @property
    def peers(self) -> tuple[str, ...]:
        """Addresses of all members."""
        members = self._raft.membership.members.values()
        return tuple(f"{item.address}:{item.port}" for item in members)

    def note_offer(self, member: m.Member, now: float) -> None:
        """Remember that a replica wants to become a member."""
        self._offers[member.replica] = (now, member)

    def tick(self, now: float) -> None:
        """Offer to become a member while in none; else tell the seeds the members."""
        if now < self._offer_due:
            return
        self._offer_due = now + OFFER_EVERY_S
        if self._member.replica in self._raft.membership.members:
            self._tell_seeds()
            return
        request = m.JoinRequest(0, self._member)
        for address in {*self._seeds, *self.peers, *self._directory.addresses}:
            self._send(address, request)

    def _tell_seeds(self) -> None:
        """Tell seeds that are no members where the members are."""
        peers = self.peers
        for address in set(self._seeds) - set(peers):
            self._send(address, m.PeerList(0, peers))

    def change_membership(self, now: float) -> None:
        """As the leader, propose the next change of the membership that is due."""
        members = self._raft.membership.members
        self._offers = {
            replica: offer
            for replica, offer in self._offers.items()
            if now - offer[0] < OFFER_S and replica not in members
        }
        candidates = {replica: offer[1] for replica, offer in self._offers.items()}
        membership = plan_membership(self._raft, candidates, now, self._options)
        if membership is None:
            return
        logger.info(
            "replica: changes the membership",
            extra={
                "voters": [item.name for item in membership.voters.values()],
                "learners": [item.name for item in membership.learners.values()],
            },
        )
        self._raft.propose_membership(membership, now)
