"""Memory and descriptors of an instance whose clients send more than is allowed.

The instance is a real process with small limits. No test measures times or the share
of requests that are served, since these depend on the machine.
"""

import json
import os
import threading
import time
from pathlib import Path

import pytest

from standins.cell import wait_until
from tests.integration import floods
from tests.integration.deployment import (
    CONFIG,
    PREFIX,
    STEPS,
    WAIT_S,
    Deployment,
    create_job,
    request_json,
)

#: Memory of the machine, in MiB. An instance without clients uses about 54 MiB.
MEMORY_MB = 120

#: Descriptors of the machine, and how many of them are reserved.
MAX_FDS = 400
RESERVED_FDS = 200

#: Connections of the clients that send too much, and of those that send nothing.
CONNECTIONS = 40
IDLE_CONNECTIONS = 300

#: Memory at which the clients stop, in MiB: the fault has been shown.
STOP_MB = MEMORY_MB + 30

#: Interval of the measurements during a flood, in seconds.
SAMPLE_INTERVAL_S = 0.02

#: Sizes that the documents allow: a head, a client's body and a configuration.
HEAD_BYTES = 16_384
CLIENT_BODY_BYTES = 262_144
CONFIGURATION_BYTES = 4 * 1024 * 1024

#: Time for which clients keep idle connections and reuse them, in seconds, and the time
#: for which a head may be on its way.
IDLE_S = 15.0
HEAD_S = 3.0

LISTENERS = ("Front", "Control", "Ready", "own")

#: Requests that never end, so that they have to be refused or closed.
ENDLESS = {
    "header-lines": floods.send_header_lines,
    "header-name": floods.send_header_name,
    "trailers": floods.send_trailers,
    "chunks": floods.send_chunks,
    "announced-body": floods.send_announced_body,
    "empty-lines": floods.send_empty_lines,
    "chunk-extension": floods.send_chunk_extension,
}


class Instance:
    """A cell of one instance, and what its process uses.

    Attributes:
        deployment: The cell.
        process: The instance's process.
    """

    def __init__(self, folder):
        self.deployment = Deployment(
            folder, machines=0, limits={"MemoryMb": MEMORY_MB, "MaxFds": MAX_FDS}
        )
        self.deployment.start(1, has_disk=True, seeds=(1,))
        self.process = self.deployment.processes[1]
        self.most_fds = 0
        self.jobs = 0

    def wait_until_ready(self):
        wait_until(lambda: self.deployment.is_ready(1), WAIT_S, "the instance")
        wait_until(
            lambda: self.deployment.put_configuration(CONFIG) == 200,
            WAIT_S,
            "the configuration",
        )

    def get_target(self, listener):
        deployment = self.deployment
        ports = {
            "Front": (deployment.front_port, "POST", f"{PREFIX}00000000000000a1"),
            "Control": (deployment.control_port, "PUT", "/-/config"),
            "Ready": (deployment.ready_port, "GET", "/-/ready"),
            "own": (deployment.peer_port + 1, "POST", "/v1/jobs"),
            "peers": (deployment.peer_port, "POST", "/"),
        }
        port, method, path = ports[listener]
        return floods.Target((deployment.get_ip(1), port), method, path)

    def call(self, listener, path):
        host, port = self.get_target(listener).address
        return request_json("GET", f"http://{host}:{port}{path}")[0]

    def submit(self):
        self.jobs += 1
        job_id = f"{self.jobs:016x}"
        return self.deployment.call_queue("POST", job_id, create_job(STEPS))[0]

    def read_memory_mb(self, field):
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        lines = dict(line.split(":", 1) for line in text.splitlines())
        return int(lines[field].split()[0]) / 1024 if field in lines else 0.0

    def sample(self):
        """Measure the open descriptors; return the resident memory in MiB."""
        try:
            count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            self.most_fds = max(self.most_fds, count)
            return self.read_memory_mb("VmRSS")
        except OSError:
            return 0.0

    def check(self):
        """Check that the process lives within its machine and still serves."""
        self.check_use()
        wait_until(lambda: self.submit() == 200, WAIT_S, "a job's submission")
        wait_until(lambda: self.deployment.is_ready(1), WAIT_S, "readiness")
        for path in ("/-/config", "/-/metrics"):
            assert self.is_answered("Control", path)
        assert self.is_answered("own", "/healthz")
        # The last connections of a crowd may have been accepted meanwhile.
        self.check_use()

    def check_use(self):
        assert self.process.poll() is None, "the process has ended"
        self.sample()
        peak_mb = self.read_memory_mb("VmHWM")
        print(f"measured: {peak_mb:.0f} MiB, {self.most_fds} descriptors")
        assert peak_mb <= MEMORY_MB
        assert self.most_fds <= MAX_FDS - RESERVED_FDS

    def is_answered(self, listener, path):
        host, port = self.get_target(listener).address
        url = f"http://{host}:{port}{path}"

        def answers():
            try:
                return request_json("GET", url)[0] == 200
            except json.JSONDecodeError:
                # Metrics are text; the reply was whole.
                return True

        wait_until(answers, WAIT_S, f"{listener} {path}")
        return True


@pytest.fixture
def instance(tmp_path):
    """A new process for each test, since a process keeps its peak of memory."""
    instance = Instance(tmp_path)
    try:
        instance.wait_until_ready()
        yield instance
    finally:
        instance.deployment.close()


