"""A replica: a task that owns the Raft node, the log and the state.

All inputs arrive in one queue. In each iteration, the task passes the queued inputs
to the Raft node, writes the resulting log entries with a single sync, sends messages
and applies committed entries. On the leader, it also runs the controller.
"""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from bluebellyoke.cell import commands
from bluebellyoke.cell.result import refuse
from bluebellyoke.cell.snapshot import load_state
from bluebellyoke.cell.state import CellState
from bluebellyoke.clock import Clock
from bluebellyoke.consensus import messages
from bluebellyoke.consensus.effects import Effects
from bluebellyoke.consensus.membership_planner import MembershipOptions
from bluebellyoke.consensus.raft import RaftNode
from bluebellyoke.consensus.storage import Storage, read_identity
from bluebellyoke.consensus.timing import ElectionTiming
from bluebellyoke.dispatch.events import WorkerEvent
from bluebellyoke.instance import wire
from bluebellyoke.instance.directory import ReplicaDirectory
from bluebellyoke.instance.membership import MembershipManager
from bluebellyoke.instance.snapshots import SnapshotWriter
from bluebellyoke.leader.controller import LeaderController
from bluebellyoke.leader.sessions import Proposal
from bluebellyoke.logs import PlacementLog
from bluebellyoke.metrics import Metrics

__all__ = ["Replica", "ReplicaOptions", "SessionClosed", "SessionInput"]

logger = logging.getLogger("bluebellyoke.replica")

#: Maximum time between two ticks of the leader, and of any other replica, in seconds.
TICK_INTERVAL_S = 0.02
FOLLOWER_TICK_INTERVAL_S = 0.2

#: Time that a stopping former leader waits for its replacement, in seconds.
REPLACEMENT_WAIT_S = 0.6

#: Maximum number of inputs processed per iteration.
MAX_INPUTS_PER_ITERATION = 2_000

#: Maximum number of queued inputs.
MAX_QUEUED_INPUTS = 20_000

#: Maximum number of commands per log entry.
MAX_COMMANDS_PER_ENTRY = 2_000


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaOptions:
    """Settings of a replica.

    Attributes:
        cell: Name of the cell.
        folder: Data folder.
        name: Name of the instance.
        address: IP address of the instance.
        port: Port for streams from other instances.
        data_centre: Data centre of the instance.
        timing: Election timing of the Raft node.
        membership: Target size of the membership and timeout for replacing members.
        snapshot_threshold_bytes: Log size at which a snapshot is due.
    """

    cell: str
    folder: Path
    name: str
    address: str
    port: int
    data_centre: str
    timing: ElectionTiming = field(default_factory=ElectionTiming)
    membership: MembershipOptions = field(default_factory=MembershipOptions)
    snapshot_threshold_bytes: int = 16 * 1024 * 1024


@dataclass(slots=True)
class SessionInput:
    """A message from an instance.

    Attributes:
        session: Number of the stream.
        message: The message.
        send: Queues a message to the instance; None closes the stream.
    """

    session: int
    message: wire.FromInstance
    send: Callable[[wire.FromLeader | None], None]


@dataclass(frozen=True, slots=True)
class SessionClosed:
    """The end of an instance's stream.

    Attributes:
        session: Number of the stream.
    """

    session: int


@dataclass(slots=True)
class PendingEntry:
    """Proposals of a log entry that is not yet committed.

    Attributes:
        term: Term in which the entry was proposed.
        proposals: Proposals in the order of the entry's commands.
    """

    term: int
    proposals: list[Proposal]


