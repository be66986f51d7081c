"""A director, routers and upstreams with clocks of their own and a lossy network."""

import random
from dataclasses import dataclass, field

from bluebellyoke.cell import commands as c
from bluebellyoke.instance import wire as w
from bluebellyoke.leader.director import Director
from bluebellyoke.leader.sessions import DirectorOptions
from bluebellyoke.placement.engine import PlacementEngine
from bluebellyoke.placement.policies import create_policy
from bluebellyoke.routing.decisions import Dispatch
from bluebellyoke.routing.queue import RouteRequest
from bluebellyoke.routing.router import Router
from tests.cell.factories import create_state

OPTIONS = DirectorOptions(longest_deadline_s=5.0)
SLOTS = 3
POLL_S = 0.4


@dataclass
class RunningRequest:
    """A request that an upstream works on."""

    upstream: str
    incarnation: str
    holder: str
    ends: float
    dispatch: Dispatch | None
    router: Router | None


@dataclass
class Instance:
    """An instance with a clock that may be fast or slow."""

    name: str
    rate: float
    origin: float
    incarnation: int = 0
    router: Router = field(default_factory=lambda: Router(data_centre="dc1"))
    session: int = 0
    is_cut: bool = False
    is_paused: bool = False
    poll_due: float = 0.0
    inbox: list = field(default_factory=list)

    def read_clock(self, now):
        return self.origin + now * self.rate


class World:
    """Everything around the leader's decisions on slots and workers."""

    def __init__(self, instances=3, upstreams=2, seed=1):
        self.now = 1_000.0
        self.random = random.Random(seed)
        self.state = create_state(workers=0)
        self.running = []
        self.pending = []
        self.numbers = 0
        self.sent_after_leave = []
        self.left_at = {}
        rates = (0.96, 1.0, 1.04)
        self.instances = [
            Instance(f"i{n}", rates[n % 3], self.random.uniform(0, 1e6))
            for n in range(instances)
        ]
        self.incarnations = {f"u{n}": 1 for n in range(upstreams)}
        self.silent = set()
        self.durations = {}
        self.director = self.create_director()
        for name in self.incarnations:
            self.announce(name)

    def create_director(self):
        engine = PlacementEngine(
            policy=create_policy("packing"), random_source=random.Random(2)
        )
        director = Director(options=OPTIONS, engine=engine)
        director.begin(self.state, self.now)
        return director

    # Commands.

    def commit(self):
        """Apply what the director has proposed, now or some steps later."""
        self.pending += self.director.take_proposals()
        if self.random.random() < 0.3:
            return
        pending, self.pending = self.pending, []
        for proposal in pending:
            result = self.state.apply(proposal.command)
            if proposal.on_result is not None:
                proposal.on_result(result)
        self.director.after_apply()

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
        self.director.slots._upstream_leases.renew(name, self.now)
        self.director.after_apply()

    def leave(self, name):
        self.announce(name, leaving=True)
        key = (name, str(self.incarnations[name]))
        self.left_at.setdefault(key, self.now)

    def restart_upstream(self, name):
        """The process ends with all its requests and comes back."""
        self.running = [x for x in self.running if not self._belongs(x, name)]
        self.incarnations[name] += 1
        self.announce(name)

    def _belongs(self, item, name):
        if item.upstream != name:
            return False
        if item.router is not None:
            item.router.release_slot(item.dispatch.slots)
        return True

    def change_leader(self, *, apply_pending):
        """Another replica takes over; what was proposed may have been committed."""
        proposals = self.pending + self.director.take_proposals()
        self.pending = []
        if apply_pending:
            for proposal in proposals:
                self.state.apply(proposal.command)
        self.director.end()
        self.director = self.create_director()
        for instance in self.instances:
            instance.session = 0
            instance.inbox.clear()

    # Instances.

    def crash(self, instance):
        """The instance ends; its requests go on at their upstreams."""
        self.director.close_session(instance.session)
        for item in self.running:
            if item.router is instance.router:
                item.router = None
        instance.router = Router(data_centre="dc1")
        instance.incarnation += 1
        instance.session = 0
        instance.inbox.clear()

    def get_holder(self, instance):
        return f"{instance.name}/{instance.incarnation}"

    def connect(self, instance):
        self.numbers += 1
        instance.session = self.numbers
        instance.inbox.clear()
        instance.router.begin_stream()
        hello = w.Hello("c", instance.name, str(instance.incarnation), "dc1")

        def send(message, session=self.numbers):
            instance.inbox.append((session, message))

        self.director.open_session(self.numbers, hello, send)

    def exchange(self, instance):
        """Let the messages of an instance that is not cut flow both ways."""
        if instance.is_cut or instance.is_paused:
            return
        if instance.session not in self.director.sessions:
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
            self.director.receive(instance.session, poll, self.now, self.now)

    def advance_router(self, instance):
        if instance.is_paused:
            return
        clock = instance.read_clock(self.now)
        for dispatch in instance.router.process_queues(clock):
            self.run(instance, dispatch)
        instance.router.refused.clear()

    def request(self, instance, seconds):
        """A caller sends a request that the upstream needs `seconds` for."""
        if instance.is_paused:
            return None
        self.numbers += 1
        clock = instance.read_clock(self.now)
        deadline = clock + OPTIONS.longest_deadline_s
        routed = RouteRequest(self.numbers, "s", "w", clock, deadline)
        self.durations[routed.id] = seconds
        decision = instance.router.submit(routed, clock)
        if isinstance(decision, Dispatch):
            self.run(instance, decision)
        elif decision is None:
            instance.poll_due = self.now
        return decision

    def run(self, instance, dispatch):
        target = dispatch.upstream
        key = (target.name, target.incarnation)
        if target.incarnation != str(self.incarnations[target.name]):
            # Nobody listens for the earlier incarnation any more.
            instance.router.release_slot(dispatch.slots)
            return
        if key in self.left_at:
            self.sent_after_leave.append(self.now - self.left_at[key])
        # The instance ends a request at its deadline, by its own clock.
        left = dispatch.request.deadline - instance.read_clock(self.now)
        seconds = min(self.durations[dispatch.request.id], left / instance.rate)
        self.running.append(
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
        for item in [x for x in self.running if x.ends <= self.now]:
            self.running.remove(item)
            if item.router is not None:
                item.router.release_slot(item.dispatch.slots)
        for name in self.incarnations:
            if name not in self.silent:
                self.director.slots._upstream_leases.renew(name, self.now)
        for instance in self.instances:
            self.exchange(instance)
        self.director.tick(self.now, self.now)
        self.commit()
        for instance in self.instances:
            self.exchange(instance)
            self.advance_router(instance)

    def pass_time(self, seconds):
        for _ in range(max(int(seconds / 0.05), 1)):
            self.step()
            self.check()

    def check(self):
        """No upstream ever runs more requests than it has slots."""
        for name, incarnation in self.incarnations.items():
            running = sum(
                item.upstream == name and item.incarnation == str(incarnation)
                for item in self.running
            )
            assert running <= SLOTS, f"{name} runs {running} of {SLOTS}"
        assert all(late <= 3.0 for late in self.sent_after_leave), "late work"
