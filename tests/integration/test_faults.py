"""Real processes under faults; the stand-ins' ledgers are the judges."""

import signal
import socket
import threading
import time

import httpcore
import pytest

from standins.cell import request_json, wait_until
from tests.integration.callers import Callers, call, list_runs
from tests.integration.conftest import TICKET


def other_than(cell, name):
    return next(x for x in cell.replicas if x != name)


def test_killed_leader_cuts_no_truth(start_bench):
    bench = start_bench()
    with Callers(bench.cell) as running:
        running.wait_for_answers(50)
        bench.cell.kill(bench.cell.find_leader())
        bench.submit("after", tasks=3)
        running.wait_for_answers(100)
    bench.cell.processes["u0"].poll()
    wait_until(bench.cell.find_leader, 20, "a leader")
    if "after" not in bench.jobs:
        assert bench.submit("after", tasks=3)[0] == 202
    bench.wait_finished("after")
    bench.check(running.records)


def test_cut_leader_refuses_at_once_and_comes_back(start_bench):
    bench = start_bench(proxied=True)
    cell = bench.cell
    leader = cell.find_leader()
    address = f"127.0.0.1:{cell.http_ports[leader]}"
    with Callers(cell) as running:
        running.wait_for_answers(30)
        cell.proxy.cut(leader)
        wait_until(
            lambda: call(address, "/echo", caller="probe").code == "no-lease",
            10,
            "the cut instance to refuse",
        )
        refusal = call(address, "/echo", caller="probe2")
        assert refusal.status == 503
        assert refusal.outcome == "not-run"
        assert refusal.took_s < 2.0
        wait_until(lambda: cell.find_leader() not in (None, leader), 20, "a new leader")
        cell.stop("u0")
        running.wait_for_answers(50)
        cell.proxy.heal()
        cell.wait_ready(leader)
        running.wait_for_answers(50)
    bench.check(running.records)


def test_stopped_leader_resumes_without_harm(start_bench):
    bench = start_bench(worker_lease_s=8.0)
    cell = bench.cell
    leader = cell.find_leader()
    bench.submit("long", tasks=4, run_s=4.0)
    with Callers(cell, count=3) as running:
        running.wait_for_answers(20)
        cell.signal(leader, signal.SIGSTOP)
        wait_until(lambda: cell.find_leader() not in (None, leader), 20, "a new leader")
        time.sleep(5.0)
        cell.signal(leader, signal.SIGCONT)
        cell.wait_ready(leader)
        running.wait_for_answers(50)
    assert bench.wait_finished("long")["state"] == "done"
    bench.check(running.records)


def test_racing_and_resent_tickets(start_bench):
    bench = start_bench(upstreams=0, workers=0)
    answers = []

    def race(number, share, address):
        ticket = {"number": number, "workspaces": [{"name": "yard", "share": share}]}
        answers.append((number, share, *bench.apply_ticket(ticket, address)))

    for number in range(2, 22):
        threads = [
            threading.Thread(target=race, args=(number, share, address))
            for share, address in enumerate(bench.cell.addresses[:2], start=1)
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
    status, again = bench.apply_ticket(ticket, bench.cell.addresses[4])
    assert status == 200
    assert again["version"] == first[3]["version"]
    status, faults = bench.apply_ticket({"number": 99, "workspaces": [{"nam": 1}]})
    assert status == 400
    assert len(faults["faults"]) == 2


def test_silent_worker_keeps_its_tasks_until_its_lease_has_ended(start_bench):
    bench = start_bench(upstreams=0, workers=2)
    cell = bench.cell
    bench.submit("again", tasks=8, run_s=4.0, idempotent=True)
    bench.submit("once", tasks=4, run_s=4.0)
    wait_until(lambda: len(list_runs(cell)) == 12, 20, "all tasks to run")
    bench.freeze_worker("w0")
    assert bench.wait_finished("again")["state"] == "done"
    bench.wake_worker("w0")
    once = bench.wait_finished("once")
    assert once["state"] in ("unknown", "done")
    bench.wait_known(0, 2)
    bench.check()


def test_wiped_replica_is_replaced_and_a_second_loss_is_survived(start_bench):
    bench = start_bench(upstreams=0, workers=1, spares=1, entries=1, replace_after_s=3)
    cell = bench.cell
    bench.submit("kept", tasks=2)
    bench.wait_finished("kept")
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
        lambda: spare in list_voters() and lost not in list_voters(), 40, "a repair"
    )
    second = next(name for name in list_voters() if name not in (spare, leader))
    cell.kill(second)
    wait_until(cell.find_leader, 20, "a leader")
    assert bench.show("kept")["state"] == "done"
    bench.submit("after", tasks=2)
    assert bench.wait_finished("after")["state"] == "done"
    bench.check()


