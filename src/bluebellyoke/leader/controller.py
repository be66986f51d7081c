"""Decision logic of the leader.

The controller takes messages and clock readings and returns commands and replies. It
exists on every replica and is active on the leader only. It reads the cell state,
proposes commands and replies to sessions, which are the streams of instances.

Leases and demands are kept in memory only. A new leader treats every lease as renewed
when it starts and rebuilds the other data from the polls that follow.
"""

from collections.abc import Callable

from bluebellyoke.cell import commands
from bluebellyoke.cell.state import CellState, ViewUpdate
from bluebellyoke.clock import SystemClock
from bluebellyoke.containment import ErrorContainment
from bluebellyoke.dispatch.calls import WorkerCalls
from bluebellyoke.dispatch.dispatcher import Dispatcher
from bluebellyoke.dispatch.events import WorkerEvent
from bluebellyoke.dispatch.features import DispatchFeatures
from bluebellyoke.dispatch.ports import NullWorkerClient
from bluebellyoke.dispatch.queue_requests import QueueRequestHandler
from bluebellyoke.dispatch.workers import LeaseTimes
from bluebellyoke.instance import wire
from bluebellyoke.leader import queries
from bluebellyoke.leader.sessions import (
    InstanceSession,
    LeaderOptions,
    Proposal,
    ProposalQueue,
)
from bluebellyoke.leader.slots import SlotManager
from bluebellyoke.leader.workers import WorkerManager
from bluebellyoke.placement.engine import Decision, PlacementEngine
from bluebellyoke.workflow.commands import ApplyConfiguration

__all__ = ["LeaderController"]

#: Time between two commands that end backoffs and remove expired records, in seconds.
HOUSEKEEPING_INTERVAL_S = 0.5


