"""Simulation of serving tasks whose tail latency suffers from backfill tasks.

Polls wait at the worker for up to a second, a pace takes effect after 100 ms, and a
report covers the last 0.5 s, as the workers' interface says.
"""

from dataclasses import dataclass, field

from bluebellyoke.dispatch.features import DispatchFeatures
from tests.dispatch.simulation import DispatcherSimulation
from tests.workflow.factories import create_spec, create_step

TARGET_MS = 100.0

STEP_S = 0.02

PACE_DELAY_S = 0.1

REPORT_WINDOW_S = 0.5

#: Time after which a lost order counts as unanswered, and time after which the worker
#: carries it out if it does, in seconds.
CALL_TIMEOUT_S = 0.35
LATE_PACE_S = 0.9

SERVING = "0000000000000001"
BACKFILL = "0000000000000002"


@dataclass
class ServingWorker:
    """What the serving tasks of a worker and their neighbours do.

    Attributes:
        base_ms: Tail latency without any backfill task.
        effects: Increase of the latency by each backfill task at full pace, by index.
        image_effects: Increase of the latency by other tasks, by image.
        loads: Processor time in use of each backfill task, by index.
        paces: Times at which a pace takes effect, with the pace, by run.
        history: Recent latencies with their times.
        over_s, longest_over_s: Time for which the latency has been over the target
            although it would not be without backfill tasks: at present and at most.
    """

    base_ms: float = 50.0
    effects: dict[int, float] = field(default_factory=dict)
    image_effects: dict[str, float] = field(default_factory=dict)
    loads: dict[int, int] = field(default_factory=dict)
    paces: dict[tuple, list[tuple[float, int]]] = field(default_factory=dict)
    history: list[tuple[float, float]] = field(default_factory=list)
    over_s: float = 0.0
    longest_over_s: float = 0.0


class ServingSimulation(DispatcherSimulation):
    """A dispatcher with serving and backfill tasks.

    Attributes:
        lost_paces: Number of the next pace orders that get no answer; `executes_lost`
            tells whether the worker carries them out, after their time-out.
        refused_pace: Result that workers give to all pace orders, or None.
        probes: Number of probes that have been sent.
        paced: Pace orders that have been sent, with their times.
    """

    def __init__(self, workers=1, **options):
        self.serving = {}
        self.waiting_polls = []
        self.lost_orders = []
        self.lost_paces = 0
        self.executes_lost = False
        self.refused_pace = None
        self.probes = 0
        self.paced = []
        self.stopped = []
        features = DispatchFeatures(**{"interference": True, **options})
        super().__init__(workers, features)
        for name, worker in self.workers.items():
            worker.clock_rate = 1.0
            self.serving[name] = ServingWorker()

    def change_leader(self):
        super().change_leader()
        self.waiting_polls = []
        self.lost_orders = []

    def submit_serving(self, count=1, workflow=SERVING, image="web", **fields):
        step = create_step(
            count,
            cpu=500,
            long_running=True,
            image=image,
            tail_target_ms=TARGET_MS,
            **fields,
        )
        self.submit(create_spec(workflow, [step]))

    def submit_backfill(self, count=1, workflow=BACKFILL, image="crunch", **fields):
        step = create_step(
            count, cpu=100, backfill=True, image=image, estimate_ms=600_000.0, **fields
        )
        self.submit(create_spec(workflow, [step]))

    def list_runs(self, workflow):
        """Return the runs of a workflow on all workers, as pairs of worker and key."""
        return [
            (name, key)
            for name, worker in self.workers.items()
            for key in worker.runs
            if key[0].workflow == workflow
        ]

    def get_pace(self, name, key):
        """Return the pace that a run has at present."""
        orders = self.serving[name].paces.get(key, [])
        return next((pace for at, pace in reversed(orders) if at <= self.now), 100)

    def run(self, seconds):
        """Run for a time."""
        end = self.now + seconds
        while self.now < end:
            self.advance(STEP_S)
            for name, serving in self.serving.items():
                self._serve(name, serving)
            self._expire_lost_orders()
            self.tick()
            self._deliver_calls()

    def _serve(self, name, serving):
        latency = serving.base_ms
        worker = self.workers[name]
        for key in worker.runs:
            if key[0].workflow == BACKFILL:
                effect = serving.effects.get(key[0].index, 0.0)
                latency += effect * self.get_pace(name, key) / 100
            image = self.store.workflows[key[0].workflow].spec.steps[0].image
            latency += serving.image_effects.get(image, 0.0)
        serving.history.append((self.now, latency))
        serving.history = [
            x for x in serving.history if x[0] > self.now - REPORT_WINDOW_S
        ]
        is_over = latency > TARGET_MS >= serving.base_ms
        serving.over_s = serving.over_s + STEP_S if is_over else 0.0
        serving.longest_over_s = max(serving.longest_over_s, serving.over_s)
        tail = sum(x[1] for x in serving.history) / len(serving.history)
        for key in worker.runs:
            worker.percents[key] = 100 if key[0].workflow == SERVING else 1
            worker.loads[key] = int(tail)
            if key[0].workflow == BACKFILL:
                worker.loads[key] = serving.loads.get(key[0].index, 100)

    def _deliver_calls(self):
        sent_calls, self.sent_calls = self.sent_calls, []
        for sent in self.waiting_polls + sent_calls:
            if sent.is_finished or sent.term != self.term:
                continue
            if sent.kind == "poll" and self._may_wait(sent):
                continue
            if sent.kind == "pace":
                self._deliver_pace(sent)
            else:
                self.probes += sent.kind == "poll" and sent.request.is_probe
                if sent.kind == "stop":
                    self.stopped.append((self.now, sent.request))
                self.deliver(sent)
        self.waiting_polls = [
            x
            for x in self.waiting_polls + sent_calls
            if x.kind == "poll" and not x.is_finished
        ]
        posted, self.events = self.events, []
        for event in posted:
            self.receive(event)

    def _expire_lost_orders(self):
        """Report lost orders as unanswered, and carry them out late."""
        for sent in tuple(self.lost_orders):
            age_s = self.now - sent.sent_at
            if age_s >= CALL_TIMEOUT_S:
                self.time_out(sent)
            if age_s >= LATE_PACE_S:
                self.lost_orders.remove(sent)
                if self.executes_lost:
                    self.handle_pace(self.workers[sent.spec.id], sent.request)

    def _may_wait(self, sent):
        worker = self.workers[sent.spec.id]
        has_new_end = any(
            x.number > sent.request.acknowledged_end for x in worker.ended
        )
        waited_ms = (self.now - sent.sent_at) * 1000
        return not has_new_end and waited_ms < sent.request.wait_ms

    def _deliver_pace(self, sent):
        self.paced.append((self.now, sent.spec.id, sent.request))
        if self.lost_paces:
            self.lost_paces -= 1
            self.lost_orders.append(sent)
        elif self.refused_pace is not None:
            self.finish_call(sent, result=self.refused_pace)
        else:
            self.deliver(sent)

    def handle_pace(self, worker, request):
        reply = super().handle_pace(worker, request)
        key = (request.task, request.run)
        if worker.paces.get(key) == request.percent:
            serving = self.serving[worker.spec.id]
            orders = serving.paces.setdefault(key, [])
            orders.append((self.now + PACE_DELAY_S, request.percent))
        return reply

    def crash(self, name):
        """Restart a worker as a new incarnation without runs."""
        super().crash(name)
        base_ms, effects = self.serving[name].base_ms, self.serving[name].effects
        self.serving[name] = ServingWorker(base_ms, effects)
