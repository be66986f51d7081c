"""What callers were told about a job holds through changes, restarts and late calls.

Instances are real processes; the called workers are stand-ins.
"""

import json
import signal
import socket
import time

from standins.cell import wait_until
from tests.integration.deployment import (
    CONFIG,
    PREFIX,
    QUEUE_HOST,
    STEPS,
    WAIT_S,
    create_job,
)

#: Instance without a disk, which callers can reach while it stands still.
FROZEN = 4

#: Time in which tasks of a job that was accepted have begun, in seconds.
BEGUN_S = 3.0


def hand_in_and_leave(deployment, job_id):
    """Send a submission to the frozen instance, and leave without an answer."""
    body = json.dumps(create_job(STEPS)).encode()
    head = (
        f"POST {PREFIX}{job_id} HTTP/1.1\r\nHost: {QUEUE_HOST}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    address = (deployment.get_ip(FROZEN), deployment.front_port)
    with socket.create_connection(address, 1.0) as connection:
        connection.sendall(head.encode() + body)
        time.sleep(0.1)


def cancel(deployment, job_id, number=1):
    """Cancel a job at an instance until it answers; return the status."""
    answers = []

    def is_answered():
        answers.append(deployment.call_queue("DELETE", job_id, number=number)[0])
        return answers[-1] in (200, 410)

    wait_until(is_answered, WAIT_S, "the cancel")
    return answers[-1]


def configure(deployment, version, **fields):
    """Put a configuration in force, in which fields of the route are changed."""
    route = {**CONFIG["Routes"][0], **fields}
    config = {**CONFIG, "Version": version, "Routes": [route]}
    wait_until(
        lambda: deployment.put_configuration(config) == 200, WAIT_S, "configuration"
    )


def restart(deployment, numbers):
    """Kill instances, and start them again once all are down."""
    for number in numbers:
        deployment.kill(number)
    for number in numbers:
        deployment.start(number, has_disk=True)
    wait_until(lambda: all(map(deployment.is_ready, numbers)), WAIT_S, "the instances")


def wake_and_check(deployment, job_ids):
    """Wake the frozen instance, and check that none of the jobs begins."""
    deployment.processes[FROZEN].send_signal(signal.SIGCONT)
    wait_until(lambda: deployment.is_ready(FROZEN), WAIT_S, "the frozen instance")
    log = deployment.folder / f"log-{FROZEN}"
    for job_id in job_ids:
        wait_until(lambda x=job_id: is_answered(log, x), WAIT_S, "the submission")
    time.sleep(BEGUN_S)
    assert not any(list_starts(deployment, job_id) for job_id in job_ids)


def list_starts(deployment, job_id):
    """Return the tasks of a job once for each of their starts."""
    return [
        task
        for worker in deployment.workers
        for _, kind, task, _ in list(worker.ledger)
        if kind == "start" and task.startswith(f"{job_id}.")
    ]


def is_answered(log, job_id):
    """Return whether an instance has answered the submission of a job."""
    return any(
        '"queues: answers a request"' in line and f'{PREFIX}{job_id}"' in line
        for line in log.read_text().splitlines()
    )


# Guards against a job that runs after its cancel was answered: its submission was held
# up by a frozen instance, and meanwhile the route got another name, all replicas were
# restarted, and the leader was killed: review/8.
def test_cancel_outlives_replicas_names_and_the_leader(deployment):
    jobs = [f"{number:016x}" for number in range(1, 4)]
    deployment.processes[FROZEN].send_signal(signal.SIGSTOP)
    for job_id in jobs:
        hand_in_and_leave(deployment, job_id)
    assert cancel(deployment, jobs[0]) == 410
    configure(deployment, 5, Name="r-2")
    assert cancel(deployment, jobs[1]) == 410
    restart(deployment, (1, 2, 3))
    assert cancel(deployment, jobs[2]) == 410
    wait_until(lambda: deployment.find_leader() is not None, WAIT_S, "a leader")
    restart(deployment, (deployment.find_leader(),))
    wake_and_check(deployment, jobs)


# Guards against accepted jobs that are unknown, refused, or cannot be cancelled after
# their route got another name, before and after another leader: review/10.
def test_jobs_of_a_renamed_route_are_known_to_the_next_leader(deployment):
    lasting, done = "00000000000000a1", "00000000000000a2"
    lasting_job = create_job([{"Count": 2, "Cpu": 500, "LongRunning": True}])
    assert deployment.call_queue("POST", lasting, lasting_job)[0] == 200
    assert deployment.call_queue("POST", done, create_job(STEPS))[0] == 200
    deployment.wait_for_state(done, "completed")
    deployment.wait_for_state(lasting, "running")
    for version, name in ((5, "r-2"), (7, "r-1"), (9, "r-3")):
        configure(deployment, version, Name=name)
        if version == 7:
            restart(deployment, (deployment.find_leader(),))
        wait_until(
            lambda: deployment.call_queue("POST", done, create_job(STEPS))[0] == 200,
            WAIT_S,
            "a repeated submission",
        )
        for number in (1, 2, 3, 4):
            states = [
                deployment.call_queue("GET", job, number=number)
                for job in (lasting, done)
            ]
            assert states == [
                (200, {"State": "running"}),
                (200, {"State": "completed"}),
            ]
    assert cancel(deployment, lasting) == 200
    deployment.wait_for_state(lasting, "cancelled")
    assert deployment.find_state(done) == "completed"
    starts = list_starts(deployment, done)
    assert len(starts) == len(set(starts)) == 5


# Guards against a refusal of a job that runs, and a job that nobody can end, after its
# route has moved to another host and another leader has taken over: review/7.
def test_job_of_a_moved_route_is_neither_refused_nor_out_of_reach(deployment):
    lasting = "00000000000000a1"
    job = create_job([{"Count": 2, "Cpu": 500, "LongRunning": True}])
    assert deployment.call_queue("POST", lasting, job)[0] == 200
    deployment.wait_for_state(lasting, "running")
    configure(deployment, 5, Host="other.example")
    for _ in range(2):
        for number in (1, 2, 3, 4):
            status, _ = deployment.call_queue("POST", lasting, job, number=number)
            assert status == 504
            assert deployment.call_queue("GET", lasting, number=number)[0] == 404
        restart(deployment, (deployment.find_leader(),))
        wait_until(
            lambda: deployment.call_queue("GET", lasting)[0] == 404, WAIT_S, "a leader"
        )
    assert cancel(deployment, lasting) == 410
    count = len(list_starts(deployment, lasting))
    time.sleep(BEGUN_S)
    assert len(list_starts(deployment, lasting)) == count
    configure(deployment, 7)
    assert deployment.find_state(lasting) == "cancelled"
