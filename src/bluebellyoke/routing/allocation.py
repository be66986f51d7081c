"""Allocation of upstream slots to instances by the leader.

Each live instance gets slots for its requests in flight and in its queues, up to a fair
share of the service's slots, and an equal share of the remaining slots, so that a
request usually finds a slot at the instance where it arrives. Slots move in two steps:
the holder releases idle slots, then the leader assigns them to another instance. A slot
is never assigned while another instance may still use it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from bluebellyoke.cell.commands import SlotChange
from bluebellyoke.cell.upstreams import SlotRegistry, Upstream
from bluebellyoke.instance.wire import Recall

__all__ = ["Allocation", "HolderDemand", "compute_targets", "plan_allocation"]

#: Interval at which slots that cannot be divided equally rotate between holders, in
#: seconds.
ROTATION_INTERVAL_S = 0.25


@dataclass(slots=True)
class HolderDemand:
    """Demand of a live holder, as of its latest poll.

    Attributes:
        queued: Number of waiting requests by service.
        in_use: Number of slots in use by upstream.
    """

    data_centre: str
    queued: dict[str, int] = field(default_factory=dict)
    in_use: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Allocation:
    """Assignments to commit and recalls to send.

    Attributes:
        changes: Changes of the holders' slots.
        recalls: Pairs of a holder and a recall to send to it.
    """

    changes: list[SlotChange] = field(default_factory=list)
    recalls: list[tuple[str, Recall]] = field(default_factory=list)


def compute_targets(demands: Mapping[str, int], slots: int, rotation: int) -> dict:
    """Divide slots among holders, by demand first and the rest in equal shares.

    Args:
        demands: Number of requests in flight and in queues, by holder.
        slots: Number of slots to divide.
        rotation: Counter that grows with time and rotates the slots that cannot be
            divided equally between the holders.

    Returns:
        Number of slots by holder.
    """
    names = sorted(demands)
    targets = dict.fromkeys(names, 0)
    remaining = slots
    unmet = [name for name in names if demands[name] > 0]
    while unmet and remaining >= len(unmet):
        share = remaining // len(unmet)
        for name in unmet:
            assigned = min(share, demands[name] - targets[name])
            targets[name] += assigned
            remaining -= assigned
        unmet = [name for name in unmet if targets[name] < demands[name]]
    for group in (unmet, names):
        if not group:
            continue
        share = remaining // len(group) if group is names else 0
        remainder = remaining - share * len(group)
        for position, name in enumerate(group):
            extra = 1 if (position - rotation) % len(group) < remainder else 0
            targets[name] += share + extra
            remaining -= share + extra
    return targets


def plan_allocation(
    book: SlotRegistry, holders: Mapping[str, HolderDemand], now: float
) -> Allocation:
    """Return the slots to assign and to recall.

    Args:
        book: Upstreams and their holders.
        holders: Live holders that are not draining.
        now: Monotonic time, in seconds.
    """
    allocation = Allocation()
    if not holders:
        return allocation
    by_service: dict[str, list[Upstream]] = {}
    for upstream in book.upstreams.values():
        if not upstream.leaving:
            by_service.setdefault(upstream.service, []).append(upstream)
    for service, upstreams in by_service.items():
        _plan_service(service, upstreams, holders, now, allocation)
    return allocation


def _plan_service(
    service: str,
    upstreams: list[Upstream],
    holders: Mapping[str, HolderDemand],
    now: float,
    allocation: Allocation,
) -> None:
    slots = sum(min(item.slots, item.connections) for item in upstreams)
    held = {name: sum(item.held.get(name, 0) for item in upstreams) for name in holders}
    # Slots of silent holders cannot be divided.
    slots -= sum(
        count
        for item in upstreams
        for name, count in item.held.items()
        if name not in holders
    )
    demands = {
        name: holder.queued.get(service, 0)
        + sum(holder.in_use.get(item.name, 0) for item in upstreams)
        for name, holder in holders.items()
    }
    targets = compute_targets(demands, max(slots, 0), int(now / ROTATION_INTERVAL_S))
    free = {item.name: max(item.free_slots, 0) for item in upstreams}
    missing = 0
    for name in _order_by_shortage(held, targets, holders, service):
        requested = targets[name] - held[name]
        assigned = _assign(name, requested, upstreams, free, holders[name], allocation)
        if holders[name].queued.get(service, 0):
            missing += max(requested - assigned, 0)
    _recall_excess(upstreams, holders, allocation)
    if missing:
        _recall_surplus(upstreams, holders, held, targets, missing, allocation)


def _order_by_shortage(
    held: dict[str, int],
    targets: dict[str, int],
    holders: Mapping[str, HolderDemand],
    service: str,
) -> list[str]:
    """Return the holders below their target, those with queued requests first."""
    below = [name for name in targets if held[name] < targets[name]]
    below.sort(
        key=lambda name: (
            -min(holders[name].queued.get(service, 0), 1),
            held[name] - targets[name],
            name,
        )
    )
    return below


def _assign(
    name: str,
    requested: int,
    upstreams: list[Upstream],
    free: dict[str, int],
    holder: HolderDemand,
    allocation: Allocation,
) -> int:
    """Assign free slots to a holder and return their number.

    Upstreams of which the holder has few slots come first, then those in its data
    centre, then those with many free slots.
    """
    assigned = 0
    order = sorted(
        upstreams,
        key=lambda item: (
            item.held.get(name, 0),
            item.data_centre != holder.data_centre,
            -free[item.name],
        ),
    )
    while assigned < requested:
        previous = assigned
        for upstream in order:
            if assigned < requested and free[upstream.name] > 0:
                free[upstream.name] -= 1
                assigned += 1
                _add_change(allocation, upstream, name)
        if assigned == previous:
            break
    return assigned


def _add_change(allocation: Allocation, upstream: Upstream, name: str) -> None:
    changes = allocation.changes
    for position in range(len(changes) - 1, -1, -1):
        change = changes[position]
        if change.holder != name:
            break
        if change.upstream == upstream.name:
            changes[position] = SlotChange(
                change.upstream, change.incarnation, name, change.delta + 1
            )
            return
    changes.append(SlotChange(upstream.name, upstream.incarnation, name, 1))


def _recall_surplus(
    upstreams: list[Upstream],
    holders: Mapping[str, HolderDemand],
    held: dict[str, int],
    targets: dict[str, int],
    missing: int,
    allocation: Allocation,
) -> None:
    """Recall slots from holders above their target, idle slots first."""
    above = sorted(
        (name for name in targets if held[name] > targets[name]),
        key=lambda name: targets[name] - held[name],
    )
    for name in above:
        excess = min(held[name] - targets[name], missing)
        in_use = holders[name].in_use
        order = sorted(
            (item for item in upstreams if item.held.get(name)),
            key=lambda item: in_use.get(item.name, 0) - item.held[name],
        )
        for upstream in order:
            if excess <= 0:
                break
            recalled = min(upstream.held[name], excess)
            idle = upstream.held[name] - in_use.get(upstream.name, 0)
            if idle > 0:
                recalled = min(recalled, idle)
            keep = upstream.held[name] - recalled
            recall = Recall(upstream.name, upstream.incarnation, keep)
            allocation.recalls.append((name, recall))
            excess -= recalled
            missing -= recalled


def _recall_excess(
    upstreams: list[Upstream],
    holders: Mapping[str, HolderDemand],
    allocation: Allocation,
) -> None:
    """Recall slots of upstreams that now offer fewer than are assigned."""
    for upstream in upstreams:
        excess = -upstream.free_slots
        for name, count in upstream.held.items():
            if excess <= 0:
                break
            if name in holders:
                recalled = min(count, excess)
                keep = count - recalled
                recall = Recall(upstream.name, upstream.incarnation, keep)
                allocation.recalls.append((name, recall))
                excess -= recalled
