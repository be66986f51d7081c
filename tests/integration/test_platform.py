"""End-to-end tests with the platform's settings.

Instances are real processes; the called workers and the advisor are stand-ins.
"""

import hashlib
import json
import signal
import threading
import time

import httpcore
import pytest

from bluebellyoke.sources import compute_digest
from standins.cell import wait_until
from tests.integration.deployment import (
    CONFIG,
    PREFIX,
    QUEUE_HOST,
    STEPS,
    WAIT_S,
    create_job,
    request_json,
)

#: Pause between two submissions of a caller, in seconds.
SUBMIT_INTERVAL_S = 0.01

#: Jobs that each caller submits before a fault, and at least as many after it.
JOBS_PER_PHASE = 8

#: Time for which the balancer still connects to an instance that is not ready, in
#: seconds.
BALANCER_DELAY_S = 1.0


def test_job_is_served_through_an_instance_without_a_disk(deployment):
    job_id = "00000000000000a1"
    assert deployment.call_queue("POST", job_id, create_job(STEPS), number=4)[0] == 200
    assert deployment.call_queue("POST", job_id, create_job(STEPS), number=2)[0] == 200
    wait_until(lambda: deployment.find_state(job_id) == "completed", WAIT_S, "the job")
    done = deployment.check_ledgers()
    assert done == {f"{job_id}.0.{x}" for x in ("0.0", "0.1", "0.2", "1.0", "1.1")}


# Guards against an operator who cannot tell which release a process runs.
def test_start_log_names_the_sources(deployment):
    lines = (deployment.folder / "log-1").read_text().splitlines()
    started = [json.loads(x) for x in lines if '"instance: started"' in x]
    assert [x["sources"] for x in started] == [compute_digest()]


def test_invalid_calls_are_refused_and_change_nothing(deployment):
    invalid_config = {**CONFIG, "Version": 9, "Services": []}
    assert deployment.put_configuration(invalid_config) == 400
    assert deployment.put_configuration({**CONFIG, "Version": 2}) == 200
    url = f"http://{deployment.get_ip(4)}:{deployment.control_port}/-/config"
    assert request_json("GET", url) == (200, CONFIG)
    self_dependent = create_job([{"Count": 1, "DependsOn": [0]}])
    assert deployment.call_queue("POST", "00000000000000b1", self_dependent)[0] == 400
    too_long = {"TaskSpec": "x" * 4001, "Steps": [{"Count": 1}]}
    assert deployment.call_queue("POST", "00000000000000b2", too_long)[0] == 400
    assert deployment.call_queue("GET", "00000000000000b1")[0] == 410
    unknown_path_url = f"http://{deployment.get_ip(1)}:{deployment.front_port}/other/1"
    assert request_json("GET", unknown_path_url)[0] == 404


def test_callers_are_admitted_by_the_newest_configuration(deployment):
    """Guards against a request that runs without a credential, or with a removed one.

    All instances must decide alike as soon as the configuration is acknowledged.
    """
    job_id = "00000000000000c1"
    tenants = [{"Name": "w-1", "ApiKeys": ["key-1"]}, {"Name": "w-2", "ApiKeys": ["k"]}]

    def apply(version, **fields):
        config = {**CONFIG, "Version": version, "Tenants": tenants, **fields}
        assert deployment.put_configuration(config, number=2) == 200
        return config

    def call(method, key=None, number=4, value=None):
        url = f"http://{deployment.get_ip(number)}:{deployment.front_port}"
        headers = {"Api-Key": key} if key else {}
        return request_json(method, f"{url}{PREFIX}{job_id}", value, headers)[0]

    config = apply(4)
    job = create_job(STEPS)
    assert [call("POST", key, value=job) for key in (None, "x")] == [401, 401]
    assert call("GET", "key-1") == 410
    assert [call("POST", "key-1", value=job) for _ in range(2)] == [200, 200]
    for method in ("GET", "DELETE"):
        assert [call(method, key) for key in (None, "x", "k")] == [401, 401, 403]
    url = f"http://{deployment.get_ip(4)}:{deployment.control_port}/-/config"
    assert request_json("GET", url) == (200, config)
    for version, keys in enumerate((["key-2"], [], ["key-1"]), start=5):
        tenants[0]["ApiKeys"] = keys
        apply(version)
        for number in deployment.processes:
            expected = 200 if "key-1" in keys else 401
            assert call("GET", "key-1", number) == expected
    shared = [*tenants, {"Name": "w-3", "ApiKeys": ["k"]}]
    invalid = {**CONFIG, "Version": 9, "Tenants": shared}
    assert deployment.put_configuration(invalid) == 400
    apply(10, Routes=[{**CONFIG["Routes"][0], "Public": True}])
    assert call("GET", "k") == 403
    job_id = "00000000000000c2"
    assert call("POST", value=job) == 200
    digest = hashlib.sha256(b"key-1").hexdigest()
    for number in deployment.processes:
        text = (deployment.folder / f"log-{number}").read_text()
        assert "key-1" not in text
        assert digest[:9] not in text


