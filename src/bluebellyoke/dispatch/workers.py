"""What the leader knows of one life of a worker that it calls.

Nothing of this is replicated: a new leader learns it from its first hold.
"""

import enum
import math
from dataclasses import dataclass, field

from bluebellyoke.cell.resources import Resources
from bluebellyoke.workflow.commands import RunOutcome
from bluebellyoke.workflow.specs import WorkerSpec
from bluebellyoke.workflow.store import RunKey

__all__ = ["LeaseTimes", "RunPhase", "TrackedWorker"]

#: Workflows that fail one after the other before a worker is set aside.
QUARANTINE_FAILED_WORKFLOWS = 3

#: Time for which such a worker is set aside at first and at most, in seconds.
QUARANTINE_S = 1.0
MAX_QUARANTINE_S = 8.0

#: Part of its estimate for which a run may last before it is looked for; estimates of
#: jobs are rough, and the worker's own figures replace them with its next answer.
ESTIMATE_FACTOR = 1.5

#: Time after its expected end at which a run is looked for, and shortest time from an
#: answer of a worker to a look, in seconds. A look costs about as much as a hold.
OVERDUE_MARGIN_S = 0.15
PROBE_INTERVAL_S = 0.3

#: Time for which a run's percent stays the same, in seconds, and in the time that it
#: took for a percent so far, after which the run is taken for standing still.
MIN_STALL_S = 0.7
STALL_PERCENT_STEPS = 5

COMPLETE_PERCENT = 100

#: Largest relative lag of a worker's clock.
MAX_CLOCK_LAG = 0.02


class RunPhase(enum.Enum):
    """What the leader knows of an assigned run.

    CALLING: The start is under way. STARTED: The worker has it. UNSURE: The start
    got no answer, or an earlier leader sent it. BARRING: A stop is under way for a
    run that the worker does not list. BARRED: That stop was accepted, so the run
    cannot begin any more. STOPPING: A run that the worker has is being stopped.
    """

    STARTING = "calling"
    STARTED = "started"
    UNKNOWN = "unsure"
    BLOCKING = "barring"
    BLOCKED = "barred"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTimes:
    """Durations of a worker's lease, in seconds.

    Attributes:
        lease_s: Lease that each hold and start asks for.
        longest_s: Longest lease that a worker grants to any leader.
    """

    lease_s: float = 5.0
    max_lease_s: float = 6.0


@dataclass(slots=True)
class TrackedRun:
    """A run that may take room on the worker.

    Attributes:
        since: Monotonic time of the last change of the phase.
        due_at: Monotonic time at which it is expected to end.
        begun_at: Time at which `begun_percent` of its work was done, if known.
        moved_at: Time at which the worker first listed `percent`, the latest figure.
    """

    need: Resources
    phase: RunPhase
    phase_since: float
    expected_end_at: float = math.inf
    baseline_at: float | None = None
    baseline_percent: int = 0
    progressed_at: float = 0.0
    percent: int = 0

    def record_progress(self, percent: int, now: float) -> None:
        """Learn from the part of the work that is done when it is to end."""
        if percent != self.percent:
            self.progressed_at, self.percent = now, percent
        if self.baseline_at is None:
            self.baseline_at, self.baseline_percent = now, percent
        elif percent > self.baseline_percent and now > self.baseline_at:
            rate = (percent - self.baseline_percent) / (now - self.baseline_at)
            self.expected_end_at = now + (COMPLETE_PERCENT - percent) / rate

    @property
    def has_progressed(self) -> bool:
        """Whether its work has gone on, so that its pace is known, and is not whole.

        A task that lasts stays at 100 while it is at work.
        """
        known = self.baseline_at is not None
        return known and self.baseline_percent < self.percent < COMPLETE_PERCENT

    def is_stalled(self, now: float) -> bool:
        """Return whether its work has stood still for long by its own pace."""
        if not self.has_progressed:
            return False
        percent_s = (self.progressed_at - self.baseline_at) / (
            self.percent - self.baseline_percent
        )
        return now - self.progressed_at > max(
            MIN_STALL_S, STALL_PERCENT_STEPS * percent_s
        )


