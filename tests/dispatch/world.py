"""Duties of leaders with workers, a network and clocks that misbehave, in one process.

The workers keep the published rules: they run what they are told, keep the highest
fencing token, end everything when their lease ends, and list ends until acknowledged.
What they see is checked as it happens.
"""

from dataclasses import dataclass, field

from bluebellyoke.dispatch import events as e
from bluebellyoke.dispatch.dispatcher import Dispatcher
from bluebellyoke.dispatch.ports import (
    EndedRun,
    NoAnswerError,
    OtherLifeError,
    PollRequest,
    RunningRun,
    StartRequest,
    StartResult,
    StatusReport,
    StopRequest,
)
from bluebellyoke.dispatch.workers import LeaseTimes
from bluebellyoke.leader.sessions import Proposals
from bluebellyoke.metrics import Metrics
from bluebellyoke.workflow import commands as wc
from bluebellyoke.workflow.specs import WorkerSpec
from tests.workflow.factories import create_store, create_worker

LONGEST_MS = 6000

CALL_DELAY_S = 1e-6


@dataclass
class SentCall:
    """A call on its way to a worker."""

    kind: str
    spec: WorkerSpec
    request: StartRequest | StopRequest | PollRequest
    term: int
    sent_at: float
    is_finished: bool = False


@dataclass
class FakeWorker:
    """One life of a worker.

    Attributes:
        void: Number of the last end before the latest lapse of the lease. It counts as
            not noted for good, whatever is acknowledged later.
    """

    spec: WorkerSpec
    rate: float
    clock_ms: float = 1000.0
    lease_ms: float = 0.0
    fence: int = 0
    runs: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    count: int = 0
    acknowledged_end: int = 0
    expired_end: int = 0
    blocked: dict = field(default_factory=dict)
    percents: dict = field(default_factory=dict)

    def advance(self, seconds):
        self.clock_ms += seconds * 1000 * self.rate
        if self.clock_ms > self.lease_ms:
            self.expired_end = self.count
            for key in list(self.runs):
                self.end(key, wc.RunOutcome.LAPSED)

    def end(self, key, outcome):
        del self.runs[key]
        task, run = key
        self.count += 1
        self.ended.append(EndedRun(self.count, task, run, outcome, ""))
        self.blocked[task] = max(self.blocked.get(task, 0), run)

    def extend(self, deadline_ms):
        granted = min(deadline_ms, self.clock_ms + LONGEST_MS)
        self.lease_ms = max(self.lease_ms, granted)


class FakeCalls:
    """Takes the duties' calls and puts them on the way."""

    def __init__(self, world):
        self.world = world
        self.term = 0
        self.metrics = Metrics()

    def start(self, spec, request):
        self._add("start", spec, request)

    def stop(self, spec, request):
        self._add("stop", spec, request)

    def poll(self, spec, request):
        self._add("poll", spec, request)

    def _add(self, kind, spec, request):
        # A call leaves just after the turn that wants it.
        sent = SentCall(kind, spec, request, self.term, self.world.now + CALL_DELAY_S)
        self.world.sent_calls.append(sent)


