"""Speed of each worker, from the progress and the ends of its runs.

A worker's factor is the time that it takes for the same work relative to the median
worker. A lasting difference, as of hardware, is told apart from a temporary
slowdown.
"""

import logging
import math
from collections.abc import Callable

from bluebellyoke.dispatch.observers import RunObserver
from bluebellyoke.dispatch.progress_marks import ProgressMark
from bluebellyoke.dispatch.run_times import (
    INITIAL_SPREAD,
    MAX_SPREAD,
    MIN_SPREAD,
    RunTimes,
)
from bluebellyoke.dispatch.slowdowns import Slowdown
from bluebellyoke.dispatch.speed_estimates import SpeedEstimate, update_estimates
from bluebellyoke.dispatch.tracked_run import COMPLETE_PERCENT, TrackedRun
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.metrics import Metrics
from bluebellyoke.workflow.commands import RunOutcome
from bluebellyoke.workflow.specs import StepSpec
from bluebellyoke.workflow.store import RunKey

__all__ = ["WorkerSpeeds"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Minimum duration of a window over which a rate is measured, in seconds, and the
#: progress that it has to cover, in percent. Percentages are whole numbers.
MIN_WINDOW_S = 0.4
MIN_WINDOW_PERCENT = 4.0

#: Rate of a window relative to the usual one from which the usual one follows it, and
#: the weight of the window. A slowdown may begin in the middle of a window.
STEADY_RATIO = 0.8
RATE_SHARE = 0.3

#: Time from the start of a slowdown until it is noticed, in seconds.
ONSET_S = 1.5

#: Progress from which the rate of a run tells its run time, in percent.
MIN_COUNTED_PERCENT = 30

#: Time between two comparisons of the workers, in seconds.
REFRESH_INTERVAL_S = 1.0

#: Weight of a run in the estimate of the noise.
NOISE_SHARE = 0.005

#: Number of runs after which half of the weight is given to the runs of a queue.
FAMILIAR_RUNS = 10.0

#: Shortest run time that is taken into account, in seconds. The time of the calls is
#: a large part of a shorter one.
MIN_DURATION_S = 0.05

#: Maximum number of log lines about speeds between two comparisons.
MAX_LOG_LINES = 10

#: Finds the queue and the step of a run, and whether it began without a checkpoint.
RunFinder = Callable[[RunKey], tuple[str, StepSpec, bool] | None]


class WorkerSpeeds(RunObserver):
    """Learns the speed of workers together with the run times of tasks.

    Args:
        run_times: Run times on a worker of median speed.
        find_run: Finds what is known of a run.
        metrics: Counters of changes.

    Attributes:
        is_uneven: Whether any worker is known to differ from the median one.
        version: Number that changes with the factor or the slowdown of any worker.
    """

    def __init__(
        self, run_times: RunTimes, find_run: RunFinder, metrics: Metrics
    ) -> None:
        self._run_times = run_times
        self._find_run = find_run
        self._metrics = metrics
        self._estimates: dict[str, SpeedEstimate] = {}
        self._slowdowns: dict[str, Slowdown] = {}
        self._label_levels: dict[str, float] = {}
        self._noise = INITIAL_SPREAD**2
        self._refresh_due = 0.0
        self._log_lines = 0
        self.is_uneven = False
        self.version = 0

    def clear(self) -> None:
        """Drop everything."""
        self._run_times.clear()
        self._estimates.clear()
        self._slowdowns.clear()
        self._label_levels = {}
        self._noise = INITIAL_SPREAD**2
        self._refresh_due = 0.0
        self.is_uneven = False
        self.version += 1

    def forget_worker(self, worker: TrackedWorker) -> None:
        """Drop what is known of an incarnation of a worker."""
        known = self._estimates.get(worker.spec.id)
        if known is not None and known.incarnation == worker.spec.incarnation:
            del self._estimates[worker.spec.id]
            self._slowdowns.pop(worker.spec.id, None)
        self.version += 1

    def get_factor(self, worker: TrackedWorker) -> float:
        """Return the lasting factor of a worker, without a temporary slowdown."""
        known = self._estimates.get(worker.spec.id)
        if known is not None and known.incarnation == worker.spec.incarnation:
            return math.exp(known.level)
        levels = self._label_levels
        if not levels:
            return 1.0
        found = [levels[label] for label in worker.spec.labels if label in levels]
        return math.exp(max(found, key=abs, default=0.0))

    def get_slowdown(self, worker: TrackedWorker) -> float:
        """Return by how many times a worker is slower than usual at present."""
        known = self._slowdowns.get(worker.spec.id)
        return 1.0 / known.ratio if known is not None else 1.0

    def get_slowdown_start(self, worker: TrackedWorker) -> float:
        """Return the time at which the latest slowdown of a worker was noticed."""
        known = self._slowdowns.get(worker.spec.id)
        return known.began_at if known is not None else 0.0

    def set_level(self, worker: TrackedWorker, level: float) -> None:
        """Set what is known of a worker: the logarithm of its factor."""
        estimate = self._find_estimate(worker)
        estimate.level = estimate.estimate = level
        self.is_uneven = self.is_uneven or bool(level)
        self.version += 1

    # Observations.

    def record_progress(
        self,
        worker: TrackedWorker,
        key: RunKey,
        run: TrackedRun,
        load: int,
        now: float,
    ) -> None:
        """Measure the rate of a run once its window is long enough."""
        mark, clock_ms = run.mark, worker.clock_ms
        if mark is None:
            found = self._find_run(key)
            run.mark = ProgressMark(
                now, clock_ms, run.percent, now, clock_ms, run.percent
            )
            run.mark.is_usable = found is not None and _shows_worker_speed(
                found[1], worker
            )
            return
        elapsed_s = (clock_ms - mark.clock_ms) / 1000
        if (
            elapsed_s < MIN_WINDOW_S
            or not mark.is_usable
            or run.percent >= COMPLETE_PERCENT
        ):
            return
        progress = run.percent - mark.percent
        if max(progress, mark.rate * elapsed_s) < MIN_WINDOW_PERCENT:
            return
        self._close_window(worker, run, mark, now)
        progress = run.percent - mark.first_percent
        if progress >= MIN_COUNTED_PERCENT and not mark.is_counted:
            mark.is_counted = True
            duration_s = (clock_ms - mark.first_clock_ms) / 1000
            duration_s *= COMPLETE_PERCENT / progress
            self._count(worker, key, mark.first_at, duration_s, now)
        if now >= self._refresh_due:
            self._refresh(now)

    def _close_window(
        self, worker: TrackedWorker, run: TrackedRun, mark: ProgressMark, now: float
    ) -> None:
        elapsed_s = (worker.clock_ms - mark.clock_ms) / 1000
        rate = max(run.percent - mark.percent, 0) / elapsed_s
        slowdown = self._slowdowns.get(worker.spec.id)
        if slowdown is None:
            slowdown = self._slowdowns[worker.spec.id] = Slowdown()
        if mark.at < slowdown.rebased_at:
            mark.rate = 0.0
        ratio = 1.0
        if mark.rate:
            ratio = rate / mark.rate * mark.rate_scale
            if slowdown.record(ratio, now):
                self._report_slowdown(worker, slowdown, now)
        if not mark.rate:
            mark.rate, mark.rate_scale = rate, slowdown.ratio
        elif not slowdown.is_slow and ratio >= STEADY_RATIO:
            mark.rate += RATE_SHARE * (rate - mark.rate)
            mark.rate_scale = 1.0
        mark.at, mark.clock_ms, mark.percent = now, worker.clock_ms, run.percent

    def _report_slowdown(
        self, worker: TrackedWorker, slowdown: Slowdown, now: float
    ) -> None:
        if slowdown.is_slow:
            for run in worker.runs.values():
                # It may have begun after the slowdown did.
                if run.mark is not None and now - run.mark.first_at < ONSET_S:
                    run.mark.rate = 0.0
        self.version += 1
        kind = "slowed" if slowdown.is_slow else "recovered"
        self._metrics.record_speed_change(kind)
        self.is_uneven = self.is_uneven or slowdown.is_slow
        self._log(
            "dispatch: a worker slowed down"
            if slowdown.is_slow
            else "dispatch: a worker recovered its speed",
            worker=worker.spec.id,
            speed=round(slowdown.ratio, 2),
        )

    def record_end(
        self,
        worker: TrackedWorker,
        key: RunKey,
        run: TrackedRun,
        outcome: RunOutcome,
        now: float,
    ) -> None:
        """Count the run time of a run that is done."""
        if now >= self._refresh_due:
            self._refresh(now)
        if outcome is not RunOutcome.DONE or (run.mark and run.mark.is_counted):
            return
        if run.sent_at is not None:
            self._count(worker, key, run.sent_at, now - run.sent_at, now)

    def _count(
        self,
        worker: TrackedWorker,
        key: RunKey,
        begun_at: float,
        duration_s: float,
        now: float,
    ) -> None:
        """Learn from a run time if only the worker's speed can have affected it."""
        found = self._find_run(key)
        if found is None or duration_s < MIN_DURATION_S:
            return
        queue, step, is_fresh = found
        if not is_fresh or self._was_slowed_down(worker, begun_at):
            return
        if not _shows_worker_speed(step, worker):
            if step.gang:
                self._run_times.record(queue, step, duration_s, now)
            return
        estimate = self._find_estimate(worker)
        normal_s = duration_s / math.exp(estimate.estimate)
        predicted = self._run_times.record(queue, step, normal_s, now)
        if predicted is None or not math.isfinite(normal_s):
            return
        self._metrics.record_run_time_error(abs(normal_s - predicted.seconds))
        deviation = math.log(duration_s) - predicted.log_s
        noise = min((deviation - estimate.estimate) ** 2, MAX_SPREAD**2)
        self._noise += NOISE_SHARE * (noise - self._noise)
        weight = predicted.runs / (predicted.runs + FAMILIAR_RUNS)
        name = key[0]
        estimate.record((name.workflow, name.repetition, name.step), deviation, weight)

    def _was_slowed_down(self, worker: TrackedWorker, begun_at: float) -> bool:
        """Return whether a slowdown has affected a run that began at some time."""
        slowdown = self._slowdowns.get(worker.spec.id)
        return slowdown is not None and (
            slowdown.is_slow or begun_at < slowdown.ended_at
        )

    def _find_estimate(self, worker: TrackedWorker) -> SpeedEstimate:
        spec = worker.spec
        known = self._estimates.get(spec.id)
        if known is None or known.incarnation != spec.incarnation:
            known = SpeedEstimate(spec.incarnation, spec.labels)
            known.level = round(math.log(self.get_factor(worker)), 2)
            known.estimate = known.level
            self._estimates[spec.id] = known
            self._slowdowns.pop(spec.id, None)
        return known

    # Comparison.

    def _refresh(self, now: float) -> None:
        """Compare the workers with each other."""
        self._refresh_due = now + REFRESH_INTERVAL_S
        self._log_lines = 0
        changed = any(x.is_slow for x in self._slowdowns.values())
        self._check_slowdowns(now)
        noise = max(math.sqrt(self._noise), MIN_SPREAD)
        labels = update_estimates(self._estimates.values(), noise)
        changed = changed or labels != self._label_levels
        self._label_levels = labels
        for name, item in self._estimates.items():
            old = item.level
            if not item.update_level():
                continue
            changed = True
            self._metrics.record_speed_change(
                "slower" if item.level > old else "faster"
            )
            self._log(
                "dispatch: a worker's speed factor changed",
                worker=name,
                factor=round(math.exp(item.level), 2),
                runs=round(item.runs),
                error=round(item.error, 3),
            )
        self.is_uneven = any(x.level for x in self._estimates.values()) or any(
            x.is_slow for x in self._slowdowns.values()
        )
        self.version += changed

    def _check_slowdowns(self, now: float) -> None:
        """End slowdowns that have expired or that turn out to be permanent."""
        for name, slowdown in self._slowdowns.items():
            if slowdown.is_permanent(now):
                slowdown.accept(now)
                if name in self._estimates:
                    self._estimates[name].restart()
                self._log("dispatch: a worker stays slow", worker=name)
            elif slowdown.has_expired(now):
                slowdown.end(now)
                self._metrics.record_speed_change("expired")

    def _log(self, message: str, **fields: object) -> None:
        self._log_lines += 1
        if self._log_lines <= MAX_LOG_LINES:
            logger.info(message, extra=fields)


def _shows_worker_speed(step: StepSpec, worker: TrackedWorker) -> bool:
    """Return whether the run time of a task depends on its worker's speed alone.

    The tasks of a gang end together. A backfill task gets what others leave to it.
    """
    is_far = bool(step.data_rack) and step.data_rack not in worker.spec.labels
    return not (step.gang or step.long_running or step.backfill or is_far)
