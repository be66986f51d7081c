"""Stand-in of a runner that follows the users' pages; it runs tasks as timers."""

import asyncio
import contextlib
import itertools
import json
import time

from deployment import SERVICE, call

MAX_HOLD_MS = 6000
STOP_S = 0.05
BEAT_S = 1.5
ENDS_PER_ANSWER = 500


class Run:
    """A task at work.

    Args:
        work_s: Its duration, or the time until it fails.
        hangs_at: Percentage at which its program stops to make progress, or 100.
        fails: Whether it ends as failed.
        lasts: Whether it is at work from its start on, until it is stopped or fails.
    """

    def __init__(self, work_s, hangs_at=100, fails=False, lasts=False):
        self.fails = fails
        self.lasts = lasts
        self.begun_at = time.monotonic()
        self.work_s = work_s
        self.hangs_at = hangs_at
        self.is_stopping = False

    def is_done(self):
        is_over = time.monotonic() >= self.begun_at + self.work_s
        return is_over and self.hangs_at >= 100

    def read_percent(self):
        if self.lasts:
            return 100
        done = (time.monotonic() - self.begun_at) / max(self.work_s, 0.001)
        return min(int(done * 100), self.hangs_at, 99)


class Runner:
    """One life of a runner.

    Args:
        record: Record of the run.
        name: Its id.
        controls: `Control` addresses, which get the heartbeats in turn.
        run_s: Returns the duration of a task by its name and its `TaskSpec`.
        cpu: Room, in thousandths of a core.
        port: Port at which it listens, or 0 for any.
        make_run: Returns the run of a task by its name and its `TaskSpec`, or None.
    """

    def __init__(self, record, name, controls, *, run_s, cpu=16000, mem_mb=65536,
                 labels=("a", "r1-1"), service=SERVICE, port=0, ip="127.0.0.1",
                 is_logged=True, make_run=None):
        self.record = record
        self.name = name
        self.controls = list(controls)
        self.run_s = run_s
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.labels = list(labels)
        self.service = service
        self.ip = ip
        self.port = port
        self.is_logged = is_logged
        self.make_run = make_run or (lambda task, spec: Run(run_s(task, spec)))
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.fence = 0
        self.lease_ms = 0
        self.running = {}
        self.ended = []
        self.numbers = itertools.count(1)
        self.highest = {}
        self.changed = asyncio.Event()
        self.sequence = itertools.count(1)
        self.starts = []
        self.ends = []
        self.on_call = None
        self.server = None
        self.tasks = []
        self.writers = set()

    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1000) + 1

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._run()),
        ]

    async def crash(self):
        """End at once, without a word."""
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for key in self.running:
            self._note("crashed", key)
        self.running.clear()

    def _note(self, what, key, extra=""):
        self.ends.append((time.monotonic(), what, *key))
        if self.is_logged:
            self.record.write(f"runner {self.name}: {what} {key[0]} run {key[1]} {extra}")

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        quiet = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*quiet):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                method, path, _ = head.split("\r\n")[0].split(" ")
                headers = {
                    k.strip().lower(): v.strip()
                    for k, _, v in (x.partition(":") for x in head.split("\r\n")[1:])
                    if k
                }
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                value = json.loads(body) if body else {}
                if self.on_call is not None:
                    verdict = await self.on_call(self, path, value)
                    if verdict == "drop":
                        break
                status, answer = await self._answer(path, headers, value)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def _answer(self, path, headers, value):
        if path == "/health":
            return 200, {}
        if headers.get("expected-instance", self.name) != self.name:
            return 421, {}
        fence = value.get("FencingToken", 0)
        if fence < self.fence:
            return 409, {"CurrentTimeMs": self.clock_ms(), "Reason": "fence"}
        self.fence = fence
        if path == "/-/run-start":
            status, answer = self._start(value)
        elif path == "/-/run-stop":
            status, answer = self._stop(value)
        elif path == "/-/hold":
            status, answer = await self._hold(value)
        elif path == "/-/pace":
            known = (value["Task"], value["RunId"]) in self.running
            status, answer = (200, {}) if known else (409, {"Reason": "old"})
        else:
            return 404, {}
        return status, {"CurrentTimeMs": self.clock_ms(), "born": self.born, **answer}

    def _extend(self, deadline_ms):
        granted = min(deadline_ms, self.clock_ms() + MAX_HOLD_MS)
        self.lease_ms = max(self.lease_ms, granted)

    def _start(self, value):
        key = (value["Task"], value["RunId"])
        if value["DeadlineMs"] < self.clock_ms():
            return 409, {"Reason": "late"}
        self._extend(value["DeadlineMs"])
        if key in self.running:
            return 200, {}
        if key[1] <= self.highest.get(key[0], 0):
            return 409, {"Reason": "old"}
        spec = value["TaskSpec"]
        self.running[key] = self.make_run(key[0], spec)
        self.starts.append((time.monotonic(), *key))
        if self.is_logged:
            self.record.write(f"runner {self.name}: start {key[0]} run {key[1]}")
        return 200, {}

    def _stop(self, value):
        key = (value["Task"], value["RunId"])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        if key in self.running and not self.running[key].is_stopping:
            self.running[key].is_stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self._end, key, "stopped")
        return 200, {}

    async def _hold(self, value):
        if "DeadlineMs" in value:
            self._extend(value["DeadlineMs"])
        self.ended = [row for row in self.ended if row[0] > value["SeenUpto"]]
        wait_s = min(value.get("WaitMs", 0), 2000) / 1000
        if not self.ended and wait_s:
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait_s)
        running = [
            [task, run, "", item.read_percent(), 0]
            for (task, run), item in self.running.items()
        ]
        return 200, {"Running": running, "Ended": self.ended[:ENDS_PER_ANSWER]}

    def _end(self, key, how):
        if self.running.pop(key, None) is None:
            return
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.ended.append([next(self.numbers), key[0], key[1], how, ""])
        self._note(how, key)
        self.changed.set()

    async def _run(self):
        while True:
            await asyncio.sleep(0.02)
            is_over = self.clock_ms() > self.lease_ms
            for key, run in list(self.running.items()):
                if is_over:
                    self._end(key, "lapsed")
                elif run.is_done() and not run.is_stopping:
                    self._end(key, "failed" if run.fails else "done")

    async def beat(self, control):
        """Send a heartbeat to one node; return the status."""
        value = {
            "Service": self.service,
            "Address": f"{self.ip}:{self.port}",
            "Zone": "my-west-a",
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Capacity": {"Cpu": self.cpu, "MemMb": self.mem_mb, "Gpu": 0},
            "Labels": self.labels,
            "CurrentTimeMs": self.clock_ms(),
            "Seq": next(self.sequence),
            "born": self.born,
        }
        ip, _, port = control.rpartition(":")
        path = f"/-/instances/{self.name}"
        status, _ = await call(ip, int(port), "PUT", path, value, wait_s=1.0)
        return status

    async def _beat(self):
        position = sum(map(ord, self.name))
        while True:
            for _ in self.controls:
                status = await self.beat(self.controls[position % len(self.controls)])
                if 200 <= status < 300:
                    break
                position += 1
            await asyncio.sleep(BEAT_S)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()
