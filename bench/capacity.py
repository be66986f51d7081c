"""Unit costs for docs/CAPACITY.md: CPU time and size of messages between the roles."""

import functools
import io
import json
import logging
import random
import time

import anyio
import msgspec
from grpclib.server import Server

from bench.report import emit
from bench.workload import LARGE_WORKER, CellSimulation
from bluebellyoke.cell import commands
from bluebellyoke.cell.jobs import JobClass
from bluebellyoke.cell.resources import Resources
from bluebellyoke.instance import bodies, wire
from bluebellyoke.instance.codec import LINK_METHOD, MessageCodec
from bluebellyoke.instance.replica import SessionInput
from bluebellyoke.instance.sessions import SessionServer
from bluebellyoke.instance.streams import open_stream
from bluebellyoke.leader.controller import LeaderController
from bluebellyoke.leader.sessions import LeaderOptions
from bluebellyoke.logs import PlacementLog, configure_logs
from bluebellyoke.placement.engine import Decision, PlacementEngine
from bluebellyoke.placement.policies import create_policy
from standins.cell import find_ports

WORKERS = 1_000
TASKS_PER_WORKER = 27
INSTANCES = 12
UPSTREAMS = 25
HEARTBEAT_ROUNDS = 5

_from_instance_decoder = msgspec.msgpack.Decoder(wire.FromInstance)


def measure_cpu_us(function, count):
    """Return the mean CPU time of a call over `count` calls, in microseconds."""
    started_at = time.process_time()
    for _ in range(count):
        function()
    return (time.process_time() - started_at) / count * 1e6


def create_heartbeat_body(worker, tasks):
    """Return the HTTP body of a heartbeat with some running tasks."""
    return json.dumps(
        {
            "worker": worker,
            "session": "s-19c0a7",
            "sequence": 42,
            "total": {"cpu_millis": 64_000, "memory_mb": 256_000},
            "rack": "r1",
            "data_centre": "my-west-a",
            "running": [
                {
                    "job": f"stock-2026-12-04-{number}",
                    "task": number,
                    "epoch": 1,
                    "used": {"cpu_millis": 900, "memory_mb": 900},
                }
                for number in range(tasks)
            ],
            "wait_s": 1.0,
        }
    ).encode()


def parse_heartbeat(body):
    """Convert a heartbeat body to the message for the leader, as an instance does."""
    return bodies.parse_body(bodies.HeartbeatBody, body).unwrap().build()


def measure_heartbeat_parsing():
    """Measure the parsing and the sizes of heartbeats at an instance."""
    for tasks in (0, TASKS_PER_WORKER):
        body = create_heartbeat_body("worker-0001", tasks)
        parse = functools.partial(parse_heartbeat, body)
        message = wire.Call(1, parse())
        encoded = msgspec.msgpack.encode(message)
        parameters = {"tasks": tasks}
        emit("capacity.heartbeat_http_body", len(body), "B", **parameters)
        emit("capacity.heartbeat_message", len(encoded), "B", **parameters)
        emit(
            "capacity.heartbeat_entry_cpu",
            measure_cpu_us(parse, 2_000),
            "us",
            **parameters,
        )


def create_controller(simulation):
    """Return an active controller for the state of a simulation."""
    engine = PlacementEngine(
        policy=create_policy("packing"), random_source=random.Random(1)
    )
    controller = LeaderController(options=LeaderOptions(), engine=engine)
    controller.activate(simulation.state, 0.0)
    return controller


def measure_leader_heartbeats():
    """Measure the handling of heartbeats and the periodic tick at the leader."""
    simulation = CellSimulation()
    simulation.add_workspaces(10)
    simulation.add_workers(WORKERS, LARGE_WORKER)
    simulation.submit(
        "j", "t0", Resources(2_000, 8_000, 0), 1e9, tasks=20_000, idempotent=True
    )
    engine = create_controller(simulation).engine
    while simulation.state.scheduling.queues and simulation.starts < 20_000:
        simulation.step(engine, 0.1)
    controller = create_controller(simulation)
    sent = []
    controller.open_session(1, wire.Hello("c", "i1", "a", "d"), sent.append)
    heartbeats = []
    for number, worker in enumerate(simulation.state.scheduling.workers.values()):
        running = tuple(
            wire.RunningTask(*key, task.epoch, Resources(900, 900, 0))
            for key, task in worker.tasks.items()
        )
        heartbeat = wire.WorkerHeartbeat(
            worker.name, "s", number, LARGE_WORKER, "r", "d", running, (), 0.0
        )
        heartbeats.append(msgspec.msgpack.encode(wire.Call(number, heartbeat)))
    started_at = time.process_time()
    for round_number in range(HEARTBEAT_ROUNDS):
        for data in heartbeats:
            controller.receive(
                1,
                _from_instance_decoder.decode(data),
                float(round_number),
                simulation.now,
            )
    for reply in sent:
        msgspec.msgpack.encode(reply)
    cpu_us = (time.process_time() - started_at) / (HEARTBEAT_ROUNDS * WORKERS) * 1e6
    mean_tasks = simulation.starts / WORKERS
    emit("capacity.heartbeat_leader_cpu", cpu_us, "us", tasks=mean_tasks)
    started_at = time.process_time()
    for round_number in range(200):
        controller.tick(10.0 + round_number * 0.02, simulation.now)
    emit(
        "capacity.leader_tick",
        (time.process_time() - started_at) / 200 * 1e6,
        "us",
        workers=WORKERS,
    )