@dataclass(slots=True)
class TrackedWorker:
    """One life of a worker, as the leader sees it.

    Attributes:
        found_at: Monotonic time at which this leader met it.
        clock_ms, clock_at: Reading of its clock and the time it arrived, if any.
        promised_ms: Latest end of its lease that this leader asked for.
        heard_at: Time of its latest answer to a hold.
        seen: Number of its last end that is recorded.
        is_held: Whether it has answered this leader's fencing token.
        look_due: Time at which a run is so late that the waiting hold is in doubt.
        foreign: Runs that it lists and that are not assigned to it.
        failures: Holds that failed since the last answer.
        suspect_until: Monotonic time until which it gets no new task.
        doubted_at: Time of the latest start that it did not answer; it gets no new
            task until it has answered a hold or a look after that.
        is_stalled: Whether all its runs stand still; it gets no new task meanwhile.
        failed_workflows: Workflows of which a task failed here since one was done.
        pauses: Times that it was set aside for failures since one was done; until
            then it gets tasks only while it runs none.
    """

    spec: WorkerSpec
    discovered_at: float
    clock_ms: int = 0
    clock_at: float = 0.0
    lease_deadline_ms: int = 0
    last_response_at: float = 0.0
    acknowledged_end: int = 0
    has_responded: bool = False
    is_polling: bool = False
    is_probing: bool = False
    probe_due: float = math.inf
    poll_due: float = 0.0
    failures: int = 0
    suspect_until: float = 0.0
    unanswered_start_at: float = 0.0
    is_stalled: bool = False
    has_left: bool = False
    failed_workflows: set[str] = field(default_factory=set)
    quarantines: int = 0
    runs: dict[RunKey, TrackedRun] = field(default_factory=dict)
    unassigned_runs: dict[RunKey, float] = field(default_factory=dict)
    allocated: Resources = field(default_factory=Resources)

    @property
    def free(self) -> Resources:
        """Room that no run may take."""
        return self.spec.capacity - self.allocated

    @property
    def has_unanswered_start(self) -> bool:
        """Whether it has not answered since a start went without an answer."""
        return self.last_response_at < self.unanswered_start_at

    def add_run(
        self,
        key: RunKey,
        need: Resources,
        phase: RunPhase,
        now: float,
        estimate_s: float = 0.0,
    ) -> None:
        """Count a run against the room.

        Args:
            estimate_s: Expected length of a run that begins with nothing done, in
                seconds, or 0 if it is unknown.
        """
        if key in self.runs:
            return
        run = self.runs[key] = TrackedRun(need, phase, now)
        self.allocated = self.allocated + need
        if estimate_s:
            run.baseline_at = now
            run.expected_end_at = now + estimate_s * ESTIMATE_FACTOR
            self.probe_due = min(self.probe_due, run.expected_end_at + OVERDUE_MARGIN_S)

    def has_overdue_run(self, now: float) -> bool:
        """Return whether a run should have ended a while ago."""
        return now >= self._find_earliest_end() + OVERDUE_MARGIN_S

    def schedule_probe(self, now: float) -> None:
        """Work out when to ask next whether a run is overdue."""
        self.probe_due = max(
            self._find_earliest_end() + OVERDUE_MARGIN_S, now + PROBE_INTERVAL_S
        )

    def update_stall(self, listed: set[RunKey], now: float) -> bool:
        """Work out whether all its work stands still; return whether that changed.

        Args:
            listed: Runs that it has just listed as running.
        """
        runs = [run for key, run in self.runs.items() if key in listed]
        moved = [run for run in runs if run.has_progressed]
        stalled = bool(moved) and all(run.is_stalled(now) for run in moved)
        changed = stalled is not self.is_stalled
        self.is_stalled = stalled
        return changed

    def _find_earliest_end(self) -> float:
        return min(
            (run.expected_end_at for run in self.runs.values()), default=math.inf
        )

    def drop_run(self, key: RunKey) -> None:
        """Give back the room of a run that has ended."""
        run = self.runs.pop(key, None)
        if run is not None:
            self.allocated = self.allocated - run.need

    def set_phase(self, key: RunKey, phase: RunPhase, now: float) -> None:
        """Note what became known of a run."""
        run = self.runs.get(key)
        if run is not None:
            run.phase = phase
            run.phase_since = now

    # Soundness.

    def record_outcome(self, workflow: str, outcome: RunOutcome, now: float) -> bool:
        """Learn from an end; return whether the worker is set aside for it.

        Tasks of one workflow may fail by their own fault, those of several rarely do
        one after the other.
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
        pause = min(QUARANTINE_S * 2**self.quarantines, MAX_QUARANTINE_S)
        self.suspect_until = max(self.suspect_until, now + pause)
        self.quarantines += 1
        return True

    # Lease.

    def record_clock(self, clock_ms: int, now: float) -> None:
        """Take a reading of the worker's clock."""
        self.clock_ms = clock_ms
        self.clock_at = now

    def extend_lease(self, now: float, times: LeaseTimes) -> int | None:
        """Return the lease's end to ask for, on the worker's clock, if it is known."""
        if not self.clock_at:
            return None
        clock = self.clock_ms + (now - self.clock_at) * 1000
        self.lease_deadline_ms = max(
            self.lease_deadline_ms, int(clock + times.lease_s * 1000)
        )
        return self.lease_deadline_ms

    def has_lease_expired(self, now: float, times: LeaseTimes) -> bool:
        """Return whether the lease has ended, whatever the worker received."""
        known_for_s = (now - self.discovered_at) * (1 - MAX_CLOCK_LAG)
        if known_for_s <= times.max_lease_s:
            # An earlier leader may have asked for the longest lease just before.
            return False
        if not self.clock_at:
            return True
        slowest = self.clock_ms + (now - self.clock_at) * 1000 * (1 - MAX_CLOCK_LAG)
        return slowest > self.lease_deadline_ms

    def can_accept_tasks(self, now: float, max_silence_s: float) -> bool:
        """Return whether it may get new tasks."""
        return (
            self.has_responded
            and not self.spec.draining
            and not self.has_left
            and not self.unassigned_runs
            and now - self.last_response_at < max_silence_s
            and now >= self.suspect_until
            and not self.has_unanswered_start
            and not self.is_stalled
            and not (self.quarantines and self.runs)
        )
