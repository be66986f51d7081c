"""Stand-in worker that sends heartbeats and runs tasks as timers.

A task's payload is JSON: `run_s` is its run time, `fail` makes it fail, `memory_mb`
is its reported memory usage and `stop_s` is the time it takes to stop. A run is
never started twice, and no task runs after the lease has expired.
"""

import argparse
import contextlib
import json
import signal
import time
import uuid
from dataclasses import dataclass
from pathlib import Path

import anyio

from standins.balancer import RETRY_ERRORS, Balancer
from standins.ledger import Ledger

HEARTBEAT_WAIT_S = 1.0
RETRY_DELAY_S = 0.1


@dataclass
class Run:
    """A running task."""

    order: dict
    payload: dict
    started_at: float
    scope: anyio.CancelScope
    outcome: str = ""


class Worker:
    """A worker that follows the orders of a cell."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.ledger = Ledger(Path(options.ledger))
        self.balancer = Balancer(options.entries.split(","))
        self.task_group: anyio.abc.TaskGroup | None = None
        self.start_session()

    def start_session(self) -> None:
        """Start a new session without running tasks."""
        self.session = uuid.uuid4().hex[:8]
        self.sequence = 0
        self.lease_until = float("-inf")
        self.runs: dict[tuple, Run] = {}
        self.ended: dict[tuple, dict] = {}
        self.received: set[tuple] = set()
        self.wake = anyio.Event()

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        async with anyio.create_task_group() as task_group:
            self.task_group = task_group
            task_group.start_soon(self.enforce_lease)
            while True:
                sent_at = time.monotonic()
                try:
                    status, orders = await self.balancer.send_json(
                        "POST",
                        "/v1/workers/heartbeat",
                        self.build_heartbeat(),
                        timeout_s=HEARTBEAT_WAIT_S + 1.0,
                        attempts=1,
                    )
                except RETRY_ERRORS:
                    await anyio.sleep(RETRY_DELAY_S)
                    continue
                if status != 200:
                    await anyio.sleep(RETRY_DELAY_S)
                    continue
                self.apply_orders(orders, sent_at)

    def build_heartbeat(self) -> dict:
        """Return the next heartbeat."""
        self.sequence += 1
        options = self.options
        wait_s = 0.0 if self.ended else HEARTBEAT_WAIT_S
        return {
            "worker": options.name,
            "session": self.session,
            "sequence": self.sequence,
            "total": {
                "cpu_millis": options.cpu_millis,
                "memory_mb": options.memory_mb,
                "accelerators": options.accelerators,
            },
            "rack": options.rack,
            "data_centre": options.data_centre,
            "running": [
                {
                    "job": key[0],
                    "task": key[1],
                    "epoch": key[2],
                    "used": {"memory_mb": run.payload.get("memory_mb", 0)},
                }
                for key, run in self.runs.items()
            ],
            "ended": list(self.ended.values()),
            "wait_s": wait_s,
        }

    def apply_orders(self, orders: dict, sent_at: float) -> None:
        """Apply the orders in the answer to a heartbeat sent at `sent_at`."""
        if orders["status"] == "ended":
            self.kill_all_tasks("session ended")
            return
        if orders["lease_s"]:
            self.lease_until = max(self.lease_until, sent_at + orders["lease_s"])
        for item in orders["acknowledged"]:
            self.ended.pop(_get_run_key(item), None)
        for item in orders["stop"]:
            self.stop_task(item)
        if time.monotonic() < self.lease_until:
            for item in orders["run"]:
                self.start_task(item)

    def start_task(self, order: dict) -> None:
        """Start a task unless its run was received before."""
        key = _get_run_key(order)
        if key in self.received:
            return
        self.received.add(key)
        payload = json.loads(order["payload"] or "{}")
        run = Run(order, payload, time.monotonic(), anyio.CancelScope())
        self.runs[key] = run
        self.ledger.write("start", job=key[0], task=key[1], epoch=key[2])
        self.task_group.start_soon(self.run_task, key, run, self.session)

    async def run_task(self, key: tuple, run: Run, session: str) -> None:
        """Wait for the run time of a task and report its end."""
        with run.scope:
            await anyio.sleep(run.payload.get("run_s", 0.1))
            failed = run.payload.get("fail") or self.options.fail_everything
            run.outcome = "failed" if failed else "done"
        if not run.outcome:
            with anyio.CancelScope(shield=True):
                await anyio.sleep(run.payload.get("stop_s", 0.0))
            run.outcome = "stopped"
        if session != self.session:
            return
        self.ledger.write(
            "end", job=key[0], task=key[1], epoch=key[2], outcome=run.outcome
        )
        del self.runs[key]
        self.report_end(run.order, run.outcome, time.monotonic() - run.started_at)

    def report_end(self, order: dict, outcome: str, ran_s: float) -> None:
        """Report an ended task with the next heartbeat."""
        self.ended[_get_run_key(order)] = {
            "job": order["job"],
            "task": order["task"],
            "epoch": order["epoch"],
            "outcome": outcome,
            "ran_s": ran_s,
        }

    def stop_task(self, order: dict) -> None:
        """Stop a task, or report it as never started if its run is unknown."""
        key = _get_run_key(order)
        if key in self.runs:
            self.runs[key].scope.cancel()
        elif key not in self.ended and key not in self.received:
            self.received.add(key)
            self.report_end(order, "never-started", 0.0)

    async def enforce_lease(self) -> None:
        """Kill all tasks when the lease expires."""
        while True:
            await anyio.sleep(0.02)
            if self.runs and time.monotonic() >= self.lease_until:
                self.kill_all_tasks("lease ran out")

    def kill_all_tasks(self, reason: str) -> None:
        """Kill all tasks immediately and start a new session."""
        for key, run in self.runs.items():
            run.scope.cancel()
            self.ledger.write(
                "end",
                job=key[0],
                task=key[1],
                epoch=key[2],
                outcome=f"killed: {reason}",
            )
        self.start_session()


def _get_run_key(item: dict) -> tuple[str, int, int]:
    return (item["job"], item["task"], item["epoch"])


async def run(options: argparse.Namespace) -> None:
    """Run until SIGTERM."""
    worker = Worker(options)
    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(worker.run)
            async for _ in signals:
                break
            with contextlib.suppress(Exception):
                await worker.balancer.close()
            tasks.cancel_scope.cancel()


def main() -> None:
    """Parse the command line and run."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--cpu-millis", type=int, default=16_000)
    parser.add_argument("--memory-mb", type=int, default=64_000)
    parser.add_argument("--accelerators", type=int, default=0)
    parser.add_argument("--rack", default="r1")
    parser.add_argument("--data-centre", default="")
    # Addresses of all instances, joined by commas.
    parser.add_argument("--entries", required=True)
    parser.add_argument("--ledger", required=True)
    parser.add_argument("--fail-everything", action="store_true")
    anyio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()
