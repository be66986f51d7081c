"""The leader's duties towards instances: leases, slots and their return.

Rules:
    * What an instance holds less than it was assigned goes back to the pool; what it
      holds more it gives up before its lease is renewed.
    * While slots of a silent instance may be on their way back, its polls are not
      answered.
    * The slots of a silent instance go back when its lease and the longest deadline
      that it may have in hand have passed, or earlier by the upstream's own word.
"""

from collections import Counter

from bluebellyoke.cell import commands as c
from bluebellyoke.cell.state import CellState
from bluebellyoke.consensus.timing import CLOCK_DRIFT
from bluebellyoke.instance import wire as w
from bluebellyoke.leader.leases import LeaseTable
from bluebellyoke.leader.sessions import LeaderOptions, ProposalQueue, Session
from bluebellyoke.routing.allocation import HolderDemand, plan_allocation

__all__ = ["SlotDuties"]

#: Time past a dead holder's lease at which an upstream's own word frees its slots.
IN_FLIGHT_GRACE_S = 1.0


class SlotDuties:
    """Assigns slots to instances and takes them back.

    Args:
        options: Durations.
        proposals: Commands on their way to the log.
    """

    def __init__(self, *, options: LeaderOptions, proposals: ProposalQueue) -> None:
        self.assignments: list[c.SlotChange] = []
        self._options = options
        self._proposals = proposals
        self._state = CellState()
        self._instance_leases = LeaseTable(length_s=options.instance_lease_s)
        self._upstream_leases = LeaseTable(length_s=options.upstream_silence_s)
        # A silent instance measures the deadlines of its requests by its own clock.
        self._longest_in_hand_s = options.longest_deadline_s * (1 + 2 * CLOCK_DRIFT)
        self._sessions: dict[str, Session] = {}
        self._demands: dict[str, HolderDemand] = {}
        self._reclaims: dict[str, float] = {}
        self._moving: Counter[str] = Counter()
        self._allocation_due = 0.0

    def begin(self, state: CellState, now: float) -> None:
        """Start to act; every lease counts as renewed now."""
        self._state = state
        self.assignments.clear()
        self._instance_leases.clear()
        self._upstream_leases.clear()
        self._sessions.clear()
        self._demands.clear()
        self._reclaims.clear()
        self._moving.clear()
        self._allocation_due = now
        for holder in state.slots.list_holders():
            self._instance_leases.renew(holder, now)
        for upstream in state.slots.upstreams.values():
            self._upstream_leases.renew(upstream.name, now)

    def open_session(self, session: Session) -> None:
        """Take in the stream of a holder."""
        self._sessions[session.holder] = session
        self._demands[session.holder] = HolderDemand(session.data_centre)

    def close_session(self, session: Session) -> None:
        """Forget a stream; the holder's lease runs on."""
        if self._sessions.get(session.holder) is session:
            del self._sessions[session.holder]
            del self._demands[session.holder]

    def is_live(self, holder: str, now: float) -> bool:
        """Return whether a holder may still act on its lease."""
        return self._instance_leases.is_live(holder, now)

    # Polls.

    def renew(
        self, session: Session, poll: w.Poll, now: float, wall: float
    ) -> tuple[w.Holding, ...] | None:
        """Renew a holder's lease; return its limits, or None without a renewal."""
        if not self.is_live(session.holder, now) and self._moving[session.holder]:
            return None
        self._instance_leases.renew(session.holder, now)
        self._reclaims.pop(session.holder, None)
        session.draining = poll.draining
        for number in [x for x in session.grants if x <= poll.last_grant]:
            del session.grants[number]
        limits = self._reconcile(session, poll, wall)
        self._note_demand(session, poll)
        for renewal in poll.renewals:
            self._renew_upstream(renewal, now, wall)
        if poll.demands:
            self._allocation_due = min(self._allocation_due, now)
        return limits

    def _reconcile(
        self, session: Session, poll: w.Poll, wall: float
    ) -> tuple[w.Holding, ...]:
        """Compare what an instance holds with what is assigned to it."""
        told = {(item.upstream, item.incarnation): item for item in poll.holdings}
        changes, limits = [], []
        for upstream in self._state.slots.upstreams.values():
            key = (upstream.name, upstream.incarnation)
            assigned = upstream.held.get(session.holder, 0)
            item = told.pop(key, None)
            held = item.held if item is not None else 0
            settled = assigned - session.count_granted(upstream.name)
            if held < settled and not self._moving[session.holder]:
                changes.append(c.SlotChange(*key, session.holder, held - settled))
            elif held > assigned:
                limits.append(w.Holding(*key, assigned, 0))
        limits += [w.Holding(*key, 0, 0) for key in told]
        if changes:
            self._assign(tuple(changes), wall)
        return tuple(limits)

    def _note_demand(self, session: Session, poll: w.Poll) -> None:
        demand = self._demands.get(session.holder)
        if demand is None:
            return
        demand.queued = {item.service: item.queued for item in poll.demands}
        demand.in_use = {item.upstream: item.in_use for item in poll.holdings}

    # Upstreams.

    def note_announcement(self, upstream: str, now: float) -> None:
        """Count an upstream's announcement as its renewal."""
        self._upstream_leases.renew(upstream, now)
        self._allocation_due = now

    def _renew_upstream(self, renewal: w.Renewal, now: float, wall: float) -> None:
        upstream = self._state.slots.upstreams.get(renewal.upstream)
        if upstream is None or upstream.incarnation != renewal.incarnation:
            return
        self._upstream_leases.renew(renewal.upstream, now)
        if renewal.running is None:
            return
        for holder, held in list(upstream.held.items()):
            due = self._reclaims.get(holder)
            if due is None or self._moving[holder]:
                continue
            if now < due - self._longest_in_hand_s + IN_FLIGHT_GRACE_S:
                continue
            excess = held - renewal.running.get(holder, 0)
            if excess > 0:
                change = c.SlotChange(
                    upstream.name, upstream.incarnation, holder, -excess
                )
                self._assign((change,), wall)

    # Assignments.

    def _assign(self, changes: tuple[c.SlotChange, ...], wall: float) -> None:
        self._moving.update(change.holder for change in changes)
        self._proposals.add(
            c.AssignSlots(time=wall, changes=changes),
            lambda result: self._after_assign(changes, result),
        )

    def _after_assign(
        self, changes: tuple[c.SlotChange, ...], result: c.Result
    ) -> None:
        """Send grants for the slots that are now assigned."""
        self._moving.subtract(change.holder for change in changes)
        self._moving = +self._moving
        for change, done in zip(changes, result.detail["done"], strict=True):
            session = self._sessions.get(change.holder)
            if done == "1" and change.delta > 0 and session is not None:
                self.assignments.append(change)
                session.grant(change)

    def release_all(self, holder: str, wall: float) -> None:
        """Return every slot of a holder to the pool."""
        changes = tuple(
            c.SlotChange(upstream.name, upstream.incarnation, holder, -count)
            for upstream in self._state.slots.upstreams.values()
            if (count := upstream.held.get(holder, 0))
        )
        if changes:
            self._assign(changes, wall)

    def release_leaving(self, holder: str, wall: float) -> None:
        """Take back the slots of an instance that has said that it leaves."""
        self._instance_leases.drop(holder)
        self.release_all(holder, wall)

    def _allocate(self, now: float, wall: float) -> None:
        holders = {
            holder: demand
            for holder, demand in self._demands.items()
            if self.is_live(holder, now) and not self._sessions[holder].draining
        }
        allocation = plan_allocation(self._state.slots, holders, now)
        for holder, recall in allocation.recalls:
            session = self._sessions[holder]
            if session.sent_keeps.get(recall.upstream) != recall.keep:
                session.sent_keeps[recall.upstream] = recall.keep
                session.send(recall)
        if allocation.changes:
            self._assign(tuple(allocation.changes), wall)

    # Time.

    def tick(self, now: float, wall: float) -> None:
        """End what has been silent too long, and move slots to where they lack."""
        for name in self._upstream_leases.take_expired(now):
            upstream = self._state.slots.upstreams.get(name)
            if upstream is not None:
                self._proposals.add(
                    c.DropUpstream(
                        time=wall, upstream=name, incarnation=upstream.incarnation
                    )
                )
        for holder in self._instance_leases.take_expired(now):
            self._reclaims[holder] = now + self._longest_in_hand_s
        for holder in [x for x, due in self._reclaims.items() if now >= due]:
            del self._reclaims[holder]
            self.release_all(holder, wall)
        if now >= self._allocation_due and not self._moving:
            self._allocation_due = now + self._options.allocation_interval_s
            self._allocate(now, wall)
