"""Commit latency, elections, recovery and idle traffic of the replicas.

The replicas run in one process, each with its own data folder and real fsyncs.
Messages between them are delivered after a one-way delay. All replicas share one
core, so the measured rates are lower bounds.
"""

import asyncio
import logging
import random
import shutil
import tempfile
import time
from pathlib import Path

import anyio
import msgspec

from bench.report import emit
from bench.workload import CellSimulation, compute_quantile
from bluebellyoke.cell import commands
from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.snapshot import dump_state, load_state
from bluebellyoke.clock import SystemClock
from bluebellyoke.consensus import messages
from bluebellyoke.consensus.bootstrap import create_replica
from bluebellyoke.consensus.membership_planner import MembershipOptions
from bluebellyoke.consensus.storage import Storage, create_identity
from bluebellyoke.instance import wire
from bluebellyoke.instance.directory import ReplicaDirectory
from bluebellyoke.instance.replica import Replica, ReplicaOptions, SessionInput
from bluebellyoke.leader.controller import LeaderController
from bluebellyoke.leader.sessions import LeaderOptions
from bluebellyoke.metrics import Metrics
from bluebellyoke.placement.engine import PlacementEngine
from bluebellyoke.placement.policies import create_policy

MEASURE_S = 3.0
RECOVERY_LOG_ENTRIES = (1_000, 10_000, 50_000)


class ReplicaCluster:
    """Replicas in one process that exchange delayed messages.

    Args:
        folder: Parent of the replicas' data folders.
        count: Number of voters.
        delay_s: One-way message delay, in seconds.
        task_group: Task group that runs the replicas.

    Attributes:
        bytes: Size of the messages sent since the last reset, in bytes.
        messages: Number of messages sent since the last reset.
        members: Running replicas, by address.
        scopes: Cancel scopes of the replicas, by address.
    """

    def __init__(self, folder, count, delay_s, task_group):
        self.delay_s = delay_s
        self.task_group = task_group
        self.bytes = 0
        self.messages = 0
        self.members = {}
        self.scopes = {}
        self.folder = folder
        self.count = count
        self.loop = None

    async def start(self):
        """Create and start all replicas and wait until one of them serves as leader."""
        self.loop = asyncio.get_running_loop()
        for number in range(self.count):
            name = f"r{number}"
            create_replica(
                folder=self.folder / name,
                cell="bench",
                replica=name,
                name=name,
                address="127.0.0.1",
                port=number + 1,
                data_centre=f"d{number}",
                new_cell=number == 0,
            )
            self.start_replica(number)
        while self.find_leader() is None:
            await anyio.sleep(0.02)

    def start_replica(self, number):
        name = f"r{number}"
        engine = PlacementEngine(
            policy=create_policy("waiting"), random_source=random.Random(1)
        )
        replica = Replica(
            options=ReplicaOptions(
                cell="bench",
                folder=self.folder / name,
                name=name,
                address="127.0.0.1",
                port=number + 1,
                data_centre=f"d{number}",
                membership=MembershipOptions(target_voters=self.count),
            ),
            directory=ReplicaDirectory(
                seeds=(f"127.0.0.1:{n + 1}" for n in range(self.count))
            ),
            controller=LeaderController(options=LeaderOptions(), engine=engine),
            clock=SystemClock(),
            metrics=Metrics(),
            send=self.send,
        )
        self.members[f"127.0.0.1:{number + 1}"] = replica
        self.task_group.start_soon(self.run_replica, f"127.0.0.1:{number + 1}", replica)

    async def run_replica(self, address, replica):
        with anyio.CancelScope() as scope:
            self.scopes[address] = scope
            await replica.run()

    def send(self, address, envelope):
        self.messages += 1
        self.bytes += len(msgspec.msgpack.encode(envelope))
        self.loop.call_later(self.delay_s, self.deliver, address, envelope)

    def deliver(self, address, envelope):
        replica = self.members.get(address)
        if replica is not None:
            replica.post(envelope)

    def find_leader(self):
        for address, replica in self.members.items():
            if replica.is_serving():
                return address
        return None

    def kill(self, address):
        del self.members[address]
        self.scopes[address].cancel()


async def run_claim_load(replica, in_flight, seconds):
    """Keep a fixed number of claims in flight at the leader.

    Returns:
        Latency of each claim, in seconds.
    """
    latencies, sent = [], {}
    end = time.perf_counter() + seconds
    done = anyio.Event()
    numbers = iter(range(1, 10**9))

    def send_claim():
        number = next(numbers)
        sent[number] = time.perf_counter()
        claim = commands.ClaimRequest(
            key=f"{in_flight}-{number}-{seconds}",
            digest="d",
            holder=f"h/{number}",
            expires=time.time() + 60,
        )
        replica.post(SessionInput(77, wire.Call(number, claim), on_message))

    def on_message(message):
        if not isinstance(message, wire.Reply):
            return
        now = time.perf_counter()
        latencies.append(now - sent.pop(message.id))
        if now < end:
            send_claim()
        elif not sent:
            done.set()

    hello = wire.Hello("bench", "load", "1", "d")
    replica.post(SessionInput(77, hello, on_message))
    await anyio.sleep(0.1)
    for _ in range(in_flight):
        send_claim()
    with anyio.move_on_after(seconds + 5):
        await done.wait()
    return latencies


