"""A configuration replaces a route by one of another name at the same host and prefix.

A job is accepted; then a version removes its route and adds one that has another name
and else the same fields. Without the disruption, the version changes a time-out. The
check is that no GET of the job, from 3 s after its acknowledgement on, is answered 410.
"""

import time
from pathlib import Path

from review.small.configuration import (
    HOST,
    PREFIX,
    create_configuration,
    create_route,
)
from review.small.deployment import run_case

VISIBLE_S = 3.0
CONFIG_APPLY_S = 2.0


def play(deployment, trouble):
    """Submit jobs, change the configuration and ask for the jobs."""
    deployment.start_all()
    deployment.put_configuration(create_configuration(3, [create_route("r-3hwrr6x")]))
    for name in ("i-a", "i-b"):
        deployment.start_runner(name, nodes=(4, 5, 1))
    time.sleep(3)
    waiting = {"TaskSpec": "25000 ms", "Steps": [{"Count": 2, "Cpu": 1000}]}
    short = {"TaskSpec": "300 ms", "Steps": [{"Count": 2, "Cpu": 1000}]}
    jobs = {"00000000000000a1": waiting, "00000000000000a2": short}
    for job, body in jobs.items():
        status, _ = deployment.ask("POST", PREFIX + job, body, host=HOST, number=4)
        if status != 200:
            return ""
    time.sleep(2)
    if trouble:
        deployment.put_configuration(
            create_configuration(7, [create_route("r-73d3zji")])
        )
    else:
        deployment.put_configuration(
            create_configuration(7, [create_route("r-3hwrr6x", timeout_ms=2500)])
        )
    time.sleep(VISIBLE_S + CONFIG_APPLY_S)
    for number in (1, 2, 3, 4, 5):
        for job in jobs:
            status, _ = deployment.ask("GET", PREFIX + job, host=HOST, number=number)
            if status == 410:
                return f"LOST: GET of the accepted job {job} is answered 410"
    return ""


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
