"""Leases of instances and assignment of upstream slots to them.

Rules:
    * If an instance holds fewer slots than it was assigned, the difference returns to
      the pool. If it holds more, it gives up the excess before its lease is renewed.
    * While slot changes of an instance with an expired lease are pending, its polls
      get no reply.
    * The slots of a silent instance return to the pool when its lease and the longest
      deadline of its requests have passed, or earlier if the upstream reports that it
      no longer runs them.
"""

from collections import Counter

from bluebellyoke.cell import commands
from bluebellyoke.cell.state import CellState
from bluebellyoke.consensus.timing import CLOCK_DRIFT
from bluebellyoke.instance import wire
from bluebellyoke.leader.leases import LeaseTable
from bluebellyoke.leader.sessions import InstanceSession, LeaderOptions, ProposalQueue
from bluebellyoke.routing.allocation import HolderDemand, plan_allocation

__all__ = ["SlotManager"]

#: Time from the expiry of a holder's lease until a report of an upstream may free the
#: holder's slots, in seconds.
UPSTREAM_REPORT_GRACE_S = 1.0


class SlotManager:
    """Assigns slots to instances and reclaims them.

    Args:
        options: Timing options.
        proposals: Commands to propose.

    Attributes:
        assignments: Slot assignments that have not been logged yet.
    """

    def __init__(self, *, options: LeaderOptions, proposals: ProposalQueue) -> None:
        self.assignments: list[commands.SlotChange] = []
        self._options = options
        self._proposals = proposals
        self._state = CellState()
        self._instance_leases = LeaseTable(duration_s=options.instance_lease_s)
        self._upstream_leases = LeaseTable(duration_s=options.upstream_silence_s)
        # An instance measures request deadlines with its own clock, which may be slow.
        self._max_in_flight_s = options.longest_deadline_s * (1 + 2 * CLOCK_DRIFT)
        self._sessions: dict[str, InstanceSession] = {}
        self._demands: dict[str, HolderDemand] = {}
        self._reclaim_times: dict[str, float] = {}
        self._pending_changes: Counter[str] = Counter()
        self._allocation_due = 0.0

    def reset(self, state: CellState, now: float) -> None:
        """Start with a state; every lease is renewed at `now`."""
        self._state = state
        self.assignments.clear()
        self._instance_leases.clear()
        self._upstream_leases.clear()
        self._sessions.clear()
        self._demands.clear()
        self._reclaim_times.clear()
        self._pending_changes.clear()
        self._allocation_due = now
        for holder in state.slots.list_holders():
            self._instance_leases.renew(holder, now)
        for upstream in state.slots.upstreams.values():
            self._upstream_leases.renew(upstream.name, now)

    def open_session(self, session: InstanceSession) -> None:
        """Register the stream of a holder."""
        self._sessions[session.holder] = session
        self._demands[session.holder] = HolderDemand(session.data_centre)

    def close_session(self, session: InstanceSession) -> None:
        """Remove a stream; the holder's lease stays valid until it expires."""
        if self._sessions.get(session.holder) is session:
            del self._sessions[session.holder]
            del self._demands[session.holder]

    def is_live(self, holder: str, now: float) -> bool:
        """Return whether a holder may still act on its lease."""
        return self._instance_leases.is_live(holder, now)

    # Polls.

    def handle_poll(
        self, session: InstanceSession, poll: wire.Poll, now: float, wall_time: float
    ) -> tuple[wire.Holding, ...] | None:
        """Renew the lease of a holder.

        Returns:
            Holdings that the holder has to reduce, with the slots it may keep, or None
            if the lease is not renewed.
        """
        if (
            not self.is_live(session.holder, now)
            and self._pending_changes[session.holder]
        ):
            return None
        self._instance_leases.renew(session.holder, now)
        self._reclaim_times.pop(session.holder, None)
        session.draining = poll.draining
        for number in [x for x in session.unconfirmed_grants if x <= poll.last_grant]:
            del session.unconfirmed_grants[number]
        limits = self._reconcile(session, poll, wall_time)
        self._record_demand(session, poll)
        for renewal in poll.renewals:
            self._renew_upstream(renewal, now, wall_time)
        if poll.demands:
            self._allocation_due = min(self._allocation_due, now)
        return limits

    def _reconcile(
        self, session: InstanceSession, poll: wire.Poll, wall_time: float
    ) -> tuple[wire.Holding, ...]:
        """Compare the slots that an instance holds with its assignments.

        Slots that the instance no longer holds return to the pool. The result limits
        the holdings that exceed their assignment.
        """
        reported = {(item.upstream, item.incarnation): item for item in poll.holdings}
        changes, limits = [], []
        for upstream in self._state.slots.upstreams.values():
            key = (upstream.name, upstream.incarnation)
            assigned = upstream.held.get(session.holder, 0)
            item = reported.pop(key, None)
            held = item.held if item is not None else 0
            confirmed = assigned - session.count_unconfirmed_slots(upstream.name)
            if held < confirmed and not self._pending_changes[session.holder]:
                changes.append(
                    commands.SlotChange(*key, session.holder, held - confirmed)
                )
            elif held > assigned:
                limits.append(wire.Holding(*key, assigned, 0))
        limits += [wire.Holding(*key, 0, 0) for key in reported]
        if changes:
            self._assign(tuple(changes), wall_time)
        return tuple(limits)

    def _record_demand(self, session: InstanceSession, poll: wire.Poll) -> None:
        demand = self._demands.get(session.holder)
        if demand is None:
            return
        demand.queued = {item.service: item.queued for item in poll.demands}
        demand.in_use = {item.upstream: item.in_use for item in poll.holdings}

    # Upstreams.

    def record_announcement(self, upstream: str, now: float) -> None:
        """Renew the lease of an upstream that was announced."""
        self._upstream_leases.renew(upstream, now)
        self._allocation_due = now

    def _renew_upstream(
        self, renewal: wire.Renewal, now: float, wall_time: float
    ) -> None:
        upstream = self._state.slots.upstreams.get(renewal.upstream)
        if upstream is None or upstream.incarnation != renewal.incarnation:
            return
        self._upstream_leases.renew(renewal.upstream, now)
        if renewal.running is None:
            return
        for holder, held in list(upstream.held.items()):
            due = self._reclaim_times.get(holder)
            if due is None or self._pending_changes[holder]:
                continue
            if now < due - self._max_in_flight_s + UPSTREAM_REPORT_GRACE_S:
                continue
            excess = held - renewal.running.get(holder, 0)
            if excess > 0:
                change = commands.SlotChange(
                    upstream.name, upstream.incarnation, holder, -excess
                )
                self._assign((change,), wall_time)

    # Assignments.

    def _assign(
        self, changes: tuple[commands.SlotChange, ...], wall_time: float
    ) -> None:
        self._pending_changes.update(change.holder for change in changes)
        self._proposals.add(
            commands.AssignSlots(time=wall_time, changes=changes),
            lambda result: self._on_assigned(changes, result),
        )

    def _on_assigned(
        self, changes: tuple[commands.SlotChange, ...], result: commands.Result
    ) -> None:
        """Send grants for the slots whose assignment was applied."""
        self._pending_changes.subtract(change.holder for change in changes)
        self._pending_changes = +self._pending_changes
        # After an unexpected error in its application, nothing is done.
        done_flags = result.detail.get("done", "0" * len(changes))
        for change, applied in zip(changes, done_flags, strict=True):
            session = self._sessions.get(change.holder)
            if applied == "1" and change.delta > 0 and session is not None:
                self.assignments.append(change)
                session.grant_slots(change)

    def release_slots(self, holder: str, wall_time: float) -> None:
        """Return all slots of a holder to the pool."""
        changes = tuple(
            commands.SlotChange(upstream.name, upstream.incarnation, holder, -count)
            for upstream in self._state.slots.upstreams.values()
            if (count := upstream.held.get(holder, 0))
        )
        if changes:
            self._assign(changes, wall_time)

    def release_instance(self, holder: str, wall_time: float) -> None:
        """Reclaim the slots of an instance that announced its shutdown."""
        self._instance_leases.remove(holder)
        self.release_slots(holder, wall_time)

    def _allocate(self, now: float, wall_time: float) -> None:
        holders = {
            holder: demand
            for holder, demand in self._demands.items()
            if self.is_live(holder, now) and not self._sessions[holder].draining
        }
        allocation = plan_allocation(self._state.slots, holders, now)
        for holder, recall in allocation.recalls:
            session = self._sessions[holder]
            if session.sent_recalls.get(recall.upstream) != recall.keep:
                session.sent_recalls[recall.upstream] = recall.keep
                session.send(recall)
        if allocation.changes:
            self._assign(tuple(allocation.changes), wall_time)

    # Time.

    def tick(self, now: float, wall_time: float) -> None:
        """Expire silent upstreams and holders, and reallocate slots by demand."""
        for name in self._upstream_leases.pop_expired(now):
            upstream = self._state.slots.upstreams.get(name)
            if upstream is not None:
                self._proposals.add(
                    commands.DropUpstream(
                        time=wall_time, upstream=name, incarnation=upstream.incarnation
                    )
                )
        for holder in self._instance_leases.pop_expired(now):
            self._reclaim_times[holder] = now + self._max_in_flight_s
        for holder in [x for x, due in self._reclaim_times.items() if now >= due]:
            del self._reclaim_times[holder]
            self.release_slots(holder, wall_time)
        if now >= self._allocation_due and not self._pending_changes:
            self._allocation_due = now + self._options.allocation_interval_s
            self._allocate(now, wall_time)
