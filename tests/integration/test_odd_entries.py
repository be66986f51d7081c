"""Odd entries of another writer among good ones, sent to real instances.

Operators of similar systems reported that one such entry ended the machines that read
the list again and again, or that these stopped following it.
"""

import contextlib
import json
import socket

import anyio
import httpcore
import pytest

from bluebellyoke.consensus import messages
from bluebellyoke.instance.peers import PeerSender
from standins.cell import wait_until
from tests.integration.deployment import STEPS, WAIT_S, create_job, request_json

#: Time in which an instance would have ended for what it has read, in seconds.
SETTLE_S = 1.5

ENTRY = {
    "Service": "huvo11a",
    "Address": "127.0.0.1:9",
    "Zone": "dc1",
    "State": "ready",
    "Capacity": {"Cpu": 4000, "MemMb": 16000, "Gpu": 0},
    "Labels": ["a", "r1"],
    "Seq": 1,
    "born": 1_700_000_000_000,
}


def encode(**fields):
    return json.dumps({**ENTRY, **fields}).encode()


#: Bodies of heartbeats that name no worker.
ODD_BODIES = [
    b"",
    b"\xff\xfe\x00",
    b"null",
    b"[]",
    b'{"Service":' * 50_000,
    b'{"Other":' + b"[" * 100_000,
    encode()[:-9],
    *(
        json.dumps({key: x for key, x in ENTRY.items() if key != name}).encode()
        for name in ("Service", "Address", "Zone", "State", "Seq", "Capacity")
    ),
    *(encode(**{name: {"a": [1]}}) for name in ENTRY if name != "Capacity"),
    encode(State="resting"),
    encode(Service=""),
    encode(Service="x" * 100_000),
    *(encode(born=x) for x in (-1, 2**53, 2**63 - 1, 2**63, 10**400)),
    *(encode(Seq=x) for x in (-1, 2**53, 2**63 - 1, 2**64, 10**400)),
    *(encode(Capacity={"Cpu": x}) for x in (-1, 2**62, 2**64, 10**400, "1")),
    *(encode(Address=f"127.0.0.1:{x}") for x in (0, -1, 65536, 99999, "²", "9" * 5000)),
    *(encode(Address=x) for x in ("", ":", "...:80", "nowhere:80", "a\r\nX: y:80")),
    encode(Labels=["x"] * 1000),
]

#: IDs, as parts of a path, that no worker can have.
ODD_IDS = ["", "a%0d%0aX-Odd:%20y", "%00", "%c2%b2", "a%20b", "x" * 300]

#: Addresses that no instance can dial.
ODD_PEERS = [("127.0.0.1", 99999), ("127.0.0.1", -1), ("...", 80), ("\x00", 80)]


def send(deployment, number, method, path, body=b""):
    """Return the status and the decoded body of the response."""
    url = f"http://{deployment.get_ip(number)}:{deployment.control_port}{path}"
    response = httpcore.request(
        method, url, content=body, extensions={"timeout": {"read": 10.0}}
    )
    return response.status, json.loads(response.content)


def send_to_peers(deployment, number):
    """Send lists and join requests with odd addresses as another instance would."""
    address = f"{deployment.get_ip(number)}:{deployment.peer_port}"

    async def run():
        async with anyio.create_task_group() as tasks:
            sender = PeerSender(tasks)
            for index, (host, port) in enumerate(ODD_PEERS):
                origin = f"{host}:{port}"
                member = messages.Member(f"odd{index}", f"odd{index}", host, port, "dc")
                for message in (
                    messages.PeerList(0, (origin, "", "x")),
                    messages.JoinRequest(0, member),
                    messages.TransferRequest(0),
                ):
                    sender.send(
                        address,
                        messages.Envelope("platform", "odd", origin, "", message),
                    )
            await anyio.sleep(SETTLE_S)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def send_garbage(deployment, number):
    for port in (deployment.peer_port, deployment.control_port, deployment.front_port):
        with (
            socket.create_connection((deployment.get_ip(number), port), 5) as stream,
            contextlib.suppress(OSError),
        ):
            stream.sendall(b"\xff\x00" * 5000)


