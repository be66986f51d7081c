"""Upstreams and the assignment of their slots to instances.

Rules:
    * The slots assigned to holders never exceed what the upstream announced.
    * A holder is one incarnation of an instance; its slots return to the pool by
      its own release or after its lease and the longest deadline have passed.
    * A leaving upstream gets no new assignment.
"""

from dataclasses import dataclass, field

from bluebellyoke.cell.commands import AnnounceUpstream, SlotChange

__all__ = ["SlotRegistry", "Upstream"]


@dataclass(slots=True)
class Upstream:
    """One announced incarnation of an upstream.

    Attributes:
        held: Assigned slots by holder.
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
        """Slots that no instance holds; negative after the upstream shrank."""
        return min(self.slots, self.connections) - sum(self.held.values())


@dataclass(slots=True)
class SlotRegistry:
    """Upstreams by name."""

    upstreams: dict[str, Upstream] = field(default_factory=dict)

    def announce(self, command: AnnounceUpstream) -> bool:
        """Take in an announcement; return whether anything changed."""
        known = self.upstreams.get(command.upstream)
        if known is None or known.incarnation != command.incarnation:
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
        # An upstream that is leaving comes back only as a new incarnation.
        leaving = known.leaving or command.leaving
        before = (known.slots, known.connections, known.leaving)
        known.slots, known.connections = command.slots, command.connections
        known.leaving = leaving
        return before != (known.slots, known.connections, known.leaving)

    def drop(self, name: str, incarnation: str) -> bool:
        """Forget an upstream; return whether it was known."""
        known = self.upstreams.get(name)
        if known is None or known.incarnation != incarnation:
            return False
        del self.upstreams[name]
        return True

    def assign(self, change: SlotChange) -> bool:
        """Move slots of one upstream; return whether the change was possible."""
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
        """Return every holder of at least one slot."""
        return {
            holder for upstream in self.upstreams.values() for holder in upstream.held
        }
