"""The leader's decisions: messages and time in, commands and answers out.

The controller exists on every replica and is active on the leader only. It reads the
cell state, proposes commands and answers sessions, which are the streams of
instances. It keeps leases and demands in memory; a new leader starts with every
lease renewed and learns the rest from the next polls.
"""

from collections.abc import Callable

from bluebellyoke.cell import commands as c
from bluebellyoke.cell.state import CellState, ViewUpdate
from bluebellyoke.clock import SystemClock
from bluebellyoke.dispatch.calls import WorkerCalls
from bluebellyoke.dispatch.desk import QueueDesk
from bluebellyoke.dispatch.duties import DispatchDuties
from bluebellyoke.dispatch.events import WorkerEvent
from bluebellyoke.dispatch.members import LeaseTimes
from bluebellyoke.dispatch.ports import UnusedCaller
from bluebellyoke.instance import wire as w
from bluebellyoke.leader import queries
from bluebellyoke.leader.sessions import (
    LeaderOptions,
    Proposal,
    ProposalQueue,
    Session,
)
from bluebellyoke.leader.slots import SlotDuties
from bluebellyoke.leader.workers import WorkerDuties
from bluebellyoke.placement.engine import Decision, PlacementEngine
from bluebellyoke.workflow.commands import ApplyConfiguration

__all__ = ["LeaderController"]

#: Time between two commands that end backoffs and drop old records, in seconds.
HOUSEKEEPING_S = 0.5


