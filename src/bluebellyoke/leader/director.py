"""The leader's decisions: messages and time in, commands and answers out.

The director exists on every replica and is active on the leader only. It reads the
cell state, proposes commands and answers sessions, which are the streams of
instances. It keeps leases and demands in memory; a new leader starts with every
lease renewed and learns the rest from the next polls.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from bluebellyoke.cell import commands as c
from bluebellyoke.cell.state import CellState, ViewUpdate
from bluebellyoke.consensus.core import CLOCK_DRIFT
from bluebellyoke.instance import wire as w
from bluebellyoke.leader import reports
from bluebellyoke.leader.leases import LeaseTable
from bluebellyoke.leader.orders import build_orders, has_news
from bluebellyoke.placement.engine import Decision, PlacementEngine
from bluebellyoke.routing.allocation import HolderDemand, plan_allocation

__all__ = ["Director", "DirectorOptions", "Proposal"]

#: Usage above the need by this factor raises the need.
LEARNING_FACTOR = 1.05

#: Time past a dead holder's lease at which an upstream's own word frees its slots.
IN_FLIGHT_GRACE_S = 1.0

#: Time between two commands that end backoffs and drop old records, in seconds.
HOUSEKEEPING_S = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class DirectorOptions:
    """Durations that the director works with, in seconds.

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
    """The stream of one instance."""

    id: int
    send: Callable[[w.FromLeader], None]
    instance: str = ""
    holder: str = ""
    data_centre: str = ""
    view_version: int = -1
    sent_version: int = -1
    draining: bool = False
    next_grant: int = 1
    grants: dict[int, tuple[str, str, int]] = field(default_factory=dict)
    sent_keeps: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class HeldHeartbeat:
    """A heartbeat whose reply waits for news."""

    session: Session
    call: int
    heartbeat: w.WorkerHeartbeat
    due: float


@dataclass(frozen=True, slots=True)
class Proposal:
    """A command with the action that follows when it is applied."""

    command: c.Command
    on_result: Callable[[c.Result], None] | None = None


