"""The leader's view of a run that is assigned to a worker."""

import enum
import math
from dataclasses import dataclass

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.progress_marks import ProgressMark

__all__ = ["COMPLETE_PERCENT", "RunPhase", "TrackedRun"]

#: A run is stalled once its percentage has not changed for this time, in seconds, and
#: for the time that it took on average for this many percent so far.
MIN_STALL_S = 0.7
STALL_PERCENT_STEPS = 5

COMPLETE_PERCENT = 100


class RunPhase(enum.Enum):
    """State of an assigned run as the leader knows it.

    Attributes:
        STARTING: The start is planned or in flight.
        STARTED: The worker has the run.
        UNKNOWN: The start got no response, or an earlier leader sent it.
        BLOCKING: A stop is in flight for a run that the worker does not list.
        BLOCKED: The worker accepted that stop, so the run can no longer begin.
        STOPPING: A run that the worker has is being stopped.
    """

    STARTING = "calling"
    STARTED = "started"
    UNKNOWN = "unsure"
    BLOCKING = "barring"
    BLOCKED = "barred"
    STOPPING = "stopping"


@dataclass(slots=True)
class TrackedRun:
    """A run that may take up resources of the worker. All times are monotonic.

    Attributes:
        need: Resources that the run takes up.
        phase_since: Time of the last change of the phase.
        unblocked_since: Time since which the worker, which does not list the run, has
            accepted no stop of it, or None.
        sent_at: Time at which this leader sent the start, or None if it has not.
        sent_by: Time by which its start had been sent, by any leader.
        has_start_timed_out: Whether the start got no response, but its connection did
            not fail either.
        was_start_closed: Whether the worker closed the connection of the start without
            a response, as it does if the start ends its process.
        has_ticket: Whether the start carries a ticket of the queue's advisor.
        was_refused: Whether the start got a response that does not say that it was
            carried out, or never reached the worker. It is not carried out later.
        open_by: Time by which all earlier starts of the task on this worker have been
            carried out, as far as this leader sent them.
        open_until: Wall-clock time of the same by earlier leaders, in seconds, or 0.
        has_ended: Whether it has ended, but its task keeps its place.
        is_restartable: Whether the worker, which has the task blocked and does not list
            it, may get its next run in this place.
        is_restart_planned: Whether such a run waits for its commit.
        is_confirmed: Whether this incarnation of the worker is known to have begun it.
            A response to its start may be that of the next incarnation.
        is_confirmation_proposed: Whether that has been proposed to the replicas.
        stop_sent_at: Time at which a stop was last sent.
        probation_s: Time for which it has to run before it is cleared of the crashes
            that it was in, in seconds; 0 if it is not a suspect.
        is_cleared: Whether it has outlived them.
        expected_end_at: Time at which the run is expected to end.
        baseline_at: Time at which `baseline_percent` of its work was done, if known.
        progressed_at: Time at which the worker first reported `percent`.
        percent: Latest reported share of its work that is done, in percent.
        checkpoint: Latest reported progress that it has saved, or an empty text.
        mark: Points between which its rate is measured, or None if it is not.
    """

    need: Resources
    phase: RunPhase
    phase_since: float
    sent_by: float = 0.0
    unblocked_since: float | None = None
    sent_at: float | None = None
    has_start_timed_out: bool = False
    was_start_closed: bool = False
    has_ticket: bool = False
    was_refused: bool = False
    open_by: float = 0.0
    open_until: float = 0.0
    has_ended: bool = False
    is_restartable: bool = False
    is_restart_planned: bool = False
    is_confirmed: bool = False
    is_confirmation_proposed: bool = False
    stop_sent_at: float = -math.inf
    probation_s: float = 0.0
    is_cleared: bool = False
    expected_end_at: float = math.inf
    baseline_at: float | None = None
    baseline_percent: int = 0
    progressed_at: float = 0.0
    percent: int = 0
    checkpoint: str = ""
    mark: ProgressMark | None = None

    def record_progress(self, percent: int, now: float) -> None:
        """Update the expected end; `percent` is the share of the work that is done."""
        if percent != self.percent:
            self.progressed_at, self.percent = now, percent
        if self.baseline_at is None:
            self.baseline_at, self.baseline_percent = now, percent
        elif percent > self.baseline_percent and now > self.baseline_at:
            rate = (percent - self.baseline_percent) / (now - self.baseline_at)
            self.expected_end_at = now + (COMPLETE_PERCENT - percent) / rate

    @property
    def is_planned(self) -> bool:
        """Whether its start has not been sent, since it may not be committed yet."""
        return self.phase is RunPhase.STARTING and self.sent_at is None

    @property
    def can_begin_later(self) -> bool:
        """Whether it may still begin although the worker does not list it."""
        is_refused = self.phase is RunPhase.UNKNOWN and self.was_refused
        return not (is_refused or self.phase is RunPhase.BLOCKED)

    @property
    def begun_at(self) -> float:
        """Time at which its start was sent, or from which its phase is known."""
        return self.phase_since if self.sent_at is None else self.sent_at

    @property
    def probation_end(self) -> float:
        """Time from which a report that lists it clears it, or infinity."""
        if not self.probation_s:
            return math.inf
        return self.begun_at + self.probation_s

    @property
    def has_progressed(self) -> bool:
        """Whether it has made progress, so that its rate is known, but is not complete.

        A long-running task stays at 100 percent while it runs.
        """
        known = self.baseline_at is not None
        return known and self.baseline_percent < self.percent < COMPLETE_PERCENT

    def is_stalled(self, now: float) -> bool:
        """Return whether it has made no progress for long relative to its own rate."""
        if not self.has_progressed:
            return False
        seconds_per_percent = (self.progressed_at - self.baseline_at) / (
            self.percent - self.baseline_percent
        )
        return now - self.progressed_at > max(
            MIN_STALL_S, STALL_PERCENT_STEPS * seconds_per_percent
        )