class LeaderController:
    """Acts for the cell while its replica leads.

    Args:
        options: Durations.
        engine: Planner of placements.
        calls: Tasks that call the workers of workflows.
        lease_times: Leases of these workers.
    """

    def __init__(
        self,
        *,
        options: LeaderOptions,
        engine: PlacementEngine,
        calls: WorkerCalls | None = None,
        lease_times: LeaseTimes | None = None,
    ) -> None:
        self.engine = engine
        self.state = CellState()
        self.active = False
        self.sessions: dict[int, Session] = {}
        self.decisions: list[Decision] = []
        self._proposals = ProposalQueue()
        self.workers = WorkerDuties(options=options, proposals=self._proposals)
        self.slots = SlotDuties(options=options, proposals=self._proposals)
        self.calls = calls or WorkerCalls(caller=UnusedCaller(), clock=SystemClock())
        self.dispatch = DispatchDuties(
            proposals=self._proposals, calls=self.calls, times=lease_times
        )
        self._desk = QueueDesk(self.dispatch)
        self._lease_s = options.instance_lease_s
        self._plan_due = 0.0
        self._plan_pending = False
        self._housekeeping_due = 0.0
        self._peers: tuple[str, ...] = ()

    # Life cycle.

    def activate(self, state: CellState, now: float, term: int = 0) -> None:
        """Start to act with the state that a new leader of `term` has applied."""
        self.deactivate()
        self.active = True
        self.state = state
        self.engine.rebuild(state.book)
        self.workers.begin(state, now)
        self.slots.begin(state, now)
        self.dispatch.begin(state.workflows, term, now)
        self._plan_due = self._housekeeping_due = now

    def deactivate(self) -> None:
        """Stop to act and forget everything that is not in the state."""
        self.active = False
        self.sessions.clear()
        self.decisions.clear()
        self.dispatch.end()
        self._proposals.pop_all()
        self._plan_pending = False

    def set_peers(self, peers: tuple[str, ...]) -> None:
        """Set the addresses of the members that instances are told."""
        self._peers = peers

    def pop_proposals(self) -> list[Proposal]:
        """Return the commands to propose and forget them."""
        return self._proposals.pop_all()

    # Sessions.

    def open_session(
        self, session_id: int, hello: w.Hello, send: Callable[[w.FromLeader], None]
    ) -> None:
        """Take in the stream of an instance."""
        holder = f"{hello.instance}/{hello.incarnation}"
        session = Session(session_id, send, hello.instance, holder, hello.data_centre)
        self.sessions[session_id] = session
        self.slots.open_session(session)
        self.dispatch.advice.open_session(session_id, send)

    def close_session(self, session_id: int) -> None:
        """Forget a stream; the instance's lease runs on."""
        session = self.sessions.pop(session_id, None)
        self.dispatch.advice.close_session(session_id)
        if session is not None:
            self.slots.close_session(session)
            self.workers.forget_session(session)

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
        elif isinstance(message, w.AdviceReply):
            self.dispatch.advice.receive(session_id, message, now)
            self.dispatch.plan_soon()
        elif isinstance(message, w.Bye):
            self.slots.release_leaving(session.holder, wall)

    def _on_poll(self, session: Session, poll: w.Poll, now: float, wall: float) -> None:
        limits = self.slots.renew(session, poll, now, wall)
        if limits is None:
            return
        session.view_version = poll.view_version
        view = None
        if poll.view_version != self.state.version:
            view = self.state.collect_view(poll.view_version)
            session.sent_version = view.version
        session.send(
            w.PollReply(poll.sent_at, self._lease_s, view, limits, self._peers)
        )

    def _on_call(self, session: Session, call: w.Call, now: float, wall: float) -> None:
        body = call.body
        if isinstance(body, w.WorkerHeartbeat):
            self.workers.on_heartbeat(session, call.id, body, now, wall)
        elif isinstance(body, w.QueueRequest):
            self._desk.handle(
                self.state.workflows,
                body,
                wall,
                lambda reply: session.send(w.Reply(call.id, reply)),
            )
        elif isinstance(body, w.WorkerAnnouncement):
            self._desk.announce(
                body, wall, lambda result: session.send(w.Reply(call.id, result))
            )
        elif isinstance(body, ApplyConfiguration):
            self.dispatch.change_configuration(
                body, wall, lambda result: session.send(w.Reply(call.id, result))
            )
        elif isinstance(body, w.Query):
            session.send(w.Reply(call.id, self._answer_query(body, now, wall)))
        else:
            self._proposals.add(
                _stamp(body, wall),
                lambda result: self._finish_call(session, call, result, now),
            )

    def _answer_query(self, query: w.Query, now: float, wall: float) -> w.QueryReply:
        evidence = queries.Evidence(
            state=self.state,
            sessions=self.sessions,
            slots=self.slots,
            obstacles=self.engine.obstacles,
        )
        return queries.answer(evidence, query, now, wall)

    def _finish_call(
        self, session: Session, call: w.Call, result: c.Result, now: float
    ) -> None:
        if isinstance(call.body, c.AnnounceUpstream) and result.accepted:
            self.slots.note_announcement(call.body.upstream, now)
        if isinstance(call.body, c.SubmitJob) and result.accepted:
            self._plan_due = min(self._plan_due, now)
        session.send(w.Reply(call.id, result))

    def receive_event(self, event: WorkerEvent, now: float, wall: float) -> None:
        """Act on the end of a call to a worker of workflows."""
        if self.active:
            self.dispatch.receive(event, now, wall)

    # Time.

    def tick(self, now: float, wall: float) -> None:
        """Act on the passing of time."""
        self.workers.tick(now, wall)
        self.slots.tick(now, wall)
        self.dispatch.tick(now, wall)
        if now >= self._housekeeping_due:
            self._housekeeping_due = now + HOUSEKEEPING_S
            if self._has_housekeeping(wall):
                self._proposals.add(c.AdvanceTime(time=wall))
        if now >= self._plan_due and not self._plan_pending:
            self._plan_due = now + self.engine.policy.interval_s
            self._plan(wall)

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
            self._proposals.add(
                c.PreemptTasks(time=wall, tasks=tuple(result.preemptions))
            )
        if result.placements:
            self._plan_pending = True
            self._proposals.add(
                c.PlaceTasks(time=wall, placements=tuple(result.placements)),
                self._after_placement,
            )

    def _after_placement(self, result: c.Result) -> None:
        self._plan_pending = False

    def after_apply(self) -> None:
        """Send what the applied commands changed for workers and instances."""
        self._push_view()
        self.workers.answer_touched()

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
    fields = {
        name: getattr(command, name)
        for name in command.__struct_fields__
        if name != "time"
    }
    return type(command)(**fields, time=wall)
