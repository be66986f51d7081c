"""A small deployment for the review's scripts: instances, runners, clients, an operator.

The instances are started with the commands of the deploy file, as separate processes on
addresses of the loopback network. Everything else here is a stand-in that follows the
users' pages. Only the standard library is used.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent

HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "huvo11a"

SETTINGS = """\
Node = "front-my-west-{zone}-{number}"
Role = "instance"
MachineClass = "front"
Serves = ["front","control"]
Ip = "{ip}"
Zone = "my-west-{zone}"
Region = "my-west"
PortRange = [{first_port},{last_port}]
Seeds = [{seeds}]
Bootstrap = {bootstrap}
CountsAsLoss = {counted}
{data_dir}
Discovery = "registry"
Entry = "vip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","advice","upkeep","sharing"]
config_mode = "highest"
ControlMode = "invocation"
Advisor = "{advisor}"
[Zones]
my-west-a = "my-west"
my-west-b = "my-west"
my-west-c = "my-west"
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
Control = "{ip}:{control}"
[Limits]
CpuShare = 0.717
Cores = 3
MemoryMb = {memory_mb}
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
Address = "{advisor}"
RatePerS = 60.0
Duties = []
DutiesPerS = 60.0
"""

#: Memory of a machine of the small deployments, in MiB.
MEMORY_MB = 300


def make_configuration(version, routes=None, services=None):
    """Return a configuration with one queue, or with other ones."""
    return {
        "Version": version,
        "Routes": routes or [make_route()],
        "Services": services
        or [
            {
                "Name": SERVICE,
                "HealthPath": "/health",
                "MaxConns": 64,
                "Protocol": "h1",
                "TlsEnabled": False,
                "EnforceCapacity": False,
                "Standby": False,
            }
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


def make_route(name="r-1", prefix=PREFIX, **fields):
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "RouteType": "non_idempotent",
        "TimeoutMs": 3000,
        "TargetDurationMs": 1000,
        "Priority": 1,
        "Service": SERVICE,
        "Attempts": 3,
        "SlackFactor": 2.2,
        **fields,
    }


class Record:
    """What was sent, answered and run, by time since the start, in `record.txt`."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1)  # noqa: SIM115
        self._started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self._started_at

    def write(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")


class Instance:
    """One process of the system."""

    def __init__(self, number, ip, process, log_path):
        self.number = number
        self.ip = ip
        self.process = process
        self.log_path = log_path

    def read_memory_mb(self):
        """Return the resident memory and its peak, in MiB, or zeros."""
        with contextlib.suppress(OSError):
            text = Path(f"/proc/{self.process.pid}/status").read_text()
            fields = dict(x.split(":", 1) for x in text.splitlines() if ":" in x)
            if "VmRSS" in fields:
                return tuple(
                    int(fields[name].split()[0]) / 1024 for name in ("VmRSS", "VmHWM")
                )
        return 0.0, 0.0


def find_ports():
    """Return the first port of a free range of 24 ports."""
    for first in range(20000 + os.getpid() % 500 * 24, 32000, 24):
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + 24):
                    item = stack.enter_context(socket.socket())
                    item.bind(("0.0.0.0", port))  # noqa: S104
            except OSError:
                continue
            return first
    raise RuntimeError("no free ports")


