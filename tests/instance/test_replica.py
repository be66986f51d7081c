import random
import threading

import anyio
import pytest

from bench.consensus import ReplicaCluster, run_claim_load
from bluebellyoke.cell import commands as c
from bluebellyoke.clock import SystemClock
from bluebellyoke.consensus.bootstrap import create_replica
from bluebellyoke.consensus.membership_planner import MembershipOptions
from bluebellyoke.instance import wire as w
from bluebellyoke.instance.replica import Replica, ReplicaOptions, SessionInput
from bluebellyoke.leader.controller import LeaderController
from bluebellyoke.leader.sessions import LeaderOptions
from bluebellyoke.metrics import Metrics
from bluebellyoke.placement.engine import PlacementEngine
from bluebellyoke.placement.policies import create_policy

WAIT_S = 60.0


@pytest.fixture
def create_lone_replica(tmp_path):
    """Return a function that opens the only replica of a cell."""
    folder = tmp_path / "data"
    place = {"name": "r", "address": "127.0.0.1", "port": 1, "data_centre": "d"}
    create_replica(folder=folder, cell="c", replica="r1", new_cell=True, **place)

    def create(**options):
        engine = PlacementEngine(
            policy=create_policy("packing"), random_source=random.Random(1)
        )
        return Replica(
            options=ReplicaOptions(
                cell="c",
                folder=folder,
                repair=MembershipOptions(target_voters=1),
                **place,
                **options,
            ),
            controller=LeaderController(options=LeaderOptions(), engine=engine),
            clock=SystemClock(),
            metrics=Metrics(),
            send=lambda address, envelope: None,
        )

    return create


class Caller:
    """A session that claims keys and counts the answers."""

    def __init__(self, replica):
        self.replica = replica
        self.answers = {}
        self.number = 0
        self.post(w.Hello("c", "i", "1", "d"))

    def post(self, message):
        self.replica.post(SessionInput(1, message, self.receive))

    def receive(self, message):
        if isinstance(message, w.Reply):
            self.answers[message.id] = message.body

    async def claim(self, key):
        self.number += 1
        number = self.number
        claim = c.ClaimRequest(
            key=key, digest="d", holder=f"h/{number}", expires=2_000_000_000.0
        )
        with anyio.fail_after(WAIT_S):
            while number not in self.answers:
                self.post(w.Call(number, claim))
                await anyio.sleep(0.05)
        return self.answers[number]


async def wait_until_leading(replica):
    with anyio.fail_after(WAIT_S):
        while not replica.is_serving():
            await anyio.sleep(0.01)


async def run_with(replica, body):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(replica.run)
        await wait_until_leading(replica)
        await body(Caller(replica))
        tasks.cancel_scope.cancel()


def test_commits_go_on_while_a_snapshot_is_written(create_lone_replica, monkeypatch):
    replica = create_lone_replica(snapshot_bytes=2_000)
    storage = replica._storage
    begun, answered = threading.Event(), threading.Event()
    save = storage.save_snapshot

    def save_slowly(meta, data):
        begun.set()
        assert answered.wait(WAIT_S)
        save(meta, data)

    monkeypatch.setattr(storage, "save_snapshot", save_slowly)

    async def body(caller):
        number = 0
        while not begun.is_set():
            number += 1
            await caller.claim(f"before-{number}")
        for number in range(3):
            assert (await caller.claim(f"meanwhile-{number}")).accepted
        answered.set()
        with anyio.fail_after(WAIT_S):
            while replica.core.log.base.index == 0:
                await anyio.sleep(0.01)

    anyio.run(run_with, replica, body)
    again = create_lone_replica()
    assert again.core.log.base.index > 0


def test_claims_survive_restarts_with_and_without_a_snapshot(create_lone_replica):
    async def claim_some(caller):
        for number in range(30):
            assert (await caller.claim(f"k{number}")).accepted

    async def find_all(caller):
        for number in range(30):
            result = await caller.claim(f"k{number}")
            assert result.code in ("in-progress", "claimed")

    anyio.run(run_with, create_lone_replica(snapshot_bytes=1_500), claim_some)
    for _ in range(2):
        anyio.run(run_with, create_lone_replica(), find_all)


def test_busy_leader_hands_over(tmp_path):
    """A follower can only catch up once the leader adds nothing more."""

    async def run():
        async with anyio.create_task_group() as tasks:
            replicas = ReplicaCluster(tmp_path, 3, 0.001, tasks)
            await replicas.start()
            address = replicas.find_leader()
            leader = replicas.members[address]
            tasks.start_soon(run_claim_load, leader, 64, 3600.0)
            with anyio.fail_after(WAIT_S):
                while leader.core.commit_index < 100:
                    await anyio.sleep(0.01)
            await leader.hand_over()
            assert not leader.core.is_leader
            with anyio.fail_after(WAIT_S):
                while replicas.find_leader() in (None, address):
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_nothing_is_proposed_after_a_hand_over_has_begun(tmp_path):
    """A leader that proposes after its request would outdate the follower it chose.

    What is applied makes the leader propose again, as the ends of runs do.
    """

    async def run():
        async with anyio.create_task_group() as tasks:
            replicas = ReplicaCluster(tmp_path, 3, 0.001, tasks)
            await replicas.start()
            leader = replicas.members[replicas.find_leader()]
            propose_after_each_apply(leader)
            await run_claim_load(leader, 4, 0.3)
            events = watch(leader.core)
            await leader.hand_over()
            assert "transfer" in events
            assert "propose" not in events[events.index("transfer") :]
            tasks.cancel_scope.cancel()

    anyio.run(run)


def watch(core):
    """Return a list that takes each hand-over that begins and each proposal."""
    events = []
    transfer, propose = core.transfer_leadership, core.propose

    def note_transfer(target, now):
        has_begun = transfer(target, now)
        if has_begun:
            events.append("transfer")
        return has_begun

    def note_proposal(payload, now):
        events.append("propose")
        return propose(payload, now)

    core.transfer_leadership, core.propose = note_transfer, note_proposal
    return events


def propose_after_each_apply(replica):
    apply_all = replica._apply_all

    def apply_and_propose(entries):
        apply_all(entries)
        if entries:
            replica._controller._proposals.add(c.AdvanceTime(time=1.0))

    replica._apply_all = apply_and_propose
