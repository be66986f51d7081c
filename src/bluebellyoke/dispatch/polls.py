"""Polls, which renew the workers' leases and compare their runs with the store."""

import logging
from dataclasses import replace

from bluebellyoke.cell.result import Result
from bluebellyoke.containment import CONTAINED_ERRORS
from bluebellyoke.dispatch.calls import (
    MAX_EVENT_DELAY_S,
    POLL_TIMEOUT_SLACK_S,
    POLL_WAIT_MS,
)
from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.events import PollFinished
from bluebellyoke.dispatch.log_limits import LogLimit
from bluebellyoke.dispatch.missing_runs import MissingRunResolver
from bluebellyoke.dispatch.open_states import find_open_state
from bluebellyoke.dispatch.ports import (
    NoAnswerError,
    OtherLifeError,
    PollRequest,
    StatusReport,
)
from bluebellyoke.dispatch.probes import WorkerProber
from bluebellyoke.dispatch.registry import WorkerRegistry
from bluebellyoke.dispatch.reported_ends import (
    collect_ends,
    collect_late_ends,
    find_contradictory_runs,
    find_due_acknowledgement,
    find_last_end,
)
from bluebellyoke.dispatch.run_check import repair_runs
from bluebellyoke.dispatch.run_ends import RunEndRecorder
from bluebellyoke.dispatch.stops import STOP_RETRY_S, RunStopper
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.dispatch.workers import RemovalReason, TrackedWorker
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.store import RunKey

