"""Sessions, leases and orders of the workers that send heartbeats.

Rules:
    * Only a heartbeat of the worker renews its lease, and only the reply to it confirms
      the renewal to the worker.
    * A heartbeat that arrives after a newer one does not renew the lease.
    * A reply may be deferred until the orders of the worker change.
    * Tasks are placed elsewhere only after the session's lease has expired and the
      worker's grace period for stopping them has passed.
    * A session ends a live one of the same worker with its second heartbeat only.
    * From the proposal of its end on, a session's lease is not renewed.
"""

from dataclasses import dataclass

from bluebellyoke.cell import commands
from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.state import CellState
from bluebellyoke.cell.workers import Worker
from bluebellyoke.instance import wire
from bluebellyoke.leader.leases import LeaseTable
from bluebellyoke.leader.orders import build_orders, needs_immediate_reply
from bluebellyoke.leader.sessions import InstanceSession, LeaderOptions, ProposalQueue

__all__ = ["WorkerManager"]

#: Ratio of used memory to the need above which the need is raised.
MEMORY_OVERUSE_FACTOR = 1.05


@dataclass(slots=True)
class DeferredHeartbeat:
    """A heartbeat whose reply is deferred until the orders change.

    Attributes:
        instance_session: Stream of the instance that relayed the heartbeat.
        call_id: Call to reply to.
        due: Monotonic second at which the reply is sent at the latest.
    """

    instance_session: InstanceSession
    call_id: int
    heartbeat: wire.WorkerHeartbeat
    due: float


