"""Fault tests with real processes, checked against the ledgers of the stand-ins."""

import signal
import socket
import threading
import time

import httpcore
import pytest

from standins.cell import request_json, wait_until
from tests.integration.callers import Callers, list_runs, send_request
from tests.integration.conftest import TICKET


def find_other_replica(cell, name):
    return next(x for x in cell.replicas if x != name)


def test_requests_and_jobs_survive_a_killed_leader(start_harness):
    harness = start_harness()
    with Callers(harness.cell) as callers:
        callers.wait_for_answers(50)
        harness.cell.kill(harness.cell.find_leader())
        harness.submit("after", tasks=3)
        callers.wait_for_answers(100)
    harness.cell.processes["u0"].poll()
    wait_until(harness.cell.find_leader, 20, "a leader")
    if "after" not in harness.jobs:
        assert harness.submit("after", tasks=3)[0] == 202
    harness.wait_for_job("after")
    harness.check(callers.records)


def test_partitioned_leader_refuses_requests_and_rejoins(start_harness):
    harness = start_harness(proxied=True)
    cell = harness.cell
    leader = cell.find_leader()
    address = f"127.0.0.1:{cell.http_ports[leader]}"
    with Callers(cell) as callers:
        callers.wait_for_answers(30)
        cell.proxy.partition(leader)
        wait_until(
            lambda: send_request(address, "/echo", caller="probe").code == "no-lease",
            10,
            "the partitioned instance to refuse",
        )
        refusal = send_request(address, "/echo", caller="probe2")
        assert refusal.status == 503
        assert refusal.outcome == "not-run"
        assert refusal.duration_s < 2.0
        wait_until(lambda: cell.find_leader() not in (None, leader), 20, "a new leader")
        cell.stop("u0")
        callers.wait_for_answers(50)
        cell.proxy.heal()
        cell.wait_ready(leader)
        callers.wait_for_answers(50)
    harness.check(callers.records)


def test_suspended_leader_resumes_without_duplicate_runs(start_harness):
    harness = start_harness(worker_lease_s=8.0)
    cell = harness.cell
    leader = cell.find_leader()
    harness.submit("long", tasks=4, run_s=4.0)
    with Callers(cell, count=3) as callers:
        callers.wait_for_answers(20)
        cell.signal(leader, signal.SIGSTOP)
        wait_until(lambda: cell.find_leader() not in (None, leader), 20, "a new leader")
        time.sleep(5.0)
        cell.signal(leader, signal.SIGCONT)
        cell.wait_ready(leader)
        callers.wait_for_answers(50)
    assert harness.wait_for_job("long")["state"] == "done"
    harness.check(callers.records)


