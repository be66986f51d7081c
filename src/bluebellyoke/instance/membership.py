"""Join requests of a replica, and membership changes by the leader."""

import logging
from collections.abc import Callable

from bluebellyoke.consensus import messages
from bluebellyoke.consensus.membership_planner import MembershipOptions, plan_membership
from bluebellyoke.consensus.raft import RaftNode
from bluebellyoke.instance.directory import ReplicaDirectory

__all__ = ["MembershipManager"]

logger = logging.getLogger("bluebellyoke.replica")

#: Interval of join requests, or of member lists sent to the seeds, in seconds.
SEND_INTERVAL_S = 1.0

#: Time after which the leader forgets a join request, in seconds.
JOIN_REQUEST_TTL_S = 5.0


class MembershipManager:
    """Sends join requests and, on the leader, proposes membership changes.

    Args:
        raft: Raft node of the replica.
        member: Description of this replica for its join requests.
        options: Target size of the membership and timeout for replacing members.
        seeds: Addresses for join requests and member lists.
        directory: Addresses received from other replicas.
        send: Called with the address of a replica and a message for it.
    """

    def __init__(
        self,
        *,
        raft: RaftNode,
        member: messages.Member,
        options: MembershipOptions,
        seeds: tuple[str, ...],
        directory: ReplicaDirectory,
        send: Callable[[str, messages.Message], None],
    ) -> None:
        self._raft = raft
        self._member = member
        self._options = options
        self._seeds = seeds
        self._directory = directory
        self._send = send
        self._join_requests: dict[str, tuple[float, messages.Member]] = {}
        self._next_send_at = 0.0

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seed addresses."""
        self._seeds = seeds

    @property
    def peers(self) -> tuple[str, ...]:
        """Addresses of all members."""
        members = self._raft.membership.members.values()
        return tuple(f"{item.address}:{item.port}" for item in members)

    def record_join_request(self, member: messages.Member, now: float) -> None:
        """Store a replica's request to become a member."""
        self._join_requests[member.replica] = (now, member)

    def tick(self, now: float) -> None:
        """Send join requests while not a member; else send the members to the seeds."""
        if now < self._next_send_at:
            return
        self._next_send_at = now + SEND_INTERVAL_S
        if self._member.replica in self._raft.membership.members:
            self._send_members_to_seeds()
            return
        request = messages.JoinRequest(0, self._member)
        for address in {*self._seeds, *self.peers, *self._directory.addresses}:
            self._send(address, request)

    def _send_members_to_seeds(self) -> None:
        """Send the addresses of the members to the seeds that are not members."""
        peers = self.peers
        for address in set(self._seeds) - set(peers):
            self._send(address, messages.PeerList(0, peers))

    def propose_change(self, now: float) -> None:
        """Propose the next membership change, if one is due; only on the leader."""
        members = self._raft.membership.members
        self._join_requests = {
            replica: request
            for replica, request in self._join_requests.items()
            if now - request[0] < JOIN_REQUEST_TTL_S and replica not in members
        }
        joining = {
            replica: request[1] for replica, request in self._join_requests.items()
        }
        membership = plan_membership(self._raft, joining, now, self._options)
        if membership is None:
            return
        logger.info(
            "replica: proposes a membership change",
            extra={
                "voters": [item.name for item in membership.voters.values()],
                "learners": [item.name for item in membership.learners.values()],
            },
        )
        self._raft.propose_membership(membership, now)