class Replica:
    """A replica of the cell's state.

    Args:
        options: Settings of the replica.
        controller: Controller that is active while this replica leads.
        clock: Source of time.
        metrics: Histograms and counters.
        send: Called with the address of a peer and an envelope for it.
        directory: Known addresses of replicas.
    """

    def __init__(
        self,
        *,
        options: ReplicaOptions,
        controller: LeaderController,
        clock: Clock,
        metrics: Metrics,
        send: Callable[[str, messages.Envelope], None],
        directory: ReplicaDirectory | None = None,
    ) -> None:
        self._directory = directory or ReplicaDirectory()
        self.options = options
        self._controller = controller
        self._clock = clock
        self._metrics = metrics
        self._send_envelope = send
        self._inbox_send, self._inbox = anyio.create_memory_object_stream(
            MAX_QUEUED_INPUTS
        )
        self._identity = read_identity(options.folder, cell=options.cell)
        self._storage = Storage(options.folder)
        recovered = self._storage.recover()
        if recovered.torn_bytes:
            logger.warning(
                "storage: truncated %d bytes of an incomplete write",
                recovered.torn_bytes,
            )
        self.state = load_state(recovered.state) if recovered.state else CellState()
        self.raft = RaftNode(
            replica=self._identity.replica,
            log=recovered.log,
            hard_state=recovered.hard_state,
            timing=options.timing,
            snapshots=self._storage,
            random_source=random.Random(self._identity.replica),
            now=clock.monotonic(),
        )
        self._applied_index = recovered.log.base.index
        self._hard_state = recovered.hard_state
        self._pending_entries: dict[int, PendingEntry] = {}
        self._membership_manager = MembershipManager(
            raft=self.raft,
            member=messages.Member(
                self.raft.replica,
                options.name,
                options.address,
                options.port,
                options.data_centre,
            ),
            options=options.membership,
            directory=self._directory,
            send=lambda address, message: send(
                address, self._create_envelope("", message)
            ),
        )
        self._snapshot_writer = SnapshotWriter(
            raft=self.raft,
            storage=self._storage,
            threshold_bytes=options.snapshot_threshold_bytes,
        )
        self._origin_addresses: dict[str, str] = {}
        self._session_senders: dict[int, Callable[[wire.FromLeader | None], None]] = {}
        self._session_inputs: list[SessionInput] = []
        self._placement_log = PlacementLog()
        self._was_leader = False
        self._stopping = False
        self._logged_status: tuple[str, int, str] | None = None
        self._task_group: TaskGroup | None = None

    # Public interface.

    def post(
        self, item: messages.Envelope | SessionInput | SessionClosed | WorkerEvent
    ) -> bool:
        """Queue an input; return False if the queue is full."""
        try:
            self._inbox_send.send_nowait(item)
        except anyio.WouldBlock:
            return False
        return True

    @property
    def leader_address(self) -> str:
        """Address of the leader, or an empty string if it is unknown."""
        member = self.raft.membership.members.get(self.raft.leader)
        return f"{member.address}:{member.port}" if member is not None else ""

    def describe(self) -> dict:
        """Return the state of the Raft node for status reports."""
        raft = self.raft
        return {
            "replica": raft.replica,
            "role": raft.role.value,
            "term": raft.term,
            "commit": raft.commit_index,
            "applied": self._applied_index,
            "leader": self.leader_address,
            "voters": sorted(x.name for x in raft.membership.voters.values()),
            "learners": sorted(x.name for x in raft.membership.learners.values()),
            "serving": self.is_serving(),
        }

    def is_serving(self) -> bool:
        """Return whether this replica leads with a valid lease and enough voters."""
        now = self._clock.monotonic()
        has_enough_voters = (
            len(self.raft.membership.voters) >= self.options.membership.target_voters
        )
        return has_enough_voters and self.raft.is_lease_valid(now)

    # Main loop.

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._task_group = tasks
            tasks.start_soon(self._controller.calls.run, self.post)
            await self._run_loop()

    async def _run_loop(self) -> None:
        try:
            while True:
                inputs = await self._collect_inputs()
                now = self._clock.monotonic()
                self._handle_inputs(inputs, now)
                self.raft.tick(now)
                self._membership_manager.tick(now)
                self._run_leader_duties(now)
                await self._process_effects()
                self._log_status_change()
                self._snapshot_writer.start_if_due(
                    self.state, self._applied_index, self._task_group
                )
                await self._snapshot_writer.compact_if_written(self._hard_state)
        finally:
            self._storage.close()

    def _log_status_change(self) -> None:
        """Log the role, the term and the leader if one of them has changed."""
        status = (self.raft.role.value, self.raft.term, self.raft.leader)
        if status == self._logged_status:
            return
        self._logged_status = status
        logger.info(
            "replica: role, term or leader changed",
            extra={
                "role": status[0],
                "term": status[1],
                "leader": status[2],
                "commit": self.raft.commit_index,
                "last": self.raft.log.last_index,
            },
        )

    async def transfer_leadership(self) -> None:
        """Transfer the leadership to another voter, if this replica leads."""
        self._stopping = True
        with anyio.move_on_after(self.options.timing.election_max_s * 2):
            while self.raft.is_leader:
                await anyio.sleep(TICK_INTERVAL_S)

    def start_leaving(self) -> None:
        """Ask the leader to replace this replica by a spare one, if there is any."""
        self._membership_manager.start_leaving()

    async def wait_until_replaced(self) -> None:
        """Wait until a spare replica votes in place of this one, or for a short time.

        Without a spare, the leader keeps this replica as a voter.
        """
        with anyio.move_on_after(REPLACEMENT_WAIT_S):
            while self.raft.is_voter:
                await anyio.sleep(TICK_INTERVAL_S)

    async def _collect_inputs(self) -> list:
        """Wait for inputs until the next tick and return the queued ones."""
        inputs = []
        with anyio.move_on_after(self._compute_tick_delay()):
            inputs.append(await self._inbox.receive())
        while inputs and len(inputs) < MAX_INPUTS_PER_ITERATION:
            try:
                inputs.append(self._inbox.receive_nowait())
            except anyio.WouldBlock:
                break
        return inputs

    def _compute_tick_delay(self) -> float:
        """Return the time until the next tick, in seconds."""
        if self.raft.is_leader:
            return TICK_INTERVAL_S
        until_due_s = self.raft.next_tick_at - self._clock.monotonic()
        return min(max(until_due_s, 0.0), FOLLOWER_TICK_INTERVAL_S)

    def _handle_inputs(self, inputs: list, now: float) -> None:
        for item in inputs:
            if isinstance(item, messages.Envelope):
                self._receive_envelope(item, now)
            elif isinstance(item, SessionInput):
                self._receive_session_input(item)
            elif isinstance(item, WorkerEvent):
                wall_time = self._clock.now().timestamp()
                self._controller.receive_event(item, now, wall_time)
            else:
                self._session_senders.pop(item.session, None)
                self._controller.close_session(item.session)

    def _receive_envelope(self, envelope: messages.Envelope, now: float) -> None:
        if envelope.cell != self.options.cell:
            return
        if isinstance(envelope.message, messages.PeerList):
            self._directory.record_peer_list(envelope.message.addresses)
        elif isinstance(envelope.message, messages.JoinRequest):
            self._membership_manager.record_join_request(envelope.message.member, now)
        elif isinstance(envelope.message, messages.LeaveNotice):
            self._membership_manager.record_leave_notice(envelope.source, now)
        elif envelope.target == self.raft.replica:
            self._origin_addresses[envelope.source] = envelope.origin
            self.raft.receive(envelope.source, envelope.message, now)
        else:
            # The message is for a replica that this instance had before.
            self._directory.record_sender(envelope.origin)

    def _receive_session_input(self, item: SessionInput) -> None:
        hello = item.message
        if isinstance(hello, wire.Hello) and hello.cell != self.options.cell:
            item.send(None)
            return
        if not self.raft.is_leader:
            item.send(wire.Redirect(self.leader_address, self._directory.replicas))
            item.send(None)
            return
        self._session_senders[item.session] = item.send
        self._session_inputs.append(item)

    # Leadership.

    def _run_leader_duties(self, now: float) -> None:
        is_leader = self.raft.is_leader
        if self._was_leader and not is_leader:
            self._deactivate_controller()
        self._was_leader = is_leader
        if not is_leader or not self.raft.is_lease_valid(now):
            return
        self._membership_manager.propose_change(now)
        if not self.is_serving() or not self._activate_controller(now):
            return
        wall_time = self._clock.now().timestamp()
        self._controller.set_peers(self._membership_manager.peers)
        inputs, self._session_inputs = self._session_inputs, []
        for item in inputs:
            self._pass_to_controller(item, now, wall_time)
        self._controller.tick(now, wall_time)
        self._log_decisions()
        if self._stopping:
            self._request_leadership_transfer(now)

    def _activate_controller(self, now: float) -> bool:
        """Activate the controller once all committed entries are applied.

        Returns:
            Whether the controller is active.
        """
        if (
            not self._controller.active
            and self._applied_index >= self.raft.commit_index
        ):
            logger.info(
                "replica: leads",
                extra={"term": self.raft.term, "index": self._applied_index},
            )
            self._controller.activate(self.state, now, self.raft.term)
        return self._controller.active

    def _pass_to_controller(
        self, item: SessionInput, now: float, wall_time: float
    ) -> None:
        if isinstance(item.message, wire.Hello):
            self._controller.open_session(item.session, item.message, item.send)
            item.send(wire.Welcome(self.options.name, self.raft.term))
        else:
            self._controller.receive(item.session, item.message, now, wall_time)

    def _deactivate_controller(self) -> None:
        logger.info("replica: is no longer the leader", extra={"term": self.raft.term})
        self._controller.deactivate()
        self._pending_entries.clear()
        self._session_inputs.clear()
        redirect = wire.Redirect(self.leader_address, self._directory.replicas)
        for send in self._session_senders.values():
            send(redirect)
            send(None)
        self._session_senders.clear()

    def _request_leadership_transfer(self, now: float) -> None:
        leaving = self._membership_manager.list_leaving()
        followers = sorted(
            self.raft.progress.items(),
            key=lambda item: (item[0] in leaving, -item[1].match_index),
        )
        for replica, _ in followers:
            if self.raft.transfer_leadership(replica, now):
                return

    def _propose_commands(self, now: float) -> None:
        """Propose the controller's commands as log entries.

        A leader that is shutting down proposes nothing, so that a follower can catch
        up and take over. The instances send pending calls again to the next leader.
        """
        if not self._controller.active or self._stopping:
            return
        proposals = self._controller.pop_proposals()
        for start in range(0, len(proposals), MAX_COMMANDS_PER_ENTRY):
            batch = proposals[start : start + MAX_COMMANDS_PER_ENTRY]
            payload = commands.encode_commands(tuple(item.command for item in batch))
            index = self.raft.propose(payload, now)
            self._pending_entries[index] = PendingEntry(self.raft.term, batch)

    def _log_decisions(self) -> None:
        for decision in self._controller.decisions:
            self._placement_log.write(decision)
            if decision.action == "place":
                self._metrics.record_task_wait(decision.job_class, decision.waited_s)
        self._controller.decisions.clear()
        for change in self._controller.slots.assignments:
            self._placement_log.write_slot_change(change)
        self._controller.slots.assignments.clear()

    # Effects of the Raft node.

    async def _process_effects(self) -> None:
        while True:
            self._propose_commands(self._clock.monotonic())
            effects = self.raft.take_effects()
            if effects == Effects():
                return
            self._send_messages(effects.early_messages)
            await self._persist(effects)
            self._send_messages(effects.messages)
            self._apply_entries(effects.committed)

    async def _persist(self, effects: Effects) -> None:
        if effects.snapshot is not None:
            await self._install_snapshot(*effects.snapshot)
        if effects.hard_state is not None:
            self._hard_state = effects.hard_state
        if not (
            effects.hard_state or effects.entries or effects.truncate_from is not None
        ):
            return
        await anyio.to_thread.run_sync(
            lambda: self._storage.write(
                hard_state=effects.hard_state,
                truncate_from=effects.truncate_from,
                entries=effects.entries,
            )
        )
        if effects.entries:
            self.raft.acknowledge_sync(effects.entries[-1].index)

    async def _install_snapshot(self, meta: messages.SnapshotMeta, data: bytes) -> None:
        """Store a snapshot from the leader and restore the state from it."""
        self.state = load_state(data)
        self._applied_index = meta.index
        await anyio.to_thread.run_sync(self._storage.save_snapshot, meta, data)
        self._storage.activate_snapshot(meta)
        await anyio.to_thread.run_sync(self._storage.reset, meta, self._hard_state)
        logger.info("replica: installed a snapshot", extra={"index": meta.index})

    def _send_messages(self, outgoing: list[tuple[str, messages.Message]]) -> None:
        members = self.raft.membership.members
        for target, message in outgoing:
            member = members.get(target)
            address = (
                f"{member.address}:{member.port}"
                if member is not None
                else self._origin_addresses.get(target)
            )
            if address is not None:
                self._send_envelope(address, self._create_envelope(target, message))

    def _create_envelope(
        self, target: str, message: messages.Message
    ) -> messages.Envelope:
        options = self.options
        origin = f"{options.address}:{options.port}"
        return messages.Envelope(
            options.cell, self.raft.replica, origin, target, message
        )

    def _apply(self, command: commands.Command) -> commands.Result:
        """Apply a command; contain an unexpected error, and refuse the command.

        All replicas apply the same command to the same state, so the error leaves the
        same state on all of them. Ending the process would end each of them, again
        after each restart.
        """
        result = refuse(
            "internal-error", "the command could not be applied; see the log"
        )
        kind = type(command).__name__
        with self._controller.containment.contain("command", command=kind):
            result = self.state.apply(command)
        return result

    def _apply_entries(self, entries: list[messages.Entry]) -> None:
        for entry in entries:
            self._applied_index = entry.index
            if entry.kind is not messages.EntryKind.COMMANDS:
                continue
            pending = self._pending_entries.pop(entry.index, None)
            decoded = commands.decode_commands(entry.payload)
            results = [self._apply(command) for command in decoded]
            if pending is None or pending.term != entry.term:
                continue
            if self._controller.active:
                for proposal, result in zip(pending.proposals, results, strict=True):
                    if proposal.on_result is not None:
                        with self._controller.containment.contain("result"):
                            proposal.on_result(result)
        if self._controller.active:
            self._controller.after_apply()
        else:
            self.state.scheduling.workers_with_changed_orders.clear()
            self.state.scheduling.workers_with_changed_capacity.clear()
            self.state.workflows.pop_changed()
