"""Network with a forwarder between the leader and the workers, which run on."""

from tests.dispatch.simulation import DispatcherSimulation
from tests.workflow.factories import create_spec, create_step

STEP_S = 0.02

WORKFLOW = "0000000000000001"


class ForwardingNetwork(DispatcherSimulation):
    """A cell whose calls pass a forwarder that may answer them itself.

    Attributes:
        forward: Called with each call that is sent; it returns whether it has taken the
            call, which is delivered and answered otherwise.
        silent: IDs of the workers that no call reaches; the calls time out.
    """

    def __init__(self, workers=3, features=None):
        self.forward = lambda sent: False
        self.silent = set()
        super().__init__(workers, features)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def step(self):
        self.advance(STEP_S)
        self.tick()
        sent_calls, self.sent_calls = self.sent_calls, []
        for sent in sent_calls:
            self.pass_on(sent)
        self.receive_events()

    def pass_on(self, sent):
        if self.forward(sent):
            return
        if sent.spec.id not in self.silent:
            self.deliver(sent)
        elif self.now - sent.sent_at > 0.35:
            self.time_out(sent)
        else:
            self.sent_calls.append(sent)

    def receive_events(self):
        posted, self.events = self.events, []
        for event in posted:
            self.receive(event)

    def submit_task(self, **fields):
        """Submit a workflow of one step."""
        self.submit(create_spec(WORKFLOW, steps=[create_step(**fields)]))

    def find_task(self, index=0):
        return self.store.workflows[WORKFLOW].repetitions[0].steps[0].tasks[index]

    def find_busy_worker(self):
        (found,) = [x for x in self.workers.values() if x.runs]
        return found

    @property
    def state(self):
        return self.store.workflows[WORKFLOW].state
