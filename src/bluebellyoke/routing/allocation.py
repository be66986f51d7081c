"""Distribution of upstream slots among instances, by the leader.

Each live instance gets what it has in use and in its queues, bounded by a fair
division of the service's slots, and an equal part of what is then left, so that a
request usually finds a slot at the instance where it arrives. Slots move in two
steps: the holder gives idle ones back, then the pool assigns them anew. Nobody ever
counts on a slot that another may still use.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from bluebellyoke.cell.commands import SlotChange
from bluebellyoke.cell.upstreams import SlotRegistry, Upstream
from bluebellyoke.instance.wire import Recall

__all__ = ["Allocation", "HolderDemand", "compute_targets", "plan_allocation"]

#: Seconds for which one holder keeps the odd slot before it goes round.
ROTATION_S = 0.25


@dataclass(slots=True)
class HolderDemand:
    """What a live holder said last.

    Attributes:
        queued: Waiting requests by service.
        in_use: Slots in use by upstream.
    """

    data_centre: str
    queued: dict[str, int] = field(default_factory=dict)
    in_use: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Allocation:
    """Changes to commit, and recalls to send to holders."""

    changes: list[SlotChange] = field(default_factory=list)
    recalls: list[tuple[str, Recall]] = field(default_factory=list)


def compute_targets(demands: Mapping[str, int], slots: int, turn: int) -> dict:
    """Divide slots among holders: by demand first, the rest in equal parts.

    Args:
        demands: Requests in hand and in queues, by holder.
        slots: Slots to divide.
        turn: Grows with time; moves the odd slots from holder to holder.
    """
    names = sorted(demands)
    targets = dict.fromkeys(names, 0)
    left = slots
    open_names = [name for name in names if demands[name] > 0]
    while open_names and left >= len(open_names):
        part = left // len(open_names)
        for name in open_names:
            given = min(part, demands[name] - targets[name])
            targets[name] += given
            left -= given
        open_names = [name for name in open_names if targets[name] < demands[name]]
    for group in (open_names, names):
        if not group:
            continue
        part = left // len(group) if group is names else 0
        odd = left - part * len(group)
        for position, name in enumerate(group):
            extra = 1 if (position - turn) % len(group) < odd else 0
            targets[name] += part + extra
            left -= part + extra
    return targets


def plan_allocation(
    book: SlotRegistry, holders: Mapping[str, HolderDemand], now: float
) -> Allocation:
    """Return what to assign and what to ask back.

    Args:
        book: Upstreams and their holders.
        holders: Live holders that are not about to leave.
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
    # What silent holders still have cannot be divided.
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
    targets = compute_targets(demands, max(slots, 0), int(now / ROTATION_S))
    free = {item.name: max(item.free_slots, 0) for item in upstreams}
    missing = 0
    for name in _order_by_shortage(held, targets, holders, service):
        wanted = targets[name] - held[name]
        given = _assign(name, wanted, upstreams, free, holders[name], allocation)
        if holders[name].queued.get(service, 0):
            missing += max(wanted - given, 0)
    _recall_shrunk(upstreams, holders, allocation)
    if missing:
        _recall(upstreams, holders, held, targets, missing, allocation)


def _order_by_shortage(
    held: dict[str, int],
    targets: dict[str, int],
    holders: Mapping[str, HolderDemand],
    service: str,
) -> list[str]:
    """Return the holders below their target, those with a queue first."""
    short = [name for name in targets if held[name] < targets[name]]
    short.sort(
        key=lambda name: (
            -min(holders[name].queued.get(service, 0), 1),
            held[name] - targets[name],
            name,
        )
    )
    return short


def _assign(
    name: str,
    wanted: int,
    upstreams: list[Upstream],
    free: dict[str, int],
    holder: HolderDemand,
    allocation: Allocation,
) -> int:
    """Assign free slots to a holder, near and idle upstreams first."""
    given = 0
    order = sorted(
        upstreams,
        key=lambda item: (
            item.held.get(name, 0),
            item.data_centre != holder.data_centre,
            -free[item.name],
        ),
    )
    while given < wanted:
        before = given
        for upstream in order:
            if given < wanted and free[upstream.name] > 0:
                free[upstream.name] -= 1
                given += 1
                _add_change(allocation, upstream, name)
        if given == before:
            break
    return given


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


def _recall(
    upstreams: list[Upstream],
    holders: Mapping[str, HolderDemand],
    held: dict[str, int],
    targets: dict[str, int],
    missing: int,
    allocation: Allocation,
) -> None:
    """Ask holders above their target for slots, idle ones first."""
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
            taken = min(upstream.held[name], excess)
            idle = upstream.held[name] - in_use.get(upstream.name, 0)
            if idle > 0:
                taken = min(taken, idle)
            keep = upstream.held[name] - taken
            recall = Recall(upstream.name, upstream.incarnation, keep)
            allocation.recalls.append((name, recall))
            excess -= taken
            missing -= taken


def _recall_shrunk(
    upstreams: list[Upstream],
    holders: Mapping[str, HolderDemand],
    allocation: Allocation,
) -> None:
    """Ask slots back of an upstream that now offers fewer than are assigned."""
    for upstream in upstreams:
        excess = -upstream.free_slots
        for name, count in upstream.held.items():
            if excess <= 0:
                break
            if name in holders:
                taken = min(count, excess)
                keep = count - taken
                recall = Recall(upstream.name, upstream.incarnation, keep)
                allocation.recalls.append((name, recall))
                excess -= taken
