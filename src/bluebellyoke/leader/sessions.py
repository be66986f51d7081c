"""Streams of instances, timing options and commands to propose."""

from collections.abc import Callable
from dataclasses import dataclass, field

from bluebellyoke.cell import commands
from bluebellyoke.instance import wire

__all__ = ["InstanceSession", "LeaderOptions", "Proposal", "ProposalQueue"]


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaderOptions:
    """Timing options of the leader, in seconds.

    Attributes:
        instance_lease_s: Lease duration of an instance.
        worker_lease_s: Lease duration of a worker's session.
        worker_grace_s: Time in which a worker stops its tasks once its lease expires.
        upstream_silence_s: Time without a renewal after which an upstream is removed.
        longest_deadline_s: Longest deadline of a request.
        allocation_interval_s: Time between two rounds of slot allocation.
    """

    instance_lease_s: float = 1.8
    worker_lease_s: float = 6.0
    worker_grace_s: float = 1.0
    upstream_silence_s: float = 3.0
    longest_deadline_s: float = 30.0
    allocation_interval_s: float = 0.05


@dataclass(slots=True)
class InstanceSession:
    """The stream of one instance.

    Attributes:
        id: Number of the stream.
        send: Sends a message to the instance.
        instance: Name of the instance.
        holder: Name and incarnation of the instance.
        view_version: Version of the view that the instance uses, or -1.
        sent_view_version: Version of the view that was sent last, or -1.
        draining: Whether the instance is shutting down.
        unconfirmed_grants: Grants that the instance has not confirmed, by number.
        sent_recalls: Slots to keep by the last recall that was sent, by upstream.
    """

    id: int
    send: Callable[[wire.FromLeader], None]
    instance: str
    holder: str
    data_centre: str
    view_version: int = -1
    sent_view_version: int = -1
    draining: bool = False
    next_grant_number: int = 1
    unconfirmed_grants: dict[int, wire.Grant] = field(default_factory=dict)
    sent_recalls: dict[str, int] = field(default_factory=dict)

    def count_unconfirmed_slots(self, upstream: str) -> int:
        """Return how many slots of an upstream are in unconfirmed grants."""
        return sum(
            grant.slots
            for grant in self.unconfirmed_grants.values()
            if grant.upstream == upstream
        )

    def grant_slots(self, change: commands.SlotChange) -> None:
        """Send a grant for slots that were assigned to the instance."""
        grant = wire.Grant(
            self.next_grant_number, change.upstream, change.incarnation, change.delta
        )
        self.next_grant_number += 1
        self.unconfirmed_grants[grant.number] = grant
        self.sent_recalls.pop(change.upstream, None)
        self.send(grant)


@dataclass(frozen=True, slots=True)
class Proposal:
    """A command to append to the log.

    Attributes:
        on_result: Called with the result once the command is applied.
    """

    command: commands.Command
    on_result: Callable[[commands.Result], None] | None = None


class ProposalQueue:
    """Commands that wait to be appended to the log."""

    def __init__(self) -> None:
        self._items: list[Proposal] = []

    def add(
        self,
        command: commands.Command,
        on_result: Callable[[commands.Result], None] | None = None,
    ) -> None:
        """Add a command; `on_result` is called once it is applied."""
        self._items.append(Proposal(command, on_result))

    def pop_all(self) -> list[Proposal]:
        """Remove and return all commands."""
        items, self._items = self._items, []
        return items
