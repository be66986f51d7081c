import random
import threading

import anyio
import pytest

from bench.consensus import ReplicaCluster, run_claim_load
from bluebellyoke.cell import commands
from bluebellyoke.cell.state import CellState
from bluebellyoke.clock import SystemClock
from bluebellyoke.consensus.bootstrap import create_replica
from bluebellyoke.consensus.membership_planner import MembershipOptions
from bluebellyoke.instance import wire
from bluebellyoke.instance.replica import Replica, ReplicaOptions, SessionInput
from bluebellyoke.leader.controller import LeaderController
from bluebellyoke.leader.sessions import LeaderOptions
from bluebellyoke.metrics import Metrics
from bluebellyoke.placement.engine import PlacementEngine
from bluebellyoke.placement.policies import create_policy

#: Timeout of a wait, in seconds.
TIMEOUT_S = 60.0


@pytest.fixture
def create_single_replica(tmp_path):
    """Return a function that opens the only replica of a cell."""
    folder = tmp_path / "data"
    instance = {"name": "r", "address": "127.0.0.1", "port": 1, "data_centre": "d"}
    create_replica(folder=folder, cell="c", replica="r1", new_cell=True, **instance)

    def create(**options):
        engine = PlacementEngine(
            policy=create_policy("packing"), random_source=random.Random(1)
        )
        return Replica(
            options=ReplicaOptions(
                cell="c",
                folder=folder,
                membership=MembershipOptions(target_voters=1),
                **instance,
                **options,
            ),
            controller=LeaderController(options=LeaderOptions(), engine=engine),
            clock=SystemClock(),
            metrics=Metrics(),
            send=lambda address, envelope: None,
        )

    return create


class ClaimClient:
    """Session that claims idempotency keys and stores the replies by call."""

    def __init__(self, replica):
        self.replica = replica
        self.replies = {}
        self.number = 0
        self.post(wire.Hello("c", "i", "1", "d"))

    def post(self, message):
        self.replica.post(SessionInput(1, message, self.receive))

    def receive(self, message):
        if isinstance(message, wire.Reply):
            self.replies[message.id] = message.body

    async def claim(self, key):
        self.number += 1
        number = self.number
        claim = commands.ClaimRequest(
            key=key, digest="d", holder=f"h/{number}", expires=2_000_000_000.0
        )
        with anyio.fail_after(TIMEOUT_S):
            while number not in self.replies:
                self.post(wire.Call(number, claim))
                await anyio.sleep(0.05)
        return self.replies[number]


async def wait_until_leading(replica):
    with anyio.fail_after(TIMEOUT_S):
        while not replica.is_serving():
            await anyio.sleep(0.01)


async def run_with_client(replica, body):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(replica.run)
        await wait_until_leading(replica)
        await body(ClaimClient(replica))
        tasks.cancel_scope.cancel()


def test_commits_continue_while_a_snapshot_is_written(
    create_single_replica, monkeypatch
):
    replica = create_single_replica(snapshot_threshold_bytes=2_000)
    storage = replica._storage
    started, may_finish = threading.Event(), threading.Event()
    save = storage.save_snapshot

    def save_slowly(meta, data):
        started.set()
        assert may_finish.wait(TIMEOUT_S)
        save(meta, data)

    monkeypatch.setattr(storage, "save_snapshot", save_slowly)

    async def body(client):
        number = 0
        while not started.is_set():
            number += 1
            await client.claim(f"before-{number}")
        for number in range(3):
            assert (await client.claim(f"during-{number}")).accepted
        may_finish.set()
        with anyio.fail_after(TIMEOUT_S):
            while replica.raft.log.base.index == 0:
                await anyio.sleep(0.01)

    anyio.run(run_with_client, replica, body)
    reopened = create_single_replica()
    assert reopened.raft.log.base.index > 0


def test_claims_survive_restarts_with_and_without_a_snapshot(create_single_replica):
    async def claim_all(client):
        for number in range(30):
            assert (await client.claim(f"k{number}")).accepted

    async def check_all(client):
        for number in range(30):
            result = await client.claim(f"k{number}")
            assert result.code in ("in-progress", "claimed")

    anyio.run(
        run_with_client,
        create_single_replica(snapshot_threshold_bytes=1_500),
        claim_all,
    )
    for _ in range(2):
        anyio.run(run_with_client, create_single_replica(), check_all)


def test_busy_leader_transfers_the_leadership(tmp_path):
    """A follower can catch up only if the leader appends no further entries."""

    async def run():
        async with anyio.create_task_group() as tasks:
            replicas = ReplicaCluster(tmp_path, 3, 0.001, tasks)
            await replicas.start()
            address = replicas.find_leader()
            leader = replicas.members[address]
            tasks.start_soon(run_claim_load, leader, 64, 3600.0)
            with anyio.fail_after(TIMEOUT_S):
                while leader.raft.commit_index < 100:
                    await anyio.sleep(0.01)
            await leader.transfer_leadership()
            assert not leader.raft.is_leader
            with anyio.fail_after(TIMEOUT_S):
                while replicas.find_leader() in (None, address):
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_nothing_is_proposed_after_a_leadership_transfer_starts(tmp_path):
    """An entry proposed after the request would make the chosen follower lag.

    Applying entries makes the leader propose commands, as ended runs do.
    """

    async def run():
        async with anyio.create_task_group() as tasks:
            replicas = ReplicaCluster(tmp_path, 3, 0.001, tasks)
            await replicas.start()
            leader = replicas.members[replicas.find_leader()]
            propose_after_each_apply(leader)
            await run_claim_load(leader, 4, 0.3)
            events = record_events(leader.raft)
            await leader.transfer_leadership()
            assert "transfer" in events
            assert "propose" not in events[events.index("transfer") :]
            tasks.cancel_scope.cancel()

    anyio.run(run)


def record_events(raft):
    """Return a list that grows by each started transfer and each proposal."""
    events = []
    transfer, propose = raft.transfer_leadership, raft.propose

    def record_transfer(target, now):
        has_started = transfer(target, now)
        if has_started:
            events.append("transfer")
        return has_started

    def record_proposal(payload, now):
        events.append("propose")
        return propose(payload, now)

    raft.transfer_leadership, raft.propose = record_transfer, record_proposal
    return events


def propose_after_each_apply(replica):
    apply_entries = replica._apply_entries

    def apply_and_propose(entries):
        apply_entries(entries)
        if entries:
            replica._controller._proposals.add(commands.AdvanceTime(time=1.0))

    replica._apply_entries = apply_and_propose


# Guards against a command that ends every replica, again after each restart.
@pytest.mark.contains_errors
def test_command_that_cannot_be_applied_leaves_the_others_served(
    create_single_replica, monkeypatch
):
    apply = CellState.apply

    def fail_for_bad_key(state, command):
        if getattr(command, "key", "") == "bad":
            raise ZeroDivisionError
        return apply(state, command)

    monkeypatch.setattr(CellState, "apply", fail_for_bad_key)

    async def body(client):
        refused = await client.claim("bad")
        assert (refused.accepted, refused.code) == (False, "internal-error")
        assert (await client.claim("good")).accepted

    anyio.run(run_with_client, create_single_replica(), body)
    # The command is in the log, and is applied again.
    anyio.run(run_with_client, create_single_replica(), body)