class Deployment:
    """Instances on addresses of their own.

    Args:
        record: Record of the run.
        disks: Number of machines with a disk.
        others: Number of machines without one.
        advisor: Address of the advisor, which need not be used.
    """

    def __init__(self, record, *, disks=3, others=1, advisor="127.0.0.1:1"):
        self.record = record
        self.disks = disks
        self.numbers = tuple(range(1, disks + others + 1))
        self.advisor = advisor
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        first = find_ports()
        self.peer = first
        self.front, self.ready, self.control = first + 16, first + 17, first + 18
        self.net = f"127.{os.getpid() % 200 + 20}.7"
        self.instances = {}
        self.exits = []

    def ip(self, number):
        return f"{self.net}.{number}"

    def control_addresses(self):
        return [f"{self.ip(x)}:{self.control}" for x in self.numbers]

    def write_settings(self, number, *, bootstrap=True, seeds=(1, 2, 3)):
        has_disk = number <= self.disks
        data_dir = ""
        if has_disk:
            folder = self.folder / f"data-{number}"
            folder.mkdir(exist_ok=True)
            data_dir = f'DataDir = "{folder}"'
        path = self.folder / f"boot-{number}.toml"
        path.write_text(
            SETTINGS.format(
                zone="abc"[(number - 1) % 3],
                number=number,
                ip=self.ip(number),
                first_port=self.peer,
                last_port=self.peer + 15,
                seeds=",".join(f'"{self.ip(x)}:{self.control}"' for x in seeds),
                bootstrap=str(bootstrap).lower(),
                counted=str(has_disk).lower(),
                data_dir=data_dir,
                advisor=self.advisor,
                front=self.front,
                ready=self.ready,
                control=self.control,
                memory_mb=MEMORY_MB,
            )
        )
        return path

    async def start(self, number, **options):
        path = self.write_settings(number, **options)
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["BLUEBELLYOKE_CONFIG"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log_path = self.folder / f"log-{number}"
        with open(log_path, "ab") as log:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "deploy/start.py", "target/src"),
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        instance = Instance(number, self.ip(number), process, log_path)
        self.instances[number] = instance
        self.record.write(f"start instance {number} pid {process.pid}")

    async def start_all(self, timeout_s=30):
        await asyncio.gather(*map(self.start, self.numbers))
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            answers = [await self.is_ready(x) for x in self.numbers]
            if all(answers):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the instances did not get ready")

    async def is_ready(self, number):
        status, _ = await call(self.ip(number), self.ready, "GET", "/-/ready", wait_s=1)
        return status == 200

    async def configure(self, configuration, timeout_s=20):
        """Send a configuration, as the operator does, until it is acknowledged."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            for number in self.numbers:
                status, _ = await self.put_configuration(number, configuration)
                if status == 200:
                    return
            await asyncio.sleep(0.3)
        raise RuntimeError("the configuration was not acknowledged")

    async def put_configuration(self, number, configuration, wait_s=1.0):
        answer = await call(
            self.ip(number), self.control, "PUT", "/-/config", configuration, wait_s=wait_s
        )
        self.record.write(
            f"operator: PUT /-/config {configuration['Version']} at {number} -> {answer[0]}"
        )
        return answer

    async def call_queue(
        self, number, method, job="", value=None, wait_s=3.0, prefix=PREFIX, host=HOST
    ):
        """Call a queue as a client does; status 0 stands for no answer."""
        headers = {"Host": host, "Deadline-Ms": str(int(wait_s * 1000))}
        return await call(
            *(self.ip(number), self.front, method, prefix + job, value),
            wait_s=wait_s,
            headers=headers,
        )

    def signal(self, number, number_of_signal):
        self.record.write(f"signal {signal.Signals(number_of_signal).name} to {number}")
        self.instances[number].process.send_signal(number_of_signal)

    async def kill(self, number):
        self.signal(number, signal.SIGKILL)
        await self.instances[number].process.wait()

    def find_leader(self):
        """Return the number of the instance that last said that it leads, or None.

        This is for the aim of a disruption only; nothing is judged by it.
        """
        newest = (-1, None)
        for number in self.numbers[: self.disks]:
            with contextlib.suppress(OSError):
                for line in (self.folder / f"log-{number}").read_text().splitlines():
                    if '"replica: leads"' in line or "replica: leads" in line:
                        with contextlib.suppress(ValueError, KeyError):
                            newest = max(newest, (json.loads(line)["term"], number))
        return newest[1]

    def list_ended(self):
        """Return the instances whose process has ended."""
        return [
            number
            for number, item in self.instances.items()
            if item.process.returncode is not None
        ]

    async def close(self):
        for item in self.instances.values():
            with contextlib.suppress(ProcessLookupError):
                item.process.kill()
        for item in self.instances.values():
            await item.process.wait()


async def call(ip, port, method, path, value=None, *, wait_s=3.0, headers=None, body=None):
    """Make one HTTP request on a new connection; return the status and the value.

    The status is 0 if no complete answer came in time.
    """
    writer = None
    if body is None:
        body = b"" if value is None else json.dumps(value).encode()
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(ip, port)
            lines = {
                "Host": f"{ip}:{port}",
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
                "Connection": "close",
                **(headers or {}),
            }
            head = f"{method} {path} HTTP/1.1\r\n"
            head += "".join(f"{k}: {v}\r\n" for k, v in lines.items())
            writer.write(head.encode() + b"\r\n" + body)
            await writer.drain()
            status, _, content = await read_message(reader)
            return status, json.loads(content) if content else None
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


async def read_message(reader):
    """Read a response; return the status, the headers and the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, text = line.partition(":")
        headers[name.strip().lower()] = text.strip()
    content = b""
    if "content-length" in headers:
        content = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            content += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    return int(first.split(" ")[1]), headers, content
