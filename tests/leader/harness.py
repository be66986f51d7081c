"""Simulation of the leader, instances and upstreams with clock drift and faults."""

import random
from dataclasses import dataclass, field

from bluebellyoke.cell import commands as c
from bluebellyoke.instance import wire as w
from bluebellyoke.leader.controller import LeaderController
from bluebellyoke.leader.sessions import LeaderOptions
from bluebellyoke.placement.engine import PlacementEngine
from bluebellyoke.placement.policies import create_policy
from bluebellyoke.routing.decisions import Dispatch
from bluebellyoke.routing.queue import RouteRequest
from bluebellyoke.routing.router import Router
from tests.cell.factories import create_state

OPTIONS = LeaderOptions(longest_deadline_s=5.0)
SLOTS = 3
POLL_S = 0.4


@dataclass
class RunningRequest:
    """A request that runs at an upstream."""

    upstream: str
    incarnation: str
    holder: str
    ends_at: float
    dispatch: Dispatch | None
    router: Router | None


@dataclass
class Instance:
    """An instance whose clock may run fast or slow."""

    name: str
    clock_rate: float
    clock_offset: float
    incarnation: int = 0
    router: Router = field(default_factory=lambda: Router(data_centre="dc1"))
    session: int = 0
    is_partitioned: bool = False
    is_paused: bool = False
    poll_due: float = 0.0
    inbox: list = field(default_factory=list)

    def read_clock(self, now):
        return self.clock_offset + now * self.clock_rate


