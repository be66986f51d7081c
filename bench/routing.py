"""Latency and CPU time that an instance adds to a request, and goodput under overload.

The added latency is measured in pairs: each request through the instance is preceded
by the same request directly to the upstream, on an established connection.
"""

import os
import random
import shutil
import tempfile
import time
from pathlib import Path

import anyio
import httpcore

from bench.report import emit
from bench.workload import compute_quantile
from bluebellyoke.cell import commands
from bluebellyoke.cell.state import UpstreamView, ViewUpdate
from bluebellyoke.instance import wire
from bluebellyoke.routing.decisions import Dispatch, Refusal
from bluebellyoke.routing.queue import RouteRequest
from bluebellyoke.routing.router import Router
from standins.cell import Cell, request_json, wait_until

PAIRS = 1_500
LOAD_S = 6
CONCURRENCY = (1, 16)
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")

#: Upstream slots, service time and deadline of the overload runs.
SLOTS = 200
SERVICE_S = 0.1
DEADLINE_S = 1.0


def read_cpu_s(pid):
    """Return the CPU time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


async def call(connection, path, headers):
    """Send one request on a connection and check its status."""
    request = httpcore.Request(
        "POST",
        path,
        headers=headers,
        content=b"x",
    )
    response = await connection.handle_async_request(request)
    body = await response.aread()
    await response.aclose()
    assert response.status == 200, (response.status, body)


def connect(address):
    """Return a connection to an address."""
    host, port = address.split(":")
    return httpcore.AsyncHTTPConnection(
        httpcore.Origin(b"http", host.encode(), int(port))
    )


async def measure_pairs(instance, upstream):
    """Return the latencies of direct and of routed requests, in seconds, in pairs."""
    direct_connection, routed_connection = connect(upstream), connect(instance)
    headers = [
        ("host", "x"),
        ("content-length", "1"),
        ("bluebellyoke-workspace", "depot"),
    ]
    direct_s, routed_s = [], []
    for _ in range(PAIRS):
        started_at = time.perf_counter()
        await call(direct_connection, f"http://{upstream}/echo", headers)
        direct_done_at = time.perf_counter()
        await call(
            routed_connection, f"http://{instance}/services/estimates/echo", headers
        )
        direct_s.append(direct_done_at - started_at)
        routed_s.append(time.perf_counter() - direct_done_at)
    return direct_s, routed_s


async def run_load(instance, concurrency, seconds):
    """Keep `concurrency` requests in flight and return how many were answered."""
    answered = 0
    end = time.perf_counter() + seconds
    headers = [
        ("host", "x"),
        ("content-length", "1"),
        ("bluebellyoke-workspace", "depot"),
    ]

    async def send_requests():
        nonlocal answered
        connection = connect(instance)
        while time.perf_counter() < end:
            await call(
                connection, f"http://{instance}/services/estimates/echo", headers
            )
            answered += 1

    async with anyio.create_task_group() as tasks:
        for _ in range(concurrency):
            tasks.start_soon(send_requests)
    return answered


def measure_instance():
    """Measure an instance without a replica in a small cell of real processes."""
    folder = Path(tempfile.mkdtemp(prefix="bluebellyoke-bench-"))
    cell = Cell(folder, replicas=3, non_replicas=1)
    try:
        cell.start()
        ticket = folder / "ticket.json"
        ticket.write_text(
            '{"number": 1, "workspaces": [{"name": "depot"}],'
            ' "services": [{"name": "estimates"}]}'
        )
        cell.run_cli("ticket", "apply", str(ticket), "--server", cell.addresses[0])
        for number in range(3):
            cell.start_upstream(f"u{number}", "estimates", slots="8")
        address = cell.addresses[3]

        def has_slots():
            upstreams = request_json(address, "/v1/status")[1].get("upstreams", {})
            held = [
                count
                for item in upstreams.values()
                for holder, count in item["held"].items()
                if holder.startswith("i4/")
            ]
            return len(upstreams) == 3 and sum(held) >= 4

        wait_until(has_slots, 20, "slots")
        (port,) = [
            x.split("--port ")[1].split()[0]
            for x in [" ".join(cell.processes["u0"].args)]
        ]
        direct_s, routed_s = anyio.run(measure_pairs, address, f"127.0.0.1:{port}")
        added = [b - a for a, b in zip(direct_s, routed_s, strict=True)]
        emit("routing.direct_p50", compute_quantile(direct_s, 0.5) * 1e3, "ms")
        emit("routing.added_p50", compute_quantile(added, 0.5) * 1e3, "ms", pairs=PAIRS)
        emit("routing.added_p99", compute_quantile(added, 0.99) * 1e3, "ms")
        pid = cell.processes["i4"].pid
        idle_cpu_s = read_cpu_s(pid)
        time.sleep(5)
        emit("routing.idle_cpu", (read_cpu_s(pid) - idle_cpu_s) / 5, "cores")
        for concurrency in CONCURRENCY:
            before = read_cpu_s(pid)
            count = anyio.run(run_load, address, concurrency, LOAD_S)
            cpu = read_cpu_s(pid) - before
            parameters = {"concurrency": concurrency}
            emit("routing.rate", count / LOAD_S, "1/s", **parameters)
            emit("routing.cpu_per_request", cpu / count * 1e3, "ms", **parameters)
    finally:
        cell.kill_all()
        shutil.rmtree(folder)


def create_router():
    """Return a router that holds all slots of 25 upstreams."""
    router = Router(data_centre="d")
    upstreams = tuple(
        UpstreamView(f"u{n}", "a", "s", "127.0.0.1", 1, 8, 60, "d", False)
        for n in range(SLOTS // 8)
    )
    view = ViewUpdate(
        version=1,
        ticket=1,
        since=0,
        whole=True,
        services=(commands.ServiceSpec(name="s"),),
        workspaces=tuple(commands.WorkspaceSpec(name=f"t{n}") for n in range(10)),
        upstreams=upstreams,
    )
    router.receive(wire.PollReply(0.0, 1e9, view))
    for number, upstream in enumerate(upstreams):
        router.receive(wire.Grant(number + 1, upstream.name, "a", 8))
    return router


def measure_goodput(factor, seconds=30.0):
    """Return the rates of answers before and after their deadline, per second.

    Args:
        factor: Offered load as a multiple of the capacity.
        seconds: Simulated time, in seconds.
    """
    router = create_router()
    source = random.Random(11)
    rate = factor * SLOTS / SERVICE_S
    now, next_arrival_at, number, in_time, late = 0.0, 0.0, 0, 0, 0
    running = []
    while now < seconds:
        now += 0.005
        for item in [x for x in running if x[0] <= now]:
            running.remove(item)
            ends_at, sent_at, dispatch = item
            router.release_slot(dispatch.slots)
            router.record_response(dispatch, sent_at, ends_at)
            in_time += ends_at <= dispatch.request.deadline
            late += ends_at > dispatch.request.deadline
        dispatches = router.process_queues(now)
        router.refused.clear()
        while next_arrival_at <= now:
            next_arrival_at += source.expovariate(rate)
            number += 1
            workspace = "t0" if source.random() < 0.5 else f"t{source.randrange(10)}"
            request = RouteRequest(number, "s", workspace, now, now + DEADLINE_S)
            decision = router.submit(request, now)
            if isinstance(decision, Dispatch):
                dispatches.append(decision)
            assert decision is None or isinstance(decision, Dispatch | Refusal)
        for dispatch in dispatches:
            service_time_s = SERVICE_S * source.uniform(0.5, 1.5)
            running.append((now + service_time_s, now, dispatch))
    return in_time / seconds, late / seconds


def measure_overload():
    """Compare the goodput at 1, 2 and 5 times the capacity."""
    base, _ = measure_goodput(1.0)
    for factor in (1.0, 2.0, 5.0):
        in_time, late = measure_goodput(factor)
        emit("overload.goodput", in_time, "1/s", factor=factor, slots=SLOTS)
        emit("overload.late", late, "1/s", factor=factor)
        emit("overload.goodput_ratio", in_time / base, "ratio", factor=factor)


def main():
    """Measure the router under overload and a real instance without a replica."""
    measure_overload()
    measure_instance()


if __name__ == "__main__":
    main()
