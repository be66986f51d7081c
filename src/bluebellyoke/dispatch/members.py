"""What the leader knows of one life of a worker that it calls.

Nothing of this is replicated: a new leader learns it from its first hold.
"""

import enum
import math
from dataclasses import dataclass, field

from bluebellyoke.cell.resources import Resources
from bluebellyoke.workflow.book import RunKey
from bluebellyoke.workflow.commands import RunOutcome
from bluebellyoke.workflow.specs import WorkerSpec

__all__ = ["LeaseTimes", "Member", "RunPhase"]

#: Workflows that fail one after the other before a worker is set aside.
FAILED_WORKFLOWS = 3

#: Time for which such a worker is set aside at first and at most, in seconds.
PAUSE_S = 1.0
LONGEST_PAUSE_S = 8.0

#: Part of its estimate for which a run may last before it is looked for; estimates of
#: jobs are rough, and the worker's own figures replace them with its next answer.
ESTIMATE_SLACK = 1.5

#: Time after its expected end at which a run is looked for, and shortest time from an
#: answer of a worker to a look, in seconds. A look costs about as much as a hold.
OVERDUE_S = 0.15
LOOK_PAUSE_S = 0.3

#: Time for which a run's percent stays the same, in seconds, and in the time that it
#: took for a percent so far, after which the run is taken for standing still.
STALL_S = 0.7
STALL_PERCENTS = 5

WHOLE_PERCENT = 100

#: Largest relative lag of a worker's clock.
CLOCK_LAG = 0.02


class RunPhase(enum.Enum):
    """What the leader knows of an assigned run.

    CALLING: The start is under way. STARTED: The worker has it. UNSURE: The start
    got no answer, or an earlier leader sent it. BARRING: A stop is under way for a
    run that the worker does not list. BARRED: That stop was accepted, so the run
    cannot begin any more. STOPPING: A run that the worker has is being stopped.
    """

    CALLING = "calling"
    STARTED = "started"
    UNSURE = "unsure"
    BARRING = "barring"
    BARRED = "barred"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTimes:
    """Durations of a worker's lease, in seconds.

    Attributes:
        lease_s: Lease that each hold and start asks for.
        longest_s: Longest lease that a worker grants to any leader.
    """

    lease_s: float = 5.0
    longest_s: float = 6.0


@dataclass(slots=True)
class Run:
    """A run that may take room on the worker.

    Attributes:
        since: Monotonic time of the last change of the phase.
        due_at: Monotonic time at which it is expected to end.
        begun_at: Time at which `begun_percent` of its work was done, if known.
        moved_at: Time at which the worker first listed `percent`, the latest figure.
    """

    need: Resources
    phase: RunPhase
    since: float
    due_at: float = math.inf
    begun_at: float | None = None
    begun_percent: int = 0
    moved_at: float = 0.0
    percent: int = 0

    def note_progress(self, percent: int, now: float) -> None:
        """Learn from the part of the work that is done when it is to end."""
        if percent != self.percent:
            self.moved_at, self.percent = now, percent
        if self.begun_at is None:
            self.begun_at, self.begun_percent = now, percent
        elif percent > self.begun_percent and now > self.begun_at:
            rate = (percent - self.begun_percent) / (now - self.begun_at)
            self.due_at = now + (WHOLE_PERCENT - percent) / rate

    @property
    def has_moved(self) -> bool:
        """Whether its work has gone on, so that its pace is known, and is not whole.

        A task that lasts stays at 100 while it is at work.
        """
        known = self.begun_at is not None
        return known and self.begun_percent < self.percent < WHOLE_PERCENT

    def is_stalled(self, now: float) -> bool:
        """Return whether its work has stood still for long by its own pace."""
        if not self.has_moved:
            return False
        percent_s = (self.moved_at - self.begun_at) / (
            self.percent - self.begun_percent
        )
        return now - self.moved_at > max(STALL_S, STALL_PERCENTS * percent_s)


