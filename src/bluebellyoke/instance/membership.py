"""Join requests of a replica, and membership changes by the leader."""

import logging
import math
from collections.abc import Callable

from bluebellyoke.addresses import is_address
from bluebellyoke.consensus import messages
from bluebellyoke.consensus.membership_planner import MembershipOptions, plan_membership
from bluebellyoke.consensus.raft import RaftNode
from bluebellyoke.instance.directory import ReplicaDirectory

__all__ = ["MembershipManager"]

logger = logging.getLogger("bluebellyoke.replica")

#: Interval of join requests, or of member lists sent to the seeds, in seconds.
SEND_INTERVAL_S = 1.0

#: Interval of leave notices, in seconds. It is short because the process ends soon.
LEAVE_NOTICE_INTERVAL_S = 0.2

#: Times after which the leader forgets a join request or a leave notice, in seconds.
JOIN_REQUEST_TTL_S = 5.0
LEAVE_NOTICE_TTL_S = 2.0

#: Time without a leader after which a member sends join requests, in seconds. It may
#: have been removed while its instance was down, and nobody else tells it so.
REJOIN_AFTER_S = 1.0

#: Time for which a learner that was removed as dead cannot join again, in seconds.
#: Its requests may arrive although no reply of the leader reaches it.
REJECTION_S = 10.0

#: Pause of the process after which the leader observes its followers anew, and the
#: time for which it does, in seconds.
MAX_OBSERVATION_GAP_S = 0.5
OBSERVATION_S = 1.0


