"""Duties of leaders with workers, a network and clocks that misbehave, in one process.

The workers keep the published rules: they run what they are told, keep the highest
fencing token, end everything when their lease ends, and list ends until acknowledged.
What they see is checked as it happens.
"""

from dataclasses import dataclass, field

from bluebellyoke.dispatch import events as e
from bluebellyoke.dispatch.duties import DispatchDuties
from bluebellyoke.dispatch.members import LeaseTimes
from bluebellyoke.dispatch.ports import (
    EndedRun,
    HoldOrder,
    HoldReport,
    NoAnswerError,
    OtherLifeError,
    RunningRun,
    StartAnswer,
    StartOrder,
    StopOrder,
)
from bluebellyoke.leader.sessions import ProposalQueue
from bluebellyoke.metrics import Metrics
from bluebellyoke.workflow import commands as wc
from bluebellyoke.workflow.specs import WorkerSpec
from tests.workflow.factories import create_book, create_worker

LONGEST_MS = 6000

CALL_DELAY_S = 1e-6


@dataclass
class Order:
    """A call on its way to a worker."""

    kind: str
    spec: WorkerSpec
    order: StartOrder | StopOrder | HoldOrder
    term: int
    sent_at: float
    is_answered: bool = False


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
    seen: int = 0
    void: int = 0
    barred: dict = field(default_factory=dict)
    percents: dict = field(default_factory=dict)

    def advance(self, seconds):
        self.clock_ms += seconds * 1000 * self.rate
        if self.clock_ms > self.lease_ms:
            self.void = self.count
            for key in list(self.runs):
                self.end(key, wc.RunOutcome.LAPSED)

    def end(self, key, outcome):
        del self.runs[key]
        task, run = key
        self.count += 1
        self.ended.append(EndedRun(self.count, task, run, outcome, ""))
        self.barred[task] = max(self.barred.get(task, 0), run)

    def extend(self, deadline_ms):
        granted = min(deadline_ms, self.clock_ms + LONGEST_MS)
        self.lease_ms = max(self.lease_ms, granted)


class FakeCalls:
    """Takes the duties' calls and puts them on the way."""

    def __init__(self, world):
        self.world = world
        self.term = 0
        self.metrics = Metrics()

    def start(self, spec, order):
        self._add("start", spec, order)

    def stop(self, spec, order):
        self._add("stop", spec, order)

    def hold(self, spec, order):
        self._add("hold", spec, order)

    def _add(self, kind, spec, order):
        # A call leaves just after the turn that wants it.
        sent = Order(kind, spec, order, self.term, self.world.now + CALL_DELAY_S)
        self.world.orders.append(sent)


