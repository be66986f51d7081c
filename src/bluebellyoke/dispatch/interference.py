"""Learning of how much runs slow each other down from what workers report.

Three comparisons yield evidence, each between observations that differ in the exposure
to other images and are otherwise alike:

* The progress of a run with its own earlier progress, on the same worker.
* The run time of a run, as a share of its estimate, with those of other runs of its
  image on the same worker.
* The tail latency of a serving task, relative to other tasks of its image at the same
  time, with its own earlier tail latency.

A slow worker, a long task and a load that all serving tasks share thus cancel out.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.exposure import Baseline, EndedRuns, add_overlap
from bluebellyoke.dispatch.observers import RunObserver
from bluebellyoke.dispatch.pair_table import PairTable
from bluebellyoke.dispatch.serving_peers import ServingPeers, TailSample
from bluebellyoke.dispatch.tracked_run import TrackedRun
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.commands import RunOutcome
from bluebellyoke.workflow.specs import StepSpec
from bluebellyoke.workflow.store import RunKey

__all__ = ["InterferenceLearner"]

COMPLETE_PERCENT = 100

#: Smallest progress and time between two observations of a run, in percent and seconds.
#: Reports hold whole percents.
MIN_PROGRESS = 8
MIN_INTERVAL_S = 0.4

#: Time that a tail latency covers, in seconds.
TAIL_WINDOW_S = 0.5

#: Variances of the logarithm of the speed: between parts of one run, between runs of an
#: image (estimates are off by up to a half), and between tail latencies of a task.
PART_NOISE = 0.15**2
RUN_NOISE = 0.35**2
TAIL_NOISE = 0.3**2

#: Number of observations after which older ones fade. A tail latency is compared with
#: the one before it only: with a weight of 2, loads of their own that swing by half in
#: 13 s were taken for interference in 1 of 30 simulated cells, with 1 in none.
PART_WEIGHT = 10
RUN_WEIGHT = 30
TAIL_WEIGHT = 1

#: Maximum number of images on workers whose run times are compared.
MAX_RUN_BASELINES = 4096


@dataclass(slots=True)
class ObservedRun:
    """A run whose image is known.

    Attributes:
        begun_at: Time at which it was sent, or first listed if another leader sent it.
        observed_at, percent: Time and progress at the latest observation.
        baseline: Earlier observations of the run.
        tail: Latest tail latency of a serving task, which is compared at the next one.
    """

    image: str
    begun_at: float
    observed_at: float
    percent: int
    baseline: Baseline
    tail: TailSample | None = None


@dataclass(slots=True)
class ObservedWorker:
    """Runs of one incarnation of a worker."""

    runs: dict[RunKey, ObservedRun] = field(default_factory=dict)
    ended: EndedRuns = field(default_factory=EndedRuns)


class InterferenceLearner(RunObserver):
    """Learns which images slow each other down.

    Args:
        context: Shared state of the dispatcher.
        table: Receives the evidence.
        was_limited: Returns whether a run on a worker may have been limited at any time
            since another time.
    """

    def __init__(
        self,
        context: DispatchContext,
        table: PairTable,
        was_limited: Callable[[TrackedWorker, RunKey, float], bool],
    ) -> None:
        self._context = context
        self._table = table
        self._was_limited = was_limited
        self._workers: dict[tuple[str, int], ObservedWorker] = {}
        self._run_baselines: dict[tuple[str, tuple[str, int]], Baseline] = {}
        self._peers: dict[str, ServingPeers] = {}

    def record_progress(
        self,
        worker: TrackedWorker,
        key: RunKey,
        run: TrackedRun,
        load: int,
        now: float,
    ) -> None:
        """Compare the progress or the tail latency of a run with its earlier ones."""
        step = self._context.find_step(key)
        if not step.image:
            return
        observed = self._get_run(worker, key, run, step, now)
        if step.long_running:
            if load > 0 and now - observed.observed_at >= TAIL_WINDOW_S:
                self._observe_tail(worker, key, observed, load, now)
        elif (
            run.percent - observed.percent >= MIN_PROGRESS
            and now - observed.observed_at >= MIN_INTERVAL_S
        ):
            self._observe_progress(worker, key, observed, run.percent, now)

    def record_end(
        self,
        worker: TrackedWorker,
        key: RunKey,
        run: TrackedRun,
        outcome: RunOutcome,
        now: float,
    ) -> None:
        """Compare the run time of a run with those of other runs of its image."""
        step = self._context.find_step(key)
        if not step.image:
            return
        observed = self._get_run(worker, key, run, step, now)
        is_done = outcome is RunOutcome.DONE and not step.long_running
        if is_done and not observed.baseline.weight:
            self._observe_run_time(worker, key, run, observed, now)
        state = self._workers[worker.spec.key]
        state.ended.add(observed.image, observed.begun_at, now)
        self._drop_run(state, key)

    def _get_run(
        self,
        worker: TrackedWorker,
        key: RunKey,
        run: TrackedRun,
        step: StepSpec,
        now: float,
    ) -> ObservedRun:
        state = self._workers.get(worker.spec.key)
        if state is None:
            state = self._workers[worker.spec.key] = ObservedWorker()
        observed = state.runs.get(key)
        if observed is None:
            for old in [x for x in state.runs if x not in worker.runs]:
                self._drop_run(state, old)
            baseline = (
                Baseline(TAIL_NOISE, TAIL_WEIGHT)
                if step.long_running
                else Baseline(PART_NOISE, PART_WEIGHT)
            )
            begun_at = now if run.sent_at is None else run.sent_at
            observed = ObservedRun(step.image, begun_at, now, run.percent, baseline)
            state.runs[key] = observed
        return observed

    def _drop_run(self, state: ObservedWorker, key: RunKey) -> None:
        observed = state.runs.pop(key)
        peers = self._peers.get(observed.image)
        if peers is not None:
            peers.remove(key)
            if not peers.reports:
                del self._peers[observed.image]

    def forget_worker(self, worker: TrackedWorker) -> None:
        """Drop what is known of an incarnation, also as a source of evidence."""
        state = self._workers.pop(worker.spec.key, None)
        if state is None:
            return
        for key in tuple(state.runs):
            self._drop_run(state, key)
        for item in [x for x in self._run_baselines if x[1] == worker.spec.key]:
            del self._run_baselines[item]
        self._table.forget_worker(worker.spec.key)

    def clear(self) -> None:
        """Drop everything; the pairs start neutral."""
        self._workers.clear()
        self._run_baselines.clear()
        self._peers.clear()
        self._table.clear()

    # Observations.

    def _observe_tail(
        self,
        worker: TrackedWorker,
        key: RunKey,
        observed: ObservedRun,
        tail_ms: int,
        now: float,
    ) -> None:
        # A pace follows from the tail, so that a change of the tail after it may be its
        # cause as well as its effect: no exposures are known beside a limited run.
        exposures = self._measure_exposures(worker, key, now - TAIL_WINDOW_S, now)
        level = -math.log(tail_ms)
        peers = self._peers.setdefault(observed.image, ServingPeers())
        mean = peers.update(key, level, exposures)
        previous, observed.tail = observed.tail, TailSample(level, mean, exposures)
        observed.observed_at = now
        if previous is None:
            return
        relative = previous.compare_to_peers(mean, observed.baseline)
        if relative is None:
            observed.baseline = Baseline(TAIL_NOISE, TAIL_WEIGHT)
        else:
            self._compare(worker, observed.image, observed.baseline, *relative, now)

    def _observe_progress(
        self,
        worker: TrackedWorker,
        key: RunKey,
        observed: ObservedRun,
        percent: int,
        now: float,
    ) -> None:
        elapsed_s = now - observed.observed_at
        level = math.log((percent - observed.percent) / elapsed_s)
        exposures = self._measure_exposures(worker, key, observed.observed_at, now)
        observed.observed_at, observed.percent = now, percent
        if exposures is not None:
            self._compare(
                worker, observed.image, observed.baseline, level, exposures, now
            )

    def _observe_run_time(
        self,
        worker: TrackedWorker,
        key: RunKey,
        run: TrackedRun,
        observed: ObservedRun,
        now: float,
    ) -> None:
        estimate_s = self._context.find_estimate(key)
        if run.sent_at is None or not estimate_s or now <= run.sent_at:
            return
        exposures = self._measure_exposures(worker, key, run.sent_at, now)
        if exposures is None:
            return
        level = math.log(estimate_s / (now - run.sent_at))
        baseline = self._get_run_baseline(observed.image, worker.spec.key)
        self._compare(worker, observed.image, baseline, level, exposures, now)

    def _get_run_baseline(self, image: str, worker: tuple[str, int]) -> Baseline:
        """Return a baseline, which becomes the last one to be dropped."""
        baseline = self._run_baselines.pop((image, worker), None)
        if baseline is None:
            baseline = Baseline(RUN_NOISE, RUN_WEIGHT)
            if len(self._run_baselines) >= MAX_RUN_BASELINES:
                del self._run_baselines[next(iter(self._run_baselines))]
        self._run_baselines[(image, worker)] = baseline
        return baseline

    def _compare(
        self,
        worker: TrackedWorker,
        image: str,
        baseline: Baseline,
        level: float,
        exposures: dict[str, float],
        now: float,
    ) -> None:
        if baseline.weight:
            self._table.add_evidence(
                image,
                baseline.compare(exposures),
                baseline.level - level,
                baseline.estimate_noise(),
                worker.spec.key,
                now,
            )
        baseline.add(level, exposures)

    def _measure_exposures(
        self, worker: TrackedWorker, key: RunKey, since: float, now: float
    ) -> dict[str, float] | None:
        """Return for how much of a time a run had runs of each image beside it.

        Returns:
            Shares from 0 to 1, or None if a run beside it, or it itself, is limited.
        """
        exposures: dict[str, float] = {}
        duration_s = now - since
        for other, run in worker.runs.items():
            step = self._context.find_step(other)
            if step.backfill and self._was_limited(worker, other, since):
                return None
            if other == key or not step.image:
                continue
            begun_at = run.phase_since if run.sent_at is None else run.sent_at
            overlap_s = now - max(begun_at, since)
            add_overlap(exposures, step.image, overlap_s, duration_s)
        for image, begun_at, ended_at in self._workers[
            worker.spec.key
        ].ended.iter_since(since):
            overlap_s = ended_at - max(begun_at, since)
            add_overlap(exposures, image, overlap_s, duration_s)
        return exposures