class MembershipManager:
    """Sends join requests and, on the leader, proposes membership changes.

    Args:
        raft: Raft node of the replica.
        member: Description of this replica for its join requests.
        options: Target size of the membership and timeout for replacing members.
        directory: Known addresses of replicas, for join requests and member lists.
        send: Called with the address of a replica and a message for it.
    """

    def __init__(
        self,
        *,
        raft: RaftNode,
        member: messages.Member,
        options: MembershipOptions,
        directory: ReplicaDirectory,
        send: Callable[[str, messages.Message], None],
    ) -> None:
        self._raft = raft
        self._member = member
        self._options = options
        self._directory = directory
        directory.set_member_source(lambda: self.peers)
        self._send = send
        self._join_requests: dict[str, tuple[float, messages.Member]] = {}
        self._leave_notices: dict[str, float] = {}
        self._rejected_until: dict[str, float] = {}
        self._asked_addresses: frozenset[str] = frozenset()
        self._leaving = False
        self._next_send_at = 0.0
        self._observed_at = math.inf
        self._observing_since = -math.inf

    @property
    def peers(self) -> tuple[str, ...]:
        """Addresses of all members."""
        members = self._raft.membership.members.values()
        return tuple(f"{item.address}:{item.port}" for item in members)

    def start_leaving(self) -> None:
        """Ask the leader from now on to replace this replica by a spare one."""
        self._leaving = True
        self._next_send_at = 0.0

    def record_join_request(self, member: messages.Member, now: float) -> None:
        """Store a replica's request to become a member, and reply with addresses.

        Only the leader can add the sender, which may not know where the leader is. A
        member that no instance can dial must not enter the log, which all of them read.
        """
        address = f"{member.address}:{member.port}"
        if not is_address(address):
            logger.warning(
                "replica: refused a join request; its sender has to send an IP address "
                "with a port from 1 to 65535",
                extra={"joining": member.replica, "address": address},
            )
            return
        previous = self._join_requests.get(member.replica)
        if previous is None or now - previous[0] >= JOIN_REQUEST_TTL_S:
            logger.info(
                "replica: received a join request",
                extra={
                    "joining": member.replica,
                    "is_leader": self._raft.is_leader,
                    "leader": self._raft.leader,
                },
            )
        self._join_requests[member.replica] = (now, member)
        replicas = self._directory.replicas
        if replicas:
            self._send(address, messages.PeerList(0, replicas))

    def record_leave_notice(self, replica: str, now: float) -> None:
        """Store a replica's notice that its instance shuts down."""
        self._leave_notices[replica] = now

    def tick(self, now: float) -> None:
        """Send the notice or request that is due, or else the members to the seeds.

        A join request goes at once to each address that has become known.
        """
        is_due = now >= self._next_send_at
        if self._leaving:
            if is_due:
                self._next_send_at = now + LEAVE_NOTICE_INTERVAL_S
                self._send_leave_notice()
            return
        if is_due:
            self._next_send_at = now + SEND_INTERVAL_S
            self._send_members_to_seeds()
        if self._is_active_member(now):
            self._asked_addresses = frozenset()
        else:
            self._send_join_requests(is_due=is_due)

    def _is_active_member(self, now: float) -> bool:
        raft = self._raft
        if raft.is_leader:
            return True
        membership = raft.membership
        is_member = raft.is_voter or self._member.replica in membership.learners
        return is_member and now - raft.leader_contact_at <= REJOIN_AFTER_S

    def _send_join_requests(self, *, is_due: bool) -> None:
        """Send a request to the addresses not asked yet, and if due to all of them."""
        request = messages.JoinRequest(0, self._member)
        own_address = f"{self._member.address}:{self._member.port}"
        addresses = frozenset(self._directory.addresses) - {own_address}
        not_asked = addresses - self._asked_addresses
        if addresses != self._asked_addresses:
            self._asked_addresses = addresses
            logger.info(
                "replica: asks to join the membership",
                extra={"addresses": sorted(addresses)},
            )
        for address in sorted(addresses if is_due else not_asked):
            self._send(address, request)

    def _send_leave_notice(self) -> None:
        leader = self._raft.membership.members.get(self._raft.leader)
        if leader is not None and leader.replica != self._member.replica:
            self._send(f"{leader.address}:{leader.port}", messages.LeaveNotice(0))

    def _send_members_to_seeds(self) -> None:
        """Send the addresses of the members to the seeds that are not members."""
        if self._member.replica not in self._raft.membership.members:
            return
        peers = self.peers
        for address in set(self._directory.seeds) - set(peers):
            self._send(address, messages.PeerList(0, peers))

    def propose_change(self, now: float) -> None:
        """Propose the next membership change, if one is due; only on the leader."""
        if not self._has_observed_followers(now):
            return
        self._forget_old_notices(now)
        members = self._raft.membership.members
        joining = {
            replica: request[1]
            for replica, request in self._join_requests.items()
            if replica not in self._rejected_until
        }
        membership = plan_membership(
            self._raft, joining, now, self._options, self.list_leaving()
        )
        if membership is None:
            return
        for learner in set(self._raft.membership.learners) - set(membership.members):
            self._rejected_until[learner] = now + REJECTION_S
        logger.info(
            "replica: proposes a membership change",
            extra={
                "added": sorted(set(membership.members) - set(members)),
                "removed": sorted(set(members) - set(membership.members)),
                "leaving": sorted(self.list_leaving()),
                "voters": [item.name for item in membership.voters.values()],
                "learners": [item.name for item in membership.learners.values()],
            },
        )
        self._raft.propose_membership(membership, now)

    def list_leaving(self) -> set[str]:
        """Return the replicas whose instances shut down."""
        own = {self._member.replica} if self._leaving else set()
        return own | set(self._leave_notices)

    def _has_observed_followers(self, now: float) -> bool:
        """Return whether this process has run long enough to judge its followers.

        After a pause, replies of sound followers wait unread and look overdue.
        """
        if now - self._observed_at > MAX_OBSERVATION_GAP_S:
            self._observing_since = now
        self._observed_at = now
        return now - self._observing_since >= OBSERVATION_S

    def _forget_old_notices(self, now: float) -> None:
        members = self._raft.membership.members
        self._join_requests = {
            replica: request
            for replica, request in self._join_requests.items()
            if now - request[0] < JOIN_REQUEST_TTL_S and replica not in members
        }
        self._leave_notices = {
            replica: received_at
            for replica, received_at in self._leave_notices.items()
            if now - received_at < LEAVE_NOTICE_TTL_S
        }
        self._rejected_until = {
            replica: until
            for replica, until in self._rejected_until.items()
            if now < until
        }
