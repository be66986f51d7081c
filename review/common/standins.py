"""Stand-ins for the runners, the advisor and the clients, as the users' pages say.

Everything runs in one asyncio loop of the test's process and uses loopback addresses
only. A runner keeps the rules of PROTOCOL.md: fencing tokens, run numbers, leases on
its own steady clock, numbered ends, gangs, checkpoints, tickets and paces.
"""

import asyncio
import json
import time

MAX_HOLD_MS = 6000
STOP_GRACE_MS = 900
GANG_TIMEOUT_MS = 3000
CHECKPOINT_S = 0.5
RESTORE_S = 0.25
HEARTBEAT_S = 1.5
TICK_S = 0.02
STARTUP_S = 0.3


class Record:
    """Everything that was sent, answered and run, with seconds since the start."""

    def __init__(self):
        self.started = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.started

    def add(self, kind, *words):
        self.lines.append(f"{self.now():8.3f} {kind} " + " ".join(map(str, words)))

    def write(self, path):
        with open(path, "w") as file:
            file.write("\n".join(self.lines) + "\n")


async def read_message(reader):
    """Return the first line, the headers and the body of an HTTP message, or None."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                break
            body += chunk[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


async def call(address, method, path, value=None, headers=(), timeout=3.0, raw=None):
    """Make one HTTP call on a new connection; return (0, None) without an answer."""
    status, _, result = await call_full(
        address, method, path, value, headers, timeout, raw
    )
    return status, result


async def call_full(address, method, path, value=None, headers=(), timeout=3.0, raw=None):
    host, _, port = address.rpartition(":")
    body = raw if raw is not None else (
        b"" if value is None else json.dumps(value).encode()
    )
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}",
             "Content-Type: application/json", "Connection: close"]
    names = {name.lower() for name, _ in headers}
    if "host" not in names:
        lines.insert(1, f"Host: {address}")
    lines += [f"{name}: {text}" for name, text in headers]
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            first, found, content = await read_message(reader)
            status = int(first.split()[1])
            try:
                return status, found, json.loads(content) if content else None
            except ValueError:
                return status, found, content
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError,
            asyncio.LimitOverrunError):
        return 0, {}, None
    finally:
        if writer is not None:
            writer.close()


class Server:
    """An HTTP/1.1 server with JSON bodies on a loopback address."""

    def __init__(self, host="127.0.0.1"):
        self.host = host
        self.port = 0
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def shut(self):
        """Close the listener and reset all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                answer = await self.answer(method, path, headers, body)
                if answer is None:
                    return
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, path, headers, body):
        raise NotImplementedError


class Advisor(Server):
    """Allows all runners, or those that `allows` selects, with a ticket for each."""

    def __init__(self, allows=lambda step, worker: True, delay_s=0.005):
        super().__init__()
        self.allows = allows
        self.delay_s = delay_s

    async def answer(self, method, path, headers, body):
        request = json.loads(body)
        await asyncio.sleep(self.delay_s)
        step = request["Step"]
        rows = [[x, f"t/{step}/{x}"] for x in request["Workers"] if self.allows(step, x)]
        return 200, {"Allowed": rows}


class Run:
    """One run of a task on a runner."""

    def __init__(self, spec, key, work_s):
        self.key = key
        self.spec = spec
        self.work_s = work_s
        self.done_s = 0.0
        self.begun = time.monotonic()
        self.worked_from = None
        self.pace = 100
        self.saved = ""
        self.saved_s = 0.0
        self.restored_until = 0.0
        self.stop_at = None


class Fleet:
    """What the platform sees of all runners: starts and ends of runs, and gangs."""

    def __init__(self, record):
        self.record = record
        self.jobs = {}       # id -> body of the job
        self.events = []     # (time, kind, task, run, worker)
        self.runners = {}
        self.work = lambda task, run: 0.3
        self.fails = lambda task, run, worker: False
        self.gangs = {}
        self.lapses = []     # (time, worker) of the leases that ran out
        self.over = []       # starts over the capacity
        self.acknowledged = {}   # (task, run) -> time at which SeenUpto reached the end

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["Steps"][int(step)]

    def note(self, kind, task, run, worker, extra=""):
        self.events.append((self.record.now(), kind, task, run, worker))
        self.record.add("run", kind, task, run, worker, extra)