def measure_polls():
    """Measure polls, views and tickets with the users' current number of upstreams."""
    simulation = CellSimulation()
    simulation.add_workspaces(10)
    services = (commands.ServiceSpec(name="s"),)
    ticket = commands.Ticket(number=2, services=services)
    simulation.apply(
        commands.ApplyTicket(ticket=ticket, digest="x", time=simulation.now)
    )
    for number in range(UPSTREAMS):
        simulation.apply(
            commands.AnnounceUpstream(
                upstream=f"u{number}",
                incarnation="a",
                service="s",
                address="10.0.0.1",
                port=9_000,
                slots=8,
                connections=60,
                data_centre="d",
                time=simulation.now,
            )
        )
    poll = wire.Poll(
        1.0,
        simulation.state.version,
        9,
        tuple(wire.Holding(f"u{n}", "a", 1, 0) for n in range(UPSTREAMS)),
        (),
        tuple(wire.Renewal(f"u{n}", "a", {}) for n in range(2)),
    )
    controller = create_controller(simulation)
    sent = []
    controller.open_session(1, wire.Hello("c", "i1", "a", "d"), sent.append)
    data = msgspec.msgpack.encode(poll)
    cost_us = measure_cpu_us(
        lambda: controller.receive(
            1, _from_instance_decoder.decode(data), 1.0, simulation.now
        ),
        2_000,
    )
    emit("capacity.poll_leader_cpu", cost_us, "us", upstreams=UPSTREAMS)
    emit("capacity.poll_message", len(data), "B", upstreams=UPSTREAMS)
    reply = msgspec.msgpack.encode(sent[-1])
    emit("capacity.poll_reply", len(reply), "B")
    whole_view = msgspec.msgpack.encode(simulation.state.build_view_update(-1))
    emit("capacity.view_whole", len(whole_view), "B", upstreams=UPSTREAMS)
    spec = commands.WorkspaceSpec(name="t1", share=2.0)
    changed_ticket = commands.Ticket(number=3, workspaces=(spec,))
    command = commands.ApplyTicket(
        ticket=changed_ticket, digest="y" * 32, time=simulation.now
    )
    since = simulation.state.version
    simulation.apply(command)
    partial_view = msgspec.msgpack.encode(simulation.state.build_view_update(since))
    emit("capacity.view_part", len(partial_view), "B")
    numbers = iter(range(4, 10**6))

    def apply_ticket():
        item = commands.Ticket(number=next(numbers), workspaces=(spec,))
        simulation.apply(
            commands.ApplyTicket(ticket=item, digest="y" * 32, time=simulation.now)
        )

    emit("capacity.ticket_apply", measure_cpu_us(apply_ticket, 5_000), "us")


async def exchange_messages(batch, batches):
    """Exchange heartbeats and their replies over a real stream.

    Args:
        batch: Number of heartbeats per frame.
        batches: Number of frames.

    Returns:
        CPU time of both ends per message, in microseconds.
    """
    orders = wire.WorkerOrders("ok", 6.0)

    def post(item):
        if isinstance(item, SessionInput):
            item.send(wire.Reply(item.message.id, orders))
        return True

    server = Server([SessionServer(post)], codec=MessageCodec())
    (port,) = find_ports(1)
    await server.start("127.0.0.1", port)
    message = wire.Call(
        1, parse_heartbeat(create_heartbeat_body("w", TASKS_PER_WORKER))
    )
    async with open_stream(
        f"127.0.0.1:{port}", LINK_METHOD, "FromInstance", "FromLeader"
    ) as stream:
        started_at = time.process_time()
        for _ in range(batches):
            await stream.send_message((message,) * batch)
            answered = 0
            while answered < batch:
                answered += len(await stream.recv_message())
        cpu_s = time.process_time() - started_at
    server.close()
    return cpu_s / batch / batches * 1e6


def measure_streams():
    """Measure both ends of a stream with different numbers of heartbeats per frame."""
    for batch in (1, 8, 64):
        cost_us = anyio.run(exchange_messages, batch, 4_000 // batch)
        emit("capacity.stream_both_ends_cpu", cost_us, "us/message", batch=batch)


def measure_decision_log():
    """Measure the CPU time of logging a placement decision."""
    # The consensus benchmark disables logging for the process.
    logging.disable(logging.NOTSET)
    configure_logs(level="info", instance="i1", stream=io.StringIO())
    log = PlacementLog()
    decision = Decision(
        action="place",
        job_id="stock-2026-12-04",
        index=1,
        worker="worker-0001",
        reason="best of the sampled workers by packing",
        job_class=JobClass.BATCH,
        waited_s=0.0123,
    )
    emit(
        "capacity.decision_log",
        measure_cpu_us(lambda: log.write(decision), 5_000),
        "us",
    )


def measure_log():
    """Measure the size of the replicated log entries of task starts and ends."""
    placements = tuple(
        commands.Placement(f"stock-2026-12-04-{n}", n, 1, f"worker-{n:04d}", "s-19c0a7")
        for n in range(100)
    )
    data = commands.encode_commands(
        (commands.PlaceTasks(placements=placements, time=1e9),)
    )
    emit("capacity.log_per_start", len(data) / 100, "B")
    reports = tuple(
        commands.TaskReport(
            f"stock-2026-12-04-{n}",
            n,
            1,
            commands.TaskOutcome.DONE,
            Resources(900, 900, 0),
            12.5,
        )
        for n in range(10)
    )
    report = commands.ReportTasks(
        worker="worker-0001", session="s-19c0a7", reports=reports, time=1e9
    )
    emit("capacity.log_per_end", len(commands.encode_commands((report,))) / 10, "B")


def main():
    """Measure all unit costs."""
    measure_heartbeat_parsing()
    measure_leader_heartbeats()
    measure_polls()
    measure_log()
    measure_streams()
    measure_decision_log()


if __name__ == "__main__":
    main()