def test_restart_after_hundreds_of_tickets(start_bench):
    bench = start_bench(upstreams=0, workers=0)
    cell = bench.cell
    for number in range(2, 302):
        ticket = {"number": number, "workspaces": [{"name": "yard", "share": number}]}
        assert bench.apply_ticket(ticket)[0] == 200
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
    status, value = bench.apply_ticket(TICKET)
    assert status == 200
    assert value["code"] == "accepted"
    old = {"number": 200, "workspaces": [{"name": "yard", "share": 1}]}
    assert bench.apply_ticket(old)[0] == 409


def test_full_disk_ends_the_leader_and_cuts_no_truth(start_bench):
    bench = start_bench(upstreams=1, workers=0)
    cell = bench.cell
    leader = cell.find_leader()
    others = [cell.http_ports[name] for name in cell.names if name != leader]
    with Callers(cell, count=3) as running:
        running.wait_for_answers(10)
        cell.fill_disk(leader)
        process = cell.processes.pop(leader)
        for number in range(2, 40):
            ticket = {"number": number, "workspaces": [{"name": "yard"}]}
            address = f"127.0.0.1:{others[number % len(others)]}"

            def is_accepted(ticket=ticket, address=address):
                return bench.apply_ticket(ticket, address)[0] == 200

            wait_until(is_accepted, 20, f"ticket {number}")
        assert process.wait(30) == 2
        running.wait_for_answers(10)
    cell.start_instance(leader)
    cell.wait_ready(leader)
    value = request_json(f"127.0.0.1:{cell.http_ports[leader]}", "/v1/tickets")[1]
    assert value["last_number"] == 39
    bench.check(running.records)


def test_drained_instances_cut_no_request(start_bench):
    bench = start_bench(workers=0)
    cell = bench.cell
    with Callers(cell, count=6, path="/sleep/0.4") as running:
        running.wait_for_answers(20)
        for name in (cell.names[-1], cell.find_leader()):
            assert cell.stop(name) == 0
            running.wait_for_answers(20)
    outcomes = {record.outcome for record in running.records}
    assert outcomes <= {"done", "not-run", "refused-connection"}
    bench.check(running.records)


def test_leaving_upstream_finishes_its_requests(start_bench):
    bench = start_bench(workers=0)
    with Callers(bench.cell, count=6, path="/sleep/0.3") as running:
        running.wait_for_answers(20)
        assert bench.cell.stop("u0") == 0
        running.wait_for_answers(20)
    assert {record.outcome for record in running.records} <= {"done", "not-run"}
    bench.check(running.records)


def test_killed_upstream_leaves_no_request_run_twice(start_bench):
    bench = start_bench(workers=0, upstreams=3)
    with Callers(bench.cell, count=8, path="/sleep/0.3") as running:
        running.wait_for_answers(20)
        bench.cell.kill("u0")
        running.wait_for_answers(20)
        bench.cell.kill("u1")
        running.wait_for_answers(20)
    assert "unknown" in {record.outcome for record in running.records}
    bench.check(running.records)


