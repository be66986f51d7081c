"""Optional parts of the dispatcher, created as the settings turn them on."""

from bluebellyoke.dispatch.admission import AdmissionControl
from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.expected_end import ExpectedEndCost
from bluebellyoke.dispatch.interference_control import InterferenceControl
from bluebellyoke.dispatch.ordering import StepOrder
from bluebellyoke.dispatch.preemption import Preemptor
from bluebellyoke.dispatch.probes import WorkerProber
from bluebellyoke.dispatch.run_times import RunTimes
from bluebellyoke.dispatch.stops import RunStopper
from bluebellyoke.dispatch.stragglers import StragglerMover
from bluebellyoke.dispatch.urgency import UrgencyOrder
from bluebellyoke.dispatch.worker_speeds import WorkerSpeeds

__all__ = ["OptionalParts"]


class OptionalParts:
    """Parts that only some deployments use; the others are None.

    Args:
        context: Shared state of the dispatcher, whose observers and costs are extended.
        stopper: Sends stops of runs.
        prober: Sends probes.

    Attributes:
        admission: Judges new workflows, and refuses some if the settings allow it.
        orders: Orders of the waiting steps.
        preemptor: Stops runs for short jobs that would be late.
        interference: Keeps tasks apart that slow each other down, and paces them.
        mover: Moves runs off workers that have become slow.
    """

    def __init__(
        self, context: DispatchContext, *, stopper: RunStopper, prober: WorkerProber
    ) -> None:
        self._context = context
        self.admission: AdmissionControl | None = None
        self.orders: list[StepOrder] = []
        self.preemptor: Preemptor | None = None
        self.interference: InterferenceControl | None = None
        self.mover: StragglerMover | None = None
        features = context.features
        if features.uneven_workers:
            self._add_worker_speeds(context, stopper)
        if features.interference:
            self.interference = InterferenceControl(
                context, stopper=stopper, prober=prober
            )
        if features.admission or features.urgency:
            self._add_contention_parts(context, stopper)

    def _add_worker_speeds(self, context: DispatchContext, stopper: RunStopper) -> None:
        run_times = RunTimes()
        speeds = WorkerSpeeds(run_times, context.find_run, context.metrics)
        context.observers.append(speeds)
        context.costs.append(ExpectedEndCost(speeds, run_times, context.find_queue))
        if context.features.move_stragglers:
            self.mover = StragglerMover(
                context, stopper=stopper, speeds=speeds, run_times=run_times
            )

    def _add_contention_parts(
        self, context: DispatchContext, stopper: RunStopper
    ) -> None:
        self.admission = AdmissionControl(context)
        context.observers.append(self.admission.ratios)
        urgency = UrgencyOrder(self.admission)
        self.orders.append(urgency)
        self.preemptor = Preemptor(
            context, admission=self.admission, urgency=urgency, stopper=stopper
        )

    def activate(self, now: float) -> None:
        """Start with the state of a new leader."""
        if self.admission is not None:
            self.admission.activate(now)

    def clear(self) -> None:
        """Drop the planned moves.

        The dispatcher clears the observers, and `RunStarter.reset` the preemptor;
        `activate` clears the data of admission.
        """
        if self.mover is not None:
            self.mover.clear()

    def tick(self, now: float, wall_time: float) -> None:
        """Run the periodic work that is due."""
        contain = self._context.containment.contain
        if self.interference is not None:
            with contain("interference"):
                self.interference.tick(now)
        if self.admission is not None:
            with contain("admission"):
                self.admission.tick(now, wall_time)
        if self.mover is not None:
            with contain("stragglers"):
                self.mover.tick(now)