def check_service(deployment, job_id):
    """Check that every instance lives and that both workers, and no other, get work."""
    for number, process in deployment.processes.items():
        assert process.poll() is None, f"instance {number} has ended"
    for worker in deployment.workers:
        worker.ledger.clear()
    for index, number in enumerate(deployment.processes):
        job = f"{job_id}{index}"
        steps = [{"Count": 4, "Cpu": 2000}, *STEPS]
        status, _ = deployment.call_queue("POST", job, create_job(steps), number)
        assert status == 200
    for index in range(len(deployment.processes)):
        deployment.wait_for_state(f"{job_id}{index}", "completed")
    assert all(worker.ledger for worker in deployment.workers)
    deployment.check_ledgers()


@pytest.fixture
def first_processes(deployment):
    wait_until(deployment.find_leader, WAIT_S, "a leader")
    return dict(deployment.processes)


# Guards against an entry that is taken for a worker, that hides the worker of its ID,
# or that ends an instance which reads it, now or after a restart.
def test_odd_heartbeats_get_a_client_error_and_harm_nobody(deployment, first_processes):
    refused = []
    for number in first_processes:
        for index, body in enumerate(ODD_BODIES):
            for name in ("w1", f"odd{index}"):
                path = f"/-/instances/{name}"
                refused.append((body, *send(deployment, number, "PUT", path, body)))
        for name in ODD_IDS:
            for method, body in (("PUT", encode()), ("DELETE", b"")):
                path = f"/-/instances/{name}"
                refused.append((name, *send(deployment, number, method, path, body)))
    for entry, status, value in refused:
        assert 400 <= status < 500, entry[:80]
        assert "; " in value["Error"]
    check_service(deployment, "00000000000000a")
    for number in (1, 2, 3):
        deployment.kill(number)
        deployment.start(number, has_disk=True)
        wait_until(lambda n=number: deployment.is_ready(n), WAIT_S, "a restart")
    check_service(deployment, "00000000000000b")


# Guards against the end of an instance for a list or a request of another instance, for
# bytes of any other program, or for a number in a path of an operator.
def test_odd_messages_to_instances_end_none(deployment, first_processes):
    for number in first_processes:
        send_garbage(deployment, number)
        send_to_peers(deployment, number)
        ip, port = deployment.get_ip(number), deployment.peer_port + 1
        for odd in ("%c2%b2", "9" * 5000):
            status, _ = request_json("GET", f"http://{ip}:{port}/v1/tickets/{odd}")
            assert status == 404
    check_service(deployment, "00000000000000c")
    assert set(deployment.list_voters()) <= {f"i{x}" for x in (1, 2, 3)} | {
        f"founder-{deployment.get_ip(x)}:{deployment.peer_port}" for x in (1, 2, 3)
    }
    for number in (1, 2, 3):
        deployment.kill(number)
        deployment.start(number, has_disk=True)
        wait_until(lambda n=number: deployment.is_ready(n), WAIT_S, "a restart")
    check_service(deployment, "00000000000000d")


# Guards against the end of an instance, or of its following of the settings file, for a
# file that somebody else has changed while it runs.
def test_odd_settings_files_end_no_instance(deployment, first_processes):
    paths = {
        number: deployment.folder / f"boot-{number}.toml" for number in first_processes
    }
    good = {number: path.read_text() for number, path in paths.items()}

    def count_lines(number, message):
        return (deployment.folder / f"log-{number}").read_text().count(message)

    def change(function, message):
        before = {number: count_lines(number, message) for number in paths}
        for number, path in paths.items():
            path.write_text(function(good[number]))
        wait_until(
            lambda: all(count_lines(n, message) > before[n] for n in paths),
            WAIT_S,
            message,
        )

    unusable = "platform: could not reload the settings"
    change(lambda text: "Other = " + "[" * 100_000 + text, unusable)
    change(lambda text: "Other = " + "9" * 5000 + "\n" + text, unusable)
    left_out = "platform: left out seeds"
    change(lambda text: text.replace("Seeds = [", 'Seeds = ["...:80", 7, '), left_out)
    odd_port = f'Seeds = ["{deployment.get_ip(1)}:99999", '
    change(lambda text: text.replace("Seeds = [", odd_port), left_out)
    spare = f'Seeds = ["{deployment.get_ip(9)}:{deployment.control_port}", '
    change(
        lambda text: text.replace("Seeds = [", spare), "instance: reloaded the seeds"
    )
    check_service(deployment, "00000000000000e")