class World:
    """A book, the present leader's duties, workers and what is on its way."""

    def __init__(self, workers=3):
        self.now = 1000.0
        self.store = create_store(workers=0)
        self.sent_calls = []
        self.events = []
        self.workers = {}
        self.acknowledged = set()
        self.needs = {}
        self.term = 0
        self.change_leader()
        rates = (0.98, 1.0, 1.02)
        for number in range(workers):
            name = f"w{number + 1}"
            self.workers[name] = FakeWorker(
                create_worker(name, cpu=3000), rates[number % 3]
            )
            self.announce(name)
        self.commit()

    # The leader.

    def change_leader(self):
        """Let another replica lead; what was not committed is gone."""
        self.term += 1
        self.proposals = Proposals()
        self.calls = FakeCalls(self)
        self.dispatcher = Dispatcher(
            proposals=self.proposals,
            calls=self.calls,
            times=LeaseTimes(lease_s=5.0, max_lease_s=LONGEST_MS / 1000),
        )
        self.dispatcher.begin(self.store, self.term, self.now)

    def commit(self):
        for proposal in self.proposals.take():
            self.note_acknowledgements(proposal.command)
            result = self.store.apply(proposal.command)
            if proposal.on_result is not None:
                proposal.on_result(result)

    def note_acknowledgements(self, command):
        if isinstance(command, wc.SubmitWorkflow):
            for step in command.spec.steps:
                assert step.count

    def tick(self):
        self.dispatcher.tick(self.now, self.now)
        self.commit()

    def advance(self, seconds):
        self.now += seconds
        for worker in self.workers.values():
            worker.advance(seconds)

    def announce(self, name, **fields):
        spec = self.workers[name].spec
        if fields:
            spec = self.workers[name].spec = create_worker(
                name,
                incarnation=spec.incarnation,
                cpu=spec.capacity.cpu_millis,
                **fields,
            )
        self.dispatcher.register_worker(spec, self.now, lambda result: None)

    def submit(self, spec):
        command = wc.SubmitWorkflow(spec=spec)
        self.dispatcher.submit(command, self.now, lambda result: None)
        self.commit()

    def cancel(self, identity):
        command = wc.CancelWorkflow(workflow=identity, queue="q")
        self.dispatcher.cancel(command, self.now, lambda result: None)
        self.commit()

    # The network.

    def deliver(self, sent):
        """Let a worker carry out a call, and put its answer on the way."""
        worker = self.workers[sent.spec.id]
        if worker.spec.incarnation != sent.spec.incarnation:
            self.finish_call(sent, error=OtherLifeError(sent.spec.address))
            return
        handler = {
            "start": self.handle_start,
            "stop": self.handle_stop,
            "poll": self.handle_poll,
        }
        self.finish_call(sent, **handler[sent.kind](worker, sent.request))

    def time_out(self, sent):
        """Let the caller's time run out; the call may still be carried out."""
        self.finish_call(sent, error=NoAnswerError(sent.spec.address, "time is over"))

    def finish_call(self, sent, **fields):
        if sent.is_finished:
            return
        sent.is_finished = True
        base = {
            "term": sent.term,
            "worker": sent.spec.id,
            "incarnation": sent.spec.incarnation,
        }
        if sent.kind == "poll":
            event = e.PollFinished(
                **base,
                sent_at=sent.sent_at,
                is_probe=sent.request.is_probe,
                **fields,
            )
        else:
            key = (sent.request.task, sent.request.run)
            kind = e.StartFinished if sent.kind == "start" else e.StopFinished
            event = kind(**base, key=key, **fields)
        self.events.append(event)

    def receive(self, event):
        self.dispatcher.receive(event, self.now, self.now)
        self.commit()

    # The workers.

    def handle_start(self, worker, request):
        key = (request.task, request.run)
        if request.fence < worker.fence:
            return {"result": StartResult.FENCED}
        worker.fence = request.fence
        if request.deadline_ms < worker.clock_ms:
            return {"result": StartResult.LATE}
        worker.extend(request.deadline_ms)
        if key in worker.runs:
            return {"result": StartResult.STARTED}
        if request.run <= worker.blocked.get(request.task, 0):
            return {"result": StartResult.OUTDATED}
        self.check_start(worker, key)
        worker.runs[key] = self.find_need(request.task)
        return {"result": StartResult.STARTED}

    def handle_stop(self, worker, request):
        if request.fence < worker.fence:
            return {"accepted": False}
        worker.fence = request.fence
        key = (request.task, request.run)
        worker.blocked[request.task] = max(
            worker.blocked.get(request.task, 0), request.run
        )
        if key in worker.runs:
            worker.end(key, wc.RunOutcome.STOPPED)
        return {"accepted": True}

    def handle_poll(self, worker, request):
        if request.fence < worker.fence:
            return {"report": None}
        worker.fence = request.fence
        if request.deadline_ms is not None:
            worker.extend(request.deadline_ms)
        for end in worker.ended:
            is_done = end.outcome is wc.RunOutcome.DONE
            if worker.expired_end < end.number <= request.acknowledged_end and is_done:
                self.acknowledged.add(end.task)
        worker.acknowledged_end = max(worker.acknowledged_end, request.acknowledged_end)
        worker.ended = [x for x in worker.ended if x.number > worker.acknowledged_end]
        running = tuple(
            RunningRun(task, run, "", worker.percents.get((task, run), 0))
            for task, run in worker.runs
        )
        report = StatusReport(
            int(worker.clock_ms), worker.spec.incarnation, running, tuple(worker.ended)
        )
        return {"report": report}

    def find_need(self, task):
        return self.store.workflows[task.workflow].spec.steps[task.step].need

    def crash(self, name):
        """Let a worker start again with nothing."""
        old = self.workers[name]
        spec = create_worker(
            name, incarnation=old.spec.incarnation + 1, cpu=old.spec.capacity.cpu_millis
        )
        self.workers[name] = FakeWorker(spec, old.rate)
        self.announce(name)
        self.commit()

    # What must hold.

    def check_start(self, worker, key):
        task = key[0]
        for other in self.workers.values():
            assert all(x[0] != task for x in other.runs), f"{task} runs twice"
        assert task not in self.acknowledged, f"{task} was done"
        spec = self.store.workflows[task.workflow].spec
        for before in spec.steps[task.step].depends_on:
            assert self.is_done(task, before), f"{task} is too early"
        allocated = self.find_need(task)
        for need in worker.runs.values():
            allocated = allocated + need
        assert allocated.fits_in(worker.spec.capacity), (
            f"{worker.spec.id} is overcommitted"
        )

    def is_done(self, task, step):
        workflow = self.store.workflows[task.workflow]
        return workflow.repetitions[task.repetition].steps[step].is_done

    def settle(self, rounds=400):
        """Heal everything and let all tasks end."""
        for _ in range(rounds):
            for name in self.workers:
                self.announce(name)
            self.commit()
            self.advance(0.05)
            self.tick()
            sent_calls, self.sent_calls = self.sent_calls, []
            for sent in sent_calls:
                if not sent.is_finished:
                    self.deliver(sent)
            events, self.events = self.events, []
            for event in events:
                self.receive(event)
            for worker in self.workers.values():
                for key in list(worker.runs):
                    worker.end(key, wc.RunOutcome.DONE)
            if not self.store.active:
                return
        raise AssertionError(f"{list(self.book.active)} did not end")
