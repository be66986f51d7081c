"""A stand-in worker: sends heartbeats and runs tasks as timers.

A task's payload is JSON: `run_s` is its run time, `fail` makes it fail, `memory_mb`
is what it is seen to use, `stop_s` how long it takes to stop. A task in hand is never
started twice, and nothing runs past the lease.
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
RETRY_S = 0.1


@dataclass
class Run:
    """A task that runs here."""

    order: dict
    payload: dict
    started: float
    scope: anyio.CancelScope
    outcome: str = ""


class Worker:
    """One stand-in worker process."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.ledger = Ledger(Path(options.ledger))
        self.balancer = Balancer(options.entries.split(","))
        self.tasks: anyio.abc.TaskGroup | None = None
        self.begin_session()

    def begin_session(self) -> None:
        """Start a new session with nothing running."""
        self.session = uuid.uuid4().hex[:8]
        self.sequence = 0
        self.lease_until = float("-inf")
        self.runs: dict[tuple, Run] = {}
        self.ended: dict[tuple, dict] = {}
        self.seen: set[tuple] = set()
        self.wake = anyio.Event()

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            tasks.start_soon(self.guard_lease)
            while True:
                sent = time.monotonic()
                try:
                    status, orders = await self.balancer.send_json(
                        "POST",
                        "/v1/workers/heartbeat",
                        self.build_heartbeat(),
                        timeout_s=HEARTBEAT_WAIT_S + 1.0,
                        tries=1,
                    )
                except RETRY_ERRORS:
                    await anyio.sleep(RETRY_S)
                    continue
                if status != 200:
                    await anyio.sleep(RETRY_S)
                    continue
                self.obey(orders, sent)

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

    def obey(self, orders: dict, sent: float) -> None:
        """Carry out the orders that answer a heartbeat sent at `sent`."""
        if orders["status"] == "ended":
            self.stop_everything("session ended")
            return
        if orders["lease_s"]:
            self.lease_until = max(self.lease_until, sent + orders["lease_s"])
        for item in orders["acknowledged"]:
            self.ended.pop(_key(item), None)
        for item in orders["stop"]:
            self.stop(item)
        if time.monotonic() < self.lease_until:
            for item in orders["run"]:
                self.start(item)

    def start(self, order: dict) -> None:
        """Start a task, once."""
        key = _key(order)
        if key in self.seen:
            return
        self.seen.add(key)
        payload = json.loads(order["payload"] or "{}")
        run = Run(order, payload, time.monotonic(), anyio.CancelScope())
        self.runs[key] = run
        self.ledger.write("start", job=key[0], task=key[1], epoch=key[2])
        self.tasks.start_soon(self.execute, key, run, self.session)

    async def execute(self, key: tuple, run: Run, session: str) -> None:
        """Let a task's time pass and report its end."""
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
        self.report(run.order, run.outcome, time.monotonic() - run.started)

    def report(self, order: dict, outcome: str, ran_s: float) -> None:
        """Report an ended task with the next heartbeat."""
        self.ended[_key(order)] = {
            "job": order["job"],
            "task": order["task"],
            "epoch": order["epoch"],
            "outcome": outcome,
            "ran_s": ran_s,
        }

    def stop(self, order: dict) -> None:
        """Stop a task; one that was never started is reported so."""
        key = _key(order)
        if key in self.runs:
            self.runs[key].scope.cancel()
        elif key not in self.ended and key not in self.seen:
            self.seen.add(key)
            self.report(order, "never-started", 0.0)

    async def guard_lease(self) -> None:
        """Stop everything when the lease runs out."""
        while True:
            await anyio.sleep(0.02)
            if self.runs and time.monotonic() >= self.lease_until:
                self.stop_everything("lease ran out")

    def stop_everything(self, reason: str) -> None:
        """Kill all tasks at once and begin a new session."""
        for key, run in self.runs.items():
            run.scope.cancel()
            self.ledger.write(
                "end",
                job=key[0],
                task=key[1],
                epoch=key[2],
                outcome=f"killed: {reason}",
            )
        self.begin_session()


def _key(item: dict) -> tuple[str, int, int]:
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
    parser.add_argument("--entries", required=True)
    parser.add_argument("--ledger", required=True)
    parser.add_argument("--fail-everything", action="store_true")
    anyio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()
