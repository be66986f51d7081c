"""A small deployment: the project's own programs as processes on loopback addresses."""

import asyncio
import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

SETTINGS = """
Node = "front-{zone}-{number}"
Role = "instance"
MachineClass = "front"
Serves = ["front","control"]
Ip = "{ip}"
Zone = "{zone}"
Region = "z"
PortRange = [{peer},{last}]
Seeds = [{seeds}]
Bootstrap = {bootstrap}
CountsAsLoss = {disk_bool}
{data}
Discovery = "registry"
Entry = "vip"
HeartbeatMs = 1500
Contracts = [{contracts}]
config_mode = "highest"
ControlMode = "invocation"
Advisor = "{advisor}"
[Zones]
z1 = "z"
z2 = "z"
z3 = "z"
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
Control = "{ip}:{control}"
[Limits]
CpuShare = 0.717
Cores = 3
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 128
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2000
DowngradeMs = 250
MaxStretchMs = 5000
RecoveryS = 12
MaxHoldMs = 6000
StopGraceMs = 900
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
RemoteSlowdown = 2
CheckpointS = 0.5
RestoreMs = 250
NoticeMs = 4500
MigrateS = 1.5
MaintenanceS = 2
FencingRequired = true
LeaseMs = 3000
ThawMs = 300
PaceMs = 100
ImpactMs = 4000
[Cloud]
Address = "127.0.0.1:1"
RatePerS = 60.0
Duties = []
DutiesPerS = 60.0
"""


CONTRACTS = ("base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep",
             "sharing")


class CannotRunError(Exception):
    """The case could not be set up."""


def find_free_base(ips, count):
    """Return the first of `count` ports in a row that are free on all addresses."""
    for base in range(20000 + os.getpid() % 300 * 40, 60000, 40):
        sockets = []
        try:
            for ip in ips:
                for port in range(base, base + count):
                    item = socket.socket()
                    sockets.append(item)
                    item.bind((ip, port))
            return base
        except OSError:
            continue
        finally:
            for item in sockets:
                item.close()
    raise CannotRunError("no free ports")


class Cell:
    """Instances of the deploy file's role; the first ones have a data folder."""

    def __init__(self, record, advisor, *, disks=3, plain=1, contracts=CONTRACTS):
        self.record, self.advisor = record, advisor
        self.disks, self.count = disks, disks + plain
        self.folder = Path(tempfile.mkdtemp(prefix="bluebellyoke-review-"))
        network = os.getpid() % 200 + 20
        self.ips = {x: f"127.9.{network}.{x}" for x in range(1, 41)}
        base = find_free_base([self.ips[x] for x in range(1, self.count + 1)], 20)
        self.front, self.ready, self.control, self.peer = base, base + 1, base + 2, base + 4
        self.processes = {}
        self.seeds = (1, 2, 3)
        self.contracts = contracts
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = shlex.split(deploy["roles"]["instance"]["run"])
        if not (ROOT / "target" / "src").exists():
            raise CannotRunError("target/ is missing: run the build of the deploy file")

    def front_of(self, number):
        return f"{self.ips[number]}:{self.front}"

    def control_of(self, number):
        return f"{self.ips[number]}:{self.control}"

    @property
    def controls(self):
        return [self.control_of(x) for x in range(1, self.count + 1)]

    def spawn(self, number, bootstrap=False):
        """Start an instance with the settings file that the platform writes now."""
        has_disk = number <= self.disks
        data = ""
        if has_disk:
            folder = self.folder / f"data-{number}"
            folder.mkdir(exist_ok=True)
            data = f'DataDir = "{folder}"'
        seeds = ",".join(f'"{self.control_of(x)}"' for x in self.seeds)
        path = self.folder / f"boot-{number}.toml"
        path.write_text(SETTINGS.format(
            zone=f"z{(number - 1) % 3 + 1}", number=number, ip=self.ips[number],
            peer=self.peer, last=self.peer + 15, seeds=seeds,
            bootstrap=str(bootstrap).lower(), disk_bool=str(has_disk).lower(), data=data,
            contracts=",".join(f'"{x}"' for x in self.contracts),
            advisor=self.advisor.address, front=self.front, ready=self.ready,
            control=self.control))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
               if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["BLUEBELLYOKE_CONFIG"] = str(path)
        log = open(self.folder / f"log-{number}", "ab")
        self.processes[number] = subprocess.Popen(
            self.command, cwd=ROOT, env=env, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)
        log.close()
        self.record.add("process", "start", number)

    def signal(self, number, name):
        self.record.add("process", name, number)
        self.processes[number].send_signal(getattr(signal, name))

    async def kill(self, number):
        self.signal(number, "SIGKILL")
        await self.wait_end(number)

    async def wait_end(self, number, timeout=20.0):
        process = self.processes[number]
        until = time.monotonic() + timeout
        while process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.01)
        self.record.add("process", "ended", number, process.returncode)

    async def start(self, config):
        from standins import call
        for number in range(1, self.count + 1):
            self.spawn(number, bootstrap=True)
        until = time.monotonic() + 30
        for number in range(1, self.count + 1):
            while (await call(f"{self.ips[number]}:{self.ready}", "GET", "/-/ready",
                              timeout=1.0))[0] != 200:
                if time.monotonic() > until:
                    raise CannotRunError(f"instance {number} does not get ready")
                await asyncio.sleep(0.1)
        while (await self.put_config(config))[0] != 200:
            if time.monotonic() > until:
                raise CannotRunError("the configuration is not accepted")
            await asyncio.sleep(0.2)

    async def put_config(self, config, number=1):
        from standins import call
        status, value = await call(self.control_of(number), "PUT", "/-/config", config)
        self.record.add("config", config.get("Version"), "at", number, "->", status)
        return status, value

    def find_leader(self):
        """Return the number of the instance that leads, by the instances' logs."""
        newest, found = -1, None
        for number in range(1, self.disks + 1):
            role = None
            path = self.folder / f"log-{number}"
            for line in path.read_text(errors="replace").splitlines():
                if "role, term or leader changed" in line:
                    role = json.loads(line)
            if role and role["role"] == "leader" and role["term"] > newest:
                if self.processes[number].poll() is None:
                    newest, found = role["term"], number
        return found

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