__all__ = ["WorkerPoller"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Time after which a poll without an event counts as lost, in seconds.
LOST_POLL_S = POLL_WAIT_MS / 1000 + POLL_TIMEOUT_SLACK_S + MAX_EVENT_DELAY_S

#: Delay before a poll is retried, in seconds, per failure in a row and at most.
POLL_RETRY_S = 0.1
MAX_POLL_RETRY_S = 0.5

#: Minimum time between two polls of a worker that lists an unreadable row, or a run as
#: running and as ended, in seconds.
UNREADABLE_POLL_INTERVAL_S = 0.1

#: Minimum time between two polls of a worker that has accepted no stop of a run that it
#: does not list, in seconds.
UNBLOCKED_POLL_INTERVAL_S = 0.1


class WorkerPoller:
    """Keeps one poll in flight to each worker.

    Args:
        context: Shared state of the dispatcher.
        stopper: Sends stops of runs.
        recorder: Commits ends of runs.
        registry: Adds and removes workers.
        prober: Sends probes.
    """

    def __init__(
        self,
        context: DispatchContext,
        *,
        stopper: RunStopper,
        recorder: RunEndRecorder,
        registry: WorkerRegistry,
        prober: WorkerProber,
    ) -> None:
        self._context = context
        self._stopper = stopper
        self._recorder = recorder
        self._registry = registry
        self._prober = prober
        self._missing_runs = MissingRunResolver(context, stopper=stopper)
        self._log_limit = LogLimit()

    def poll_if_due(self, worker: TrackedWorker, now: float, wall_time: float) -> None:
        """Send a poll or probe that is due; remove a worker whose lease has expired."""
        if worker.poll_sent_at is not None and now - worker.poll_sent_at > LOST_POLL_S:
            self._give_up_poll(worker, now, wall_time)
        elif worker.poll_sent_at is None and now >= worker.poll_due:
            self._send_poll(worker, now)
        elif now >= worker.probe_due:
            if worker.has_overdue_run(now):
                self._prober.request(worker)
            worker.schedule_probe(now)
        silent = now - worker.last_response_at > POLL_WAIT_MS / 1000
        if (
            silent
            and worker.failures
            and worker.has_lease_expired(now, self._context.times)
        ):
            self._registry.remove(worker, RemovalReason.LEASE_EXPIRED, wall_time)

    def _give_up_poll(
        self, worker: TrackedWorker, now: float, wall_time: float
    ) -> None:
        """Treat a poll whose event has been lost as unanswered."""
        lost = PollFinished(
            term=self._context.fence,
            worker=worker.spec.id,
            incarnation=worker.spec.incarnation,
            error=NoAnswerError(worker.spec.address, "event lost", timed_out=True),
            sent_at=worker.poll_sent_at,
        )
        self.receive(worker, lost, now, wall_time)

    def _send_poll(self, worker: TrackedWorker, now: float) -> None:
        """Send a poll, which renews the lease unless the previous poll failed.

        If polls went on renewing the lease of a worker that does not respond, the
        leader could never be sure that the lease has expired. A repeated poll does not
        wait, since the lease may end before the next one.
        """
        worker.poll_sent_at = now
        deadline_ms = None
        if not worker.failures:
            deadline_ms = worker.extend_lease(now, self._context.times)
        worker.is_lease_polled = deadline_ms is not None
        if worker.is_lease_polled:
            worker.lease_requested_at = now
        may_wait = (
            worker.has_responded
            and not worker.failures
            and not any(
                run.phase in (RunPhase.UNKNOWN, RunPhase.BLOCKED)
                and not run.is_restartable
                for run in worker.runs.values()
            )
        )
        request = PollRequest(
            deadline_ms=deadline_ms,
            fence=worker.fence,
            acknowledged_end=find_due_acknowledgement(worker),
            wait_ms=POLL_WAIT_MS if may_wait else 0,
            is_retry=worker.failures > 0,
        )
        self._context.calls.poll(worker.spec, request)

    def receive(
        self, worker: TrackedWorker, event: PollFinished, now: float, wall_time: float
    ) -> None:
        """Process the result of a poll or a probe."""
        report = event.report
        self._record_call(worker, event)
        if report is None:
            is_awaited = self._finish_poll(worker, event)
            if is_awaited and not event.is_probe:
                self._handle_failed_poll(worker, event, now, wall_time)
            return
        if report.incarnation and report.incarnation != worker.spec.incarnation:
            self._handle_other_incarnation(worker, event, now, wall_time)
            return
        if worker.failures or not worker.has_responded or worker.has_unanswered_start:
            logger.info(
                "dispatch: a worker responded",
                extra={"worker": worker.spec.id, "failures": worker.failures},
            )
            self._context.needs_planning = True
        if report.unreadable_rows and self._log_limit.allow(now):
            logger.info(
                "dispatch: left out unreadable rows of a worker's status",
                extra={
                    "worker": worker.spec.id,
                    "rows": report.unreadable_rows,
                    "skipped": self._log_limit.pop_skipped(),
                },
            )
        cause = find_open_state(worker, report, now)
        if cause:
            self._fail_poll(worker, event, cause, now, wall_time)
            return
        worker.failures = 0
        worker.is_refusing = False
        worker.has_responded = True
        worker.last_response_at = worker.lost_at = now
        worker.has_listed_ends = bool(report.ended)
        if report.incarnation == worker.spec.incarnation:
            # Without an incarnation, the clock may be that of another process.
            worker.record_clock(report.clock_ms, event.sent_at, now)
            # It refuses the calls for earlier incarnations from now on.
            worker.late_calls_until = min(worker.late_calls_until, now)
        repair_runs(self._context, worker, now)
        self._check_running(worker, report, now)
        self._clear_suspects(worker, report, now)
        worker.schedule_probe(now)
        self._update_stall(worker, report, now)
        late_ends = collect_late_ends(self._context, worker, report)
        ends = collect_ends(worker, report) + late_ends
        if report.complete and not late_ends:
            ends += self._missing_runs.resolve(
                worker, report, sent_at=event.sent_at, now=now, wall_time=wall_time
            )
        last_end = find_last_end(worker, report)
        self._record_ends(worker, ends, last_end, event, wall_time)

    def _record_call(self, worker: TrackedWorker, event: PollFinished) -> None:
        """Record when the call was really sent, and that the worker ran then."""
        if worker.is_lease_polled and not event.is_probe:
            # It may be later than the tick that caused it.
            worker.lease_requested_at = max(worker.lease_requested_at, event.sent_at)
        report, incarnation = event.report, worker.spec.incarnation
        if report is not None and report.incarnation == incarnation:
            worker.identified_at = max(worker.identified_at, event.sent_at)

    def _handle_other_incarnation(
        self, worker: TrackedWorker, event: PollFinished, now: float, wall_time: float
    ) -> None:
        """Remove a worker whose next incarnation has responded.

        An earlier one tells nothing of this one, which may run elsewhere.
        """
        if event.report.incarnation > worker.spec.incarnation:
            clock_ms = event.report.clock_ms
            self._registry.remove(worker, RemovalReason.REPLACED, wall_time, clock_ms)
        else:
            cause = "an earlier incarnation responded"
            self._fail_poll(worker, event, cause, now, wall_time)

    def _fail_poll(
        self,
        worker: TrackedWorker,
        event: PollFinished,
        cause: str,
        now: float,
        wall_time: float,
    ) -> None:
        """Treat a poll as unanswered, so that the lease of the worker ends."""
        self._finish_poll(worker, event)
        if not event.is_probe:
            error = NoAnswerError(worker.spec.address, cause, timed_out=True)
            failed = replace(event, report=None, error=error)
            self._handle_failed_poll(worker, failed, now, wall_time)

    def _clear_suspects(
        self, worker: TrackedWorker, report: StatusReport, now: float
    ) -> None:
        listed = {(item.task, item.run) for item in report.running}
        for task, run in worker.clear_suspects(listed, now):
            self._context.needs_planning = True
            logger.info(
                "dispatch: a suspect outlived its crashes",
                extra={
                    "job": task.workflow,
                    "task": [task.repetition, task.step, task.index],
                    "run": run,
                    "worker": worker.spec.id,
                },
            )

    def _update_stall(
        self, worker: TrackedWorker, report: StatusReport, now: float
    ) -> None:
        listed = {(item.task, item.run) for item in report.running}
        if not worker.update_stall(listed, now):
            return
        self._context.needs_planning = True
        logger.info(
            "dispatch: a worker stalled"
            if worker.is_stalled
            else "dispatch: a worker resumed",
            extra={"worker": worker.spec.id, "runs": len(worker.runs)},
        )

    def _finish_poll(self, worker: TrackedWorker, event: PollFinished) -> bool:
        """Allow the next poll or probe to be sent if the one in flight has ended.

        The event may be one of an earlier call that has counted as unanswered since, or
        one that was sent before the worker was removed and enrolled again.

        Returns:
            Whether the event is that of the poll or the probe in flight.
        """
        sent_at = worker.probe_sent_at if event.is_probe else worker.poll_sent_at
        if event.is_late or sent_at is None or event.sent_at < sent_at:
            return False
        if event.is_probe:
            worker.probe_sent_at = None
        else:
            worker.poll_sent_at = None
            worker.poll_due = self._context.now
            report = event.report
            if report is not None and (
                report.unreadable_rows or find_contradictory_runs(report)
            ):
                # The worker responds at once while an end is not acknowledged.
                worker.poll_due += UNREADABLE_POLL_INTERVAL_S
            elif any(x.unblocked_since is not None for x in worker.runs.values()):
                # Polls do not wait while the state of a run is unknown.
                worker.poll_due += UNBLOCKED_POLL_INTERVAL_S
            self._context.due_workers[worker.spec.id] = None
        return True

    def _handle_failed_poll(
        self, worker: TrackedWorker, event: PollFinished, now: float, wall_time: float
    ) -> None:
        if (
            isinstance(event.error, NoAnswerError)
            and worker.last_response_at > event.sent_at
        ):
            # The worker has responded to a probe meanwhile, so only this call was lost.
            return
        worker.failures += 1
        worker.is_refusing = getattr(event.error, "refused", False)
        if worker.failures == 1:
            has_timed_out = getattr(event.error, "timed_out", False)
            worker.lost_at = worker.last_response_at if has_timed_out else now
            logger.info(
                "dispatch: lost a worker's answer",
                extra={"worker": worker.spec.id, "fault": str(event.error)},
            )
        delay_s = min(POLL_RETRY_S * worker.failures, MAX_POLL_RETRY_S)
        worker.poll_due = now + delay_s
        is_other_life = isinstance(event.error, OtherLifeError)
        if is_other_life and self._registry.has_successor(worker):
            self._registry.remove(worker, RemovalReason.ADDRESS_TAKEN, wall_time)

    def _check_running(
        self, worker: TrackedWorker, report: StatusReport, now: float
    ) -> None:
        """Update the runs that the worker lists and stop those that must not run."""
        unassigned_runs: dict[RunKey, float] = {}
        for running in report.running:
            key = (running.task, running.run)
            run = worker.runs.get(key)
            if run is None:
                unassigned_runs[key] = worker.unassigned_runs.get(key, 0.0)
                continue
            run.unblocked_since = None
            # A report without an incarnation may be that of the next one.
            run.is_confirmed |= bool(report.incarnation)
            if running.checkpoint and running.percent >= run.percent:
                run.checkpoint = running.checkpoint
            run.record_progress(running.percent, now)
            for observer in self._context.observers:
                try:
                    observer.record_progress(worker, key, run, running.load, now)
                except CONTAINED_ERRORS:
                    job = key[0].workflow
                    self._context.containment.handle("progress", job=job)
            if run.phase in (RunPhase.UNKNOWN, RunPhase.BLOCKED, RunPhase.BLOCKING):
                worker.set_phase(key, RunPhase.STARTED, now)
                self._stopper.stop_incomplete_gangs((running.task,))
            is_stop_overdue = (
                run.phase is RunPhase.STOPPING and now - run.phase_since > STOP_RETRY_S
            )
            if is_stop_overdue or (
                run.phase is RunPhase.STARTED
                and self._stopper.has_workflow_ended(running.task)
            ):
                self._stopper.stop_run(worker, key)
        worker.unassigned_runs = unassigned_runs
        self._stopper.stop_unassigned(worker, now)

    def _record_ends(
        self,
        worker: TrackedWorker,
        ends: list[workflow_commands.RunEnd],
        last_end: int,
        event: PollFinished,
        wall_time: float,
    ) -> None:
        """Commit ends; the next poll acknowledges them only after that."""

        def finish(result: Result) -> None:
            if result.accepted:
                worker.acknowledged_end = max(worker.acknowledged_end, last_end)
            if self._finish_poll(worker, event) and not result.accepted:
                worker.poll_due += UNREADABLE_POLL_INTERVAL_S

        if ends:
            self._recorder.commit(worker, ends, wall_time, finish)
        else:
            finish(Result(accepted=True))
