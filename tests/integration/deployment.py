"""A deployment of the platform: instances as real processes, stand-ins around them."""

import contextlib
import json
import os
import subprocess
import sys

import httpcore

from standins.cell import ROOT, find_ports, wait_until
from standins.platform import CalledWorker, StandInAdvisor

QUEUE_HOST = "nony24.example"
PREFIX = "/lohu930/"
WAIT_S = 60.0

#: Number of workers that are up.
WORKERS = 2

SETTINGS = """
Node = "{name}"
Ip = "{ip}"
Zone = "dc{number}"
PortRange = [{peer}, {last}]
Seeds = [{seeds}]
Bootstrap = {bootstrap}
Advisor = "{advisor}"
{disk}
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
Control = "{ip}:{control}"
[FaultTolerance]
Machines = {machines}
{limits}
"""

CONFIG = {
    "Version": 3,
    "Routes": [
        {
            "Name": "r-1",
            "Host": QUEUE_HOST,
            "PathPrefix": PREFIX,
            "TimeoutMs": 3000,
            "TargetDurationMs": 250,
            "Service": "huvo11a",
            "Attempts": 3,
            "SlackFactor": 2.0,
            "Advisor": {"DecisionMs": 1.0, "PerWorkerMs": 0.1, "ValidityMs": 1500},
        }
    ],
    "Services": [{"Name": "huvo11a", "EnforceCapacity": False}],
}


def request_json(method, url, value=None, headers=None):
    """Return status and decoded body, or 0 and None without an answer."""
    body = json.dumps(value).encode() if value is not None else b""
    try:
        response = httpcore.request(
            method,
            url,
            headers={"Host": QUEUE_HOST, "Connection": "close", **(headers or {})},
            content=body,
            extensions={"timeout": {"connect": 1.0, "read": 5.0}},
        )
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
        return 0, None
    return response.status, json.loads(response.content or b"null")


