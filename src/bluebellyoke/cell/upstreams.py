"""Upstreams and the assignment of their slots to instances.

Rules:
    * An assignment never makes the assigned slots exceed those that the upstream
      announced.
    * A holder is one incarnation of an instance. Its slots become free when it
      releases them, or once its lease and then the longest deadline have expired.
    * A leaving upstream gets no new assignments.
"""

from dataclasses import dataclass, field

from bluebellyoke.cell.commands import AnnounceUpstream, SlotChange

__all__ = ["SlotRegistry", "Upstream"]


@dataclass(slots=True)
class Upstream:
    """An announced incarnation of an upstream.

    Attributes:
        leaving: Whether the upstream is leaving and gets no new assignments.
        held: Number of assigned slots by holder.
    """

    name: str
    incarnation: str
    service: str
    address: str
    port: int
    slots: int
    connections: int
    data_centre: str
    leaving: bool = False
    held: dict[str, int] = field(default_factory=dict)

    @property
    def free_slots(self) -> int:
        """Number of unassigned slots; negative after the upstream reduced its slots."""
        return min(self.slots, self.connections) - sum(self.held.values())


@dataclass(slots=True)
class SlotRegistry:
    """All announced upstreams, by name."""

    upstreams: dict[str, Upstream] = field(default_factory=dict)

    def announce(self, command: AnnounceUpstream) -> bool:
        """Register or update an upstream; return whether anything changed."""
        existing = self.upstreams.get(command.upstream)
        if existing is None or existing.incarnation != command.incarnation:
            self.upstreams[command.upstream] = Upstream(
                name=command.upstream,
                incarnation=command.incarnation,
                service=command.service,
                address=command.address,
                port=command.port,
                slots=command.slots,
                connections=command.connections,
                data_centre=command.data_centre,
                leaving=command.leaving,
            )
            return True
        # A leaving upstream becomes available again only as a new incarnation.
        leaving = existing.leaving or command.leaving
        before = (existing.slots, existing.connections, existing.leaving)
        existing.slots, existing.connections = command.slots, command.connections
        existing.leaving = leaving
        return before != (existing.slots, existing.connections, existing.leaving)

    def drop(self, name: str, incarnation: str) -> bool:
        """Remove an upstream; return whether this incarnation was registered."""
        existing = self.upstreams.get(name)
        if existing is None or existing.incarnation != incarnation:
            return False
        del self.upstreams[name]
        return True

    def assign_slots(self, change: SlotChange) -> bool:
        """Apply a change of assigned slots; return whether it was possible."""
        upstream = self.upstreams.get(change.upstream)
        if upstream is None or upstream.incarnation != change.incarnation:
            return False
        held = upstream.held.get(change.holder, 0)
        if change.delta > 0 and (
            upstream.leaving or upstream.free_slots < change.delta
        ):
            return False
        if held + change.delta < 0:
            return False
        if held + change.delta == 0:
            upstream.held.pop(change.holder, None)
        else:
            upstream.held[change.holder] = held + change.delta
        return True

    def list_holders(self) -> set[str]:
        """Return the holders of at least one slot."""
        return {
            holder for upstream in self.upstreams.values() for holder in upstream.held
        }
