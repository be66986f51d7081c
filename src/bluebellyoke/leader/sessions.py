"""Streams of instances and commands on their way to the log."""

from collections.abc import Callable
from dataclasses import dataclass, field

from bluebellyoke.cell import commands as c
from bluebellyoke.instance import wire as w

__all__ = ["LeaderOptions", "Proposal", "ProposalQueue", "Session"]


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaderOptions:
    """Durations that the leader works with, in seconds.

    Attributes:
        instance_lease_s: Lease of an instance.
        worker_lease_s: Lease of a worker's session.
        worker_grace_s: Time in which a worker ends its tasks when its lease ends.
        upstream_silence_s: Silence after which an upstream is dropped.
        longest_deadline_s: Longest deadline of a caller's request.
        allocation_interval_s: Time between two rounds of slot allocation.
    """

    instance_lease_s: float = 1.8
    worker_lease_s: float = 6.0
    worker_grace_s: float = 1.0
    upstream_silence_s: float = 3.0
    longest_deadline_s: float = 30.0
    allocation_interval_s: float = 0.05


@dataclass(slots=True)
class Session:
    """The stream of one instance.

    Attributes:
        holder: Name and incarnation of the instance.
        view_version: View that the instance said it has in force.
        sent_version: View that it was sent last.
        grants: Grants that it has not confirmed yet, by number.
        sent_keeps: Recalls that it was sent, by upstream.
    """

    id: int
    send: Callable[[w.FromLeader], None]
    instance: str
    holder: str
    data_centre: str
    view_version: int = -1
    sent_version: int = -1
    draining: bool = False
    next_grant: int = 1
    grants: dict[int, w.Grant] = field(default_factory=dict)
    sent_keeps: dict[str, int] = field(default_factory=dict)

    def count_granted(self, upstream: str) -> int:
        """Return the slots of an upstream in unconfirmed grants."""
        return sum(
            grant.slots for grant in self.grants.values() if grant.upstream == upstream
        )

    def grant(self, change: c.SlotChange) -> None:
        """Send slots that were assigned to the instance."""
        grant = w.Grant(
            self.next_grant, change.upstream, change.incarnation, change.delta
        )
        self.next_grant += 1
        self.grants[grant.number] = grant
        self.sent_keeps.pop(change.upstream, None)
        self.send(grant)


@dataclass(frozen=True, slots=True)
class Proposal:
    """A command with the action that follows when it is applied."""

    command: c.Command
    on_result: Callable[[c.Result], None] | None = None


class ProposalQueue:
    """Commands that wait to be put into the log."""

    def __init__(self) -> None:
        self._waiting: list[Proposal] = []

    def add(
        self,
        command: c.Command,
        on_result: Callable[[c.Result], None] | None = None,
    ) -> None:
        """Add a command; `on_result` is called when it is applied."""
        self._waiting.append(Proposal(command, on_result))

    def pop_all(self) -> list[Proposal]:
        """Return all commands and forget them."""
        waiting, self._waiting = self._waiting, []
        return waiting
