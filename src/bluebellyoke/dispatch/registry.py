"""Registration and removal of workers."""

import logging
from collections.abc import Callable, Collection

from bluebellyoke.cell.result import Result, refuse
from bluebellyoke.dispatch import crashes
from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.incarnations import find_successor_start
from bluebellyoke.dispatch.lost_progress import list_progress
from bluebellyoke.dispatch.run_check import format_runs
from bluebellyoke.dispatch.run_ends import RunEndRecorder, log_run_end
from bluebellyoke.dispatch.stops import RunStopper
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.dispatch.unsettled_runs import UnsettledRunTracker
from bluebellyoke.dispatch.workers import (
    MAX_CALL_DELAY_S,
    RemovalReason,
    TrackedWorker,
)
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.commands import CrashedRun, CrashEvidence
from bluebellyoke.workflow.specs import WorkerSpec
from bluebellyoke.workflow.store import RunKey
from bluebellyoke.workflow.worker_validation import validate_worker

__all__ = ["WorkerRegistry"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Time after a leave announcement for which a ready heartbeat may still be an earlier
#: one, in seconds. An instance gives up a heartbeat 1.4 s after it arrived there.
LEAVE_REORDERING_S = 1.5

#: Time after a change of leader for which an earlier report may still arrive, in
#: seconds. No worker gets a larger capacity meanwhile.
REPORT_REORDERING_S = 1.5

#: Maximum difference between the numbers of two reports of an incarnation. A worker
#: without contact to the leader would take 11 days with one report per millisecond.
MAX_SEQUENCE_JUMP = 10**9

_FAR_AHEAD_REASON = (
    "the number of the report is far above that of the one before; count up by 1"
)

#: Maximum number of characters of an ID that the log shows.
MAX_LOGGED_ID = 80

#: Outcome that the log shows for the runs of a removed worker.
LOST = "lost"


class WorkerRegistry:
    """Keeps the tracked workers in sync with the workers of the store.

    Args:
        context: Shared state of the dispatcher.
        stopper: Sends stops of runs.
        recorder: Ends the workflows that have failed.
        unsettled_runs: Ends the unsettled runs of workers that do not come back.
    """

    def __init__(
        self,
        context: DispatchContext,
        stopper: RunStopper,
        recorder: RunEndRecorder,
        unsettled_runs: UnsettledRunTracker,
    ) -> None:
        self._context = context
        self._stopper = stopper
        self._recorder = recorder
        self._unsettled_runs = unsettled_runs
        self._removing: set[tuple[str, int]] = set()
        self._sequences: dict[tuple[str, int], int] = {}
        self._ended: dict[str, tuple[int, float]] = {}
        self._activated_at = 0.0

    def clear(self) -> None:
        """Drop all tracked workers."""
        self._unsettled_runs.clear()
        self._context.workers.clear()
        self._context.recent_crashes.clear()
        self._removing.clear()
        self._sequences.clear()
        self._ended.clear()

    def activate(self, now: float) -> None:
        """Track the workers of the store of a new leader."""
        self._activated_at = now
        self._unsettled_runs.activate(now)
        for ended in self._context.store.ended_incarnations:
            # An earlier leader may have called it until now.
            self._ended.setdefault(ended.worker, (ended.incarnation, now))
        self.sync_workers(now)

    def register(
        self, spec: WorkerSpec, wall_time: float, reply: Callable[[Result], None]
    ) -> None:
        """Register a worker or its new description; reply once it is committed."""
        # An instance of an earlier build forwards invalid descriptions, too.
        errors = validate_worker(spec)
        known = self._context.store.workers.get(spec.id)
        if self._is_far_ahead(spec, known):
            errors.append(_FAR_AHEAD_REASON)
        if errors:
            logger.info(
                "dispatch: refused a worker",
                extra={"worker": spec.id[:MAX_LOGGED_ID], "faults": errors},
            )
            reply(refuse("malformed", "; ".join(errors)))
            return
        if self._is_outdated(spec, known):
            reply(Result(accepted=True, code="overtaken"))
            return
        self._sequences[spec.key] = spec.sequence
        is_draining = (
            known is not None
            and known.incarnation == spec.incarnation
            and known.draining
        )
        if not (is_draining or spec.draining):
            self._clear_leaving(spec)
        if is_draining or (known is not None and known.says_the_same(spec)):
            reply(Result(accepted=True, code="known"))
            return
        tracked = self._context.workers.get(spec.id)
        if tracked is not None and tracked.spec.incarnation < spec.incarnation:
            self.remove(tracked, RemovalReason.REPLACED, wall_time, spec.clock_ms)

        def finish(result: Result) -> None:
            logger.info(
                "dispatch: registered a worker",
                extra={
                    "worker": spec.id,
                    "born": spec.incarnation,
                    "draining": spec.draining,
                    "code": result.code,
                },
            )
            self._handle_late_proof(spec, result)
            self.sync_workers(self._context.now)
            reply(result)

        self._context.proposals.add(
            workflow_commands.EnrolWorker(time=wall_time, spec=spec), finish
        )

    def _handle_late_proof(self, spec: WorkerSpec, result: Result) -> None:
        """Log the crashes that an incarnation proves, and end the jobs at fault."""
        for name in result.detail.get("crashed", "").split():
            evidence = CrashEvidence.NEXT_INCARNATION.value
            self._context.metrics.record_worker_crash(evidence)
            logger.info(
                "dispatch: a worker crashed",
                extra={"worker": name, "evidence": evidence, "next": spec.id},
            )
        self._finish_failed_workflows(result)

    def _finish_failed_workflows(self, result: Result) -> None:
        for name in result.detail.get("failed", "").split():
            self._recorder.finish_workflow(self._context.store.workflows[name])

    def _is_far_ahead(self, spec: WorkerSpec, known: WorkerSpec | None) -> bool:
        """Return whether no worker can have sent that many reports in between.

        All later reports of the worker would be taken for older ones.
        """
        if known is None or known.incarnation != spec.incarnation:
            return False
        newest = max(known.sequence, self._sequences.get(spec.key, 0))
        return spec.sequence - newest > MAX_SEQUENCE_JUMP

    def _is_outdated(self, spec: WorkerSpec, known: WorkerSpec | None) -> bool:
        """Return whether a report is, or may be, older than what is known."""
        if known is None or known.incarnation < spec.incarnation:
            return False
        newest = max(known.sequence, self._sequences.get(spec.key, 0))
        if known.incarnation > spec.incarnation or spec.sequence < newest:
            return True
        may_be_late = self._context.now - self._activated_at <= REPORT_REORDERING_S
        return may_be_late and not spec.capacity.fits_in(known.capacity)

    def mark_leaving(self, worker_id: str) -> None:
        """Record that a worker has announced that it ends, and poll it at once."""
        worker = self._context.workers.get(worker_id)
        if worker is not None:
            worker.is_leaving = True
            worker.leave_announced_at = self._context.now
            worker.poll_due = self._context.now

    def _clear_leaving(self, spec: WorkerSpec) -> None:
        """Forget a leave announcement if the worker is ready well after it.

        The announcement does not tell which incarnation it is from.
        """
        worker = self._context.workers.get(spec.id)
        if (
            worker is None
            or not worker.is_leaving
            or worker.spec.incarnation != spec.incarnation
            or self._context.now - worker.leave_announced_at <= LEAVE_REORDERING_S
        ):
            return
        worker.is_leaving = False
        self._context.needs_planning = True
        logger.info(
            "dispatch: a worker did not leave",
            extra={"worker": spec.id, "born": spec.incarnation},
        )

    def sync_workers(self, now: float) -> None:
        """Track the workers of the store, with their runs, and drop all others."""
        self._context.needs_planning = True
        for name in [
            x for x in self._context.workers if x not in self._context.store.workers
        ]:
            self._forget(self._context.workers.pop(name))
        for name, spec in self._context.store.workers.items():
            worker = self._context.workers.get(name)
            if worker is not None and worker.spec.incarnation == spec.incarnation:
                worker.spec = spec
                continue
            if worker is not None:
                self._forget(worker)
            worker = self._context.workers[name] = TrackedWorker(
                spec,
                now,
                fence=self._context.create_fence(),
                lease_requested_at=self._unsettled_runs.find_lease_request(name),
                late_calls_until=self._find_latest_call(spec),
                last_response_at=now,
                lost_at=now,
            )
            for key in self._context.store.runs.get(spec.key, ()):
                worker.add_run(
                    key,
                    self._context.find_allocation(key),
                    RunPhase.UNKNOWN,
                    now,
                    probation_s=self._context.find_probation(key),
                    is_confirmed=self._context.store.run_states.is_confirmed(key),
                    sent_by=self._unsettled_runs.find_start(key),
                    open_by=self._unsettled_runs.find_open_end(key),
                    open_until=self._context.store.run_states.find_open_until(key),
                    has_ended=self._context.store.run_states.has_ended(key),
                    has_ticket=self._context.store.run_states.has_ticket(key),
                )

    def _find_latest_call(self, spec: WorkerSpec) -> float:
        """Return when the last call for an earlier incarnation may be carried out."""
        incarnation, ended_at = self._ended.get(spec.id, (spec.incarnation, 0.0))
        return 0.0 if incarnation == spec.incarnation else ended_at + MAX_CALL_DELAY_S

    def _drop_removed(self, worker: TrackedWorker) -> None:
        """Drop a removed worker, which may have been enrolled again meanwhile.

        What is known of its runs and calls is not true of the new enrolment.
        """
        if self._context.workers.get(worker.spec.id) is worker:
            self._forget(self._context.workers.pop(worker.spec.id))

    def _forget(self, worker: TrackedWorker) -> None:
        """Drop what is known of an incarnation that is no longer tracked."""
        self._sequences.pop(worker.spec.key, None)
        self._unsettled_runs.remember(worker)
        now = self._context.now
        self._ended = {
            name: (incarnation, ended_at)
            for name, (incarnation, ended_at) in self._ended.items()
            if now - ended_at <= MAX_CALL_DELAY_S
        }
        self._ended[worker.spec.id] = worker.spec.incarnation, now
        for observer in self._context.observers:
            with self._context.containment.contain("end", worker=worker.spec.id):
                observer.forget_worker(worker)

    def has_successor(self, worker: TrackedWorker) -> bool:
        """Return whether a process born later has announced itself at the address.

        That another process responds there is no proof: a proxy may have chosen it.
        """
        return any(
            spec.address == worker.spec.address
            and spec.incarnation > worker.spec.incarnation
            for spec in self._context.store.workers.values()
        )

    def remove(
        self,
        worker: TrackedWorker,
        reason: RemovalReason,
        wall_time: float,
        successor_clock_ms: int = 0,
    ) -> None:
        """Commit the removal of a worker, which ends its runs as lost.

        Those that its next incarnation may have keep their place.

        Args:
            successor_clock_ms: Clock of the next incarnation, or 0 if it is not known.
        """
        worker_key = worker.spec.key
        if worker_key in self._removing:
            return
        self._removing.add(worker_key)
        worker.is_being_removed = True
        unsettled = self._unsettled_runs.find_runs(worker, reason)
        self._log_removal(worker, reason, unsettled)
        evidence = crashes.find_evidence(worker, reason)
        runs: tuple[CrashedRun, ...] = ()
        if not crashes.is_planned_end(worker):
            now = self._context.now
            successor_start = find_successor_start(successor_clock_ms, now)
            runs = self._describe_crash(worker, evidence, successor_start)
        is_proved = evidence is CrashEvidence.NEXT_INCARNATION

        self._context.proposals.add(
            workflow_commands.RemoveWorker(
                time=wall_time,
                worker=worker_key[0],
                incarnation=worker_key[1],
                crashed_runs=runs if is_proved else (),
                evidence=evidence,
                lost_runs=() if is_proved else runs,
                unsettled_runs=unsettled,
                progress=list_progress(self._context, worker, unsettled),
            ),
            lambda result: self._finish_removal(worker, unsettled, result),
        )

    def _log_removal(
        self,
        worker: TrackedWorker,
        reason: RemovalReason,
        unsettled: Collection[RunKey],
    ) -> None:
        now = self._context.now
        lease_left_s = worker.compute_lease_left(now, self._context.times)
        logger.info(
            "dispatch: removes a worker",
            extra={
                "worker": worker.spec.id,
                "born": worker.spec.incarnation,
                "reason": reason.value,
                "runs": len(worker.runs),
                "silent_s": round(now - worker.last_response_at, 3),
                "failures": worker.failures,
                "refused": worker.is_refusing,
                "lease_left_s": round(lease_left_s, 3),
                "unsettled": format_runs(unsettled),
            },
        )

    def _finish_removal(
        self, worker: TrackedWorker, unsettled: Collection[RunKey], result: Result
    ) -> None:
        """Drop a worker whose removal has been committed."""
        self._removing.discard(worker.spec.key)
        ended = [key for key in worker.runs if key not in unsettled]
        for key in ended:
            log_run_end(key, worker.spec.id, LOST)
        if unsettled or any(map(self._context.store.run_states.is_placed, ended)):
            self._unsettled_runs.add(worker)
        self._drop_removed(worker)
        self.sync_workers(self._context.now)
        self._finish_failed_workflows(result)
        self._stopper.stop_incomplete_gangs(name for name, _ in worker.runs)

    def _describe_crash(
        self, worker: TrackedWorker, evidence: CrashEvidence, successor_start: float
    ) -> tuple[CrashedRun, ...]:
        """Log a crash, or a loss that may be one; return the runs that it has ended."""
        if evidence is not CrashEvidence.NONE:
            self._context.metrics.record_worker_crash(evidence.value)
            if worker.suspects:
                self._context.recent_crashes.record_crash(
                    worker.spec.pool, self._context.now
                )
        now = self._context.now
        runs = crashes.list_crashed_runs(worker, now, successor_start)
        crashes.log_crash(worker, evidence, runs)
        return runs