class ClusterSimulation:
    """A leader's controller with simulated instances and upstreams.

    Time advances in steps; `check_invariants` runs after each step of `advance`.
    """

    def __init__(self, instances=3, upstreams=2, seed=1):
        self.now = 1_000.0
        self.random = random.Random(seed)
        self.state = create_state(workers=0)
        self.running_requests = []
        self.pending_proposals = []
        self.last_number = 0
        self.delays_after_leaving = []
        self.left_at = {}
        clock_rates = (0.96, 1.0, 1.04)
        self.instances = [
            Instance(f"i{n}", clock_rates[n % 3], self.random.uniform(0, 1e6))
            for n in range(instances)
        ]
        self.incarnations = {f"u{n}": 1 for n in range(upstreams)}
        self.silent_upstreams = set()
        self.durations = {}
        self.controller = self.create_controller()
        for name in self.incarnations:
            self.announce(name)

    def create_controller(self):
        engine = PlacementEngine(
            policy=create_policy("packing"), random_source=random.Random(2)
        )
        controller = LeaderController(options=OPTIONS, engine=engine)
        controller.activate(self.state, self.now)
        return controller

    # Commands.

    def commit(self):
        """Apply the proposals of the controller, now or a few steps later."""
        self.pending_proposals += self.controller.pop_proposals()
        if self.random.random() < 0.3:
            return
        pending, self.pending_proposals = self.pending_proposals, []
        for proposal in pending:
            result = self.state.apply(proposal.command)
            if proposal.on_result is not None:
                proposal.on_result(result)
        self.controller.after_apply()

    def announce(self, name, *, leaving=False):
        self.state.apply(
            c.AnnounceUpstream(
                upstream=name,
                incarnation=str(self.incarnations[name]),
                service="s",
                address="127.0.0.1",
                port=1,
                slots=SLOTS,
                connections=60,
                data_centre="dc1",
                leaving=leaving,
                time=self.now,
            )
        )
        self.controller.slots._upstream_leases.renew(name, self.now)
        self.controller.after_apply()

    def announce_leaving(self, name):
        self.announce(name, leaving=True)
        key = (name, str(self.incarnations[name]))
        self.left_at.setdefault(key, self.now)

    def restart_upstream(self, name):
        """End the upstream and its requests, and start it with a new incarnation."""
        self.running_requests = [
            x for x in self.running_requests if not self._release_if_at(x, name)
        ]
        self.incarnations[name] += 1
        self.announce(name)

    def _release_if_at(self, item, name):
        """Release the slot of a request at upstream `name`; return False at another."""
        if item.upstream != name:
            return False
        if item.router is not None:
            item.router.release_slot(item.dispatch.slots)
        return True

    def change_leader(self, *, apply_pending):
        """Replace the leader; with `apply_pending` its proposals were committed."""
        proposals = self.pending_proposals + self.controller.pop_proposals()
        self.pending_proposals = []
        if apply_pending:
            for proposal in proposals:
                self.state.apply(proposal.command)
        self.controller.deactivate()
        self.controller = self.create_controller()
        for instance in self.instances:
            instance.session = 0
            instance.inbox.clear()

    # Instances.

    def crash(self, instance):
        """End the instance; its requests continue at their upstreams."""
        self.controller.close_session(instance.session)
        for item in self.running_requests:
            if item.router is instance.router:
                item.router = None
        instance.router = Router(data_centre="dc1")
        instance.incarnation += 1
        instance.session = 0
        instance.inbox.clear()

    def get_holder(self, instance):
        return f"{instance.name}/{instance.incarnation}"

    def connect(self, instance):
        self.last_number += 1
        instance.session = self.last_number
        instance.inbox.clear()
        instance.router.begin_stream()
        hello = w.Hello("c", instance.name, str(instance.incarnation), "dc1")

        def send(message, session=self.last_number):
            instance.inbox.append((session, message))

        self.controller.open_session(self.last_number, hello, send)

    def exchange_messages(self, instance):
        """Exchange messages with an instance that is neither partitioned nor paused."""
        if instance.is_partitioned or instance.is_paused:
            return
        if instance.session not in self.controller.sessions:
            self.connect(instance)
            instance.poll_due = self.now
        inbox, instance.inbox = instance.inbox, []
        for session, message in inbox:
            if session == instance.session:
                instance.router.receive(message)
                if isinstance(message, w.Recall):
                    instance.poll_due = self.now
        if self.now >= instance.poll_due:
            instance.poll_due = self.now + POLL_S
            poll = instance.router.build_poll(instance.read_clock(self.now))
            self.controller.receive(instance.session, poll, self.now, self.now)

    def advance_router(self, instance):
        if instance.is_paused:
            return
        clock = instance.read_clock(self.now)
        for dispatch in instance.router.process_queues(clock):
            self.start_request(instance, dispatch)
        instance.router.refused.clear()

    def send_request(self, instance, seconds):
        """Submit a request that runs for `seconds` at the upstream."""
        if instance.is_paused:
            return None
        self.last_number += 1
        clock = instance.read_clock(self.now)
        deadline = clock + OPTIONS.longest_deadline_s
        routed = RouteRequest(self.last_number, "s", "w", clock, deadline)
        self.durations[routed.id] = seconds
        decision = instance.router.submit(routed, clock)
        if isinstance(decision, Dispatch):
            self.start_request(instance, decision)
        elif decision is None:
            instance.poll_due = self.now
        return decision

    def start_request(self, instance, dispatch):
        target = dispatch.upstream
        key = (target.name, target.incarnation)
        if target.incarnation != str(self.incarnations[target.name]):
            # The earlier incarnation no longer accepts connections.
            instance.router.release_slot(dispatch.slots)
            return
        if key in self.left_at:
            self.delays_after_leaving.append(self.now - self.left_at[key])
        # The instance ends a request at its deadline, measured with its own clock.
        left = dispatch.request.deadline - instance.read_clock(self.now)
        seconds = min(self.durations[dispatch.request.id], left / instance.clock_rate)
        self.running_requests.append(
            RunningRequest(
                target.name,
                target.incarnation,
                self.get_holder(instance),
                self.now + seconds,
                dispatch,
                instance.router,
            )
        )

    # Time.

    def step(self, seconds=0.05):
        self.now += seconds
        for item in [x for x in self.running_requests if x.ends_at <= self.now]:
            self.running_requests.remove(item)
            if item.router is not None:
                item.router.release_slot(item.dispatch.slots)
        for name in self.incarnations:
            if name not in self.silent_upstreams:
                self.controller.slots._upstream_leases.renew(name, self.now)
        for instance in self.instances:
            self.exchange_messages(instance)
        self.controller.tick(self.now, self.now)
        self.commit()
        for instance in self.instances:
            self.exchange_messages(instance)
            self.advance_router(instance)

    def advance(self, seconds):
        for _ in range(max(int(seconds / 0.05), 1)):
            self.step()
            self.check_invariants()

    def check_invariants(self):
        """Check that no upstream runs more requests than it has slots."""
        for name, incarnation in self.incarnations.items():
            running = sum(
                item.upstream == name and item.incarnation == str(incarnation)
                for item in self.running_requests
            )
            assert running <= SLOTS, f"{name} runs {running} of {SLOTS}"
        assert all(late <= 3.0 for late in self.delays_after_leaving), (
            "request sent to a leaving upstream"
        )
