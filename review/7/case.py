"""A configuration replaces a route by one of another name at the same host and prefix.

A job is accepted; then a version removes its route and adds one that has another name
and else the same fields. Without the disruption, the version changes a time-out. The
check is that no GET of the job, from 3 s after its acknowledgement on, is answered 410.
"""

import time
from pathlib import Path

from review.small.deployment import run_case

HOST, PREFIX = "nony24.example", "/lohu930/"
VISIBLE_S = 3.0
CONFIG_APPLY_S = 2.0


def create_configuration(version, name, timeout_ms):
    """Return a configuration with one route."""
    route = {
        "Name": name,
        "Host": HOST,
        "PathPrefix": PREFIX,
        "RouteType": "non_idempotent",
        "TimeoutMs": timeout_ms,
        "TargetDurationMs": 1000,
        "Priority": 1,
        "Service": "huvo11a",
        "Attempts": 3,
        "SlackFactor": 2.2,
    }
    service = {
        "Name": "huvo11a",
        "HealthPath": "/health",
        "MaxConns": 64,
        "Protocol": "h1",
        "TlsEnabled": False,
        "EnforceCapacity": False,
        "Standby": False,
    }
    limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144}
    return {
        "Version": version,
        "Routes": [route],
        "Services": [service],
        "Limits": limits,
    }


def play(deployment, trouble):
    """Submit jobs, change the configuration and ask for the jobs."""
    deployment.start_all()
    deployment.put_configuration(create_configuration(3, "r-3hwrr6x", 3000))
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
        deployment.put_configuration(create_configuration(7, "r-73d3zji", 3000))
    else:
        deployment.put_configuration(create_configuration(7, "r-3hwrr6x", 2500))
    time.sleep(VISIBLE_S + CONFIG_APPLY_S)
    for number in (1, 2, 3, 4, 5):
        for job in jobs:
            status, _ = deployment.ask("GET", PREFIX + job, host=HOST, number=number)
            if status == 410:
                return f"LOST: GET of the accepted job {job} is answered 410"
    return ""


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
