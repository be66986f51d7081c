"""Planning of membership changes by the leader.

Rules:
    * A replica becomes a voter only after it has caught up as a learner.
    * A voter is replaced once it has been unreachable for `replace_after_s` or while
      its instance shuts down. It is replaced as soon as it is unreachable if its
      instance returns with another replica ID, because that proves that its data
      folder is lost.
    * It is removed only after its replacement votes, so the number of synced copies
      never decreases. Without a spare replica, the membership stays as it is.
    * New members are added in the data centre that has the fewest.
"""

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from bluebellyoke.consensus.messages import Member, Membership
from bluebellyoke.consensus.raft import RaftNode

__all__ = ["MembershipOptions", "plan_membership"]

#: Entries by which a learner may lag behind the leader when it is promoted.
MAX_PROMOTION_LAG_ENTRIES = 64

#: Time without a reply after which a replica counts as unreachable, in seconds.
UNREACHABLE_AFTER_S = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipOptions:
    """Target size of the membership and timeout for replacing members.

    Attributes:
        target_voters: Number of voters to maintain; should be odd.
        replace_after_s: Time without a reply after which a spare replica replaces a
            member, in seconds.
    """

    target_voters: int = 3
    replace_after_s: float = 30.0


def plan_membership(
    raft: RaftNode,
    joining: Mapping[str, Member],
    now: float,
    options: MembershipOptions,
    leaving: Collection[str] = (),
) -> Membership | None:
    """Return the next membership to propose, or None if no change is needed.

    Args:
        raft: Raft state of the leader.
        joining: Replicas outside the membership that have recently asked to join,
            by ID.
        now: Monotonic time, in seconds.
        options: Target size and timeout.
        leaving: Replicas whose instances shut down.
    """
    if not raft.can_change_membership:
        return None
    membership = raft.membership
    departing_voters = _find_departing_voters(raft, joining, now, options, leaving)
    learner = _find_promotable_learner(raft, now, leaving)
    needs_voter = len(membership.voters) - len(departing_voters) < options.target_voters
    if learner is not None and needs_voter:
        return _promote(membership, learner)
    if len(membership.voters) > options.target_voters:
        surplus_voter = _choose_voter_to_remove(raft, departing_voters, now)
        if surplus_voter is not None:
            return _remove_member(membership, surplus_voter)
    dead_learner = _find_dead_learner(raft, joining, now, options)
    if dead_learner is not None:
        return _remove_member(membership, dead_learner)
    live_count = (
        len(membership.voters) - len(departing_voters) + len(membership.learners)
    )
    if joining and live_count < options.target_voters:
        return _add_learner(
            membership, _choose_joining_replica(membership, departing_voters, joining)
        )
    return None


def _is_unreachable(raft: RaftNode, replica: str, now: float, timeout_s: float) -> bool:
    if replica == raft.replica:
        return False
    return now - raft.progress[replica].last_seen_at > timeout_s


def _find_departing_voters(
    raft: RaftNode,
    joining: Mapping[str, Member],
    now: float,
    options: MembershipOptions,
    leaving: Collection[str],
) -> set[str]:
    reachable = [
        member
        for replica, member in raft.membership.members.items()
        if not _is_unreachable(raft, replica, now, UNREACHABLE_AFTER_S)
    ]
    # A replacement is first a candidate, then a learner and finally a voter.
    replacements = [*joining.values(), *reachable]
    return {
        replica
        for replica, member in raft.membership.voters.items()
        if replica in leaving
        or _is_unreachable(raft, replica, now, options.replace_after_s)
        or (
            _is_unreachable(raft, replica, now, UNREACHABLE_AFTER_S)
            and any(_is_same_instance(member, other) for other in replacements)
        )
    }


def _is_same_instance(member: Member, other: Member) -> bool:
    """Return whether two replica IDs are successive ones of one instance.

    An instance that loses its data folder joins again under a new replica ID.
    """
    if member.replica == other.replica:
        return False
    same_address = (member.address, member.port) == (other.address, other.port)
    return same_address or member.name == other.name


def _find_promotable_learner(
    raft: RaftNode, now: float, leaving: Collection[str]
) -> str | None:
    for replica in raft.membership.learners:
        if replica in leaving:
            continue
        progress = raft.progress[replica]
        if (
            now - progress.last_reply_at > UNREACHABLE_AFTER_S
            or not progress.match_index
        ):
            continue
        if progress.match_index + MAX_PROMOTION_LAG_ENTRIES >= raft.log.last_index:
            return replica
    return None


def _find_dead_learner(
    raft: RaftNode,
    joining: Mapping[str, Member],
    now: float,
    options: MembershipOptions,
) -> str | None:
    names = {member.name for member in joining.values()}
    for replica, member in raft.membership.learners.items():
        replaced = member.name in names and _is_unreachable(
            raft, replica, now, UNREACHABLE_AFTER_S
        )
        if replaced or _is_unreachable(raft, replica, now, options.replace_after_s):
            return replica
    return None


def _choose_voter_to_remove(
    raft: RaftNode, departing_voters: set[str], now: float
) -> str | None:
    """Return the voter that can be spared best.

    Departing voters come first, then unreachable ones, those without contact for
    longest first. A live voter is taken from the data centre with the most voters. The
    leader itself is never chosen.
    """
    departing = departing_voters - {raft.replica}
    unreachable = [
        replica
        for replica in raft.membership.voters
        if _is_unreachable(raft, replica, now, UNREACHABLE_AFTER_S)
    ]
    candidates = departing or unreachable
    if candidates:
        return min(
            candidates, key=lambda item: (raft.progress[item].last_seen_at, item)
        )
    data_centre_counts = Counter(x.data_centre for x in raft.membership.voters.values())
    others = [
        (data_centre_counts[member.data_centre], replica)
        for replica, member in raft.membership.voters.items()
        if replica != raft.replica
    ]
    return max(others)[1] if others else None


def _choose_joining_replica(
    membership: Membership, departing_voters: set[str], joining: Mapping[str, Member]
) -> Member:
    data_centre_counts = Counter(
        member.data_centre
        for replica, member in membership.members.items()
        if replica not in departing_voters
    )
    return min(
        joining.values(),
        key=lambda member: (data_centre_counts[member.data_centre], member.name),
    )


def _promote(membership: Membership, replica: str) -> Membership:
    learners = dict(membership.learners)
    voters = {**membership.voters, replica: learners.pop(replica)}
    return Membership(voters, learners)


def _add_learner(membership: Membership, member: Member) -> Membership:
    return Membership(
        membership.voters, {**membership.learners, member.replica: member}
    )


def _remove_member(membership: Membership, replica: str) -> Membership:
    return Membership(
        {key: item for key, item in membership.voters.items() if key != replica},
        {key: item for key, item in membership.learners.items() if key != replica},
    )
