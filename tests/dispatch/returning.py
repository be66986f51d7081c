"""Network whose workers come back under their IDs while starts are on their way."""

from bluebellyoke.workflow.store import WorkflowStore
from tests.dispatch.forwarding import ForwardingNetwork
from tests.dispatch.simulation import SimulatedWorker
from tests.workflow.factories import create_worker

#: Age of the first incarnations when their task is submitted, in seconds.
AGE_S = 0.2

#: Time in which a task starts again once no run of it is unsettled, in seconds: two
#: polls of 1 s each show that a run can no longer begin.
MAX_RESTART_S = 2.5


class ReturningNetwork(ForwardingNetwork):
    """A cell whose next incarnations may carry out calls for the former ones.

    Attributes:
        late: First start that was sent, which is on its way.
        is_answered: Whether the response to that start is awaited, or has timed out.
    """

    def __init__(self, workers=3, features=None):
        self.late = None
        self.is_answered = False
        super().__init__(workers, features)
        self.run(AGE_S)

    def hold_first_start(self, *, is_answered=False, **fields):
        """Submit a task whose first start stays on its way; return its worker's ID.

        Args:
            is_answered: Whether the start may be answered later. Else it has timed out.
            fields: Fields of the step.
        """
        self.forward = self.hold
        self.is_answered = is_answered
        self.submit_task(**fields)
        while self.late is None:
            self.step()
        return self.late.spec.id

    def hold(self, sent):
        if sent.kind != "start" or self.late is not None:
            return False
        self.late = sent
        if not self.is_answered:
            self.time_out(sent)
        return True

    def restart(self, name, *, is_announced=True, clock_ms=0.0):
        """Let a worker come back as a new incarnation, which may stay unannounced."""
        old = self.workers[name]
        spec = create_worker(
            name, incarnation=old.spec.incarnation + 1, cpu=old.spec.capacity.cpu_millis
        )
        self.workers[name] = SimulatedWorker(spec, old.clock_rate, clock_ms)
        if is_announced:
            self.announce(name)
            self.commit()
        return self.workers[name]

    def announce_all(self):
        for name in self.workers:
            self.announce(name)
        self.commit()

    def carry_out_late_start(self):
        """Let the present incarnation of the worker carry out the start."""
        self.deliver(self.late)
        self.receive_events()

    def commit_without_leader(self):
        """Commit what was proposed; return it with its results for the proposer."""
        return [
            (proposal, self.store.apply(proposal.command))
            for proposal in self.proposals.pop_all()
        ]

    def change_leader_and_restore(self):
        """Let another replica lead, with a state that it has read from a snapshot."""
        self.store = WorkflowStore.load(self.store.dump())
        self.change_leader()

    def check_start(self, worker, key):
        super().check_start(worker, key)
        task, run = key
        if self.find_step(task).gang:
            for other in self.workers.values():
                assert all(x[1] == run for x in other.runs), "runs of two gangs at once"

    def list_runs(self):
        """Return the worker and the number of each run that goes on."""
        return [(x.spec.id, key[1]) for x in self.workers.values() for key in x.runs]