@dataclass(slots=True)
class Member:
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
    found_at: float
    clock_ms: int = 0
    clock_at: float = 0.0
    promised_ms: int = 0
    heard_at: float = 0.0
    seen: int = 0
    is_held: bool = False
    is_holding: bool = False
    is_looking: bool = False
    look_due: float = math.inf
    hold_due: float = 0.0
    failures: int = 0
    suspect_until: float = 0.0
    doubted_at: float = 0.0
    is_stalled: bool = False
    has_left: bool = False
    failed_workflows: set[str] = field(default_factory=set)
    pauses: int = 0
    runs: dict[RunKey, Run] = field(default_factory=dict)
    foreign: dict[RunKey, float] = field(default_factory=dict)
    taken: Resources = field(default_factory=Resources)

    @property
    def free(self) -> Resources:
        """Room that no run may take."""
        return self.spec.capacity - self.taken

    @property
    def is_doubted(self) -> bool:
        """Whether it has not answered since a start went without an answer."""
        return self.heard_at < self.doubted_at

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
        run = self.runs[key] = Run(need, phase, now)
        self.taken = self.taken + need
        if estimate_s:
            run.begun_at = now
            run.due_at = now + estimate_s * ESTIMATE_SLACK
            self.look_due = min(self.look_due, run.due_at + OVERDUE_S)

    def is_overdue(self, now: float) -> bool:
        """Return whether a run should have ended a while ago."""
        return now >= self._find_first_due() + OVERDUE_S

    def set_look_due(self, now: float) -> None:
        """Work out when to ask next whether a run is overdue."""
        self.look_due = max(self._find_first_due() + OVERDUE_S, now + LOOK_PAUSE_S)

    def note_stall(self, listed: set[RunKey], now: float) -> bool:
        """Work out whether all its work stands still; return whether that changed.

        Args:
            listed: Runs that it has just listed as running.
        """
        runs = [run for key, run in self.runs.items() if key in listed]
        moved = [run for run in runs if run.has_moved]
        stalled = bool(moved) and all(run.is_stalled(now) for run in moved)
        changed = stalled is not self.is_stalled
        self.is_stalled = stalled
        return changed

    def _find_first_due(self) -> float:
        return min((run.due_at for run in self.runs.values()), default=math.inf)

    def drop_run(self, key: RunKey) -> None:
        """Give back the room of a run that has ended."""
        run = self.runs.pop(key, None)
        if run is not None:
            self.taken = self.taken - run.need

    def set_phase(self, key: RunKey, phase: RunPhase, now: float) -> None:
        """Note what became known of a run."""
        run = self.runs.get(key)
        if run is not None:
            run.phase = phase
            run.since = now

    # Soundness.

    def note_outcome(self, workflow: str, outcome: RunOutcome, now: float) -> bool:
        """Learn from an end; return whether the worker is set aside for it.

        Tasks of one workflow may fail by their own fault, those of several rarely do
        one after the other.
        """
        if outcome is RunOutcome.DONE:
            self.failed_workflows.clear()
            self.pauses = 0
            return False
        if outcome is not RunOutcome.FAILED:
            return False
        self.failed_workflows.add(workflow)
        if len(self.failed_workflows) < FAILED_WORKFLOWS or now < self.suspect_until:
            return False
        pause = min(PAUSE_S * 2**self.pauses, LONGEST_PAUSE_S)
        self.suspect_until = max(self.suspect_until, now + pause)
        self.pauses += 1
        return True

    # Lease.

    def note_clock(self, clock_ms: int, now: float) -> None:
        """Take a reading of the worker's clock."""
        self.clock_ms = clock_ms
        self.clock_at = now

    def promise(self, now: float, times: LeaseTimes) -> int | None:
        """Return the lease's end to ask for, on the worker's clock, if it is known."""
        if not self.clock_at:
            return None
        clock = self.clock_ms + (now - self.clock_at) * 1000
        self.promised_ms = max(self.promised_ms, int(clock + times.lease_s * 1000))
        return self.promised_ms

    def has_lapsed(self, now: float, times: LeaseTimes) -> bool:
        """Return whether the lease has ended, whatever the worker received."""
        since_found = (now - self.found_at) * (1 - CLOCK_LAG)
        if since_found <= times.longest_s:
            # An earlier leader may have asked for the longest lease just before.
            return False
        if not self.clock_at:
            return True
        slowest = self.clock_ms + (now - self.clock_at) * 1000 * (1 - CLOCK_LAG)
        return slowest > self.promised_ms

    def is_usable(self, now: float, silence_s: float) -> bool:
        """Return whether it may get new tasks."""
        return (
            self.is_held
            and not self.spec.draining
            and not self.has_left
            and not self.foreign
            and now - self.heard_at < silence_s
            and now >= self.suspect_until
            and not self.is_doubted
            and not self.is_stalled
            and not (self.pauses and self.runs)
        )
