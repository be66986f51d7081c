"""Shell of a replica: one task that owns the core, the log and the state.

Inputs arrive in one queue. The task feeds all that have arrived to the core, syncs
what the core asks for in one write, sends the messages, applies what is committed
and lets the controller act if this replica leads.
"""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from bluebellyoke.cell import commands as c
from bluebellyoke.cell.snapshot import load_state
from bluebellyoke.cell.state import CellState
from bluebellyoke.clock import Clock
from bluebellyoke.consensus import messages as m
from bluebellyoke.consensus.effects import Effects
from bluebellyoke.consensus.membership_planner import MembershipOptions
from bluebellyoke.consensus.raft import RaftNode
from bluebellyoke.consensus.storage import Storage, read_identity
from bluebellyoke.consensus.timing import ElectionTiming
from bluebellyoke.dispatch.events import WorkerEvent
from bluebellyoke.instance import wire as w
from bluebellyoke.instance.directory import Directory
from bluebellyoke.instance.joining import Joining
from bluebellyoke.instance.snapshots import SnapshotTaker
from bluebellyoke.leader.controller import LeaderController
from bluebellyoke.leader.sessions import Proposal
from bluebellyoke.logs import PlacementLog
from bluebellyoke.metrics import Metrics

__all__ = ["Replica", "ReplicaOptions", "SessionClosed", "SessionInput"]

logger = logging.getLogger("bluebellyoke.replica")

#: Time between two looks at the clock, in seconds.
TICK_S = 0.02

#: Inputs taken in one turn, and inputs kept waiting, at most.
TURN_INPUTS = 2_000
INBOX_INPUTS = 20_000

#: Commands of one log entry, at most.
COMMANDS_PER_ENTRY = 2_000

#: Proposals that wait for a commit, at most.
PENDING_LIMIT = 20_000


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaOptions:
    """Settings of a replica.

    Attributes:
        cell: Name of the cell.
        folder: Data folder.
        instance: Name, address, port and data centre of the instance.
        seeds: Addresses of peers to offer to, before a membership is known.
        snapshot_bytes: Log size after which a snapshot is taken.
    """

    cell: str
    folder: Path
    name: str
    address: str
    port: int
    data_centre: str
    timing: ElectionTiming = field(default_factory=ElectionTiming)
    repair: MembershipOptions = field(default_factory=MembershipOptions)
    snapshot_bytes: int = 16 * 1024 * 1024
    seeds: tuple[str, ...] = ()


@dataclass(slots=True)
class SessionInput:
    """A message of an instance's stream."""

    session: int
    message: w.FromInstance
    send: Callable[[w.FromLeader | None], None]


@dataclass(frozen=True, slots=True)
class SessionClosed:
    """The end of an instance's stream."""

    session: int


@dataclass(slots=True)
class PendingEntry:
    """Proposals of one log entry that wait for its commit."""

    term: int
    proposals: list[Proposal]


