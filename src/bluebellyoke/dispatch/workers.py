"""The leader's view of a worker that it calls.

None of this is replicated: a new leader learns it from its first poll.
"""

import math
from dataclasses import dataclass, field

from bluebellyoke.backoff import compute_pause
from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.lease_times import (
    MAX_CALL_DELAY_S,
    MAX_CLOCK_LAG,
    LeaseTimes,
    RemovalReason,
)
from bluebellyoke.dispatch.tracked_run import RunPhase, TrackedRun
from bluebellyoke.workflow.commands import RunOutcome
from bluebellyoke.workflow.specs import WorkerSpec
from bluebellyoke.workflow.store import RunKey

__all__ = [
    "ESTIMATE_FACTOR",
    "MAX_CALL_DELAY_S",
    "MAX_CLOCK_LAG",
    "LeaseTimes",
    "RemovalReason",
    "TrackedWorker",
]

#: Number of different workflows that must fail on a worker, without a run that is done
#: in between, before the worker is quarantined.
QUARANTINE_FAILED_WORKFLOWS = 3

#: Initial and maximum duration of a quarantine, in seconds.
QUARANTINE_INITIAL_S = 1.0
QUARANTINE_MAX_S = 8.0

#: Time after its latest start for which a worker that has been quarantined gets no task
#: beside its runs, in seconds. Without an end, a long-running task would keep all
#: others away.
QUARANTINE_TRIAL_S = 8.0

#: Time for which a worker whose runs are all stalled gets no task, from the stall and
#: from its latest start, in seconds. A run that hangs by itself looks the same.
STALL_TRIAL_S = 60.0

#: Multiple of its estimated duration after which a run is expected to have ended.
#: Declared estimates are rough; the progress in the worker's next status report
#: replaces them.
ESTIMATE_FACTOR = 1.5

#: Time after the expected end of a run at which its worker is probed, in seconds.
OVERDUE_MARGIN_S = 0.15

#: Minimum time from a worker's response to the next probe for an overdue run, in
#: seconds. A probe costs about as much as a poll.
PROBE_INTERVAL_S = 0.3

#: The same for a suspect, whose worker gets no other task meanwhile, in seconds.
SUSPECT_PROBE_INTERVAL_S = 0.05