async def measure_commits(count, delay_s):
    """Measure idle traffic, commit latency and commit rate.

    With five voters the failover time is measured as well.

    Args:
        count: Number of voters.
        delay_s: One-way message delay, in seconds.
    """
    folder = Path(tempfile.mkdtemp(prefix="bluebellyoke-bench-"))
    parameters = {"voters": count, "delay_ms": delay_s * 1e3}
    async with anyio.create_task_group() as tasks:
        replicas = ReplicaCluster(folder, count, delay_s, tasks)
        await replicas.start()
        await anyio.sleep(0.5)
        replicas.bytes = replicas.messages = 0
        await anyio.sleep(2.0)
        emit(
            "agreement.idle_bytes",
            replicas.bytes / 2 / count,
            "B/s/replica",
            **parameters,
        )
        for in_flight in (1, 16, 256):
            leader = replicas.members[replicas.find_leader()]
            latencies = await run_claim_load(leader, in_flight, MEASURE_S)
            load_parameters = {**parameters, "in_flight": in_flight}
            for name, fraction in (("p50", 0.5), ("p99", 0.99)):
                value = compute_quantile(latencies, fraction) * 1e3
                emit(f"agreement.commit_{name}", value, "ms", **load_parameters)
            emit(
                "agreement.commits",
                len(latencies) / MEASURE_S,
                "1/s",
                **load_parameters,
            )
        if count == 5:
            await measure_failover(replicas, parameters)
        tasks.cancel_scope.cancel()
    shutil.rmtree(folder)


async def measure_failover(replicas, parameters):
    """Measure twice how long the cell has no leader after the leader was killed."""
    for _ in range(2):
        leader = replicas.find_leader()
        replicas.kill(leader)
        started_at = time.perf_counter()
        while replicas.find_leader() is None:
            await anyio.sleep(0.005)
        emit(
            "agreement.leaderless", time.perf_counter() - started_at, "s", **parameters
        )


def measure_recovery():
    """Measure recovery from logs of different lengths."""
    for count in RECOVERY_LOG_ENTRIES:
        folder = Path(tempfile.mkdtemp(prefix="bluebellyoke-bench-"))
        create_identity(folder, cell="bench", replica="r")
        storage = Storage(folder)
        storage.recover()
        payload = commands.encode_commands(
            (
                commands.ClaimRequest(
                    key="k" * 30, digest="d" * 32, holder="h", expires=1.0
                ),
            )
        )
        entries = [
            messages.Entry(index, 1, messages.EntryKind.COMMANDS, payload)
            for index in range(1, count + 1)
        ]
        for start in range(0, count, 100):
            storage.write(
                hard_state=None,
                truncate_from=None,
                entries=entries[start : start + 100],
            )
        storage.close()
        started_at = time.perf_counter()
        recovered = Storage(folder).recover()
        for entry in recovered.log.read_range(1, count):
            commands.decode_commands(entry.payload)
        elapsed_s = time.perf_counter() - started_at
        emit("agreement.recovery_log", elapsed_s, "s", entries=count)
        shutil.rmtree(folder)


def measure_state_size():
    """Measure the size, encoding and decoding of snapshots by number of tasks."""
    for tasks in (13_000, 130_000):
        simulation = CellSimulation()
        simulation.add_workspaces(78)
        for number in range(tasks // 100):
            simulation.submit(
                f"j{number}", f"t{number % 78}", Resources(100, 100, 0), 1.0, tasks=100
            )
        started_at = time.perf_counter()
        data = dump_state(simulation.state)
        dumped_at = time.perf_counter()
        load_state(data)
        emit("agreement.snapshot_size", len(data) / 1e6, "MB", tasks=tasks)
        emit("agreement.snapshot_dump", dumped_at - started_at, "s", tasks=tasks)
        emit(
            "agreement.snapshot_load", time.perf_counter() - dumped_at, "s", tasks=tasks
        )


def main():
    """Measure commits at the users' network delays, recovery time and snapshots."""
    logging.disable(logging.CRITICAL)
    for count, delay_s in ((3, 0.0015), (3, 0.001), (5, 0.0015), (5, 0.001)):
        anyio.run(measure_commits, count, delay_s)
    measure_recovery()
    measure_state_size()


if __name__ == "__main__":
    main()