class Deployment:
    """Instances on separate loopback addresses, with called workers and an advisor.

    Args:
        folder: Folder for settings, data and logs.
        machines: Number of simultaneous machine failures that the cell tolerates.
        limits: Table `Limits` of the settings file, or None to leave it out.
    """

    def __init__(self, folder, *, machines=1, limits=None):
        self.folder = folder
        self.machines = machines
        self.limits = limits
        self.front_port, self.ready_port, self.control_port, self.peer_port = (
            find_ports(4)
        )
        self.advisor = StandInAdvisor()
        self.processes = {}
        self.workers = []

    def get_ip(self, number):
        return f"127.0.{os.getpid() % 200 + 1}.{number}"

    def write_settings(self, number, *, has_disk, bootstrap=True, seeds=(1, 2, 3)):
        """Write an instance's settings file and return its path."""
        disk = f'DataDir = "{self.folder}/data-{number}"' if has_disk else ""
        limits = [f"{key} = {value}" for key, value in (self.limits or {}).items()]
        path = self.folder / f"boot-{number}.toml"
        path.write_text(
            SETTINGS.format(
                name=f"i{number}",
                ip=self.get_ip(number),
                number=number,
                peer=self.peer_port,
                last=self.peer_port + 15,
                seeds=", ".join(
                    f'"{self.get_ip(x)}:{self.control_port}"' for x in seeds
                ),
                bootstrap=str(bootstrap).lower(),
                advisor=self.advisor.address,
                disk=disk,
                front=self.front_port,
                ready=self.ready_port,
                control=self.control_port,
                machines=self.machines,
                limits="\n".join(["[Limits]", *limits] if limits else ()),
            )
        )
        return path

    def start(self, number, **settings):
        path = self.write_settings(number, **settings)
        with open(self.folder / f"log-{number}", "ab") as log:
            self.processes[number] = subprocess.Popen(
                [sys.executable, str(ROOT / "deploy" / "start.py")],
                env={**os.environ, "BLUEBELLYOKE_CONFIG": str(path)},
                stdout=log,
                stderr=log,
            )

    def kill(self, number):
        self.processes[number].kill()
        self.processes.pop(number).wait()

    def add_worker(self, name, **options):
        control_addresses = [
            f"{self.get_ip(x)}:{self.control_port}" for x in self.processes
        ]
        worker = CalledWorker(name, control_addresses=control_addresses, **options)
        self.workers.append(worker)
        return worker

    def is_ready(self, number):
        return (
            request_json(
                "GET", f"http://{self.get_ip(number)}:{self.ready_port}/-/ready"
            )[0]
            == 200
        )

    def put_configuration(self, config, number=1):
        url = f"http://{self.get_ip(number)}:{self.control_port}/-/config"
        return request_json("PUT", url, config)[0]

    def call_queue(self, method, job_id, value=None, number=1):
        url = f"http://{self.get_ip(number)}:{self.front_port}{PREFIX}{job_id}"
        return request_json(method, url, value)

    def find_state(self, job_id):
        for number in self.processes:
            status, value = self.call_queue("GET", job_id, number=number)
            if status == 200:
                return value["State"]
        return None

    def wait_for_state(self, job_id, state):
        """Wait for a job's state while crashed workers are replaced."""

        def has_state():
            self.replace_crashed_workers()
            return self.find_state(job_id) == state

        wait_until(has_state, WAIT_S, f"{job_id} {state}")

    def replace_crashed_workers(self):
        """Start the next incarnation of each crashed worker that has none yet.

        It has another ID, but the same address, as on the platform.
        """
        used = {worker.server_port for worker in self.workers if not worker.has_crashed}
        crashed = {worker.server_port for worker in self.workers if worker.has_crashed}
        missing = WORKERS - len(self.workers)
        for port in (*(crashed - used), *[0] * missing):
            self.add_worker(f"w{len(self.workers) + 1}", port=port)

    def find_leader(self):
        for number in self.processes:
            text = (self.folder / f"log-{number}").read_text()
            role_changes = [
                json.loads(line)
                for line in text.splitlines()
                if "replica: role, term or leader changed" in line
            ]
            if role_changes and role_changes[-1]["role"] == "leader":
                return number
        return None

    def list_voters(self):
        """Return the names of the voters as the leader sees them."""
        for number in self.processes:
            url = f"http://{self.get_ip(number)}:{self.peer_port + 1}/v1/instance"
            status, value = request_json("GET", url)
            replica = value.get("replica") if status == 200 else None
            if replica and replica["role"] == "leader":
                return replica["voters"]
        return []

    def check_ledgers(self):
        """Check that runs of a task never overlap or start after the task is done.

        Returns:
            Names of the tasks that are done.
        """
        events = sorted(event for worker in self.workers for event in worker.ledger)
        running, done = {}, set()
        for _, kind, task, run in events:
            if kind == "start":
                assert task not in running, f"{task} has overlapping runs"
                assert task not in done, f"{task} was started after it was done"
                running[task] = run
            else:
                running.pop(task, None)
                if kind == "done":
                    done.add(task)
        return done

    def close(self):
        for number in list(self.processes):
            self.kill(number)
        for worker in self.workers:
            worker.close()
        self.advisor.shutdown()
        self.advisor.server_close()


@contextlib.contextmanager
def run_deployment(folder):
    """Run three instances with a disk and one without, two workers and a queue."""
    deployment = Deployment(folder)
    try:
        for number in (1, 2, 3):
            deployment.start(number, has_disk=True)
        deployment.start(4, has_disk=False)
        wait_until(
            lambda: all(map(deployment.is_ready, deployment.processes)),
            WAIT_S,
            "instances",
        )
        deployment.replace_crashed_workers()
        wait_until(
            lambda: deployment.put_configuration(CONFIG) == 200,
            WAIT_S,
            "the configuration",
        )
        yield deployment
    finally:
        deployment.close()


def create_job(steps):
    return {"TaskSpec": "(text)", "Steps": steps}


STEPS = [{"Count": 3, "Cpu": 500}, {"Count": 2, "Cpu": 500, "DependsOn": [0]}]