@pytest.fixture
def watch(instance):
    """Sample the process during the test; set the event if it uses far too much."""
    stopped, ended = threading.Event(), threading.Event()

    def run():
        while not ended.is_set():
            if instance.sample() > STOP_MB:
                stopped.set()
            time.sleep(SAMPLE_INTERVAL_S)

    thread = threading.Thread(target=run)
    thread.start()
    yield stopped
    ended.set()
    thread.join()


# Guards against a process that takes in a request of any size until its machine has no
# memory left, and against one that reads on for ever.
@pytest.mark.parametrize("scenario", ENDLESS)
@pytest.mark.parametrize("listener", LISTENERS)
def test_request_without_end_is_cut_off(instance, watch, listener, scenario):
    results = floods.flood(
        instance.get_target(listener),
        ENDLESS[scenario],
        connections=CONNECTIONS,
        stopped=watch,
        timeout_s=floods.END_TIMEOUT_S,
    )
    instance.check()
    assert all(result.has_ended for result in results)


# Guards against many bodies that are each short enough and together are too long.
@pytest.mark.parametrize(
    "send",
    [floods.send_whole_body, floods.send_partial_body, floods.send_allowed_body],
)
@pytest.mark.parametrize("listener", LISTENERS)
def test_long_bodies_together_fit_into_memory(instance, watch, listener, send):
    target = instance.get_target(listener)
    floods.flood(target, send, connections=CONNECTIONS, stopped=watch)
    instance.check()


# Guards against requests and replies that pile up for a client that does not read.
@pytest.mark.parametrize("listener", LISTENERS)
def test_pipelined_requests_wait_for_the_reader(instance, watch, listener):
    floods.flood(
        instance.get_target(listener),
        floods.send_pipelined_requests,
        connections=CONNECTIONS,
        stopped=watch,
        reads_replies=False,
    )
    instance.check()


# Guards against a process that has no descriptors left for its own work.
@pytest.mark.parametrize("listener", [*LISTENERS, "peers"])
def test_idle_connections_leave_descriptors(instance, watch, listener):
    address = instance.get_target(listener).address
    with floods.open_idle_connections(address, IDLE_CONNECTIONS):
        instance.check()


# The same on the listener for other instances, which clients may reach as well.
@pytest.mark.parametrize("scenario", ["header-lines", "header-name", "empty-lines"])
def test_listener_for_instances_cuts_off_other_protocols(instance, watch, scenario):
    results = floods.flood(
        instance.get_target("peers"),
        ENDLESS[scenario],
        connections=CONNECTIONS,
        stopped=watch,
        timeout_s=floods.END_TIMEOUT_S,
    )
    instance.check()
    assert all(result.has_ended for result in results)


def test_messages_without_end_between_instances_fit_into_memory(instance, watch):
    address = instance.get_target("peers").address
    threads = [
        threading.Thread(target=floods.send_peer_message, args=(address, watch))
        for _ in range(CONNECTIONS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    instance.check()


# Guards against limits that ordinary clients meet.


def test_request_inside_the_limits_is_served(instance):
    deployment = instance.deployment
    job = json.dumps(create_job(STEPS)).encode()
    front = instance.get_target("Front")
    filler = "x" * (HEAD_BYTES - 300)
    for body in (job, job.ljust(CLIENT_BODY_BYTES)):
        head = front.build_head(f"Content-Length: {len(body)}", f"X-Filler: {filler}")
        assert floods.exchange(front.address, [head + b"\r\n", body]) == 200
    assert deployment.call_queue("GET", "00000000000000a1")[0] == 200
    control = instance.get_target("Control")
    document = json.dumps({**CONFIG, "Version": 4}).encode().ljust(CONFIGURATION_BYTES)
    head = control.build_head(f"Content-Length: {len(document)}")
    assert floods.exchange(control.address, [head + b"\r\n", document]) == 200
    instance.check()


def test_slow_head_and_reused_connection_are_served(instance):
    ready = instance.get_target("Ready")
    head = ready.build_head() + b"\r\n"
    with floods.connect(ready.address) as connection:
        assert floods.send_slowly(connection, head, pause_s=HEAD_S / 2) == 200
        time.sleep(IDLE_S)
        assert floods.send_slowly(connection, head, pause_s=0) == 200


# Guards against a refusal of a request that runs all the same.
def test_refused_submission_has_not_run(instance):
    front = instance.get_target("Front")
    body = json.dumps(create_job(STEPS)).encode().ljust(floods.WHOLE_BODY_BYTES)
    head = front.build_head(f"Content-Length: {len(body)}") + b"\r\n"
    status = floods.exchange(front.address, [head, body])
    found = instance.deployment.call_queue("GET", "00000000000000a1")[0]
    assert found == (200 if status == 200 else 410)
    instance.check()


# Guards against a shutdown that waits for clients which never send or read.
def test_open_connections_do_not_hold_up_the_shutdown(instance, watch):
    target = instance.get_target("Front")
    partial = target.build_head("Content-Length: 100") + b"\r\n{"
    with floods.open_idle_connections(target.address, CONNECTIONS) as connections:
        for number, connection in enumerate(connections):
            connection.sendall((b"", b"POST /", partial)[number % 3])
        instance.process.terminate()
        assert instance.process.wait(WAIT_S) == 0
