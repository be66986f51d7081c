"""The leader is killed while clients hand in jobs, and their route is removed.

Each round has a route of its own. Clients hand in jobs at one instance, each once. Then
the operator sends a version without the route, and the leading process is killed. The
next round comes 4 s and more after that process is back. The check is that no job runs
whose only attempt was rejected.
"""

import itertools
import signal
import threading
import time
from pathlib import Path

from review.small.configuration import (
    HOST,
    create_configuration,
    create_route,
)
from review.small.deployment import Blocked, run_case

ENTRY, OPERATED = 4, 5
ROUNDS = 18
CLIENTS = 40
LOAD_S = 0.6
SETTLE_S = 4.5
REJECTED = {400, 401, 403, 404, 429, 503}


def create_routes(prefixes):
    """Return a route that stays, and one for each prefix."""
    return [create_route(f"r-{x}", prefix=f"/{x}/") for x in ("keep", *prefixes)]


class Clients:
    """Clients that hand in jobs, each job once.

    Attributes:
        answers: Status of the only attempt by job; 0 without a response.
    """

    def __init__(self, deployment, prefix, first):
        self.deployment = deployment
        self.prefix = prefix
        self.numbers = itertools.count(first)
        self.answers = {}
        self.is_over = threading.Event()
        self.threads = [threading.Thread(target=self.send) for _ in range(CLIENTS)]

    def send(self):
        """Hand in jobs until the load is over."""
        body = {"TaskSpec": "200 ms", "Steps": [{"Count": 1, "Cpu": 10}]}
        while not self.is_over.is_set():
            job = f"{next(self.numbers):016x}"
            path = f"/{self.prefix}/{job}"
            status, _ = self.deployment.ask("POST", path, body, host=HOST, number=ENTRY)
            self.answers[job] = status


def find_refused(deployment, answers):
    """Return a job that runs though its only attempt was rejected, or ''."""
    begun = {x[4].split(".")[0] for x in deployment.read_events() if x[3] == "start"}
    refused = [x for x, status in answers.items() if status in REJECTED and x in begun]
    if not refused:
        return ""
    return (
        f"REFUSED: {len(refused)} jobs run whose only attempt was rejected, such as "
        f"{refused[0]}, answered {answers[refused[0]]}"
    )


def play(deployment, trouble):
    """Play the rounds; return what was broken."""
    deployment.start_all()
    prefixes = [f"x{number}" for number in range(ROUNDS)]
    version = 3
    deployment.put_configuration(create_configuration(version, create_routes(prefixes)))
    for name in ("i-a", "i-b"):
        deployment.start_runner(name, nodes=(5, 1, 2, 3), cpu=64000)
    time.sleep(3)
    answers = {}
    for number, prefix in enumerate(prefixes):
        leader = deployment.find_leader()
        if leader is None:
            raise Blocked("no instance leads")
        clients = Clients(deployment, prefix, number << 32)
        for thread in clients.threads:
            thread.start()
        time.sleep(LOAD_S)
        clients.is_over.set()
        if not trouble:
            for thread in clients.threads:
                thread.join()
        version += 2
        routes = create_routes(prefixes[number + 1 :])
        operator = threading.Thread(
            target=deployment.put_configuration,
            args=(create_configuration(version, routes), OPERATED),
        )
        operator.start()
        if trouble:
            deployment.signal(leader, signal.SIGKILL)
            deployment.processes[leader].wait()
        for thread in (*clients.threads, operator):
            thread.join()
        answers |= clients.answers
        if trouble:
            deployment.start(leader)
        time.sleep(SETTLE_S)
        broken = find_refused(deployment, answers)
        if broken:
            return broken
    return ""


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