class WorkerManager:
    """Replies to heartbeats and ends the sessions of silent workers.

    Args:
        options: Timing options.
        proposals: Commands to propose.
    """

    def __init__(self, *, options: LeaderOptions, proposals: ProposalQueue) -> None:
        self._state = CellState()
        self._proposals = proposals
        self._leases = LeaseTable(
            duration_s=options.worker_lease_s, grace_s=options.worker_grace_s
        )
        self._sequences: dict[str, tuple[str, int]] = {}
        self._deferred: dict[str, DeferredHeartbeat] = {}
        self._need_updates: set[str] = set()
        self._candidates: dict[str, tuple[str, int]] = {}
        # Heartbeats that arrived while the end of their session is not committed yet.
        self._ending: dict[str, list[DeferredHeartbeat]] = {}

    def reset(self, state: CellState, now: float) -> None:
        """Start with a state; the lease of every live session is renewed at `now`."""
        self._state = state
        self._leases.clear()
        self._sequences.clear()
        self._deferred.clear()
        self._need_updates.clear()
        self._ending.clear()
        self._candidates.clear()
        state.scheduling.workers_with_changed_orders.clear()
        for worker in state.scheduling.workers.values():
            if worker.alive:
                self._leases.renew(worker.name, now)

    def close_session(self, instance_session: InstanceSession) -> None:
        """Discard the deferred replies of a stream that was closed."""
        self._deferred = {
            worker: deferred
            for worker, deferred in self._deferred.items()
            if deferred.instance_session is not instance_session
        }
        for worker, items in self._ending.items():
            self._ending[worker] = [
                item for item in items if item.instance_session is not instance_session
            ]

    # Heartbeats.

    def handle_heartbeat(
        self,
        instance_session: InstanceSession,
        call_id: int,
        heartbeat: wire.WorkerHeartbeat,
        now: float,
        wall_time: float,
    ) -> None:
        """Renew the lease of a worker and reply with its orders."""
        worker = self._state.scheduling.workers.get(heartbeat.worker)
        if worker is None or worker.session != heartbeat.session:
            if self._may_be_delayed(worker, heartbeat):
                instance_session.send(wire.Reply(call_id, wire.WorkerOrders("ok", 0.0)))
                return
            self._admit_worker(instance_session, call_id, heartbeat, now, wall_time)
            return
        self._candidates.pop(worker.name, None)
        if not worker.alive:
            self._reject_session(instance_session, call_id, heartbeat, wall_time)
            return
        if worker.name in self._ending:
            # A renewal would let the worker go on after the session has ended.
            self._ending[worker.name].append(
                DeferredHeartbeat(instance_session, call_id, heartbeat, now)
            )
            return
        if self._is_stale(heartbeat):
            instance_session.send(wire.Reply(call_id, wire.WorkerOrders("ok", 0.0)))
            return
        self._leases.renew(worker.name, now)
        self._update_needs(heartbeat, wall_time)
        previous = self._deferred.pop(worker.name, None)
        if previous is not None:
            self._reply(previous)
        deferred = DeferredHeartbeat(
            instance_session, call_id, heartbeat, now + heartbeat.wait_s
        )
        if heartbeat.ended:
            self._record_ended_tasks(
                heartbeat, wall_time, lambda _: self._reply(deferred)
            )
            return
        orders = build_orders(worker, heartbeat, self._leases.duration_s)
        if needs_immediate_reply(orders) or not heartbeat.wait_s:
            instance_session.send(wire.Reply(call_id, orders))
        else:
            self._deferred[worker.name] = deferred

    def _may_be_delayed(
        self, worker: Worker | None, heartbeat: wire.WorkerHeartbeat
    ) -> bool:
        """Return whether a heartbeat may be of a session before the live one.

        A session that was never admitted may be an earlier one whose heartbeat was
        delayed, since sessions have no order. Only the latest session of a worker sends
        a later heartbeat with none of the live session in between.
        """
        if worker is None or not worker.alive:
            return False
        if heartbeat.session in worker.past_sessions:
            # The admission refuses it.
            return False
        session, sequence = self._candidates.get(worker.name, ("", 0))
        if session == heartbeat.session and heartbeat.sequence > sequence:
            return False
        self._candidates[worker.name] = (heartbeat.session, heartbeat.sequence)
        return True

    def _is_stale(self, heartbeat: wire.WorkerHeartbeat) -> bool:
        session, sequence = self._sequences.get(heartbeat.worker, ("", -1))
        if session == heartbeat.session and heartbeat.sequence < sequence:
            return True
        self._sequences[heartbeat.worker] = (heartbeat.session, heartbeat.sequence)
        return False

    def _admit_worker(
        self,
        instance_session: InstanceSession,
        call_id: int,
        heartbeat: wire.WorkerHeartbeat,
        now: float,
        wall_time: float,
    ) -> None:
        command = commands.AdmitWorker(
            time=wall_time,
            worker=heartbeat.worker,
            session=heartbeat.session,
            total=heartbeat.total,
            rack=heartbeat.rack,
            data_centre=heartbeat.data_centre,
        )

        def finish(result: commands.Result) -> None:
            if not result.accepted:
                self._reject_session(instance_session, call_id, heartbeat, wall_time)
                return
            self._leases.renew(heartbeat.worker, now)
            self._reply(DeferredHeartbeat(instance_session, call_id, heartbeat, now))

        self._proposals.add(command, finish)

    def _record_ended_tasks(
        self, heartbeat: wire.WorkerHeartbeat, wall_time: float, on_result
    ) -> None:
        command = commands.ReportTasks(
            time=wall_time,
            worker=heartbeat.worker,
            session=heartbeat.session,
            reports=heartbeat.ended,
        )
        self._proposals.add(command, on_result)

    def _reject_session(
        self,
        instance_session: InstanceSession,
        call_id: int,
        heartbeat: wire.WorkerHeartbeat,
        wall_time: float,
    ) -> None:
        """Reply that the worker's session has ended, and record its task reports."""
        if heartbeat.ended:
            self._record_ended_tasks(heartbeat, wall_time, None)
        instance_session.send(wire.Reply(call_id, wire.WorkerOrders("ended", 0.0)))

    def _reply(self, deferred: DeferredHeartbeat) -> None:
        """Reply to a heartbeat according to the current state."""
        heartbeat = deferred.heartbeat
        worker = self._state.scheduling.workers.get(heartbeat.worker)
        is_live = worker is not None and worker.alive
        if is_live and worker.session == heartbeat.session:
            orders = build_orders(worker, heartbeat, self._leases.duration_s)
        else:
            orders = wire.WorkerOrders("ended", 0.0)
        deferred.instance_session.send(wire.Reply(deferred.call_id, orders))

    def _update_needs(self, heartbeat: wire.WorkerHeartbeat, wall_time: float) -> None:
        """Raise the memory need of jobs whose tasks use more than the need."""
        for item in heartbeat.running:
            job = self._state.scheduling.jobs.get(item.job_id)
            if job is None or item.job_id in self._need_updates:
                continue
            if item.used.memory_mb <= job.need.memory_mb * MEMORY_OVERUSE_FACTOR:
                continue
            self._need_updates.add(item.job_id)
            used = Resources(0, item.used.memory_mb, 0)
            self._proposals.add(
                commands.LearnNeed(time=wall_time, job_id=item.job_id, used=used),
                lambda _, job_id=item.job_id: self._need_updates.discard(job_id),
            )

    # Time.

    def tick(self, now: float, wall_time: float) -> None:
        """Send the deferred replies that are due, and end expired worker sessions."""
        due = [name for name, deferred in self._deferred.items() if deferred.due <= now]
        for name in due:
            self._reply(self._deferred.pop(name))
        for name in self._leases.pop_expired(now):
            worker = self._state.scheduling.workers.get(name)
            if worker is not None and worker.alive:
                self._end_session(worker, wall_time)

    def _end_session(self, worker: Worker, wall_time: float) -> None:
        """End a worker's session, and reject the heartbeats that arrive meanwhile."""
        self._ending[worker.name] = []

        def finish(_: commands.Result) -> None:
            for item in self._ending.pop(worker.name, ()):
                self._reject_session(
                    item.instance_session, item.call_id, item.heartbeat, wall_time
                )

        command = commands.LoseWorker(
            time=wall_time, worker=worker.name, session=worker.session
        )
        self._proposals.add(command, finish)

    def send_changed_orders(self) -> None:
        """Reply to the deferred heartbeats of workers whose orders changed."""
        names = self._state.scheduling.workers_with_changed_orders
        for name in names:
            deferred = self._deferred.pop(name, None)
            if deferred is not None:
                self._reply(deferred)
        names.clear()
