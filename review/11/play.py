"""A start without an answer is carried out late, by the next life of its runner."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import scenario
from runner import Run

RUNNERS = 8

#: Number of orders that are carried out late, and the time between two, in seconds.
ROUNDS = 5
PAUSE_S = 9.0

#: Time from an order to its late execution, in seconds.
LATE_S = 2.2

#: Duration of the task that is started by such an order, in seconds.
WORK_S = 5.0

LONG_JOB = {
    "TaskSpec": "(long)",
    "Steps": [{"Count": 1, "Cpu": 6000, "MemMb": 128, "EstimateMs": 5000}],
}


def make_run(task, spec):
    return Run(WORK_S if spec == "(long)" else 0.3)


class LateOrder:
    """Holds the next start of a long task back, and crashes its runner after a stop.

    The runner answers all other calls until it crashes, so the leader learns that the
    run is not there and that its stop has been accepted.
    """

    def __init__(self, item):
        self.item = item
        self.runner = None
        self.value = None
        self.held_at = 0.0
        self.has_stopped = False
        self.has_crashed = asyncio.Event()
        self.released = asyncio.Event()
        for runner in item.runners:
            runner.on_call = self.handle

    async def handle(self, runner, path, value):
        is_long = value.get("TaskSpec") == "(long)"
        if path == "/-/run-start" and is_long and self.runner is None:
            self.runner, self.value, self.held_at = runner, value, time.monotonic()
            self.item.record.write(
                f"runner {runner.name}: leaves the start of {value['Task']} run "
                f"{value['RunId']} without an answer"
            )
            await self.released.wait()
            return "drop"
        if runner is not self.runner or self.has_crashed.is_set():
            return None
        if path == "/-/run-stop" and value["Task"] == self.value["Task"]:
            self.item.record.write(f"runner {runner.name}: accepts the stop of it")
            self.has_stopped = True
        elif path == "/-/hold" and self.has_stopped and not value.get("WaitMs"):
            asyncio.get_running_loop().call_later(0.03, self._crash)
            self.has_stopped = False
        return None

    def _crash(self):
        asyncio.get_running_loop().create_task(self._crash_runner())

    async def _crash_runner(self):
        self.item.record.write(f"runner {self.runner.name}: crashes")
        await self.runner.crash()
        self.released.set()
        self.has_crashed.set()

    async def finish(self):
        """Start the next life under the same id and address; carry the order out."""
        for runner in self.item.runners:
            runner.on_call = None
        former = self.runner
        await asyncio.sleep(max(self.held_at + LATE_S - time.monotonic(), 0.0))
        position = self.item.runners.index(former)
        following = await self.item.add_runner(former.name, port=former.port)
        self.item.runners.remove(following)
        self.item.runners[position] = following
        self.item.former.append(former)
        status, answer = following._start(self.value)
        self.item.record.write(
            f"runner {following.name}: is back and carries the start out "
            f"{time.monotonic() - self.held_at:.2f} s late -> {status} {answer}"
        )


def find_double_runs(runners):
    """Return the tasks with two runs at the same time, and for how long."""
    spans = {}
    for runner in runners:
        ends = {(task, run): at for at, _, task, run in runner.ends}
        for at, task, run in runner.starts:
            end = ends.get((task, run), time.monotonic())
            spans.setdefault(task, []).append((at, end, run, runner.name))
    found = {}
    for task, items in spans.items():
        items.sort()
        for (_, end, *_), (start, other_end, *_) in zip(items, items[1:], strict=False):
            if start < end:
                found[task] = min(end, other_end) - start
    return found


async def play(item):
    item.former = []
    item.begin_traffic(clients=6, pause_s=0.2)
    await asyncio.sleep(6)
    for number in range(ROUNDS):
        begun = time.monotonic()
        order = LateOrder(item) if item.with_trouble else None
        job = f"{0x0A00000000000001 + number:016x}"
        status = await item.submit(1 + number % 4, job, LONG_JOB, label="client")
        if status == 200:
            item.accepted[job] = item.record.now()
        if order is not None:
            async with asyncio.timeout(8):
                await order.has_crashed.wait()
            await order.finish()
        await asyncio.sleep(max(begun + PAUSE_S - time.monotonic(), 0))
    states = await item.finish()
    runners = [*item.runners, *item.former]
    doubles = find_double_runs(runners)
    orders = sum(len(x.starts) for x in runners)
    undone = {job: x for job, x in states.items() if x != "completed"}
    item.record.write(
        f"orders carried out: {orders}, late ones: {len(item.former)}; tasks with two "
        f"runs at once: { {k: round(v, 3) for k, v in doubles.items()} }; accepted jobs "
        f"not completed: {len(undone)} of {len(states)}; processes that ended: "
        f"{len(item.exits)}"
    )
    if doubles:
        return [
            f"TWICE: {len(doubles)} of {ROUNDS} tasks had two runs at once, for "
            f"{min(doubles.values()):.2f} to {max(doubles.values()):.2f} s"
        ]
    return []


scenario.run(FOLDER, play, runners=RUNNERS, make_run=make_run)