HOST = "nony24.example"
PREFIX = "/lohu930/"


def make_config(version=7, *, advisor=True, guards=False, attempts=3, extra_routes=(),
                services=("depotdesk",)):
    route = {"Name": "r-3hwrr6x", "Host": HOST, "PathPrefix": PREFIX,
             "RouteType": "non_idempotent", "TimeoutMs": 3000, "TargetDurationMs": 1000,
             "Priority": 1, "Service": services[0], "Attempts": attempts,
             "SlackFactor": 2.2}
    if advisor:
        route["Advisor"] = {"DecisionMs": 5.0, "PerWorkerMs": 0.1, "ValidityMs": 1500}
    return {"Version": version, "Routes": [route, *extra_routes],
            "Services": [{"Name": name, "HealthPath": "/health", "MaxConns": 64,
                          "Protocol": "h1", "TlsEnabled": False,
                          "EnforceCapacity": guards, "Standby": False}
                         for name in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


class Client:
    """A client that sends a request again, elsewhere, when the answer is not clear."""

    def __init__(self, cell, fleet, record, prefix=PREFIX, key=""):
        self.headers = [("Api-Key", key)] if key else []
        self.cell, self.fleet, self.record, self.prefix = cell, fleet, record, prefix
        self.accepted = {}
        self.rejected = {}
        self.sent = {}

    async def ask(self, method, job, value=None, number=1, timeout=3.0):
        from standins import call
        self.record.add("client", method, job, "at", number)
        status, body = await call(
            self.cell.front_of(number), method, self.prefix + job, value,
            headers=[("Host", HOST), ("Deadline-Ms", str(int(timeout * 1000))),
                     *self.headers],
            timeout=timeout)
        self.record.add("client", method, job, "->", status, json.dumps(body)[:90])
        return status, body

    async def submit(self, job, body, numbers=None, tries=5):
        """Submit a job and return the final status."""
        self.fleet.jobs[job] = body
        numbers = list(numbers or range(1, self.cell.count + 1))
        self.sent[job] = self.record.now()
        status = 0
        clear = []
        for attempt in range(tries):
            status, _ = await self.ask("POST", job, body, numbers[attempt % len(numbers)])
            clear.append(status)
            if 200 <= status < 300:
                self.accepted[job] = self.record.now()
                return status
            if status in (400, 404):
                break
            await asyncio.sleep(0.2 * (attempt + 1))
        if all(x in (429, 503, 404, 400) for x in clear):
            self.rejected[job] = self.record.now()
        return status

    async def state(self, job, numbers=None, tries=6):
        numbers = list(numbers or range(1, self.cell.count + 1))
        for attempt in range(tries):
            status, body = await self.ask("GET", job, None, numbers[attempt % len(numbers)])
            if status == 200:
                return body["State"]
            if status == 410:
                return "unknown"
            await asyncio.sleep(0.2)
        return "no answer"


def check_twice(fleet, *, checks_ends=True):
    """Return the breaks of TWICE: overlapping runs, or starts after a noted `done`."""
    breaks, running, done, lapsed = [], {}, {}, {}
    for moment, kind, task, run, worker in sorted(fleet.events, key=lambda x: x[0]):
        step = fleet.step_of(task)
        if step.get("Speculative"):
            continue
        if kind == "start":
            if running.get(task):
                breaks.append(f"TWICE {task}: run {run} on {worker} began at {moment:.3f} "
                              f"while {running[task]} ran")
            if checks_ends and not step.get("LongRunning"):
                for number, (ended, where) in done.get(task, {}).items():
                    if any(ended <= at <= moment and name == where
                           for at, name in fleet.lapses):
                        continue
                    noted = fleet.acknowledged.get((task, number))
                    if noted is not None:
                        breaks.append(f"TWICE {task}: run {run} began at {moment:.3f} after "
                                      f"run {number} was done (noted at {noted:.3f})")
            running.setdefault(task, {})[run] = worker
        else:
            running.get(task, {}).pop(run, None)
            if kind == "done":
                done.setdefault(task, {})[run] = (moment, worker)
    return breaks


def main(scenario):
    """Run a scenario; write record.txt beside it; exit with its verdict."""
    from standins import Record
    folder = Path(sys.argv[1]).resolve()
    record = Record()
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        holder = {}
        try:
            async with asyncio.timeout(112):
                return await scenario(record, trouble, holder)
        finally:
            if "cell" in holder:
                holder["cell"].close()

    try:
        breaks = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError) as error:
        record.add("cannot run", repr(error))
        record.write(folder / "record.txt")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in breaks:
        record.add("BREAK", line)
        print("BREAK", line)
    print("broken" if breaks else "held", "with" if trouble else "without", "the disruption")
    record.write(folder / "record.txt")
    sys.exit(1 if breaks else 0)