class Replica:
    """One replica of the cell's state.

    Args:
        options: Settings.
        controller: Decisions of the leader.
        clock: Source of time.
        metrics: Histograms and counters.
        send: Called with the address of a peer and an envelope for it.
        directory: Addresses of replicas that others have told.
    """

    def __init__(
        self,
        *,
        options: ReplicaOptions,
        controller: LeaderController,
        clock: Clock,
        metrics: Metrics,
        send: Callable[[str, m.Envelope], None],
        directory: Directory | None = None,
    ) -> None:
        self._directory = directory or Directory(cell=options.cell, send=send)
        self.options = options
        self._controller = controller
        self._clock = clock
        self._metrics = metrics
        self._send_peer = send
        self._inbox_send, self._inbox = anyio.create_memory_object_stream(INBOX_INPUTS)
        self._identity = read_identity(options.folder, cell=options.cell)
        self._storage = Storage(options.folder)
        recovered = self._storage.recover()
        if recovered.torn_bytes:
            logger.warning("storage: cut %d torn bytes", recovered.torn_bytes)
        self.state = load_state(recovered.state) if recovered.state else CellState()
        self.core = RaftNode(
            replica=self._identity.replica,
            log=recovered.log,
            hard_state=recovered.hard_state,
            timing=options.timing,
            snapshots=self._storage,
            random_source=random.Random(self._identity.replica),
            now=clock.monotonic(),
        )
        self._applied = recovered.log.base.index
        self._hard_state = recovered.hard_state
        self._pending: dict[int, PendingEntry] = {}
        self._joining = Joining(
            core=self.core,
            member=m.Member(
                self.core.replica,
                options.name,
                options.address,
                options.port,
                options.data_centre,
            ),
            repair=options.repair,
            seeds=options.seeds,
            directory=self._directory,
            send=lambda address, message: send(address, self._wrap("", message)),
        )
        self._snapshots = SnapshotTaker(
            core=self.core,
            storage=self._storage,
            limit_bytes=options.snapshot_bytes,
        )
        self._origins: dict[str, str] = {}
        self._senders: dict[int, Callable[[w.FromLeader | None], None]] = {}
        self._waiting: list[SessionInput] = []
        self._placement_log = PlacementLog()
        self._was_leader = False
        self._stopping = False
        self._logged_part: tuple[str, int, str] | None = None
        self._tasks: TaskGroup | None = None

    # What others use.

    def post(
        self, item: m.Envelope | SessionInput | SessionClosed | WorkerEvent
    ) -> bool:
        """Queue an input; return whether there was room."""
        try:
            self._inbox_send.send_nowait(item)
        except anyio.WouldBlock:
            return False
        return True

    @property
    def leader_address(self) -> str:
        """Address of the leader as far as this replica knows, or an empty text."""
        member = self.core.membership.members.get(self.core.leader)
        return f"{member.address}:{member.port}" if member is not None else ""

    @property
    def peers(self) -> tuple[str, ...]:
        """Addresses of all members."""
        return self._joining.peers

    def describe(self) -> dict:
        """Return this replica's part in the agreement, for status reports."""
        core = self.core
        return {
            "replica": core.replica,
            "role": core.role.value,
            "term": core.term,
            "commit": core.commit_index,
            "applied": self._applied,
            "leader": self.leader_address,
            "voters": sorted(x.name for x in core.membership.voters.values()),
            "learners": sorted(x.name for x in core.membership.learners.values()),
            "serving": self.is_serving(),
        }

    def is_serving(self) -> bool:
        """Return whether this replica acts as leader now."""
        now = self._clock.monotonic()
        enough = len(self.core.membership.voters) >= self.options.repair.target_voters
        return enough and self.core.is_lease_valid(now)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Offer to other addresses while in no membership."""
        self._joining.set_seeds(seeds)

    # The task.

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._controller.calls.run, self.post)
            await self._run_turns()

    async def _run_turns(self) -> None:
        try:
            while True:
                inputs = await self._collect()
                now = self._clock.monotonic()
                self._feed(inputs, now)
                self.core.tick(now)
                self._joining.tick(now)
                self._direct(now)
                await self._perform()
                self._log_part()
                self._snapshots.begin_if_due(self.state, self._applied, self._tasks)
                await self._snapshots.finish(self._hard_state)
        finally:
            self._storage.close()

    def _log_part(self) -> None:
        """Log a change of what this replica believes of the agreement."""
        part = (self.core.role.value, self.core.term, self.core.leader)
        if part == self._logged_part:
            return
        self._logged_part = part
        logger.info(
            "replica: changes its part",
            extra={
                "role": part[0],
                "term": part[1],
                "leader": part[2],
                "commit": self.core.commit_index,
                "last": self.core.log.last_index,
            },
        )

    async def hand_over(self) -> None:
        """Pass the lead to another voter, if this replica leads."""
        self._stopping = True
        with anyio.move_on_after(self.options.timing.election_max_s * 2):
            while self.core.is_leader:
                await anyio.sleep(TICK_S)

    async def _collect(self) -> list:
        """Wait for inputs until the next tick and return all that arrived."""
        inputs = []
        with anyio.move_on_after(TICK_S):
            inputs.append(await self._inbox.receive())
        while inputs and len(inputs) < TURN_INPUTS:
            try:
                inputs.append(self._inbox.receive_nowait())
            except anyio.WouldBlock:
                break
        return inputs

    def _feed(self, inputs: list, now: float) -> None:
        for item in inputs:
            if isinstance(item, m.Envelope):
                self._receive_envelope(item, now)
            elif isinstance(item, SessionInput):
                self._receive_session(item)
            elif isinstance(item, WorkerEvent):
                wall = self._clock.now().timestamp()
                self._controller.receive_event(item, now, wall)
            else:
                self._senders.pop(item.session, None)
                self._controller.close_session(item.session)

    def _receive_envelope(self, envelope: m.Envelope, now: float) -> None:
        if envelope.cell != self.options.cell:
            return
        if isinstance(envelope.message, m.PeerList):
            self._directory.note(envelope.message.addresses)
        elif isinstance(envelope.message, m.JoinRequest):
            self._joining.note_offer(envelope.message.member, now)
        elif envelope.target == self.core.replica:
            self._origins[envelope.source] = envelope.origin
            self.core.receive(envelope.source, envelope.message, now)

    def _receive_session(self, item: SessionInput) -> None:
        if not self.core.is_leader:
            item.send(w.Redirect(self.leader_address, self.peers))
            item.send(None)
            return
        self._senders[item.session] = item.send
        self._waiting.append(item)

    # Leading.

    def _direct(self, now: float) -> None:
        leads = self.core.is_leader
        if self._was_leader and not leads:
            self._stop_directing()
        self._was_leader = leads
        if not leads or not self.core.is_lease_valid(now):
            return
        self._joining.change_membership(now)
        if not self.is_serving() or not self._begin_directing(now):
            return
        wall = self._clock.now().timestamp()
        self._controller.set_peers(self.peers)
        waiting, self._waiting = self._waiting, []
        for item in waiting:
            self._hand_to_controller(item, now, wall)
        self._controller.tick(now, wall)
        self._log_decisions()
        if self._stopping:
            self._transfer_lead(now)

    def _begin_directing(self, now: float) -> bool:
        """Start the controller once everything committed is applied."""
        if not self._controller.active and self._applied >= self.core.commit_index:
            logger.info(
                "replica: leads", extra={"term": self.core.term, "index": self._applied}
            )
            self._controller.activate(self.state, now, self.core.term)
        return self._controller.active

    def _hand_to_controller(self, item: SessionInput, now: float, wall: float) -> None:
        if isinstance(item.message, w.Hello):
            if item.message.cell != self.options.cell:
                item.send(None)
                return
            self._controller.open_session(item.session, item.message, item.send)
            item.send(w.Welcome(self.options.name, self.core.term))
        else:
            self._controller.receive(item.session, item.message, now, wall)

    def _stop_directing(self) -> None:
        logger.info("replica: leads no more", extra={"term": self.core.term})
        self._controller.deactivate()
        self._pending.clear()
        self._waiting.clear()
        redirect = w.Redirect(self.leader_address, self.peers)
        for send in self._senders.values():
            send(redirect)
            send(None)
        self._senders.clear()

    def _transfer_lead(self, now: float) -> None:
        followers = sorted(
            self.core.progress.items(), key=lambda item: -item[1].match_index
        )
        for replica, _ in followers:
            if self.core.transfer_leadership(replica, now):
                return

    def _propose_commands(self, now: float) -> None:
        """Put the controller's commands into log entries.

        A leader that stops adds none, so that a follower can catch up and take over.
        The callers send what waits to the next leader.
        """
        if not self._controller.active or self._stopping:
            return
        proposals = self._controller.pop_proposals()
        for start in range(0, len(proposals), COMMANDS_PER_ENTRY):
            part = proposals[start : start + COMMANDS_PER_ENTRY]
            payload = c.encode_commands(tuple(item.command for item in part))
            index = self.core.propose(payload, now)
            self._pending[index] = PendingEntry(self.core.term, part)

    def _log_decisions(self) -> None:
        for decision in self._controller.decisions:
            self._placement_log.write(decision)
            if decision.action == "place":
                self._metrics.record_task_wait(decision.job_class, decision.waited_s)
        self._controller.decisions.clear()
        for change in self._controller.slots.assignments:
            self._placement_log.write_slot_change(change)
        self._controller.slots.assignments.clear()

    # Effects.

    async def _perform(self) -> None:
        while True:
            self._propose_commands(self._clock.monotonic())
            effects = self.core.take_effects()
            if effects == Effects():
                return
            self._send_all(effects.early_messages)
            await self._store(effects)
            self._send_all(effects.messages)
            self._apply_all(effects.committed)

    async def _store(self, effects: Effects) -> None:
        if effects.snapshot is not None:
            await self._install(*effects.snapshot)
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
            self.core.acknowledge_sync(effects.entries[-1].index)

    async def _install(self, meta: m.SnapshotMeta, data: bytes) -> None:
        """Store and restore a snapshot of the leader."""
        self.state = load_state(data)
        self._applied = meta.index
        await anyio.to_thread.run_sync(self._storage.save_snapshot, meta, data)
        self._storage.activate_snapshot(meta)
        await anyio.to_thread.run_sync(self._storage.reset, meta, self._hard_state)
        logger.info("replica: restored a snapshot", extra={"index": meta.index})

    def _send_all(self, messages: list[tuple[str, m.Message]]) -> None:
        members = self.core.membership.members
        for target, message in messages:
            member = members.get(target)
            address = (
                f"{member.address}:{member.port}"
                if member is not None
                else self._origins.get(target)
            )
            if address is not None:
                self._send_peer(address, self._wrap(target, message))

    def _wrap(self, target: str, message: m.Message) -> m.Envelope:
        own = self.options
        origin = f"{own.address}:{own.port}"
        return m.Envelope(own.cell, self.core.replica, origin, target, message)

    def _apply_all(self, entries: list[m.Entry]) -> None:
        for entry in entries:
            self._applied = entry.index
            if entry.kind is not m.EntryKind.COMMANDS:
                continue
            pending = self._pending.pop(entry.index, None)
            commands = c.decode_commands(entry.payload)
            results = [self.state.apply(command) for command in commands]
            if pending is None or pending.term != entry.term:
                continue
            if self._controller.active:
                for proposal, result in zip(pending.proposals, results, strict=True):
                    if proposal.on_result is not None:
                        proposal.on_result(result)
        if self._controller.active:
            self._controller.after_apply()
        else:
            self.state.scheduling.workers_with_changed_orders.clear()
            self.state.scheduling.workers_with_changed_capacity.clear()