# Guards against CONFIG and LOST on the grown sites: a large configuration held up the
# stream to the leader, and with it all requests of the instance that relayed it.
def test_large_configuration_goes_to_the_leader_directly(deployment):
    routes = [
        {**CONFIG["Routes"][0], "Name": f"more-{number}", "PathPrefix": f"/p{number}/"}
        for number in range(600)
    ]
    config = {**CONFIG, "Version": 12, "Routes": CONFIG["Routes"] + routes}
    wait_until(deployment.find_leader, WAIT_S, "a leader")
    leader = deployment.find_leader()
    for number in deployment.processes:
        is_leader = number == leader
        assert deployment.put_configuration(config, number) == (
            200 if is_leader else 307
        )
    leader_url = f"http://{deployment.get_ip(leader)}:{deployment.control_port}"
    for number in deployment.processes:
        url = f"http://{deployment.get_ip(number)}:{deployment.control_port}/-/config"
        response = httpcore.request("GET", url, headers={"Connection": "close"})
        if number == leader:
            assert json.loads(response.content) == config
        else:
            location = (b"location", f"{leader_url}/-/config".encode())
            assert response.status == 307
            assert location in response.headers


# Guards against a job that crashes worker after worker, and against the loss of those
# that ran beside it: the same, as the workers and the callers see it.
def test_job_that_crashes_its_workers_is_given_up(deployment):
    """Crashed workers come back under other names; the leader is lost meanwhile."""
    deadly_id, innocent_ids = "00000000000000e0", [f"{x:016x}" for x in range(1, 5)]
    for worker in deployment.workers:
        worker.run_s = 1.0
    for job_id in innocent_ids:
        assert deployment.call_queue("POST", job_id, create_job(STEPS))[0] == 200
    deadly = {"TaskSpec": "(deadly)", "Steps": [{"Count": 1, "Cpu": 500}]}
    assert deployment.call_queue("POST", deadly_id, deadly)[0] == 200
    deployment.wait_for_state(deadly_id, "failed")
    crashes = [worker for worker in deployment.workers if worker.has_crashed]
    assert len(crashes) == 2
    for job_id in innocent_ids:
        deployment.wait_for_state(job_id, "completed")
    deployment.check_ledgers()


def test_crashes_are_remembered_by_the_next_leader(deployment):
    """The leader is killed as soon as the first crash is known."""
    job_id = "00000000000000e1"
    deadly = {"TaskSpec": "(deadly)", "Steps": [{"Count": 1, "Cpu": 500}]}
    assert deployment.call_queue("POST", job_id, deadly, number=4)[0] == 200
    wait_until(
        lambda: any(worker.has_crashed for worker in deployment.workers),
        WAIT_S,
        "a crash",
    )
    deployment.kill(deployment.find_leader())
    deployment.wait_for_state(job_id, "failed")
    crashes = [worker for worker in deployment.workers if worker.has_crashed]
    # Three crashes, and fewer than three starts after them.
    assert 2 <= len(crashes) < 6


