"""Latency and processor time that an instance adds to a request, and overload.

The added latency is measured pair by pair: each request through the instance is
preceded by the same request straight to the upstream, on a warm connection.
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
from bluebellyoke.cell import commands as c
from bluebellyoke.cell.state import UpstreamView, ViewUpdate
from bluebellyoke.instance import wire as w
from bluebellyoke.routing.decisions import Dispatch, Refusal
from bluebellyoke.routing.queue import RouteRequest
from bluebellyoke.routing.router import Router
from standins.cell import Cell, request_json, wait_until

PAIRS = 1_500
LOAD_SECONDS = 6
CONCURRENCY = (1, 16)
TICKS = os.sysconf("SC_CLK_TCK")

#: Upstream slots, service time and deadline of the overload runs.
SLOTS = 200
SERVICE_S = 0.1
DEADLINE_S = 1.0


def read_cpu(pid):
    """Return the processor seconds of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


async def call(connection, path, headers):
    """Send one request on a connection of its own."""
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
    """Return the latencies of direct and routed calls, pair by pair."""
    direct, routed = connect(upstream), connect(instance)
    headers = [
        ("host", "x"),
        ("content-length", "1"),
        ("bluebellyoke-workspace", "depot"),
    ]
    plain, through = [], []
    for _ in range(PAIRS):
        began = time.perf_counter()
        await call(direct, f"http://{upstream}/echo", headers)
        middle = time.perf_counter()
        await call(routed, f"http://{instance}/services/estimates/echo", headers)
        plain.append(middle - began)
        through.append(time.perf_counter() - middle)
    return plain, through


async def load(instance, concurrency, seconds):
    """Keep some requests in flight; return how many were answered."""
    answered = 0
    end = time.perf_counter() + seconds
    headers = [
        ("host", "x"),
        ("content-length", "1"),
        ("bluebellyoke-workspace", "depot"),
    ]

    async def loop():
        nonlocal answered
        connection = connect(instance)
        while time.perf_counter() < end:
            await call(
                connection, f"http://{instance}/services/estimates/echo", headers
            )
            answered += 1

    async with anyio.create_task_group() as tasks:
        for _ in range(concurrency):
            tasks.start_soon(loop)
    return answered


def measure_processes():
    """Measure an entry instance of a small real cell."""
    folder = Path(tempfile.mkdtemp(prefix="bluebellyoke-bench-"))
    cell = Cell(folder, replicas=3, entries=1)
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

        def holds_slots():
            upstreams = request_json(address, "/v1/status")[1].get("upstreams", {})
            held = [
                count
                for item in upstreams.values()
                for holder, count in item["held"].items()
                if holder.startswith("i4/")
            ]
            return len(upstreams) == 3 and sum(held) >= 4

        wait_until(holds_slots, 20, "slots")
        (port,) = [
            x.split("--port ")[1].split()[0]
            for x in [" ".join(cell.processes["u0"].args)]
        ]
        plain, through = anyio.run(measure_pairs, address, f"127.0.0.1:{port}")
        added = [b - a for a, b in zip(plain, through, strict=True)]
        emit("routing.direct_p50", compute_quantile(plain, 0.5) * 1e3, "ms")
        emit("routing.added_p50", compute_quantile(added, 0.5) * 1e3, "ms", pairs=PAIRS)
        emit("routing.added_p99", compute_quantile(added, 0.99) * 1e3, "ms")
        pid = cell.processes["i4"].pid
        idle = read_cpu(pid)
        time.sleep(5)
        emit("routing.idle_cpu", (read_cpu(pid) - idle) / 5, "cores")
        for concurrency in CONCURRENCY:
            before = read_cpu(pid)
            count = anyio.run(load, address, concurrency, LOAD_SECONDS)
            cpu = read_cpu(pid) - before
            size = {"concurrency": concurrency}
            emit("routing.rate", count / LOAD_SECONDS, "1/s", **size)
            emit("routing.cpu_per_request", cpu / count * 1e3, "ms", **size)
    finally:
        cell.kill_all()
        shutil.rmtree(folder)


def create_router():
    """Return a router with all slots of 25 upstreams."""
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
        services=(c.ServiceSpec(name="s"),),
        workspaces=tuple(c.WorkspaceSpec(name=f"t{n}") for n in range(10)),
        upstreams=upstreams,
    )
    router.receive(w.PollReply(0.0, 1e9, view))
    for number, upstream in enumerate(upstreams):
        router.receive(w.Grant(number + 1, upstream.name, "a", 8))
    return router


def measure_goodput(factor, seconds=30.0):
    """Return the answers in time a second at a multiple of capacity."""
    router = create_router()
    source = random.Random(11)
    rate = factor * SLOTS / SERVICE_S
    now, due, number, good, late = 0.0, 0.0, 0, 0, 0
    running = []
    while now < seconds:
        now += 0.005
        for item in [x for x in running if x[0] <= now]:
            running.remove(item)
            ends, sent, dispatch = item
            router.release(dispatch.slot)
            router.note_answer(dispatch, sent, ends)
            good += ends <= dispatch.request.deadline
            late += ends > dispatch.request.deadline
        dispatches = router.advance(now)
        router.refused.clear()
        while due <= now:
            due += source.expovariate(rate)
            number += 1
            workspace = "t0" if source.random() < 0.5 else f"t{source.randrange(10)}"
            request = RouteRequest(number, "s", workspace, now, now + DEADLINE_S)
            decision = router.submit(request, now)
            if isinstance(decision, Dispatch):
                dispatches.append(decision)
            assert decision is None or isinstance(decision, Dispatch | Refusal)
        for dispatch in dispatches:
            took = SERVICE_S * source.uniform(0.5, 1.5)
            running.append((now + took, now, dispatch))
    return good / seconds, late / seconds


def measure_overload():
    """Compare the goodput at 1, 2 and 5 times the capacity."""
    base, _ = measure_goodput(1.0)
    for factor in (1.0, 2.0, 5.0):
        good, late = measure_goodput(factor)
        emit("overload.goodput", good, "1/s", factor=factor, slots=SLOTS)
        emit("overload.late", late, "1/s", factor=factor)
        emit("overload.goodput_ratio", good / base, "ratio", factor=factor)


def main():
    """Measure the overload policy and a real entry instance."""
    measure_overload()
    measure_processes()


if __name__ == "__main__":
    main()
