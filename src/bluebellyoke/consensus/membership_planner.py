"""Decisions on the membership: who joins, who votes, who is removed.

Rules:
    * A replica votes only after it has caught up as a learner.
    * A dead voter is removed only after its replacement votes, so the number of
      synced copies never falls.
    * A voter is dead after a settable silence, or at once when its instance comes
      back with another identity, which proves that its folder is gone.
    * New voters go to the data centre that has the fewest.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from bluebellyoke.consensus.messages import Member, Membership
from bluebellyoke.consensus.raft import RaftNode

__all__ = ["MembershipOptions", "plan_membership"]

#: Entries that a learner may lack when it is promoted.
CAUGHT_UP_ENTRIES = 64

#: Silence after which a replica does not count as present, in seconds.
PRESENT_S = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipOptions:
    """How many voters there should be, and when a silent one is replaced.

    Attributes:
        target_voters: Odd number of voters to keep.
        replace_after_s: Silence after which a voter is replaced, in seconds.
    """

    target_voters: int = 3
    replace_after_s: float = 30.0


def plan_membership(
    core: RaftNode,
    candidates: Mapping[str, Member],
    now: float,
    options: MembershipOptions,
) -> Membership | None:
    """Return the next membership to propose, or None if none is due.

    Args:
        core: The leader's core.
        candidates: Replicas outside the membership that offered to join lately.
        now: Monotonic time, in seconds.
        options: Target and wait.
    """
    if not core.can_change_membership:
        return None
    members = core.membership
    dead = _find_dead_voters(core, candidates, now, options)
    learner = _find_ready_learner(core, now)
    wanted = len(members.voters) - len(dead) < options.target_voters
    if learner is not None and wanted:
        return _promote(members, learner)
    if len(members.voters) > options.target_voters:
        leaving = _choose_leaving(core, dead, now)
        if leaving is not None:
            return _without(members, leaving)
    gone = _find_dead_learner(core, candidates, now, options)
    if gone is not None:
        return _without(members, gone)
    present = len(members.voters) - len(dead) + len(members.learners)
    if candidates and present < options.target_voters:
        return _add_learner(members, _choose_candidate(members, dead, candidates))
    return None


def _is_silent(core: RaftNode, replica: str, now: float, limit_s: float) -> bool:
    if replica == core.replica:
        return False
    return now - core.progress[replica].present_at > limit_s


def _find_dead_voters(
    core: RaftNode,
    candidates: Mapping[str, Member],
    now: float,
    options: MembershipOptions,
) -> set[str]:
    present = [
        member
        for replica, member in core.membership.members.items()
        if not _is_silent(core, replica, now, PRESENT_S)
    ]
    others = [*candidates.values(), *present]
    return {
        replica
        for replica, member in core.membership.voters.items()
        if _is_silent(core, replica, now, options.replace_after_s)
        or (
            _is_silent(core, replica, now, PRESENT_S)
            and any(_is_same_instance(member, other) for other in others)
        )
    }


def _is_same_instance(member: Member, other: Member) -> bool:
    """Return whether two replicas are identities of one instance, one after the other.

    The replacement counts also once it votes: until then it is a candidate or learner.
    """
    if member.replica == other.replica:
        return False
    same_place = (member.address, member.port) == (other.address, other.port)
    return same_place or member.name == other.name


def _find_ready_learner(core: RaftNode, now: float) -> str | None:
    for replica in core.membership.learners:
        progress = core.progress[replica]
        if now - progress.heard_at > PRESENT_S or not progress.match_index:
            continue
        if progress.match_index + CAUGHT_UP_ENTRIES >= core.log.last_index:
            return replica
    return None


def _find_dead_learner(
    core: RaftNode,
    candidates: Mapping[str, Member],
    now: float,
    options: MembershipOptions,
) -> str | None:
    names = {member.name for member in candidates.values()}
    for replica, member in core.membership.learners.items():
        replaced = member.name in names and _is_silent(core, replica, now, PRESENT_S)
        if replaced or _is_silent(core, replica, now, options.replace_after_s):
            return replica
    return None


def _choose_leaving(core: RaftNode, dead: set[str], now: float) -> str | None:
    """Return a dead voter, or a silent one, or else one of the fullest data centre."""
    if dead:
        return min(dead)
    silent = [
        replica
        for replica in core.membership.voters
        if _is_silent(core, replica, now, PRESENT_S)
    ]
    if silent:
        return min(silent, key=lambda replica: core.progress[replica].present_at)
    places = Counter(x.data_centre for x in core.membership.voters.values())
    others = [
        (places[member.data_centre], replica)
        for replica, member in core.membership.voters.items()
        if replica != core.replica
    ]
    return max(others)[1] if others else None


def _choose_candidate(
    members: Membership, dead: set[str], candidates: Mapping[str, Member]
) -> Member:
    places = Counter(
        member.data_centre
        for replica, member in members.members.items()
        if replica not in dead
    )
    return min(
        candidates.values(),
        key=lambda member: (places[member.data_centre], member.name),
    )


def _promote(members: Membership, replica: str) -> Membership:
    learners = dict(members.learners)
    voters = {**members.voters, replica: learners.pop(replica)}
    return Membership(voters, learners)


def _add_learner(members: Membership, member: Member) -> Membership:
    return Membership(members.voters, {**members.learners, member.replica: member})


def _without(members: Membership, replica: str) -> Membership:
    return Membership(
        {key: item for key, item in members.voters.items() if key != replica},
        {key: item for key, item in members.learners.items() if key != replica},
    )
