"""The parts that learn of interference and act on it, as the dispatcher uses them."""

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.events import PaceFinished
from bluebellyoke.dispatch.interference import InterferenceLearner
from bluebellyoke.dispatch.pacing import BackfillPacer
from bluebellyoke.dispatch.pair_table import PairTable
from bluebellyoke.dispatch.probes import WorkerProber
from bluebellyoke.dispatch.separation import InterferenceCost
from bluebellyoke.dispatch.stops import RunStopper
from bluebellyoke.dispatch.workers import TrackedWorker

__all__ = ["InterferenceControl"]


class InterferenceControl:
    """Learns slowdowns, paces backfill runs and adds a cost to placement.

    Args:
        context: Shared state of the dispatcher, which gets the observers and the cost.
        stopper: Sends stops of runs.
        prober: Sends probes.
    """

    def __init__(
        self, context: DispatchContext, *, stopper: RunStopper, prober: WorkerProber
    ) -> None:
        self._table = PairTable(context.metrics)
        self._pacer = BackfillPacer(
            context,
            stopper=stopper,
            prober=prober,
            estimate_slowdown=self._table.estimate_slowdown,
        )
        learner = InterferenceLearner(context, self._table, self._pacer.was_limited)
        # The learner looks up the limit of a run that ends before the pacer drops it.
        context.observers += [learner, self._pacer]
        context.costs.append(InterferenceCost(context, self._table, self._pacer))

    def tick(self, now: float) -> None:
        """Decide on paces, and let what is known age."""
        self._pacer.tick(now)
        self._table.check(now)

    def receive(self, worker: TrackedWorker, event: PaceFinished, now: float) -> None:
        """Process the result of a pace order."""
        self._pacer.receive(worker, event, now)