# Guards against a start over a worker's capacity, which changes while it runs.
def test_worker_that_has_shrunk_gets_no_start_over_its_capacity(deployment):
    job_ids = [f"{x:016x}" for x in range(0xF0, 0xF4)]
    for worker in deployment.workers:
        worker.cpu_millis = 1000
    wait_until(
        lambda: all(x.acknowledged_cpu_millis == 1000 for x in deployment.workers),
        WAIT_S,
        "a heartbeat with the smaller capacity",
    )
    for job_id in job_ids:
        assert deployment.call_queue("POST", job_id, create_job(STEPS))[0] == 200
    for job_id in job_ids:
        deployment.wait_for_state(job_id, "completed")
    assert [worker.most_running for worker in deployment.workers] == [2, 2]
    for worker in deployment.workers:
        worker.cpu_millis = 4000
    large = create_job([{"Count": 2, "Cpu": 3000}])
    assert deployment.call_queue("POST", "00000000000000f9", large)[0] == 200
    deployment.wait_for_state("00000000000000f9", "completed")
    deployment.check_ledgers()


def test_jobs_survive_the_leader_and_run_once(deployment):
    job_ids = [f"{number:016x}" for number in range(1, 9)]
    for worker in deployment.workers:
        worker.run_s = 0.6
    for job_id in job_ids:
        assert (
            deployment.call_queue("POST", job_id, create_job(STEPS), number=4)[0] == 200
        )
    leader = deployment.find_leader()
    deployment.kill(leader)
    wait_until(
        lambda: all(deployment.find_state(x) == "completed" for x in job_ids),
        WAIT_S,
        "the jobs",
    )
    assert len(deployment.check_ledgers()) == 5 * len(job_ids)


def test_accepted_state_survives_the_loss_of_all_processes(deployment):
    """The replicas find each other again although no seed has a replica."""
    job_id = "00000000000000c1"
    assert deployment.call_queue("POST", job_id, create_job(STEPS))[0] == 200
    for number in (1, 2, 3, 4):
        deployment.kill(number)
    for number in (1, 2, 3):
        deployment.start(number, has_disk=True, bootstrap=False, seeds=(4,))
    deployment.start(4, has_disk=False, bootstrap=False, seeds=(4,))
    wait_until(lambda: deployment.find_state(job_id) == "completed", WAIT_S, "the job")
    url = f"http://{deployment.get_ip(4)}:{deployment.control_port}/-/config"
    assert request_json("GET", url) == (200, CONFIG)
    deployment.check_ledgers()


def test_cell_survives_the_replacement_of_all_founders(deployment):
    """Three machines are lost for good, one after the other; empty ones replace them.

    At the end, no founder is left and the seeds of the first start are gone.
    """
    job_id = "00000000000000d1"
    assert deployment.call_queue("POST", job_id, create_job(STEPS))[0] == 200
    members = [1, 2, 3]
    for newcomer in (5, 6, 7):
        deployment.kill(members.pop(0))
        members.append(newcomer)
        deployment.start(newcomer, has_disk=True, bootstrap=False, seeds=members)
        wait_until(
            lambda name=f"i{newcomer}": (
                name in deployment.list_voters() and len(deployment.list_voters()) == 3
            ),
            WAIT_S,
            "the newcomer to vote",
        )
    late_job_id = "00000000000000d2"
    wait_until(
        lambda: (
            deployment.call_queue("POST", late_job_id, create_job(STEPS), number=4)[0]
            == 200
        ),
        WAIT_S,
        "the second job to be accepted",
    )
    for item in (job_id, late_job_id):
        wait_until(
            lambda item=item: deployment.find_state(item) == "completed",
            WAIT_S,
            "the job",
        )
    url = f"http://{deployment.get_ip(5)}:{deployment.control_port}/-/config"
    assert request_json("GET", url) == (200, CONFIG)
    deployment.check_ledgers()


