"""A small cell of real processes on loopback, for the demo and the tests."""

import contextlib
import itertools
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import httpcore

from standins.proxy import FaultProxy, find_socket_inode, owns_socket

ROOT = Path(__file__).resolve().parent.parent

SETTINGS = """\
[cell]
name = "{cell}"
voters = {voters}
replace_after_s = {replace_after_s}
policy = "{policy}"

[instance]
name = "{name}"
data_centre = "{data_centre}"
address = "127.0.0.1"
http_port = {http_port}
peer_port = {peer_port}
advertised_peer_port = {advertised}
seeds = [{seeds}]
{folder}

[limits]
longest_deadline_s = {longest_deadline_s}
worker_lease_s = {worker_lease_s}
linger_s = {linger_s}
snapshot_mb = 1

[log]
level = "info"
"""


#: Below the ephemeral ports of the system; an outgoing connection could otherwise
#: take a port between its selection here and its use.
FIRST_PORT = 10_000
PORT_COUNT = 22_000
PORTS_PER_PROCESS = 64

_next_port = itertools.count(os.getpid() * PORTS_PER_PROCESS)


def find_ports(count: int) -> list[int]:
    """Return free TCP ports of the loopback address.

    Concurrent test processes start their search at different ports.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = FIRST_PORT + next(_next_port) % PORT_COUNT
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            ports.append(port)
    return ports


class Cell:
    """Instances, upstreams and workers, each in its own process.

    Processes are signalled by their process IDs only.

    Args:
        folder: Folder for settings, data, logs and ledgers.
        replicas: Number of initial replicas.
        non_replicas: Number of instances without a replica.
        voters: Target number of voters.
        policy: Name of the placement policy.
        replace_after_s: Seconds after which an unreachable voter is replaced.
        worker_lease_s: Lease of workers, in seconds.
        longest_deadline_s: Longest deadline of a request, in seconds.
        linger_s: Seconds for which a stopping instance still accepts requests.
        spares: Number of further replicas that can replace voters.
        proxied: Whether replicas are reached through a fault proxy.
    """

    def __init__(
        self,
        folder: Path,
        *,
        replicas: int = 3,
        non_replicas: int = 2,
        voters: int = 3,
        policy: str = "waiting",
        replace_after_s: float = 30.0,
        worker_lease_s: float = 3.0,
        longest_deadline_s: float = 10.0,
        linger_s: float = 0.3,
        spares: int = 0,
        proxied: bool = False,
    ) -> None:
        self.folder = folder
        self.processes: dict[str, subprocess.Popen] = {}
        count = replicas + spares + non_replicas
        names = [f"i{number + 1}" for number in range(count)]
        ports = find_ports(2 * len(names))
        self.http_ports = dict(zip(names, ports[: len(names)], strict=True))
        self.peer_ports = dict(zip(names, ports[len(names) :], strict=True))
        self.replicas = names[: replicas + spares]
        self.names = names
        folder.mkdir(parents=True, exist_ok=True)
        self.proxy = FaultProxy(self.find_owner) if proxied else None
        self.advertised_ports = dict(self.peer_ports)
        if self.proxy is not None:
            for name in self.replicas:
                port = self.proxy.add_route(name, self.peer_ports[name])
                self.advertised_ports[name] = port
        self._options = {
            "cell": "demo",
            "voters": voters,
            "policy": policy,
            "replace_after_s": replace_after_s,
            "worker_lease_s": worker_lease_s,
            "longest_deadline_s": longest_deadline_s,
            "linger_s": linger_s,
        }

    # Settings.

    def get_settings_path(self, name: str) -> Path:
        """Return the path of an instance's settings file."""
        return self.folder / f"{name}.toml"

    def get_data_folder(self, name: str) -> Path:
        """Return the path of a replica's data folder."""
        return self.folder / f"data-{name}"

    def write_settings(self, name: str) -> Path:
        """Write an instance's settings file and return its path."""
        is_replica = name in self.replicas
        data_folder_line = (
            f'data_folder = "{self.get_data_folder(name)}"' if is_replica else ""
        )
        seed_addresses = [
            f"127.0.0.1:{self.advertised_ports[item]}" for item in self.replicas
        ]
        path = self.get_settings_path(name)
        path.write_text(
            SETTINGS.format(
                name=name,
                data_centre=f"dc{self.names.index(name) % 3 + 1}",
                http_port=self.http_ports[name],
                peer_port=self.peer_ports[name],
                advertised=self.advertised_ports[name],
                seeds=", ".join(f'"{seed}"' for seed in seed_addresses),
                folder=data_folder_line,
                **self._options,
            )
        )
        return path

    @property
    def addresses(self) -> list[str]:
        """HTTP addresses of all instances."""
        return [f"127.0.0.1:{port}" for port in self.http_ports.values()]

    @property
    def joined_addresses(self) -> str:
        """HTTP addresses of all instances, joined by commas."""
        return ",".join(self.addresses)

    # Processes.

    def run_cli(self, *arguments: str, check: bool = True) -> str:
        """Run one subcommand and return what it printed."""
        completed = subprocess.run(
            [sys.executable, "-m", "bluebellyoke", *arguments],
            capture_output=True,
            text=True,
            timeout=60,
            cwd=ROOT,
        )
        if check and completed.returncode:
            raise RuntimeError(f"{arguments}: {completed.stderr}{completed.stdout}")
        return completed.stdout

    def start_process(self, name: str, *arguments: str) -> subprocess.Popen:
        """Start a Python module as a process and log to a file."""
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=log,
            stderr=log,
            cwd=ROOT,
        )
        log.close()
        self.processes[name] = process
        return process

    def start_instance(self, name: str) -> None:
        """Start one instance."""
        settings = str(self.get_settings_path(name))
        self.start_process(name, "bluebellyoke", "serve", "--settings", settings)

    def start(self, wait_s: float = 30.0) -> None:
        """Create the cell, start all instances and wait until they serve."""
        for name in self.names:
            self.write_settings(name)
        for position, name in enumerate(self.replicas):
            extra = ["--new-cell"] if position == 0 else []
            settings = str(self.get_settings_path(name))
            self.run_cli("init", "--settings", settings, *extra)
        for name in self.names:
            self.start_instance(name)
        for name in self.names:
            self.wait_ready(name, wait_s)

    def start_upstream(self, name: str, service: str, **options: str) -> None:
        """Start a stand-in upstream."""
        (port,) = find_ports(1)
        arguments = {
            "name": name,
            "service": service,
            "port": str(port),
            "entries": self.joined_addresses,
            "ledger": str(self.folder / f"{name}.ledger"),
            **options,
        }
        self.start_process(name, "standins.upstream", *_build_flags(arguments))

    def start_worker(self, name: str, *flags: str, **options: str) -> None:
        """Start a stand-in worker."""
        arguments = {
            "name": name,
            "entries": self.joined_addresses,
            "ledger": str(self.folder / f"{name}.ledger"),
            **options,
        }
        self.start_process(name, "standins.worker", *_build_flags(arguments), *flags)

    def wait_ready(self, name: str, wait_s: float = 30.0) -> None:
        """Wait until an instance's health check passes."""
        wait_until(lambda: self.is_ready(name), wait_s, f"{name} to be ready")

    def is_ready(self, name: str) -> bool:
        """Return whether an instance's health check passes."""
        return request_json(f"127.0.0.1:{self.http_ports[name]}", "/healthz")[0] == 200

    def find_leader(self) -> str | None:
        """Return the instance that reports that it serves as leader, or None."""
        for name in self.replicas:
            if name not in self.processes or self.processes[name].poll() is not None:
                continue
            status, value = request_json(
                f"127.0.0.1:{self.http_ports[name]}", "/v1/instance"
            )
            if status == 200 and (value.get("replica") or {}).get("serving"):
                return name
        return None

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process."""
        os.kill(self.processes[name].pid, number)

    def kill(self, name: str) -> None:
        """Kill one process."""
        process = self.processes.pop(name)
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        process.wait()

    def stop(self, name: str, wait_s: float = 30.0) -> int:
        """Stop one process gracefully and return its exit code."""
        self.processes[name].send_signal(signal.SIGTERM)
        return self.wait_for_exit(name, wait_s)

    def wait_for_exit(self, name: str, wait_s: float = 30.0) -> int:
        """Return the exit code of a stopping process, or -1 if it had to be killed."""
        process = self.processes.pop(name)
        try:
            return process.wait(wait_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return -1

    def fill_disk(self, name: str) -> None:
        """Make the next writes to a replica's log fail, as on a full disk."""
        path = max(self.get_data_folder(name).glob("log-*.seg"))
        limit = path.stat().st_size + 500
        pid = self.processes[name].pid
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (limit, limit))

    def find_owner(self, port: int) -> str | None:
        """Return the instance that owns a TCP connection's local port, or None."""
        inode = find_socket_inode(port)
        for name in self.names:
            process = self.processes.get(name)
            if process is not None and owns_socket(process.pid, inode):
                return name
        return None

    def stop_all(self) -> dict[str, int]:
        """Stop all processes, instances last, and return the exit codes."""
        others = [name for name in self.processes if name not in self.names]
        codes = {}
        for group in (others, [x for x in self.names if x in self.processes]):
            for name in group:
                self.signal(name, signal.SIGCONT)
                self.processes[name].send_signal(signal.SIGTERM)
            # Wait instead of signalling again: a second signal could arrive while the
            # process removes its signal handlers.
            for name in group:
                codes[name] = self.wait_for_exit(name)
        return codes

    def kill_all(self) -> None:
        """Kill all processes and close the proxy."""
        for name in list(self.processes):
            self.kill(name)
        if self.proxy is not None:
            self.proxy.close()


def _build_flags(arguments: dict[str, str]) -> list[str]:
    flags = []
    for key, value in arguments.items():
        flags += [f"--{key.replace('_', '-')}", str(value)]
    return flags


def request_json(address: str, path: str, method: str = "GET", body: bytes = b""):
    """Return status and decoded JSON of a request, or 0 and {} without an answer."""
    timeout = {"connect": 1.0, "read": 5.0, "write": 5.0}
    try:
        with httpcore.ConnectionPool() as pool:
            response = pool.request(
                method,
                f"http://{address}{path}",
                content=body,
                extensions={"timeout": timeout},
            )
        return response.status, json.loads(response.content or b"{}")
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
        return 0, {}


def wait_until(condition, wait_s: float, description: str) -> None:
    """Wait for a condition.

    Raises:
        TimeoutError: It did not hold within `wait_s`.
    """
    end = time.monotonic() + wait_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError(f"waited {wait_s} s for {description}")
