"""A small deployment: instances, runners, clients and the operator on loopback.

Instances are started with the command of the deploy file and settings in the platform's
format. Every process that is started here is ended here, by its ID.
"""

import contextlib
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

__all__ = ["Blocked", "Deployment", "run_case"]

ROOT = Path(__file__).resolve().parent.parent.parent

HELD, BROKEN, CANNOT_RUN = 0, 1, 2

SETTINGS = """\
Node = "{name}"
Role = "my-front"
MachineClass = "front"
Serves = ["front","control"]
Ip = "{ip}"
Zone = "{zone}"
Region = "th-central"
PortRange = [{peer}, {last}]
Seeds = [{seeds}]
Bootstrap = {bootstrap}
CountsAsLoss = {counts}
{disk}
Discovery = "registry"
Entry = "vip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","upkeep","sharing"]
config_mode = "highest"
ControlMode = "invocation"
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
Control = "{ip}:{control}"
[Limits]
MemoryMb = 300
MaxFds = 4100
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
ConfigApplyMs = 2000
MaxHoldMs = {max_hold_ms}
StopGraceMs = 900
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
"""


class Blocked(Exception):
    """The case cannot run, for example because the cell does not come up."""


class Deployment:
    """Processes of one case.

    Args:
        record: File to which everything that was sent, answered and run is written.
        disks: Number of instances with a disk.
        others: Number of instances without one.
        max_hold_ms: Longest lease of a runner, in milliseconds.
    """

    def __init__(self, record, *, disks=3, others=2, max_hold_ms=6000):
        self.record_file = open(record, "w", buffering=1)  # noqa: SIM115
        self.began_at = time.time()
        self.folder = Path(tempfile.mkdtemp(prefix="small-"))
        self.disks, self.others = disks, others
        self.max_hold_ms = max_hold_ms
        self.numbers = range(1, disks + others + 1)
        block = os.getpid() % 250
        self.net = f"127.{block + 1}.{int(time.time()) % 250}"
        ports = self.find_ports(3)
        self.front, self.ready, self.control = ports
        self.peer = self.find_range(16)
        self.processes = {}
        self.runners = {}
        self.stopped = set()
        self.events = self.folder / "events"
        self.events.touch()

    # Recording.

    def note(self, text):
        """Write a line with the time since the start of the case."""
        self.record_file.write(f"{time.time() - self.began_at:8.3f} {text}\n")

    # Instances.

    def find_ports(self, count):
        """Return ports that are free on the addresses of this case."""
        sockets = [socket.socket() for _ in range(count)]
        for item in sockets:
            item.bind((f"{self.net}.1", 0))
        ports = [item.getsockname()[1] for item in sockets]
        for item in sockets:
            item.close()
        return ports

    def find_range(self, count):
        """Return the first of some free ports below the ephemeral ones."""
        first = 10_000 + os.getpid() * 32 % 20_000
        for start in range(first, 32_000, count):
            with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
                for port in range(start, start + count):
                    item = stack.enter_context(socket.socket())
                    item.bind((f"{self.net}.1", port))
                return start
        raise Blocked("no free ports")

    def ip(self, number):
        """Return the address of an instance."""
        return f"{self.net}.{number}"

    def start(self, number, *, bootstrap=False):
        """Start an instance with the command of the deploy file."""
        has_disk = number <= self.disks
        disk = f'DataDir = "{self.folder}/data-{number}"' if has_disk else ""
        if has_disk:
            (self.folder / f"data-{number}").mkdir(exist_ok=True)
        seeds = ", ".join(
            f'"{self.ip(x)}:{self.control}"' for x in range(1, self.disks + 1)
        )
        path = self.folder / f"boot-{number}.toml"
        path.write_text(
            SETTINGS.format(
                name=f"front-{number}",
                ip=self.ip(number),
                zone=f"th-central-{'abc'[(number - 1) % 3]}",
                peer=self.peer,
                last=self.peer + 15,
                seeds=seeds,
                bootstrap=str(bootstrap).lower(),
                counts=str(has_disk).lower(),
                disk=disk,
                front=self.front,
                ready=self.ready,
                control=self.control,
                max_hold_ms=self.max_hold_ms,
            )
        )
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            command = tomllib.load(file)["roles"]["instance"]["run"].split()
        names = ("PATH", "HOME", "JAVA_HOME", "LANG")
        environment = {x: os.environ[x] for x in names if x in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BLUEBELLYOKE_CONFIG"] = str(path)
        with open(self.folder / f"log-{number}", "ab") as log:
            self.processes[number] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.note(f"operator starts instance {number}")

    def start_all(self, timeout_s=30):
        """Start all instances for the first time and wait until they are ready."""
        for number in self.numbers:
            self.start(number, bootstrap=True)
        self.wait(lambda: all(map(self.is_ready, self.numbers)), timeout_s, "instances")

    def is_ready(self, number):
        """Return whether an instance says that it is ready."""
        return self.call("GET", self.ip(number), self.ready, "/-/ready")[0] == 200

    def signal(self, number, what):
        """Send a signal to an instance."""
        self.processes[number].send_signal(what)
        if what == signal.SIGSTOP:
            self.stopped.add(number)
        if what == signal.SIGCONT:
            self.stopped.discard(number)
        self.note(f"instance {number} gets {signal.Signals(what).name}")

    def find_leader(self):
        """Return the number of the instance that leads, by the instances' own logs."""
        found = (0, None)
        for number in range(1, self.disks + 1):
            for line in (self.folder / f"log-{number}").read_text().splitlines():
                if "replica: role, term or leader changed" in line:
                    row = json.loads(line)
                    if row["role"] == "leader":
                        found = max(found, (row["term"], number))
        return found[1]

    # Runners.

    def start_runner(self, name, *, nodes, cpu=16000, rack="r1", address=None):
        """Start a runner, or start it again under its ID and address."""
        known = self.runners.get(name)
        if known is not None:
            nodes, cpu, rack, address = known["options"]
        if address is None:
            address = f"{self.net}.{100 + len(self.runners)}:{self.find_ports(1)[0]}"
        command = [
            *(sys.executable, str(ROOT / "review" / "small" / "runner.py")),
            *("--id", name, "--address", address, "--service", "huvo11a"),
            *("--zone", "th-central-a", "--rack", rack, "--cpu", str(cpu)),
            *("--events", str(self.events)),
            *("--max-hold-ms", str(self.max_hold_ms)),
            *("--nodes", ",".join(f"{self.ip(x)}:{self.control}" for x in nodes)),
        ]
        with open(self.folder / f"log-{name}", "ab") as log:
            process = subprocess.Popen(command, stdout=log, stderr=log)
        options = (nodes, cpu, rack, address)
        self.runners[name] = {"process": process, "options": options}
        self.note(f"runner {name} starts at {address}")

    def silence_runner(self, name):
        """Stop a runner's process, so that it is silent for good."""
        self.runners[name]["process"].send_signal(signal.SIGSTOP)
        self.note(f"runner {name} is silent from now on")

    def crash_runner(self, name):
        """Kill a runner; whatever runs on it ends."""
        process = self.runners[name]["process"]
        process.kill()
        process.wait()
        row = [time.time(), name, 0, "crashed", "", 0]
        with open(self.events, "a") as file:
            file.write(json.dumps(row) + "\n")
        self.note(f"runner {name} crashes")

    def read_events(self):
        """Return the events of all runners so far, in the order of their times."""
        rows = [json.loads(x) for x in self.events.read_text().splitlines() if x]
        return sorted(rows, key=lambda row: row[0])

    # Clients and the operator.

    def call(self, method, ip, port, path, value=None, host="", timeout_s=3.0):
        """Return status and body of a response, or 0 and None without one."""
        body = json.dumps(value).encode() if value is not None else None
        headers = {"Content-Type": "application/json", "Deadline-Ms": "3000"}
        if host:
            headers["Host"] = host
        connection = http.client.HTTPConnection(ip, port, timeout=timeout_s)
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            data = response.read()
            location = response.headers.get("Location")
            if response.status == 307 and location:
                return 307, location
            return response.status, json.loads(data or b"null")
        except (OSError, http.client.HTTPException, ValueError):
            return 0, None
        finally:
            connection.close()

    def put_configuration(self, config, number=1):
        """Send a configuration until it is acknowledged; move on after a failure."""
        for attempt in range(20):
            target = (number + attempt - 1) % (self.disks + self.others) + 1
            status, _ = self.call(
                "PUT", self.ip(target), self.control, "/-/config", config
            )
            version = config["Version"]
            self.note(f"operator sends version {version} to {target}: {status}")
            if status == 200:
                return
            time.sleep(0.2)
        raise Blocked("a valid configuration is not acknowledged")

    def ask(self, method, path, value=None, *, host, number):
        """Send a client's request to an instance; return status and body."""
        status, body = self.call(
            method, self.ip(number), self.front, path, value, host=host
        )
        self.note(f"client {method} {path} at {number}: {status} {body}")
        return status, body

    # Time and end.

    def wait(self, condition, timeout_s, what):
        """Wait for a condition."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.05)
        raise Blocked(f"no {what} within {timeout_s} s")

    def close(self):
        """End all processes that were started, and write the runners' events."""
        running = [*self.processes.values()]
        running += [item["process"] for item in self.runners.values()]
        for process in running:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for row in self.read_events():
            at = row[0] - self.began_at
            self.record_file.write(f"{at:8.3f} runner {' '.join(map(str, row[1:]))}\n")
        self.record_file.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def run_case(folder, play, **options):
    """Run a case and exit with its result.

    Args:
        folder: Folder of the case.
        play: Called with a deployment and whether to cause the disruption; returns
            what was broken, or an empty text.
        options: Options of the deployment.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(Path(folder) / "record.txt", **options)
    result = CANNOT_RUN
    try:
        broken = play(deployment, trouble)
        deployment.note(f"RESULT {broken or 'the rule held'}")
        print(broken or "the rule held")
        result = BROKEN if broken else HELD
    except Blocked as error:
        deployment.note(f"RESULT cannot run: {error}")
        print(f"cannot run: {error}")
    finally:
        deployment.close()
    sys.exit(result)