def test_concurrent_and_resent_tickets(start_harness):
    harness = start_harness(upstreams=0, workers=0)
    answers = []

    def apply_concurrently(number, share, address):
        ticket = {"number": number, "workspaces": [{"name": "yard", "share": share}]}
        answers.append((number, share, *harness.apply_ticket(ticket, address)))

    for number in range(2, 22):
        threads = [
            threading.Thread(target=apply_concurrently, args=(number, share, address))
            for share, address in enumerate(harness.cell.addresses[:2], start=1)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    for number in range(2, 22):
        won = [item for item in answers if item[0] == number and item[2] == 200]
        lost = [item for item in answers if item[0] == number and item[2] == 409]
        assert len(won) == 1
        assert len(lost) == 1
        assert lost[0][3]["code"] in ("number-taken", "stale-number")
        assert int(lost[0][3]["next_number"]) > number
    first = next(item for item in answers if item[0] == 2 and item[2] == 200)
    ticket = {"number": 2, "workspaces": [{"name": "yard", "share": first[1]}]}
    status, again = harness.apply_ticket(ticket, harness.cell.addresses[4])
    assert status == 200
    assert again["version"] == first[3]["version"]
    status, faults = harness.apply_ticket({"number": 99, "workspaces": [{"nam": 1}]})
    assert status == 400
    assert len(faults["faults"]) == 2


def test_frozen_worker_keeps_its_tasks_until_its_lease_expires(start_harness):
    harness = start_harness(upstreams=0, workers=2)
    cell = harness.cell
    harness.submit("again", tasks=8, run_s=4.0, idempotent=True)
    harness.submit("once", tasks=4, run_s=4.0)
    wait_until(lambda: len(list_runs(cell)) == 12, 20, "all tasks to run")
    harness.freeze_worker("w0")
    assert harness.wait_for_job("again")["state"] == "done"
    harness.resume_worker("w0")
    once = harness.wait_for_job("once")
    assert once["state"] in ("unknown", "done")
    harness.wait_for_announcements(0, 2)
    harness.check()


def test_lost_replica_is_replaced_and_a_second_loss_is_survived(start_harness):
    harness = start_harness(
        upstreams=0, workers=1, spares=1, non_replicas=1, replace_after_s=3
    )
    cell = harness.cell
    harness.submit("kept", tasks=2)
    harness.wait_for_job("kept")
    leader = cell.find_leader()
    voters = request_json(f"127.0.0.1:{cell.http_ports[leader]}", "/v1/instance")[1][
        "replica"
    ]["voters"]
    lost = next(name for name in voters if name != leader)
    spare = next(name for name in cell.replicas if name not in voters)
    cell.kill(lost)

    def list_voters():
        name = cell.find_leader()
        if name is None:
            return []
        value = request_json(f"127.0.0.1:{cell.http_ports[name]}", "/v1/instance")[1]
        return value["replica"]["voters"]

    wait_until(
        lambda: spare in list_voters() and lost not in list_voters(),
        40,
        "the replacement of the voter",
    )
    second = next(name for name in list_voters() if name not in (spare, leader))
    cell.kill(second)
    wait_until(cell.find_leader, 20, "a leader")
    assert harness.get_job("kept")["state"] == "done"
    harness.submit("after", tasks=2)
    assert harness.wait_for_job("after")["state"] == "done"
    harness.check()


def test_restart_after_hundreds_of_tickets(start_harness):
    harness = start_harness(upstreams=0, workers=0)
    cell = harness.cell
    for number in range(2, 302):
        ticket = {"number": number, "workspaces": [{"name": "yard", "share": number}]}
        assert harness.apply_ticket(ticket)[0] == 200
    for name in cell.names:
        cell.kill(name)
    for name in cell.names:
        cell.start_instance(name)
    for name in cell.names:
        cell.wait_ready(name)
    status, value = request_json(cell.addresses[4], "/v1/tickets")
    assert status == 200
    assert value["last_number"] == 301
    shares = {item["name"]: item["share"] for item in value["workspaces"]}
    assert shares["yard"] == 301
    status, value = harness.apply_ticket(TICKET)
    assert status == 200
    assert value["code"] == "accepted"
    old = {"number": 200, "workspaces": [{"name": "yard", "share": 1}]}
    assert harness.apply_ticket(old)[0] == 409


def test_full_disk_stops_the_leader_without_losing_state(start_harness):
    harness = start_harness(upstreams=1, workers=0)
    cell = harness.cell
    leader = cell.find_leader()
    others = [cell.http_ports[name] for name in cell.names if name != leader]
    with Callers(cell, count=3) as callers:
        callers.wait_for_answers(10)
        cell.fill_disk(leader)
        process = cell.processes.pop(leader)
        for number in range(2, 40):
            ticket = {"number": number, "workspaces": [{"name": "yard"}]}
            address = f"127.0.0.1:{others[number % len(others)]}"

            def is_accepted(ticket=ticket, address=address):
                return harness.apply_ticket(ticket, address)[0] == 200

            wait_until(is_accepted, 20, f"ticket {number}")
        assert process.wait(30) == 2
        callers.wait_for_answers(10)
    cell.start_instance(leader)
    cell.wait_ready(leader)
    value = request_json(f"127.0.0.1:{cell.http_ports[leader]}", "/v1/tickets")[1]
    assert value["last_number"] == 39
    harness.check(callers.records)


def test_drained_instances_abort_no_request(start_harness):
    harness = start_harness(workers=0)
    cell = harness.cell
    with Callers(cell, count=6, path="/sleep/0.4") as callers:
        callers.wait_for_answers(20)
        for name in (cell.names[-1], cell.find_leader()):
            assert cell.stop(name) == 0
            callers.wait_for_answers(20)
    outcomes = {record.outcome for record in callers.records}
    assert outcomes <= {"done", "not-run", "refused-connection"}
    harness.check(callers.records)


def test_leaving_upstream_finishes_its_requests(start_harness):
    harness = start_harness(workers=0)
    with Callers(harness.cell, count=6, path="/sleep/0.3") as callers:
        callers.wait_for_answers(20)
        assert harness.cell.stop("u0") == 0
        callers.wait_for_answers(20)
    assert {record.outcome for record in callers.records} <= {"done", "not-run"}
    harness.check(callers.records)


def test_killed_upstream_causes_no_duplicate_runs(start_harness):
    harness = start_harness(workers=0, upstreams=3)
    with Callers(harness.cell, count=8, path="/sleep/0.3") as callers:
        callers.wait_for_answers(20)
        harness.cell.kill("u0")
        callers.wait_for_answers(20)
        harness.cell.kill("u1")
        callers.wait_for_answers(20)
    assert "unknown" in {record.outcome for record in callers.records}
    harness.check(callers.records)


@pytest.mark.parametrize("path", ["/cut", "/crossed", "/error"])
def test_broken_answers_are_never_reported_as_complete(start_harness, path):
    harness = start_harness(workers=0, upstreams=1)
    record = send_request(harness.cell.addresses[0], path, caller="a", key="k1")
    again = send_request(harness.cell.addresses[1], path, caller="a", key="k1")
    if path != "/error":
        assert (record.outcome, record.status) == ("unknown", 502)
        assert again.outcome == "unknown"
    else:
        assert (record.outcome, record.status) == ("done", 500)
        assert (again.outcome, again.status) == ("done", 500)
    harness.check()


@pytest.mark.parametrize("path", ["/trickle/3000000", "/chunked/3000000"])
def test_long_answer_is_complete_or_visibly_truncated(start_harness, path):
    harness = start_harness(workers=0, upstreams=1)
    address = harness.cell.addresses[0]
    body = fetch(address, path)
    assert body == b"x" * 3_000_000
    kill_timer = threading.Timer(0.5, harness.cell.kill, args=("u0",))
    kill_timer.start()
    with pytest.raises(httpcore.RemoteProtocolError):
        fetch(address, path)
    kill_timer.join()


def fetch(address, path):
    """Return the body of the answer to a GET request."""
    headers = {"bluebellyoke-workspace": "depot"}
    with httpcore.ConnectionPool() as pool:
        url = f"http://{address}/services/estimates{path}"
        return pool.request("GET", url, headers=headers).content


def test_slow_answer_is_unknown_at_the_deadline_and_not_run_again(start_harness):
    harness = start_harness(workers=0, upstreams=1)
    address, other = harness.cell.addresses[0], harness.cell.addresses[1]
    record = send_request(address, "/sleep/3", caller="a", key="k", deadline_ms=500)
    assert (record.outcome, record.status) == ("unknown", 504)
    again = send_request(other, "/sleep/3", caller="a", key="k", deadline_ms=500)
    assert again.outcome == "unknown"
    harness.check([record, again])


def test_mass_cancellation_keeps_resources_of_running_tasks(start_harness):
    harness = start_harness(upstreams=0, workers=2)
    cell = harness.cell
    for number in range(10):
        harness.submit(f"job{number}", tasks=5, run_s=20.0)
    wait_until(lambda: len(list_runs(cell)) >= 30, 20, "the tasks to run")
    for number in range(10):
        assert (
            request_json(cell.addresses[0], f"/v1/jobs/job{number}", "DELETE")[0] == 200
        )
    for number in range(10):
        assert harness.wait_for_job(f"job{number}")["state"] == "cancelled"
    harness.submit("next", tasks=4)
    assert harness.wait_for_job("next")["state"] == "done"
    harness.check()


def test_retry_that_finds_no_slot_leaves_the_outcome_unknown(start_harness):
    """The first attempt may have run, so a refused retry must not report `not-run`."""
    harness = start_harness(workers=0, upstreams=1)
    address = harness.cell.addresses[0]
    record = send_request(address, "/cut", method="GET", caller="a", deadline_ms=1_000)
    assert record.outcome == "unknown"


def test_disconnected_caller_is_removed_from_the_queue(start_harness):
    harness = start_harness(
        workers=0, upstreams=1, replicas=1, voters=1, non_replicas=0
    )
    port = harness.cell.http_ports["i1"]
    open_connections = [open_request(port, "/sleep/2.0") for _ in range(8)]

    def count_in_flight():
        return request_json(f"127.0.0.1:{port}", "/v1/instance")[1]["in_hand"]

    wait_until(lambda: count_in_flight() == 8, 10, "8 requests in flight")
    waiting = [open_request(port, "/echo") for _ in range(5)]
    wait_until(lambda: count_in_flight() == 13, 10, "5 requests in the queue")
    for connection in waiting:
        connection.close()
    wait_until(lambda: count_in_flight() <= 8, 1.5, "the queue to empty")
    for connection in open_connections:
        assert b" 200 " in connection.recv(4096)
        connection.close()
    harness.check()


def open_request(port, path):
    """Send a request on a plain connection and leave the answer unread."""
    connection = socket.create_connection(("127.0.0.1", port))
    connection.sendall(
        f"GET /services/estimates{path} HTTP/1.1\r\nhost: x\r\n"
        "bluebellyoke-workspace: depot\r\n\r\n".encode()
    )
    return connection