@dataclass(slots=True)
class TrackedWorker:
    """One incarnation of a worker as the leader sees it. All times are monotonic.

    Attributes:
        discovered_at: Time at which this leader learned of the worker.
        fence: Fencing token of the calls to it, higher than that of all calls before.
        late_calls_until: Time until which it may carry out calls that were meant for an
            earlier incarnation with its ID, or 0. Their deadlines are far ahead of its
            clock, so each of them renews its lease by the longest one.
        clock_ms, clock_at: Latest reading of the worker's clock, in milliseconds, and
            the time at which it arrived; 0 before the first.
        clock_requested_at: Time at which the poll for this reading was sent.
        lease_deadline_ms: Latest end of the lease that this leader requested, on the
            worker's clock.
        lease_requested_at: Time of the latest call that requested a lease.
        identified_at: Time of the latest call whose response named this incarnation.
        last_response_at: Time of the latest response to a poll or a probe.
        acknowledged_end: Sequence number of the worker's last end that is committed.
        has_listed_ends: Whether its latest report has ends to acknowledge.
        has_responded: Whether the worker has accepted this leader's fencing token.
        is_lease_polled: Whether the latest poll requested a lease.
        poll_sent_at, probe_sent_at: Time at which the poll or the probe in flight was
            sent, or None.
        probe_due: Time at which a run is so late that the response to the waiting poll
            may have been lost.
        poll_due: Time at which the next poll may be sent.
        failures: Polls that have failed since the last response.
        is_refusing: Whether the connection for the latest of these was refused. That
            does not show whether the process runs.
        unreadable_since: Time since which a run has been in unreadable rows only, or
            None.
        lost_at: Time at which the connection of the first of these failed. Without a
            failure, or if that poll timed out, it is the time of the last response.
        suspect_until: Time until which the worker gets no new task.
        unanswered_start_at: Time at which a start last failed without a result; the
            worker gets no new task until it has responded to a later poll or probe.
        is_stalled: Whether all its runs are stalled; it gets hardly any task meanwhile.
        stalled_at: Time at which this was last noticed.
        is_leaving: Whether the worker has announced that it ends.
        leave_announced_at: Time of the last such announcement.
        is_being_removed: Whether its removal is proposed, which will end its runs.
        failed_workflows: Workflows of which a task has failed here since a run was
            last done.
        quarantines: Number of quarantines since a run was last done; while it is not 0
            the worker gets tasks only while it has no young runs.
        runs: Assigned runs that may take up resources.
        suspects: Those of them that may crash the worker; it gets no new task until
            they have been cleared.
        started_at: Time at which a run that is not a suspect was last added.
        unassigned_runs: Runs that the worker lists but that are not assigned to it,
            with the time at which a stop was last sent.
        allocated: Resources that the runs take up.
    """

    spec: WorkerSpec
    discovered_at: float
    fence: int = 0
    late_calls_until: float = 0.0
    clock_ms: int = 0
    clock_at: float = 0.0
    clock_requested_at: float = 0.0
    lease_deadline_ms: int = 0
    lease_requested_at: float = 0.0
    identified_at: float = -math.inf
    last_response_at: float = 0.0
    acknowledged_end: int = 0
    has_listed_ends: bool = False
    has_responded: bool = False
    is_lease_polled: bool = False
    poll_sent_at: float | None = None
    probe_sent_at: float | None = None
    probe_due: float = math.inf
    poll_due: float = 0.0
    failures: int = 0
    is_refusing: bool = False
    unreadable_since: float | None = None
    lost_at: float = 0.0
    suspect_until: float = 0.0
    unanswered_start_at: float = 0.0
    is_stalled: bool = False
    stalled_at: float = 0.0
    is_leaving: bool = False
    leave_announced_at: float = 0.0
    is_being_removed: bool = False
    failed_workflows: set[str] = field(default_factory=set)
    quarantines: int = 0
    runs: dict[RunKey, TrackedRun] = field(default_factory=dict)
    suspects: set[RunKey] = field(default_factory=set)
    started_at: float = 0.0
    unassigned_runs: dict[RunKey, float] = field(default_factory=dict)
    allocated: Resources = field(default_factory=Resources)

    @property
    def free(self) -> Resources:
        """Resources that no run takes up."""
        return self.spec.capacity - self.allocated

    @property
    def has_unanswered_start(self) -> bool:
        """Whether it has not responded since a start failed without a result."""
        return self.last_response_at < self.unanswered_start_at

    def add_run(
        self,
        key: RunKey,
        need: Resources,
        phase: RunPhase,
        now: float,
        estimate_s: float = 0.0,
        probation_s: float = 0.0,
        is_confirmed: bool = False,
        sent_by: float | None = None,
        open_by: float = 0.0,
        open_until: float = 0.0,
        has_ended: bool = False,
        has_ticket: bool = False,
    ) -> None:
        """Allocate resources to a run.

        Args:
            estimate_s: Expected duration of a run that begins without a checkpoint, in
                seconds, or 0 if it is unknown.
            probation_s: Time for which a suspect has to run, in seconds, or 0.
            is_confirmed: Whether the replicas know that the worker has begun it.
            sent_by: Time by which its start had been sent, if it is not sent later.
            open_by, open_until, has_ended, has_ticket: As in `TrackedRun`.
        """
        if key in self.runs:
            return
        run = self.runs[key] = TrackedRun(
            need,
            phase,
            now,
            sent_by=now if sent_by is None else sent_by,
            probation_s=probation_s,
            is_confirmed=is_confirmed,
            is_confirmation_proposed=is_confirmed,
            open_by=open_by,
            open_until=open_until,
            has_ended=has_ended,
            has_ticket=has_ticket,
        )
        self.allocated = self.allocated + need
        if probation_s:
            self.suspects.add(key)
        else:
            self.started_at = now
        if estimate_s:
            run.baseline_at = now
            run.expected_end_at = now + estimate_s * ESTIMATE_FACTOR
        self.probe_due = min(
            self.probe_due, run.expected_end_at + OVERDUE_MARGIN_S, run.probation_end
        )

    def has_overdue_run(self, now: float) -> bool:
        """Return whether a run should have ended or have been cleared by now."""
        overdue_at = self._find_earliest_end() + OVERDUE_MARGIN_S
        return now >= min(overdue_at, self._find_probation_end())

    def schedule_probe(self, now: float) -> None:
        """Set the time of the next check for overdue runs and suspects."""
        overdue_at = self._find_earliest_end() + OVERDUE_MARGIN_S
        self.probe_due = min(
            max(overdue_at, now + PROBE_INTERVAL_S),
            max(self._find_probation_end(), now + SUSPECT_PROBE_INTERVAL_S),
        )

    def clear_suspects(self, listed: set[RunKey], now: float) -> set[RunKey]:
        """Clear the suspects that have run for long enough, and return them.

        Args:
            listed: Runs that the worker has just listed as running.
        """
        cleared = {
            key for key in self.suspects & listed if now >= self.runs[key].probation_end
        }
        for key in cleared:
            self.runs[key].probation_s = 0.0
            self.runs[key].is_cleared = True
        self.suspects -= cleared
        return cleared

    def update_stall(self, listed: set[RunKey], now: float) -> bool:
        """Update whether all runs are stalled; return whether that changed.

        Args:
            listed: Runs that the worker has just listed as running.
        """
        runs = [run for key, run in self.runs.items() if key in listed]
        progressing = [run for run in runs if run.has_progressed]
        stalled = bool(progressing) and all(run.is_stalled(now) for run in progressing)
        changed = stalled is not self.is_stalled
        if changed and stalled:
            self.stalled_at = now
        self.is_stalled = stalled
        return changed

    def _find_earliest_end(self) -> float:
        return min(
            (run.expected_end_at for run in self.runs.values()), default=math.inf
        )

    def _find_probation_end(self) -> float:
        return min(
            (self.runs[key].probation_end for key in self.suspects), default=math.inf
        )

    def drop_run(self, key: RunKey) -> None:
        """Release the resources of a run that has ended."""
        run = self.runs.pop(key, None)
        self.suspects.discard(key)
        if run is not None:
            self.allocated = self.allocated - run.need

    def set_phase(self, key: RunKey, phase: RunPhase, now: float) -> None:
        """Change the phase of a run, if it is still assigned."""
        run = self.runs.get(key)
        if run is not None:
            run.phase = phase
            run.phase_since = now
            run.is_restartable = False

    # Health.

    def record_outcome(self, workflow: str, outcome: RunOutcome, now: float) -> bool:
        """Count the outcome of a run; return whether it quarantines the worker.

        Failures of one workflow may be due to the workflow itself. Failures of several
        workflows in a row point to the worker.
        """
        if outcome is RunOutcome.DONE:
            self.failed_workflows.clear()
            self.quarantines = 0
            return False
        if outcome is not RunOutcome.FAILED:
            return False
        self.failed_workflows.add(workflow)
        if (
            len(self.failed_workflows) < QUARANTINE_FAILED_WORKFLOWS
            or now < self.suspect_until
        ):
            return False
        duration_s = compute_pause(
            QUARANTINE_INITIAL_S, self.quarantines, QUARANTINE_MAX_S
        )
        self.suspect_until = max(self.suspect_until, now + duration_s)
        self.quarantines += 1
        return True

    # Lease.

    def record_clock(self, clock_ms: int, requested_at: float, now: float) -> None:
        """Store a reading of the worker's clock."""
        self.clock_ms = clock_ms
        self.clock_requested_at = requested_at
        self.clock_at = now

    def extend_lease(self, now: float, times: LeaseTimes) -> int | None:
        """Return the lease deadline to request, or None without a clock reading.

        The deadline is in milliseconds of the worker's clock.
        """
        if not self.clock_at:
            return None
        now_ms = self.clock_ms + (now - self.clock_at) * 1000
        is_ending = self.is_leaving or self.spec.draining
        lease_s = times.leaving_lease_s if is_ending else times.lease_s
        self.lease_deadline_ms = max(
            self.lease_deadline_ms, int(now_ms + lease_s * 1000)
        )
        return self.lease_deadline_ms

    def has_lease_expired(self, now: float, times: LeaseTimes) -> bool:
        """Return whether the lease has expired, whichever requests the worker got."""
        return self.compute_lease_left(now, times) < 0

    def compute_lease_left(self, now: float, times: LeaseTimes) -> float:
        """Return the longest time for which the lease may last, in seconds.

        It is that of the slowest clock that a worker may have. An earlier leader may
        have requested the longest lease just before this one learned of the worker, and
        a call for an earlier incarnation may have arrived late.
        """
        renewed_at = max(self.discovered_at, min(self.late_calls_until, now))
        elapsed_s = (now - renewed_at) * (1 - MAX_CLOCK_LAG)
        earlier_lease_s = times.max_lease_s - elapsed_s
        if not self.clock_at:
            return earlier_lease_s
        elapsed_s = (now - self.clock_at) * (1 - MAX_CLOCK_LAG)
        own_lease_s = (self.lease_deadline_ms - self.clock_ms) / 1000 - elapsed_s
        return max(earlier_lease_s, own_lease_s)

    def can_accept_tasks(
        self, now: float, max_silence_s: float, replaced: RunKey | None = None
    ) -> bool:
        """Return whether the worker may get new tasks.

        Args:
            max_silence_s: Time without a response after which it gets none, in seconds.
            replaced: Run whose place a new task would take.
        """
        return (
            self.has_responded
            and not self.spec.draining
            and not self.is_leaving
            and not self.is_being_removed
            and not self.unassigned_runs
            and now - self.last_response_at < max_silence_s
            and now >= self.suspect_until
            and not self.has_unanswered_start
            and not self._is_kept_for_stall(now)
            and self.suspects <= {replaced}
            and not (self.quarantines and self._has_trial_run(now))
        )

    def _is_kept_for_stall(self, now: float) -> bool:
        """Return whether the worker is stalled and not due for another trial."""
        since = max(self.stalled_at, self.started_at)
        return self.is_stalled and now - since < STALL_TRIAL_S

    def _has_trial_run(self, now: float) -> bool:
        """Return whether a run has not had the time yet to show whether it fails."""
        return bool(self.runs) and now - self.started_at < QUARANTINE_TRIAL_S