@pytest.mark.parametrize("path", ["/cut", "/crossed", "/error"])
def test_broken_answers_never_pass_as_whole(start_bench, path):
    bench = start_bench(workers=0, upstreams=1)
    record = call(bench.cell.addresses[0], path, caller="a", key="k1")
    again = call(bench.cell.addresses[1], path, caller="a", key="k1")
    if path != "/error":
        assert (record.outcome, record.status) == ("unknown", 502)
        assert again.outcome == "unknown"
    else:
        assert (record.outcome, record.status) == ("done", 500)
        assert (again.outcome, again.status) == ("done", 500)
    bench.check()


@pytest.mark.parametrize("path", ["/trickle/3000000", "/chunked/3000000"])
def test_long_answer_is_whole_or_visibly_cut(start_bench, path):
    bench = start_bench(workers=0, upstreams=1)
    address = bench.cell.addresses[0]
    whole = fetch(address, path)
    assert whole == b"x" * 3_000_000
    killer = threading.Timer(0.5, bench.cell.kill, args=("u0",))
    killer.start()
    with pytest.raises(httpcore.RemoteProtocolError):
        fetch(address, path)
    killer.join()


def fetch(address, path):
    """Return the body of an answer."""
    headers = {"bluebellyoke-workspace": "depot"}
    with httpcore.ConnectionPool() as pool:
        url = f"http://{address}/services/estimates{path}"
        return pool.request("GET", url, headers=headers).content


def test_slow_answer_is_unknown_at_the_deadline_and_not_run_again(start_bench):
    bench = start_bench(workers=0, upstreams=1)
    address, other = bench.cell.addresses[0], bench.cell.addresses[1]
    record = call(address, "/sleep/3", caller="a", key="k", deadline_ms=500)
    assert (record.outcome, record.status) == ("unknown", 504)
    again = call(other, "/sleep/3", caller="a", key="k", deadline_ms=500)
    assert again.outcome == "unknown"
    bench.check([record, again])


def test_cancellation_wave_frees_nothing_that_still_runs(start_bench):
    bench = start_bench(upstreams=0, workers=2)
    cell = bench.cell
    for number in range(10):
        bench.submit(f"wave{number}", tasks=5, run_s=20.0)
    wait_until(lambda: len(list_runs(cell)) >= 30, 20, "the tasks to run")
    for number in range(10):
        assert (
            request_json(cell.addresses[0], f"/v1/jobs/wave{number}", "DELETE")[0]
            == 200
        )
    for number in range(10):
        assert bench.wait_finished(f"wave{number}")["state"] == "cancelled"
    bench.submit("next", tasks=4)
    assert bench.wait_finished("next")["state"] == "done"
    bench.check()


def test_retry_that_finds_no_slot_leaves_the_outcome_unknown(start_bench):
    bench = start_bench(workers=0, upstreams=1)
    address = bench.cell.addresses[0]
    record = call(address, "/cut", method="GET", caller="a", deadline_ms=1_000)
    assert record.outcome == "unknown"


def test_caller_that_leaves_frees_its_place_in_the_queue(start_bench):
    bench = start_bench(workers=0, upstreams=1, replicas=1, voters=1, entries=0)
    port = bench.cell.http_ports["i1"]
    busy = [open_request(port, "/sleep/2.0") for _ in range(8)]

    def count_in_hand():
        return request_json(f"127.0.0.1:{port}", "/v1/instance")[1]["in_hand"]

    wait_until(lambda: count_in_hand() == 8, 10, "8 requests in hand")
    waiting = [open_request(port, "/echo") for _ in range(5)]
    wait_until(lambda: count_in_hand() == 13, 10, "5 requests in the queue")
    for connection in waiting:
        connection.close()
    wait_until(lambda: count_in_hand() <= 8, 1.5, "the queue to empty")
    for connection in busy:
        assert b" 200 " in connection.recv(4096)
        connection.close()
    bench.check()


def open_request(port, path):
    """Send a request on a plain connection and leave the answer unread."""
    connection = socket.create_connection(("127.0.0.1", port))
    connection.sendall(
        f"GET /services/estimates{path} HTTP/1.1\r\nhost: x\r\n"
        "bluebellyoke-workspace: depot\r\n\r\n".encode()
    )
    return connection