class LeaderController:
    """Runs the cell while the local replica is the leader.

    Args:
        options: Timing options.
        engine: Planner of placements.
        calls: Background calls to the workers that run workflow tasks.
        lease_times: Lease durations of these workers.
        features: Optional parts of the dispatcher that are in use.

    Attributes:
        active: Whether the local replica acts as leader.
        sessions: Open streams of instances, by number.
        decisions: Placement decisions that have not been logged yet.
    """

    def __init__(
        self,
        *,
        options: LeaderOptions,
        engine: PlacementEngine,
        calls: WorkerCalls | None = None,
        lease_times: LeaseTimes | None = None,
        features: DispatchFeatures | None = None,
    ) -> None:
        self.engine = engine
        self.state = CellState()
        self.active = False
        self.sessions: dict[int, InstanceSession] = {}
        self.decisions: list[Decision] = []
        self._proposals = ProposalQueue()
        self.workers = WorkerManager(options=options, proposals=self._proposals)
        self.slots = SlotManager(options=options, proposals=self._proposals)
        self.calls = calls or WorkerCalls(
            client=NullWorkerClient(), clock=SystemClock()
        )
        self.dispatcher = Dispatcher(
            proposals=self._proposals,
            calls=self.calls,
            times=lease_times,
            features=features,
        )
        self._queue_requests = QueueRequestHandler(self.dispatcher)
        self._lease_s = options.instance_lease_s
        self._plan_due = 0.0
        self._plan_pending = False
        self._housekeeping_due = 0.0
        self._peers: tuple[str, ...] = ()

    @property
    def containment(self) -> ErrorContainment:
        """Contains unexpected errors, which it logs and counts."""
        return self.dispatcher.containment

    # Lifecycle.

    def activate(self, state: CellState, now: float, term: int = 0) -> None:
        """Start acting as the leader of `term`, on the state that it has applied."""
        self.deactivate()
        self.active = True
        self.state = state
        self.engine.rebuild(state.scheduling)
        self.workers.reset(state, now)
        self.slots.reset(state, now)
        self.dispatcher.activate(state.workflows, term, now)
        self._plan_due = self._housekeeping_due = now

    def deactivate(self) -> None:
        """Stop acting as leader and discard everything that is not in the state."""
        self.active = False
        self.sessions.clear()
        self.decisions.clear()
        self.dispatcher.deactivate()
        self._proposals.pop_all()
        self._plan_pending = False

    def set_peers(self, peers: tuple[str, ...]) -> None:
        """Set the addresses of the members that poll replies contain."""
        self._peers = peers

    def pop_proposals(self) -> list[Proposal]:
        """Remove and return the commands to propose."""
        return self._proposals.pop_all()

    # Sessions.

    def open_session(
        self,
        session_id: int,
        hello: wire.Hello,
        send: Callable[[wire.FromLeader], None],
    ) -> None:
        """Register the stream of an instance."""
        holder = f"{hello.instance}/{hello.incarnation}"
        session = InstanceSession(
            session_id, send, hello.instance, holder, hello.data_centre
        )
        self.sessions[session_id] = session
        self.slots.open_session(session)
        self.dispatcher.advice.open_session(session_id, send)

    def close_session(self, session_id: int) -> None:
        """Remove a stream; the lease of the instance stays valid until it expires."""
        session = self.sessions.pop(session_id, None)
        self.dispatcher.advice.close_session(session_id)
        if session is not None:
            self.slots.close_session(session)
            self.workers.close_session(session)

    def receive(
        self, session_id: int, message: wire.FromInstance, now: float, wall_time: float
    ) -> None:
        """Handle a message from an instance."""
        session = self.sessions.get(session_id)
        if session is None:
            return
        kind = type(getattr(message, "body", message)).__name__
        with self.containment.contain(kind, instance=session.instance):
            self._process(session, message, now, wall_time)

    def _process(
        self,
        session: InstanceSession,
        message: wire.FromInstance,
        now: float,
        wall_time: float,
    ) -> None:
        """Process a message; a call is not answered after an unexpected error.

        Its caller learns after a timeout that it may or may not have been carried out.
        """
        session_id = session.id
        if isinstance(message, wire.Poll):
            self._handle_poll(session, message, now, wall_time)
        elif isinstance(message, wire.Call):
            self._handle_call(session, message, now, wall_time)
        elif isinstance(message, wire.AdviceReply):
            self.dispatcher.advice.receive(session_id, message, now)
            self.dispatcher.request_planning()
        elif isinstance(message, wire.Bye):
            self.slots.release_instance(session.holder, wall_time)

    def _handle_poll(
        self, session: InstanceSession, poll: wire.Poll, now: float, wall_time: float
    ) -> None:
        limits = self.slots.handle_poll(session, poll, now, wall_time)
        if limits is None:
            return
        session.view_version = poll.view_version
        view = None
        if poll.view_version != self.state.version:
            view = self.state.build_view_update(poll.view_version)
            session.sent_view_version = view.version
        session.send(
            wire.PollReply(poll.sent_at, self._lease_s, view, limits, self._peers)
        )

    def _handle_call(
        self, session: InstanceSession, call: wire.Call, now: float, wall_time: float
    ) -> None:
        body = call.body
        if isinstance(body, wire.WorkerHeartbeat):
            self.workers.handle_heartbeat(session, call.id, body, now, wall_time)
        elif isinstance(body, wire.QueueRequest):
            self._queue_requests.handle(
                self.state.workflows,
                body,
                wall_time,
                lambda reply: session.send(wire.Reply(call.id, reply)),
                age_s=call.age_s,
            )
        elif isinstance(body, wire.WorkerAnnouncement):
            self._queue_requests.handle_announcement(
                body,
                wall_time,
                lambda result: session.send(wire.Reply(call.id, result)),
            )
        elif isinstance(body, ApplyConfiguration):
            self.dispatcher.change_configuration(
                body,
                wall_time,
                lambda result: session.send(wire.Reply(call.id, result)),
            )
        elif isinstance(body, wire.Query):
            session.send(wire.Reply(call.id, self._answer_query(body, now, wall_time)))
        else:
            self._proposals.add(
                _set_time(body, wall_time),
                lambda result: self._finish_call(session, call, result, now),
            )

    def _answer_query(
        self, query: wire.Query, now: float, wall_time: float
    ) -> wire.QueryReply:
        context = queries.QueryContext(
            state=self.state,
            sessions=self.sessions,
            slots=self.slots,
            waiting_reasons=self.engine.waiting_reasons,
            step_waits=self.dispatcher.wait_reasons,
            metrics=self.dispatcher.metrics,
        )
        return queries.answer_query(context, query, now, wall_time)

    def _finish_call(
        self,
        session: InstanceSession,
        call: wire.Call,
        result: commands.Result,
        now: float,
    ) -> None:
        if isinstance(call.body, commands.AnnounceUpstream) and result.accepted:
            self.slots.record_announcement(call.body.upstream, now)
        if isinstance(call.body, commands.SubmitJob) and result.accepted:
            self._plan_due = min(self._plan_due, now)
        session.send(wire.Reply(call.id, result))

    def receive_event(self, event: WorkerEvent, now: float, wall_time: float) -> None:
        """Handle the result of a call to a worker."""
        if self.active:
            self.dispatcher.receive(event, now, wall_time)

    # Time.

    def tick(self, now: float, wall_time: float) -> None:
        """Run the periodic work that is due."""
        with self.containment.contain("workers"):
            self.workers.tick(now, wall_time)
        with self.containment.contain("slots"):
            self.slots.tick(now, wall_time)
        self.dispatcher.tick(now, wall_time)
        if now >= self._housekeeping_due:
            self._housekeeping_due = now + HOUSEKEEPING_INTERVAL_S
            if self._needs_housekeeping(wall_time):
                self._proposals.add(commands.AdvanceTime(time=wall_time))
        if now >= self._plan_due and not self._plan_pending:
            self._plan_due = now + self.engine.policy.interval_s
            with self.containment.contain("placement"):
                self._plan(wall_time)

    def _needs_housekeeping(self, wall_time: float) -> bool:
        scheduling, claims = self.state.scheduling, self.state.claims
        return bool(
            (scheduling.backoffs and scheduling.backoffs[0][0] <= wall_time)
            or (claims.expiries and claims.expiries[0][0] <= wall_time)
            or scheduling.has_expired_records(wall_time)
        )

    def _plan(self, wall_time: float) -> None:
        if not self.state.scheduling.queues:
            return
        result = self.engine.plan(self.state.scheduling, wall_time)
        self.decisions += result.decisions
        if result.preemptions:
            self._proposals.add(
                commands.PreemptTasks(time=wall_time, tasks=tuple(result.preemptions))
            )
        if result.placements:
            self._plan_pending = True
            self._proposals.add(
                commands.PlaceTasks(
                    time=wall_time, placements=tuple(result.placements)
                ),
                self._on_placed,
            )

    def _on_placed(self, result: commands.Result) -> None:
        self._plan_pending = False

    def after_apply(self) -> None:
        """Send view updates and changed orders after commands were applied."""
        self._push_view()
        self.workers.send_changed_orders()

    def _push_view(self) -> None:
        """Send the new view to all instances without waiting for their polls."""
        version = self.state.version
        updates: dict[int, ViewUpdate] = {}
        for session in self.sessions.values():
            since = session.sent_view_version
            if since in (-1, version):
                continue
            if since not in updates:
                updates[since] = self.state.build_view_update(since)
            session.send(updates[since])
            session.sent_view_version = version


def _set_time(command: commands.Command, wall_time: float) -> commands.Command:
    """Return a copy of an instance's command with the leader's time."""
    fields = {
        name: getattr(command, name)
        for name in command.__struct_fields__
        if name != "time"
    }
    return type(command)(**fields, time=wall_time)