def test_planned_stop_exits_with_status_0(deployment):
    process = deployment.processes[4]
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: not deployment.is_ready(4), WAIT_S, "the check to fail")
    assert process.wait(WAIT_S) == 0


class Caller(threading.Thread):
    """Submits jobs one after another, each once and on its own connection.

    Like the platform's balancer, it stops connecting some time after the instance is
    no longer ready. The instance accepts connections for longer than that.
    """

    def __init__(self, deployment, number):
        super().__init__()
        self.deployment = deployment
        self.number = number
        self.stopped = threading.Event()
        self.outcomes = {}

    def run(self):
        count = 0
        not_ready_since = None
        while not self.stopped.wait(SUBMIT_INTERVAL_S):
            if self.deployment.is_ready(self.number):
                not_ready_since = None
            elif not_ready_since is None:
                not_ready_since = time.monotonic()
            if (
                not_ready_since is not None
                and time.monotonic() - not_ready_since > BALANCER_DELAY_S
            ):
                return
            count += 1
            job_id = f"{self.number:08x}{count:08x}"
            self.outcomes[job_id] = self.submit(job_id)

    def submit(self, job_id):
        """Return the status, or "refused" or "aborted" if the connection failed."""
        host = self.deployment.get_ip(self.number)
        try:
            response = httpcore.request(
                "POST",
                f"http://{host}:{self.deployment.front_port}{PREFIX}{job_id}",
                headers={"Host": QUEUE_HOST, "Connection": "close"},
                content=json.dumps(create_job([{"Count": 1, "Cpu": 100}])).encode(),
                extensions={"timeout": {"connect": 5.0, "read": WAIT_S}},
            )
        except httpcore.ConnectError:
            return "refused"
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return "aborted"
        return response.status

    def list_by_outcome(self, *outcomes):
        return {key for key, value in self.outcomes.items() if value in outcomes}


@pytest.fixture
def callers(deployment):
    """Callers of every instance, after each has submitted its first jobs."""
    for worker in deployment.workers:
        worker.run_s = 0.01
    callers = [Caller(deployment, number) for number in deployment.processes]
    for caller in callers:
        caller.start()
    wait_until(
        lambda: all(len(x.list_by_outcome(200)) >= JOBS_PER_PHASE for x in callers),
        WAIT_S,
        "the first jobs",
    )
    yield callers
    for caller in callers:
        caller.stopped.set()
        caller.join()


def wait_for_accepted_jobs(deployment, callers):
    """Stop the callers and wait until all accepted jobs have done tasks."""
    for caller in callers:
        caller.stopped.set()
        caller.join()
    accepted = set().union(*(caller.list_by_outcome(200) for caller in callers))
    wait_until(
        lambda: (
            accepted <= {task.partition(".")[0] for task in deployment.check_ledgers()}
        ),
        WAIT_S,
        "the accepted jobs",
    )


def list_started(deployment):
    return {
        task.partition(".")[0]
        for worker in deployment.workers
        for _, kind, task, _ in worker.ledger
        if kind == "start"
    }


def test_planned_stop_under_load_aborts_no_request(deployment, callers):
    leader = deployment.find_leader()
    process = deployment.processes.pop(leader)
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_S) == 0
    wait_for_accepted_jobs(deployment, callers)
    assert [caller.list_by_outcome("aborted") for caller in callers] == [set()] * len(
        callers
    )


def test_job_refused_during_a_leader_change_never_runs(deployment, callers):
    leader = deployment.find_leader()
    deployment.kill(leader)
    survivors = [caller for caller in callers if caller.number != leader]
    before = {caller.number: len(caller.list_by_outcome(200)) for caller in survivors}
    wait_until(
        lambda: all(
            len(x.list_by_outcome(200)) >= before[x.number] + JOBS_PER_PHASE
            for x in survivors
        ),
        WAIT_S,
        "jobs under the next leader",
    )
    wait_for_accepted_jobs(deployment, callers)
    refused = set().union(
        *(caller.list_by_outcome(429, 503, "refused") for caller in callers)
    )
    assert refused & list_started(deployment) == set()