class World:
    """A book, the present leader's duties, workers and what is on its way."""

    def __init__(self, workers=3):
        self.now = 1000.0
        self.book = create_book(workers=0)
        self.orders = []
        self.answers = []
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
        self.proposals = ProposalQueue()
        self.calls = FakeCalls(self)
        self.duties = DispatchDuties(
            proposals=self.proposals,
            calls=self.calls,
            times=LeaseTimes(lease_s=5.0, longest_s=LONGEST_MS / 1000),
        )
        self.duties.begin(self.book, self.term, self.now)

    def commit(self):
        for proposal in self.proposals.pop_all():
            self.note_acknowledgements(proposal.command)
            result = self.book.apply(proposal.command)
            if proposal.on_result is not None:
                proposal.on_result(result)

    def note_acknowledgements(self, command):
        if isinstance(command, wc.SubmitWorkflow):
            for step in command.spec.steps:
                assert step.count

    def tick(self):
        self.duties.tick(self.now, self.now)
        self.commit()

    def advance(self, seconds):
        self.now += seconds
        for worker in self.workers.values():
            worker.advance(seconds)

    def announce(self, name, **fields):
        spec = self.workers[name].spec
        if fields:
            spec = self.workers[name].spec = create_worker(
                name, born=spec.born, cpu=spec.capacity.cpu_millis, **fields
            )
        self.duties.announce(spec, self.now, lambda result: None)

    def submit(self, spec):
        command = wc.SubmitWorkflow(spec=spec)
        self.duties.submit(command, self.now, lambda result: None)
        self.commit()

    def cancel(self, identity):
        command = wc.CancelWorkflow(workflow=identity, queue="q")
        self.duties.cancel(command, self.now, lambda result: None)
        self.commit()

    # The network.

    def deliver(self, sent):
        """Let a worker carry out a call, and put its answer on the way."""
        worker = self.workers[sent.spec.id]
        if worker.spec.born != sent.spec.born:
            self.answer(sent, fault=OtherLifeError(sent.spec.address))
            return
        handler = {
            "start": self.handle_start,
            "stop": self.handle_stop,
            "hold": self.handle_hold,
        }
        self.answer(sent, **handler[sent.kind](worker, sent.order))

    def give_up(self, sent):
        """Let the caller's time run out; the call may still be carried out."""
        self.answer(sent, fault=NoAnswerError(sent.spec.address, "time is over"))

    def answer(self, sent, **fields):
        if sent.is_answered:
            return
        sent.is_answered = True
        base = {"term": sent.term, "worker": sent.spec.id, "born": sent.spec.born}
        if sent.kind == "hold":
            event = e.HoldFinished(
                **base,
                sent_at=sent.sent_at,
                is_look=sent.order.is_look,
                **fields,
            )
        else:
            key = (sent.order.task, sent.order.run)
            kind = e.StartFinished if sent.kind == "start" else e.StopFinished
            event = kind(**base, key=key, **fields)
        self.answers.append(event)

    def receive(self, event):
        self.duties.receive(event, self.now, self.now)
        self.commit()

    # The workers.

    def handle_start(self, worker, order):
        key = (order.task, order.run)
        if order.fence < worker.fence:
            return {"answer": StartAnswer.FENCED}
        worker.fence = order.fence
        if order.deadline_ms < worker.clock_ms:
            return {"answer": StartAnswer.LATE}
        worker.extend(order.deadline_ms)
        if key in worker.runs:
            return {"answer": StartAnswer.STARTED}
        if order.run <= worker.barred.get(order.task, 0):
            return {"answer": StartAnswer.OUTDATED}
        self.check_start(worker, key)
        worker.runs[key] = self.find_need(order.task)
        return {"answer": StartAnswer.STARTED}

    def handle_stop(self, worker, order):
        if order.fence < worker.fence:
            return {"accepted": False}
        worker.fence = order.fence
        key = (order.task, order.run)
        worker.barred[order.task] = max(worker.barred.get(order.task, 0), order.run)
        if key in worker.runs:
            worker.end(key, wc.RunOutcome.STOPPED)
        return {"accepted": True}

    def handle_hold(self, worker, order):
        if order.fence < worker.fence:
            return {"report": None}
        worker.fence = order.fence
        if order.deadline_ms is not None:
            worker.extend(order.deadline_ms)
        for end in worker.ended:
            is_done = end.outcome is wc.RunOutcome.DONE
            if worker.void < end.number <= order.seen and is_done:
                self.acknowledged.add(end.task)
        worker.seen = max(worker.seen, order.seen)
        worker.ended = [x for x in worker.ended if x.number > worker.seen]
        running = tuple(
            RunningRun(task, run, "", worker.percents.get((task, run), 0))
            for task, run in worker.runs
        )
        report = HoldReport(
            int(worker.clock_ms), worker.spec.born, running, tuple(worker.ended)
        )
        return {"report": report}

    def find_need(self, task):
        return self.book.workflows[task.workflow].spec.steps[task.step].need

    def crash(self, name):
        """Let a worker start again with nothing."""
        old = self.workers[name]
        spec = create_worker(
            name, born=old.spec.born + 1, cpu=old.spec.capacity.cpu_millis
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
        spec = self.book.workflows[task.workflow].spec
        for before in spec.steps[task.step].depends_on:
            assert self.is_done(task, before), f"{task} is too early"
        taken = self.find_need(task)
        for need in worker.runs.values():
            taken = taken + need
        assert taken.fits_in(worker.spec.capacity), f"{worker.spec.id} is overcommitted"

    def is_done(self, task, step):
        workflow = self.book.workflows[task.workflow]
        return workflow.repetitions[task.repetition].steps[step].is_done

    def settle(self, rounds=400):
        """Heal everything and let all tasks end."""
        for _ in range(rounds):
            for name in self.workers:
                self.announce(name)
            self.commit()
            self.advance(0.05)
            self.tick()
            orders, self.orders = self.orders, []
            for sent in orders:
                if not sent.is_answered:
                    self.deliver(sent)
            answers, self.answers = self.answers, []
            for event in answers:
                self.receive(event)
            for worker in self.workers.values():
                for key in list(worker.runs):
                    worker.end(key, wc.RunOutcome.DONE)
            if not self.book.active:
                return
        raise AssertionError(f"{list(self.book.active)} did not end")
