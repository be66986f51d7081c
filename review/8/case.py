"""A client gives up a submission and cancels it while its entry instance is frozen.

Each round, a client hands in a job at an instance, leaves after a moment without an
answer, and cancels the job at another instance. Then the frozen instance wakes. The
check is that no task of the job starts later than `cancel_ms` after the cancel was
answered with 2xx or 410. Without the disruption, no instance is frozen.
"""

import json
import signal
import socket
import time
from pathlib import Path

from review.small.configuration import (
    HOST,
    PREFIX,
    create_configuration,
    create_route,
)
from review.small.deployment import Blocked, run_case

ROUNDS = 5
FROZEN = 9
FREEZE_S = 3.5
GIVE_UP_S = 0.15
CANCEL_S = 3.0
ROUND_S = 9.0


def hand_in_and_leave(deployment, job):
    """Send a whole submission, and close the connection after a moment."""
    body = {"TaskSpec": "500 ms", "Steps": [{"Count": 2, "Cpu": 1000}]}
    data = json.dumps(body).encode()
    head = (
        f"POST {PREFIX}{job} HTTP/1.1\r\nHost: {HOST}\r\n"
        "Content-Type: application/json\r\nDeadline-Ms: 3000\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    )
    with socket.create_connection((deployment.ip(FROZEN), deployment.front), 1) as call:
        call.sendall(head.encode() + data)
        call.settimeout(GIVE_UP_S)
        try:
            answer = call.recv(4096).split(b"\r\n")[0].decode()
        except TimeoutError:
            answer = "no answer, the client leaves"
    deployment.note(f"client POST {PREFIX}{job} at {FROZEN}: {answer}")


def find_late_start(deployment, cancelled):
    """Return a start later than `cancel_ms` after the cancel of its job, or ''."""
    for at, runner, _, what, task, run in deployment.read_events():
        cancelled_at = cancelled.get(task.split(".")[0])
        if what == "start" and cancelled_at and at - cancelled_at > CANCEL_S:
            return (
                f"UNASKED: task {task} starts as run {run} on {runner} "
                f"{at - cancelled_at:.2f} s after the cancel of its job was answered"
            )
    return ""


def play(deployment, trouble):
    """Play the rounds; return what was broken."""
    deployment.start_all()
    deployment.put_configuration(create_configuration(3, [create_route("r-1")]))
    for name in ("i-a", "i-b"):
        deployment.start_runner(name, nodes=(4, 5, 1))
    time.sleep(3)
    cancelled = {}
    for number in range(ROUNDS):
        began = time.monotonic()
        job = f"{number:016x}"
        if trouble:
            deployment.signal(FROZEN, signal.SIGSTOP)
        hand_in_and_leave(deployment, job)
        status, _ = deployment.ask("DELETE", PREFIX + job, host=HOST, number=4)
        if status not in (200, 410):
            raise Blocked("a cancel gets no answer")
        cancelled[job] = time.time()
        time.sleep(max(FREEZE_S - (time.monotonic() - began), 0))
        if trouble:
            deployment.signal(FROZEN, signal.SIGCONT)
        time.sleep(max(ROUND_S - (time.monotonic() - began), 0))
        deployment.ask("GET", PREFIX + job, host=HOST, number=4)
        broken = find_late_start(deployment, cancelled)
        if broken:
            return broken
    return ""


if __name__ == "__main__":
    run_case(Path(__file__).parent, play, others=6)
