"""Pacing of backfill runs, so that long-running tasks keep their tail targets.

For each worker that has long-running tasks with a target and backfill runs, the leader
compares the reported tail latencies with the targets. Near a target it slows down the
backfill run with the greatest effect, over a target all of them, and well below it
speeds them up again in small steps. A run is stopped only if it does not confirm a pace
of 0, or if a pace of 0 does not help.
"""

import logging
import math
from collections.abc import Callable

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.events import PaceFinished
from bluebellyoke.dispatch.observers import RunObserver
from bluebellyoke.dispatch.pace_orders import FULL_PACE, PacedRun, PaceOrders
from bluebellyoke.dispatch.pace_state import (
    PROBE_RATIO,
    RAISE_INTERVAL_S,
    SETTLE_S,
    Tail,
    WorkerPacing,
)
from bluebellyoke.dispatch.pace_stops import PausedRunStops
from bluebellyoke.dispatch.probes import WorkerProber
from bluebellyoke.dispatch.stops import RunStopper
from bluebellyoke.dispatch.tracked_run import TrackedRun
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.commands import RunOutcome
from bluebellyoke.workflow.specs import StepSpec
from bluebellyoke.workflow.store import RunKey

__all__ = ["BackfillPacer"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Tail latency as a share of its target: from `SLOW_DOWN_RATIO` runs are slowed down,
#: below `SPEED_UP_RATIO` one of them at a time is sped up, below `SPEED_UP_ALL_RATIO`
#: all of them. Between the first two, runs are sped up at the longest interval, since
#: the tail may be due to the load of the serving task alone.
SLOW_DOWN_RATIO = 0.9
SPEED_UP_RATIO = 0.75
SPEED_UP_ALL_RATIO = 0.5

#: Time between two reports of a worker that is probed, in seconds. A probe costs about
#: as much as a poll; two stages of slowing down and a stop have to fit into 4.5 s.
WATCH_INTERVAL_S = 0.3

#: Increase of a pace per step, and the smallest pace above 0, in percent.
RAISE_STEP = 20
MIN_PACE = 10

#: Longest time between two increases on a worker, in seconds.
MAX_RAISE_INTERVAL_S = 8.0

#: Time after an increase in which a reduction counts as its consequence, in seconds.
RAISE_EFFECT_S = 3.0

#: Time between two checks of the workers with limited runs, in seconds.
TICK_INTERVAL_S = 0.05


class BackfillPacer(RunObserver):
    """Slows down backfill runs where long-running tasks near their targets.

    Args:
        context: Shared state of the dispatcher.
        stopper: Sends stops of runs.
        prober: Sends probes.
        estimate_slowdown: Returns by how much the first image is slowed down by the
            second one, as a share of its run time; 0 if it is unknown.
    """

    def __init__(
        self,
        context: DispatchContext,
        *,
        stopper: RunStopper,
        prober: WorkerProber,
        estimate_slowdown: Callable[[str, str], float] = lambda victim, other: 0.0,
    ) -> None:
        self._context = context
        self._stops = PausedRunStops(stopper)
        self._prober = prober
        self._estimate_slowdown = estimate_slowdown
        self._orders = PaceOrders(context)
        self._states: dict[tuple[str, int], WorkerPacing] = {}
        self._reported: set[tuple[str, int]] = set()
        self._workers_to_check: set[tuple[str, int]] = set()
        self._tick_due = 0.0

    def was_limited(self, worker: TrackedWorker, key: RunKey, since: float) -> bool:
        """Return whether a run may have been limited at any time since another time."""
        state = self._states.get(worker.spec.key)
        paced = state.runs.get(key) if state is not None else None
        if paced is None:
            run = worker.runs.get(key)
            return run is not None and run.sent_at is None
        is_full = paced.percent == paced.in_force == FULL_PACE
        return not is_full or paced.full_since > since

    def estimate_pressure(self, worker: TrackedWorker) -> float:
        """Return how much a new backfill run would be slowed down, from 0 to 1."""
        state = self._states.get(worker.spec.key)
        if state is None or not state.tails:
            return 0.0
        if state.ratio >= SLOW_DOWN_RATIO or any(
            x.is_limited for x in state.runs.values()
        ):
            return 1.0
        return 0.5 if state.ratio >= SPEED_UP_RATIO else 0.0

    # Reports.

    def record_progress(
        self,
        worker: TrackedWorker,
        key: RunKey,
        run: TrackedRun,
        load: int,
        now: float,
    ) -> None:
        """Take note of the tail of a long-running task or of a backfill run."""
        step = self._context.find_step(key)
        if step.backfill:
            self._record_backfill(worker, key, run, step, load)
        elif step.long_running and step.tail_target_ms > 0:
            state = self._get_state(worker)
            state.tails[key] = Tail(load, step.tail_target_ms, step.image)
        else:
            return
        self._states[worker.spec.key].has_report = True
        self._reported.add(worker.spec.key)

    def _record_backfill(
        self,
        worker: TrackedWorker,
        key: RunKey,
        run: TrackedRun,
        step: StepSpec,
        load: int,
    ) -> None:
        state = self._get_state(worker)
        paced = state.runs.get(key)
        if paced is None:
            # An earlier leader may have limited a run that this one has not started.
            is_own = run.sent_at is not None
            in_force = FULL_PACE if is_own else None
            paced = state.runs[key] = PacedRun(key, step, None, in_force)
            if not is_own:
                paced.full_since = math.inf
        paced.cpu_millis = max(paced.cpu_millis, load)

    def _get_state(self, worker: TrackedWorker) -> WorkerPacing:
        state = self._states.get(worker.spec.key)
        if state is None:
            state = self._states[worker.spec.key] = WorkerPacing(worker)
        return state

    def record_end(
        self,
        worker: TrackedWorker,
        key: RunKey,
        run: TrackedRun,
        outcome: RunOutcome,
        now: float,
    ) -> None:
        """Forget a run; the limits that it caused end with it."""
        state = self._states.get(worker.spec.key)
        if state is None or (key not in state.tails and key not in state.runs):
            return
        state.tails.pop(key, None)
        state.runs.pop(key, None)
        self._reported.add(worker.spec.key)

    def forget_worker(self, worker: TrackedWorker) -> None:
        """Drop the tails and limits of an incarnation."""
        self._states.pop(worker.spec.key, None)
        self._reported.discard(worker.spec.key)
        self._workers_to_check.discard(worker.spec.key)

    def clear(self) -> None:
        """Drop everything; the next leader sends the limits again."""
        self._states.clear()
        self._reported.clear()
        self._workers_to_check.clear()
        self._tick_due = 0.0
        self._context.metrics.set_paced_runs(0)

    def receive(self, worker: TrackedWorker, event: PaceFinished, now: float) -> None:
        """Process the result of an order."""
        state = self._states.get(worker.spec.key)
        paced = state.runs.get(event.key) if state is not None else None
        if paced is not None:
            self._orders.receive(worker, paced, event, now)
            self._workers_to_check.add(worker.spec.key)

    # Decisions.

    def tick(self, now: float) -> None:
        """Decide on the workers with new reports and check those with limits."""
        reported, self._reported = self._reported, set()
        for worker_key in reported:
            self._decide(self._states[worker_key], now)
        if now < self._tick_due:
            return
        self._tick_due = now + TICK_INTERVAL_S
        limited = 0
        for worker_key in tuple(self._workers_to_check):
            limited += self._check_limited_runs(self._states[worker_key], now)
        self._context.metrics.set_paced_runs(limited)

    def _decide(self, state: WorkerPacing, now: float) -> None:
        self._count_unused(state, now)
        state.drop_ended_runs()
        if not state.runs and not state.tails:
            self._workers_to_check.discard(state.worker.spec.key)
            del self._states[state.worker.spec.key]
            return
        worst = state.find_worst()
        state.ratio = worst.ratio if worst is not None else 0.0
        if state.ratio < 1:
            state.over_since, state.has_own_load = None, False
        elif state.over_since is None:
            state.over_since = now
        self._set_first_limits(state, worst, now)
        has_report, state.has_report = state.has_report, False
        if worst is None:
            self._change(state, list(state.runs.values()), FULL_PACE, worst, now)
        elif has_report and now - state.changed_at >= SETTLE_S:
            if state.ratio >= SLOW_DOWN_RATIO:
                self._slow_down(state, worst, now)
            elif (
                state.ratio < SPEED_UP_RATIO
                or now - state.changed_at >= MAX_RAISE_INTERVAL_S
            ):
                self._speed_up(state, worst, now)
        self._send(state, now)

    def _set_first_limits(
        self, state: WorkerPacing, worst: Tail | None, now: float
    ) -> None:
        """Set the limits of runs that are new to this leader."""
        new = [x for x in state.runs.values() if x.percent is None]
        if not new:
            return
        limits = [x.percent for x in state.runs.values() if x.percent is not None]
        for paced in new:
            if paced.in_force is not None:
                paced.percent = min(limits, default=FULL_PACE)
            else:
                paced.percent = _choose_initial_limit(state.ratio)
            if paced.is_limited:
                state.changed_at = now
                _log_pace(state, paced, worst)

    def _slow_down(self, state: WorkerPacing, worst: Tail, now: float) -> None:
        running = [x for x in state.runs.values() if x.percent > 0]
        if now - state.raised_at < RAISE_EFFECT_S:
            state.raise_interval_s = min(
                2 * state.raise_interval_s, MAX_RAISE_INTERVAL_S
            )
        else:
            state.raise_interval_s = RAISE_INTERVAL_S
        state.raise_due = now + state.raise_interval_s
        if not running:
            if state.ratio >= 1:
                self._stops.stop_paused(state, worst, now)
            return
        greatest = max(running, key=lambda x: self._rank_effect(x, worst.image))
        if state.ratio < 1:
            percent = greatest.percent // 2
            percent = percent if percent >= MIN_PACE else 0
            self._change(state, [greatest], percent, worst, now)
        elif now - state.over_since < SETTLE_S:
            self._change(state, [greatest], 0, worst, now)
        else:
            self._change(state, running, 0, worst, now)

    def _speed_up(self, state: WorkerPacing, worst: Tail, now: float) -> None:
        limited = [x for x in state.runs.values() if x.is_limited]
        if not limited or now < state.raise_due:
            return
        if state.ratio >= SPEED_UP_ALL_RATIO:
            limited = [min(limited, key=lambda x: self._rank_effect(x, worst.image))]
        for paced in limited:
            percent = min(paced.percent + RAISE_STEP, FULL_PACE)
            self._change(state, [paced], percent, worst, now)
        state.raised_at = now
        state.raise_due = now + state.raise_interval_s

    def _rank_effect(self, paced: PacedRun, image: str) -> tuple[float, float]:
        """Rank a run by its effect on an image; what is learned counts first."""
        slowdown = self._estimate_slowdown(image, paced.step.image)
        cpu_millis = paced.cpu_millis or paced.step.need.cpu_millis
        return slowdown * paced.percent, cpu_millis * paced.percent

    def _change(
        self,
        state: WorkerPacing,
        runs: list[PacedRun],
        percent: int,
        worst: Tail | None,
        now: float,
    ) -> None:
        for paced in runs:
            if paced.percent == percent:
                continue
            state.changed_at = now
            paced.percent = percent
            _log_pace(state, paced, worst)

    def _send(self, state: WorkerPacing, now: float) -> None:
        for paced in state.runs.values():
            self._orders.send_if_due(state.worker, paced, now)
        if state.needs_checks:
            self._workers_to_check.add(state.worker.spec.key)

    # Between two reports.

    def _check_limited_runs(self, state: WorkerPacing, now: float) -> int:
        """Send due orders and request a report; return the number of limited runs."""
        self._count_unused(state, now)
        self._send(state, now)
        if not state.needs_checks:
            self._workers_to_check.discard(state.worker.spec.key)
            return 0
        needs_probes = (
            state.ratio >= PROBE_RATIO or now - state.changed_at < 2 * SETTLE_S
        )
        is_due = now - state.worker.last_response_at >= WATCH_INTERVAL_S
        if state.tails and needs_probes and is_due:
            self._prober.request(state.worker)
        return sum(x.is_limited for x in state.runs.values())

    def _count_unused(self, state: WorkerPacing, now: float) -> None:
        """Count the processor time that limited runs could not use."""
        elapsed_s = now - state.accounted_at if state.accounted_at else 0.0
        state.accounted_at = now
        unused = sum(
            (FULL_PACE - x.percent) * x.step.need.cpu_millis
            for x in state.runs.values()
            if x.is_limited
        )
        if unused and elapsed_s > 0:
            self._context.metrics.record_unused_backfill(
                elapsed_s * unused / FULL_PACE / 1000
            )


def _choose_initial_limit(ratio: float) -> int:
    """Return the limit of a run that an earlier leader may have limited.

    The tail shows the effect of a limit that this leader does not know, so that runs
    next to a busy task begin below the full pace.
    """
    if ratio >= 1:
        return 0
    if ratio >= SLOW_DOWN_RATIO:
        return RAISE_STEP
    return FULL_PACE // 2 if ratio >= SPEED_UP_ALL_RATIO else FULL_PACE


def _log_pace(state: WorkerPacing, paced: PacedRun, worst: Tail | None) -> None:
    fields = {"percent": paced.percent, **state.describe(paced, worst)}
    logger.info("dispatch: paces a run", extra=fields)
