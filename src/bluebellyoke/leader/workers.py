"""The leader's duties towards workers: sessions, leases and orders.

Rules:
    * A lease is renewed only by the worker's own heartbeat, and only the answer to it
      tells the worker so.
    * A heartbeat that was overtaken by a newer one renews nothing.
    * A reply may be held back until there is news for the worker.
    * Tasks move only after the session's lease and the worker's time to end them.
"""

from dataclasses import dataclass

from bluebellyoke.cell import commands as c
from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.state import CellState
from bluebellyoke.instance import wire as w
from bluebellyoke.leader.leases import LeaseTable
from bluebellyoke.leader.orders import build_orders, has_news
from bluebellyoke.leader.sessions import LeaderOptions, ProposalQueue, Session

__all__ = ["WorkerDuties"]

#: Usage above the need by this factor raises the need.
LEARNING_FACTOR = 1.05


@dataclass(slots=True)
class HeldHeartbeat:
    """A heartbeat whose reply waits for news."""

    session: Session
    call: int
    heartbeat: w.WorkerHeartbeat
    due: float


class WorkerDuties:
    """Answers heartbeats and ends the sessions of silent workers.

    Args:
        options: Durations.
        proposals: Commands on their way to the log.
    """

    def __init__(self, *, options: LeaderOptions, proposals: ProposalQueue) -> None:
        self._state = CellState()
        self._proposals = proposals
        self._leases = LeaseTable(
            length_s=options.worker_lease_s, grace_s=options.worker_grace_s
        )
        self._sequences: dict[str, tuple[str, int]] = {}
        self._held: dict[str, HeldHeartbeat] = {}
        self._learning: set[str] = set()

    def begin(self, state: CellState, now: float) -> None:
        """Start to act; every live session counts as renewed now."""
        self._state = state
        self._leases.clear()
        self._sequences.clear()
        self._held.clear()
        self._learning.clear()
        state.book.touched_workers.clear()
        for worker in state.book.workers.values():
            if worker.alive:
                self._leases.renew(worker.name, now)

    def forget_session(self, session: Session) -> None:
        """Drop the held replies of a stream that has ended."""
        self._held = {
            worker: held
            for worker, held in self._held.items()
            if held.session is not session
        }

    # Heartbeats.

    def on_heartbeat(
        self,
        session: Session,
        call: int,
        heartbeat: w.WorkerHeartbeat,
        now: float,
        wall: float,
    ) -> None:
        """Renew a worker's lease and answer with its orders."""
        worker = self._state.book.workers.get(heartbeat.worker)
        if worker is None or worker.session != heartbeat.session:
            self._admit(session, call, heartbeat, now, wall)
            return
        if not worker.alive:
            self._send_ended(session, call, heartbeat, wall)
            return
        if self._is_overtaken(heartbeat):
            session.send(w.Reply(call, w.WorkerOrders("ok", 0.0)))
            return
        self._leases.renew(worker.name, now)
        self._learn(heartbeat, wall)
        earlier = self._held.pop(worker.name, None)
        if earlier is not None:
            self._answer(earlier)
        held = HeldHeartbeat(session, call, heartbeat, now + heartbeat.wait_s)
        if heartbeat.ended:
            self._report(heartbeat, wall, lambda _: self._answer(held))
            return
        orders = build_orders(worker, heartbeat, self._leases.length_s)
        if has_news(orders) or not heartbeat.wait_s:
            session.send(w.Reply(call, orders))
        else:
            self._held[worker.name] = held

    def _is_overtaken(self, heartbeat: w.WorkerHeartbeat) -> bool:
        session, sequence = self._sequences.get(heartbeat.worker, ("", -1))
        if session == heartbeat.session and heartbeat.sequence < sequence:
            return True
        self._sequences[heartbeat.worker] = (heartbeat.session, heartbeat.sequence)
        return False

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

        def finish(result: c.Result) -> None:
            if not result.accepted:
                self._send_ended(session, call, heartbeat, wall)
                return
            self._leases.renew(heartbeat.worker, now)
            self._answer(HeldHeartbeat(session, call, heartbeat, now))

        self._proposals.add(command, finish)

    def _report(self, heartbeat: w.WorkerHeartbeat, wall: float, on_result) -> None:
        command = c.ReportTasks(
            time=wall,
            worker=heartbeat.worker,
            session=heartbeat.session,
            reports=heartbeat.ended,
        )
        self._proposals.add(command, on_result)

    def _send_ended(
        self, session: Session, call: int, heartbeat: w.WorkerHeartbeat, wall: float
    ) -> None:
        """Tell a worker that its session is over, and take its late reports."""
        if heartbeat.ended:
            self._report(heartbeat, wall, None)
        session.send(w.Reply(call, w.WorkerOrders("ended", 0.0)))

    def _answer(self, held: HeldHeartbeat) -> None:
        """Answer a heartbeat from the present state."""
        heartbeat = held.heartbeat
        worker = self._state.book.workers.get(heartbeat.worker)
        is_live = worker is not None and worker.alive
        if is_live and worker.session == heartbeat.session:
            orders = build_orders(worker, heartbeat, self._leases.length_s)
        else:
            orders = w.WorkerOrders("ended", 0.0)
        held.session.send(w.Reply(held.call, orders))

    def _learn(self, heartbeat: w.WorkerHeartbeat, wall: float) -> None:
        """Raise the memory need of jobs whose tasks use more than they declared."""
        for item in heartbeat.running:
            job = self._state.book.jobs.get(item.job_id)
            if job is None or item.job_id in self._learning:
                continue
            if item.used.memory_mb <= job.need.memory_mb * LEARNING_FACTOR:
                continue
            self._learning.add(item.job_id)
            used = Resources(0, item.used.memory_mb, 0)
            self._proposals.add(
                c.LearnNeed(time=wall, job_id=item.job_id, used=used),
                lambda _, job_id=item.job_id: self._learning.discard(job_id),
            )

    # Time.

    def tick(self, now: float, wall: float) -> None:
        """Answer the heartbeats that waited long enough; end silent sessions."""
        due = [name for name, held in self._held.items() if held.due <= now]
        for name in due:
            self._answer(self._held.pop(name))
        for name in self._leases.take_expired(now):
            worker = self._state.book.workers.get(name)
            if worker is not None and worker.alive:
                self._proposals.add(
                    c.LoseWorker(time=wall, worker=name, session=worker.session)
                )

    def answer_touched(self) -> None:
        """Send the orders of the workers that applied commands touched."""
        touched = self._state.book.touched_workers
        for name in touched:
            held = self._held.pop(name, None)
            if held is not None:
                self._answer(held)
        touched.clear()