class Director:
    """Acts for the cell while its replica leads.

    Args:
        options: Durations.
        engine: Planner of placements.
    """

    def __init__(self, *, options: DirectorOptions, engine: PlacementEngine) -> None:
        self.options = options
        self.engine = engine
        self.state = CellState()
        self.active = False
        self.sessions: dict[int, Session] = {}
        self.proposals: list[Proposal] = []
        self.decisions: list[Decision] = []
        self.allocations: list[c.SlotChange] = []
        self.instance_leases = LeaseTable(length_s=options.instance_lease_s)
        self.worker_leases = LeaseTable(
            length_s=options.worker_lease_s, grace_s=options.worker_grace_s
        )
        self.upstream_leases = LeaseTable(length_s=options.upstream_silence_s)
        # A silent instance measures the deadlines of its requests by its own clock.
        self._longest_in_hand_s = options.longest_deadline_s * (1 + 2 * CLOCK_DRIFT)
        self._demands: dict[str, HolderDemand] = {}
        self._by_holder: dict[str, Session] = {}
        self._reclaims: dict[str, float] = {}
        self._sequences: dict[str, tuple[str, int]] = {}
        self._held: dict[str, HeldHeartbeat] = {}
        self._learning: set[str] = set()
        self._announcing: set[str] = set()
        self._plan_due = 0.0
        self._plan_pending = False
        self._allocation_due = 0.0
        self._moving: Counter[str] = Counter()
        self._housekeeping_due = 0.0
        self._peers: tuple[str, ...] = ()

    # Life cycle.

    def begin(self, state: CellState, now: float) -> None:
        """Start to act with the state that a new leader has applied."""
        self.end()
        self.active = True
        self.state = state
        state.book.touched_workers.clear()
        self.engine.rebuild(state.book)
        for worker in state.book.workers.values():
            if worker.alive:
                self.worker_leases.renew(worker.name, now)
        for upstream in state.slots.upstreams.values():
            self.upstream_leases.renew(upstream.name, now)
        for holder in state.slots.list_holders():
            self.instance_leases.renew(holder, now)
        self._plan_due = self._allocation_due = self._housekeeping_due = now

    def end(self) -> None:
        """Stop to act and forget everything that is not in the state."""
        self.active = False
        self.sessions.clear()
        self.proposals.clear()
        self.decisions.clear()
        self.allocations.clear()
        for leases in (self.instance_leases, self.worker_leases, self.upstream_leases):
            leases.clear()
        self._demands.clear()
        self._by_holder.clear()
        self._reclaims.clear()
        self._sequences.clear()
        self._held.clear()
        self._learning.clear()
        self._announcing.clear()
        self._plan_pending = False
        self._moving.clear()

    def set_peers(self, peers: tuple[str, ...]) -> None:
        """Set the addresses of the members that instances are told."""
        self._peers = peers

    def take_proposals(self) -> list[Proposal]:
        """Return the commands to propose and forget them."""
        proposals, self.proposals = self.proposals, []
        return proposals

    def _propose(
        self,
        command: c.Command,
        on_result: Callable[[c.Result], None] | None = None,
    ) -> None:
        self.proposals.append(Proposal(command, on_result))

    # Sessions.

    def open_session(
        self, session_id: int, hello: w.Hello, send: Callable[[w.FromLeader], None]
    ) -> None:
        """Take in the stream of an instance."""
        holder = f"{hello.instance}/{hello.incarnation}"
        session = Session(session_id, send, hello.instance, holder, hello.data_centre)
        self.sessions[session_id] = session
        self._by_holder[holder] = session
        self._demands[holder] = HolderDemand(hello.data_centre)

    def close_session(self, session_id: int) -> None:
        """Forget a stream; the instance's lease runs on."""
        session = self.sessions.pop(session_id, None)
        if session is None:
            return
        if self._by_holder.get(session.holder) is session:
            del self._by_holder[session.holder]
            self._demands.pop(session.holder, None)
        for worker, held in list(self._held.items()):
            if held.session is session:
                del self._held[worker]

    def receive(
        self, session_id: int, message: w.FromInstance, now: float, wall: float
    ) -> None:
        """Act on a message of an instance."""
        session = self.sessions.get(session_id)
        if session is None:
            return
        if isinstance(message, w.Poll):
            self._on_poll(session, message, now, wall)
        elif isinstance(message, w.Call):
            self._on_call(session, message, now, wall)
        elif isinstance(message, w.Bye):
            self.instance_leases.drop(session.holder)
            self._release_all(session.holder, wall)

    def _on_poll(self, session: Session, poll: w.Poll, now: float, wall: float) -> None:
        is_live = self.instance_leases.is_live(session.holder, now)
        if not is_live and self._moving[session.holder]:
            # Its slots may be on the way back to the pool; the next poll will tell.
            return
        self.instance_leases.renew(session.holder, now)
        self._reclaims.pop(session.holder, None)
        session.view_version = poll.view_version
        session.draining = poll.draining
        for number in [x for x in session.grants if x <= poll.last_grant]:
            del session.grants[number]
        limits = self._reconcile(session, poll, wall)
        self._note_demand(session, poll)
        for renewal in poll.renewals:
            self._renew_upstream(renewal, now, wall)
        view = None
        if poll.view_version != self.state.version:
            view = self.state.collect_view(poll.view_version)
            session.sent_version = view.version
        session.send(
            w.PollReply(
                poll.sent_at,
                self.options.instance_lease_s,
                view,
                limits,
                self._peers,
            )
        )
        if poll.demands:
            self._allocation_due = min(self._allocation_due, now)

    def _reconcile(
        self, session: Session, poll: w.Poll, wall: float
    ) -> tuple[w.Holding, ...]:
        """Compare what an instance holds with what is assigned to it.

        What it holds less goes back to the pool; what it holds more it has to give
        up before its lease is renewed.
        """
        under_way: dict[str, int] = {}
        for upstream, _, slots in session.grants.values():
            under_way[upstream] = under_way.get(upstream, 0) + slots
        told = {(item.upstream, item.incarnation): item for item in poll.holdings}
        changes, limits = [], []
        for upstream in self.state.slots.upstreams.values():
            assigned = upstream.held.get(session.holder, 0)
            item = told.pop((upstream.name, upstream.incarnation), None)
            held = item.held if item is not None else 0
            settled = assigned - under_way.get(upstream.name, 0)
            if held < settled and not self._moving[session.holder]:
                changes.append(
                    c.SlotChange(
                        upstream.name,
                        upstream.incarnation,
                        session.holder,
                        held - settled,
                    )
                )
            elif held > assigned:
                limits.append(
                    w.Holding(upstream.name, upstream.incarnation, assigned, 0)
                )
        limits += [
            w.Holding(upstream, incarnation, 0, 0) for upstream, incarnation in told
        ]
        if changes:
            self._assign(tuple(changes), wall)
        return tuple(limits)

    def _note_demand(self, session: Session, poll: w.Poll) -> None:
        demand = self._demands.get(session.holder)
        if demand is None:
            return
        demand.queued = {item.service: item.queued for item in poll.demands}
        demand.in_use = {item.upstream: item.in_use for item in poll.holdings}

    # Calls.

    def _on_call(self, session: Session, call: w.Call, now: float, wall: float) -> None:
        body = call.body
        if isinstance(body, w.WorkerHeartbeat):
            self._on_heartbeat(session, call.id, body, now, wall)
        elif isinstance(body, w.Query):
            session.send(w.Reply(call.id, reports.answer(self, body, now, wall)))
        else:
            self._propose(
                _stamp(body, wall),
                lambda result: self._finish_call(session, call, result, now),
            )

    def _finish_call(
        self, session: Session, call: w.Call, result: c.Result, now: float
    ) -> None:
        if isinstance(call.body, c.AnnounceUpstream) and result.accepted:
            self.upstream_leases.renew(call.body.upstream, now)
            self._allocation_due = now
        if isinstance(call.body, c.SubmitJob) and result.accepted:
            self._plan_due = min(self._plan_due, now)
        session.send(w.Reply(call.id, result))

    # Workers.

    def _on_heartbeat(
        self,
        session: Session,
        call: int,
        heartbeat: w.WorkerHeartbeat,
        now: float,
        wall: float,
    ) -> None:
        worker = self.state.book.workers.get(heartbeat.worker)
        if worker is None or worker.session != heartbeat.session:
            self._admit(session, call, heartbeat, now, wall)
            return
        if not worker.alive:
            self._send_ended(session, call, heartbeat, wall)
            return
        latest = self._sequences.get(worker.name, ("", -1))
        if latest[0] == heartbeat.session and heartbeat.sequence < latest[1]:
            # A crossed heartbeat says nothing of the present.
            orders = w.WorkerOrders("ok", 0.0)
            session.send(w.Reply(call, orders))
            return
        self._sequences[worker.name] = (heartbeat.session, heartbeat.sequence)
        self.worker_leases.renew(worker.name, now)
        self._learn(heartbeat, wall)
        held = HeldHeartbeat(session, call, heartbeat, now + heartbeat.wait_s)
        if heartbeat.ended:
            command = c.ReportTasks(
                time=wall,
                worker=worker.name,
                session=worker.session,
                reports=heartbeat.ended,
            )
            self._propose(command, lambda _: self._answer_worker(held))
            return
        earlier = self._held.pop(worker.name, None)
        if earlier is not None:
            self._answer_worker(earlier)
        orders = build_orders(worker, heartbeat, self.worker_leases.length_s)
        if has_news(orders) or not heartbeat.wait_s:
            session.send(w.Reply(call, orders))
        else:
            self._held[worker.name] = held

    def _admit(
        self,
        session: Session,
        call: int,
        heartbeat: w.WorkerHeartbeat,
        now: float,
        wall: float,
    ) -> None:
        command = c.AdmitWorker(
            time=wall,
            worker=heartbeat.worker,
            session=heartbeat.session,
            total=heartbeat.total,
            rack=heartbeat.rack,
            data_centre=heartbeat.data_centre,
        )
        held = HeldHeartbeat(session, call, heartbeat, now)

        def finish(result: c.Result) -> None:
            if not result.accepted:
                self._send_ended(session, call, heartbeat, wall)
                return
            self.worker_leases.renew(heartbeat.worker, now)
            self._answer_worker(held)

        self._propose(command, finish)

    def _send_ended(
        self, session: Session, call: int, heartbeat: w.WorkerHeartbeat, wall: float
    ) -> None:
        """Tell a worker that its session is over, and take its late reports."""
        if heartbeat.ended:
            self._propose(
                c.ReportTasks(
                    time=wall,
                    worker=heartbeat.worker,
                    session=heartbeat.session,
                    reports=heartbeat.ended,
                )
            )
        session.send(w.Reply(call, w.WorkerOrders("ended", 0.0)))

    def _answer_worker(self, held: HeldHeartbeat) -> None:
        """Answer a heartbeat from the present state."""
        worker = self.state.book.workers.get(held.heartbeat.worker)
        if (
            worker is None
            or not worker.alive
            or worker.session != held.heartbeat.session
        ):
            orders = w.WorkerOrders("ended", 0.0)
        else:
            orders = build_orders(worker, held.heartbeat, self.worker_leases.length_s)
        held.session.send(w.Reply(held.call, orders))

    def _learn(self, heartbeat: w.WorkerHeartbeat, wall: float) -> None:
        """Raise the memory need of jobs whose tasks use more than they declared."""
        for item in heartbeat.running:
            job = self.state.book.jobs.get(item.job_id)
            if job is None or item.job_id in self._learning:
                continue
            if item.used.memory_mb <= job.need.memory_mb * LEARNING_FACTOR:
                continue
            self._learning.add(item.job_id)
            used = c.Resources(0, item.used.memory_mb, 0)
            self._propose(
                c.LearnNeed(time=wall, job_id=item.job_id, used=used),
                lambda _, job_id=item.job_id: self._learning.discard(job_id),
            )

    # Upstreams and slots.

    def _renew_upstream(self, renewal: w.Renewal, now: float, wall: float) -> None:
        upstream = self.state.slots.upstreams.get(renewal.upstream)
        if upstream is None or upstream.incarnation != renewal.incarnation:
            return
        self.upstream_leases.renew(renewal.upstream, now)
        if renewal.running is None:
            return
        for holder in list(upstream.held):
            due = self._reclaims.get(holder)
            silent_at = None if due is None else due - self._longest_in_hand_s
            if silent_at is None or now < silent_at + IN_FLIGHT_GRACE_S:
                continue
            excess = upstream.held[holder] - renewal.running.get(holder, 0)
            if excess > 0:
                change = c.SlotChange(
                    upstream.name, upstream.incarnation, holder, -excess
                )
                self._assign((change,), wall)

    def _assign(self, changes: tuple[c.SlotChange, ...], wall: float) -> None:
        self._moving.update(change.holder for change in changes)
        self._propose(
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
            session = self._by_holder.get(change.holder)
            if done == "0" or change.delta < 0 or session is None:
                continue
            self.allocations.append(change)
            number = session.next_grant
            session.next_grant += 1
            session.grants[number] = (
                change.upstream,
                change.incarnation,
                change.delta,
            )
            session.sent_keeps.pop(change.upstream, None)
            session.send(
                w.Grant(number, change.upstream, change.incarnation, change.delta)
            )

    def _release_all(self, holder: str, wall: float) -> None:
        """Return every slot of a holder to the pool."""
        changes = tuple(
            c.SlotChange(upstream.name, upstream.incarnation, holder, -count)
            for upstream in self.state.slots.upstreams.values()
            if (count := upstream.held.get(holder, 0))
        )
        if changes:
            self._assign(changes, wall)

    def _allocate(self, now: float, wall: float) -> None:
        holders = {
            holder: demand
            for holder, demand in self._demands.items()
            if self.instance_leases.is_live(holder, now)
            and not self._by_holder[holder].draining
        }
        allocation = plan_allocation(self.state.slots, holders, now)
        for holder, recall in allocation.recalls:
            session = self._by_holder[holder]
            if session.sent_keeps.get(recall.upstream) != recall.keep:
                session.sent_keeps[recall.upstream] = recall.keep
                session.send(recall)
        if allocation.changes:
            self._assign(tuple(allocation.changes), wall)

    # Time.

    def tick(self, now: float, wall: float) -> None:
        """Act on the passing of time."""
        self._expire_leases(now, wall)
        self._answer_due_heartbeats(now)
        if now >= self._housekeeping_due:
            self._housekeeping_due = now + HOUSEKEEPING_S
            if self._has_housekeeping(wall):
                self._propose(c.AdvanceTime(time=wall))
        if now >= self._allocation_due and not self._moving:
            self._allocation_due = now + self.options.allocation_interval_s
            self._allocate(now, wall)
        if now >= self._plan_due and not self._plan_pending:
            self._plan_due = now + self.engine.policy.interval_s
            self._plan(wall)

    def _expire_leases(self, now: float, wall: float) -> None:
        for name in self.worker_leases.take_expired(now):
            worker = self.state.book.workers.get(name)
            if worker is not None and worker.alive:
                self._propose(
                    c.LoseWorker(time=wall, worker=name, session=worker.session)
                )
        for name in self.upstream_leases.take_expired(now):
            upstream = self.state.slots.upstreams.get(name)
            if upstream is not None:
                self._propose(
                    c.DropUpstream(
                        time=wall, upstream=name, incarnation=upstream.incarnation
                    )
                )
        for holder in self.instance_leases.take_expired(now):
            self._reclaims[holder] = now + self._longest_in_hand_s
        for holder, due in list(self._reclaims.items()):
            if now >= due:
                del self._reclaims[holder]
                self._release_all(holder, wall)

    def _answer_due_heartbeats(self, now: float) -> None:
        due = [name for name, held in self._held.items() if held.due <= now]
        for name in due:
            self._answer_worker(self._held.pop(name))

    def _has_housekeeping(self, wall: float) -> bool:
        book, claims = self.state.book, self.state.claims
        return bool(
            (book.backoffs and book.backoffs[0][0] <= wall)
            or (claims.expiries and claims.expiries[0][0] <= wall)
            or book.has_old_records(wall)
        )

    def _plan(self, wall: float) -> None:
        if not self.state.book.queues:
            return
        result = self.engine.plan(self.state.book, wall)
        self.decisions += result.decisions
        if result.preemptions:
            self._propose(c.PreemptTasks(time=wall, tasks=tuple(result.preemptions)))
        if result.placements:
            self._plan_pending = True
            self._propose(
                c.PlaceTasks(time=wall, placements=tuple(result.placements)),
                self._after_placement,
            )

    def _after_placement(self, result: c.Result) -> None:
        self._plan_pending = False

    def after_apply(self) -> None:
        """Send what the applied commands changed for workers and instances."""
        self._push_view()
        touched = self.state.book.touched_workers
        for name in touched:
            held = self._held.pop(name, None)
            if held is not None:
                self._answer_worker(held)
        touched.clear()

    def _push_view(self) -> None:
        """Send the new view to the instances without waiting for their polls."""
        version = self.state.version
        updates: dict[int, ViewUpdate] = {}
        for session in self.sessions.values():
            since = session.sent_version
            if since in (-1, version):
                continue
            if since not in updates:
                updates[since] = self.state.collect_view(since)
            session.send(updates[since])
            session.sent_version = version


def _stamp(command: c.Command, wall: float) -> c.Command:
    """Return a command of an instance with the leader's time."""
    return type(command)(
        **{
            name: getattr(command, name)
            for name in command.__struct_fields__
            if name != "time"
        },
        time=wall,
    )