class Runner(Server):
    """A runner: one life of a machine, which can crash, restart, drain, or go dark."""

    def __init__(self, fleet, name, controls, *, service="depotdesk", cpu=16000,
                 mem=65536, gpu=0, labels=("a", "r1"), zone="z1", tickets=True,
                 stop_s=0.05, beat_s=HEARTBEAT_S):
        super().__init__()
        self.fleet, self.name, self.controls = fleet, name, controls
        self.service, self.labels, self.zone = service, list(labels), zone
        self.cpu, self.mem, self.gpu = cpu, mem, gpu
        self.tickets, self.stop_s, self.beat_s = tickets, stop_s, beat_s
        self.dark = False            # no call gets an answer, and no heartbeat leaves
        self.hang = None             # function(path, body) -> whether not to answer
        self.state = "ready"
        self.draining_acknowledged = None
        self.alive = False
        self.seq_tasks = []
        fleet.runners[name] = self

    async def start(self):
        self.born = int(time.time() * 1000)
        self.steady = time.monotonic()
        self.fence = 0
        self.lease_ms = 0
        self.has_lapsed = True
        self.running = {}
        self.ended = []
        self.next_end = 1
        self.blocked = {}
        self.changed = asyncio.Event()
        self.seq = 0
        self.alive = True
        self.state = "ready"
        await self.listen()
        self.fleet.record.add("runner", "up", self.name, self.address, self.born)
        life = self.born
        self.seq_tasks = [asyncio.create_task(self._beat(life)),
                          asyncio.create_task(self._tick(life))]

    def crash(self):
        """End the process: all that runs is gone, and the port refuses connections."""
        self.alive = False
        for task in self.seq_tasks:
            task.cancel()
        for task, run in list(self.running):
            self.fleet.note("crashed", task, run, self.name)
        self.running.clear()
        self.shut()
        self.fleet.record.add("runner", "crash", self.name)

    def clock_ms(self):
        return int((time.monotonic() - self.steady) * 1000)

    async def beat_once(self, **fields):
        self.seq += 1
        body = {"Service": self.service, "Address": self.address, "Zone": self.zone,
                "Version": "v1", "Slots": 8, "State": self.state, "ColdRemainingMs": 0,
                "Capacity": {"Cpu": self.cpu, "MemMb": self.mem, "Gpu": self.gpu},
                "Labels": self.labels, "CurrentTimeMs": self.clock_ms(),
                "Seq": self.seq, "born": self.born, **fields}
        for _ in range(len(self.controls)):
            control = self.controls[0]
            status, value = await call(control, "PUT", f"/-/instances/{self.name}", body,
                                       timeout=1.0)
            if 200 <= status < 300:
                return True
            self.controls = self.controls[1:] + self.controls[:1]
        return False

    async def _beat(self, life):
        while self.alive and self.born == life:
            if not self.dark:
                if await self.beat_once() and self.state == "draining":
                    if self.draining_acknowledged is None:
                        self.draining_acknowledged = self.fleet.record.now()
            await asyncio.sleep(self.beat_s)

    async def answer(self, method, path, headers, body):
        if self.dark:
            await asyncio.sleep(3600)
        if path == "/health":
            return 200, {}
        if headers.get("expected-instance", self.name) != self.name:
            return 421, self._with_clock({})
        request = json.loads(body)
        if self.hang is not None:
            late = self.hang(path, request)
            if late:
                life = self.born
                await asyncio.sleep(late)
                if not self.alive or self.born != life:
                    return None
                status, value = await self._handle(path, request)
                self.fleet.record.add("late", self.name, path, request.get("Task"),
                                      request.get("RunId"), status, value.get("Reason"))
                return None
        status, value = await self._handle(path, request)
        if self.dark:
            await asyncio.sleep(3600)
        if path != "/-/hold":
            self.fleet.record.add("call", self.name, path, request.get("Task"),
                                  request.get("RunId"), "fence",
                                  request.get("FencingToken"), status,
                                  value.get("Reason", ""))
        return status, self._with_clock(value)

    def _with_clock(self, value):
        return {"CurrentTimeMs": self.clock_ms(), "born": self.born, **value}

    def _grant(self, deadline_ms):
        granted = min(deadline_ms, self.clock_ms() + MAX_HOLD_MS)
        self.lease_ms = max(self.lease_ms, granted)
        self.has_lapsed = self.clock_ms() > self.lease_ms

    async def _handle(self, path, request):
        fence = request.get("FencingToken", 0)
        if fence < self.fence:
            return 409, {"Reason": "fence"}
        self.fence = fence
        if path == "/-/run-start":
            return self._start(request)
        if path == "/-/run-stop":
            return self._stop(request)
        if path == "/-/pace":
            run = self.running.get((request["Task"], request["RunId"]))
            if run is None:
                return 409, {"Reason": "old"}
            run.pace = request["Percent"]
            return 200, {}
        if path == "/-/hold":
            return await self._hold(request)
        return 404, {}

    def _start(self, request):
        task, number = request["Task"], request["RunId"]
        key = (task, number)
        if request["DeadlineMs"] < self.clock_ms():
            return 409, {"Reason": "late"}
        self._grant(request["DeadlineMs"])
        if key in self.running:
            return 200, {}
        known = [run for other, run in self.running if other == task]
        if number <= max([self.blocked.get(task, 0), *known]):
            return 409, {"Reason": "old"}
        step = self.fleet.step_of(task)
        ticket = f"t/{task.rpartition('.')[0]}/{self.name}"
        if self.tickets and request.get("Ticket") != ticket:
            return 409, {"Reason": "ticket"}
        used = sum(0 if x.spec.get("FillCount") else x.spec.get("Cpu", 0)
                   for x in self.running.values())
        need = 0 if step.get("FillCount") else step.get("Cpu", 0)
        if used + need > self.cpu:
            self.fleet.over.append((task, number, self.name, used + need, self.cpu))
        run = Run(step, key, self.fleet.work(task, number))
        run.spec_text = request["TaskSpec"]
        saved = request.get("Checkpoint")
        if saved:
            run.done_s = float(saved)
            run.saved = saved
            run.restored_until = time.monotonic() + RESTORE_S
        self.running[key] = run
        self.fleet.note("start", task, number, self.name, f"{run.spec_text[:12]} {saved or ''}")
        if step.get("Gang"):
            gang = (task.rpartition(".")[0], number)
            self.fleet.gangs.setdefault(gang, {})[task] = self
        return 200, {}

    def _stop(self, request):
        task, number = request["Task"], request["RunId"]
        self.blocked[task] = max(self.blocked.get(task, 0), number)
        run = self.running.get((task, number))
        if run is not None and run.stop_at is None:
            run.stop_at = time.monotonic() + self.stop_s
        return 200, {}

    def fifth(self, run):
        """Return the rough figure of a run: its tail in milliseconds, or its CPU."""
        return run.spec.get("Cpu", 0)

    async def _hold(self, request):
        if "DeadlineMs" in request:
            self._grant(request["DeadlineMs"])
        seen = request["SeenUpto"]
        for row in self.ended:
            if row[0] <= seen:
                self.fleet.acknowledged.setdefault((row[1], row[2]), self.fleet.record.now())
        self.ended = [row for row in self.ended if row[0] > seen]
        wait_s = request.get("WaitMs", 0) / 1000
        if not self.ended and wait_s:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), wait_s)
            except TimeoutError:
                pass
        running = []
        for (task, number), run in self.running.items():
            percent = 100
            if not run.spec.get("LongRunning"):
                percent = min(99, int(100 * run.done_s / run.work_s))
            elif time.monotonic() - run.begun < STARTUP_S:
                percent = 0
            running.append([task, number, run.saved, percent, self.fifth(run)])
        return 200, {"Running": running, "Ended": self.ended[:500]}

    def _end(self, key, how):
        run = self.running.pop(key)
        task, number = key
        self.blocked[task] = max(self.blocked.get(task, 0), number)
        saved = ""
        if run.spec.get("SavesProgress"):
            saved = f"{run.done_s:.3f}" if how == "stopped" else run.saved
        self.ended.append([self.next_end, task, number, how, saved])
        self.next_end += 1
        self.fleet.note(how, task, number, self.name, saved)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _tick(self, life):
        last = time.monotonic()
        while self.alive and self.born == life:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            passed, last = now - last, now
            if self.clock_ms() > self.lease_ms and not self.has_lapsed:
                self.has_lapsed = True
                self.fleet.lapses.append((self.fleet.record.now(), self.name))
            if self.clock_ms() > self.lease_ms and self.running:
                for key in list(self.running):
                    self._end_with_gang(key, "lapsed")
                continue
            for key, run in list(self.running.items()):
                if key not in self.running:
                    continue
                task, number = key
                if run.stop_at is not None and now >= run.stop_at:
                    self._end_with_gang(key, "stopped")
                    continue
                if run.spec.get("Gang"):
                    gang = self.fleet.gangs[(task.rpartition(".")[0], number)]
                    if run.worked_from is None and len(gang) == run.spec["Count"]:
                        run.worked_from = now
                    if run.worked_from is None:
                        if (now - run.begun) * 1000 > GANG_TIMEOUT_MS:
                            self._end_with_gang(key, "alone")
                        continue
                if now < run.restored_until:
                    continue
                run.done_s += passed * run.pace / 100
                if run.spec.get("SavesProgress") and run.done_s - run.saved_s >= CHECKPOINT_S:
                    run.saved_s = run.done_s
                    run.saved = f"{run.done_s:.3f}"
                if run.spec.get("LongRunning"):
                    continue
                if run.done_s >= run.work_s:
                    how = "failed" if self.fleet.fails(task, number, self.name) else "done"
                    self._end_with_gang(key, how)

    def _end_with_gang(self, key, how):
        run = self.running[key]
        self._end(key, how)
        if not run.spec.get("Gang"):
            return
        task, number = key
        gang = self.fleet.gangs[(task.rpartition(".")[0], number)]
        if how == "alone":
            return
        for other, runner in list(gang.items()):
            if (other, number) in runner.running:
                runner._end((other, number), "done" if how == "done" else "broken")
