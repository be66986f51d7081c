"""Callers, operators and checks of the integration tests.

Callers keep their own record of each request and its answer; the checks compare it
with the ledgers of the stand-ins.
"""

import itertools
import json
import threading
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

import httpcore

from standins.ledger import read_ledger

ANSWER_S = 30.0

#: Time in which a worker that wakes ends the tasks of its old lease, in seconds.
WAKE_S = 1.0


@dataclass
class Record:
    """One request of a caller."""

    caller: str
    method: str
    key: str
    status: int = 0
    outcome: str = ""
    code: str = ""
    body: dict = field(default_factory=dict)
    retry_after: str = ""
    took_s: float = 0.0
    sent_at: float = 0.0


def call(address, path, *, method="POST", caller="c", key="", deadline_ms=5_000):
    """Send one request and return its record."""
    record = Record(caller, method, key, sent_at=time.time())
    headers = {
        "bluebellyoke-workspace": "depot",
        "bluebellyoke-deadline-ms": str(deadline_ms),
        "x-caller": caller,
    }
    if key:
        headers["idempotency-key"] = key
    began = time.monotonic()
    try:
        with httpcore.ConnectionPool() as pool:
            response = pool.request(
                method,
                f"http://{address}/services/estimates{path}",
                headers=headers,
                content=caller.encode(),
                extensions={"timeout": {"connect": 1.0, "read": ANSWER_S}},
            )
    except httpcore.ConnectError:
        record.outcome = "refused-connection"
        return record
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
        # The connection broke: the caller has to take it for unknown.
        record.outcome = "broken"
        return record
    finally:
        record.took_s = time.monotonic() - began
    found = {k.decode().lower(): v.decode() for k, v in response.headers}
    record.status = response.status
    record.outcome = found.get("bluebellyoke-outcome", "")
    record.retry_after = found.get("retry-after", "")
    try:
        record.body = json.loads(response.content or b"{}")
    except ValueError:
        record.outcome = "garbage"
    record.code = record.body.get("code", "")
    return record


class Callers:
    """Callers that go on until they are stopped, over all instances in turn.

    Args:
        cell: The cell.
        count: Callers at one time.
        path: What they ask for.
    """

    def __init__(self, cell, *, count=4, path="/sleep/0.05", keyed=True):
        self.cell = cell
        self.records = []
        self._path = path
        self._keyed = keyed
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(count)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        """Stop and wait for the last answers."""
        self._stop.set()
        for thread in self._threads:
            thread.join(ANSWER_S)

    def _run(self, number):
        turn = number
        while not self._stop.is_set():
            turn += 1
            address = self.cell.addresses[turn % len(self.cell.addresses)]
            key = f"k{number}-{turn}" if self._keyed and turn % 2 else ""
            record = call(address, self._path, caller=f"c{number}-{turn}", key=key)
            self.records.append(record)
            if key and record.outcome != "done":
                self._resend(record, key, turn)
            if record.outcome != "done":
                time.sleep(0.05)

    def _resend(self, record, key, turn):
        """Ask for the outcome of a key through another instance."""
        address = self.cell.addresses[(turn + 1) % len(self.cell.addresses)]
        again = call(address, self._path, caller=record.caller, key=key)
        self.records.append(again)

    def wait_for_answers(self, count, wait_s=30.0):
        """Wait until so many more requests were answered whole."""
        goal = self.count_done() + count
        end = time.monotonic() + wait_s
        while self.count_done() < goal:
            assert time.monotonic() < end, "the cell does not serve"
            time.sleep(0.05)

    def count_done(self):
        return sum(record.outcome == "done" for record in list(self.records))


def read_upstreams(cell):
    """Return all events of the upstreams, by upstream."""
    return {path.stem: read_ledger(path) for path in cell.folder.glob("u*.ledger")}


def read_workers(cell):
    """Return all events of the workers, by worker."""
    return {path.stem: read_ledger(path) for path in cell.folder.glob("w*.ledger")}


def check_requests(cell, records, *, slots=8):
    """Check the points of the brief that concern callers' requests."""
    starts = Counter()
    for name, events in read_upstreams(cell).items():
        running = [e["running"] for e in events if e["event"] == "start"]
        assert max(running, default=0) <= slots, f"{name} was overcommitted"
        starts.update(e["caller"] for e in events if e["event"] == "start")
        check_leaving(name, events)
    outcomes = defaultdict(list)
    for record in records:
        outcomes[record.caller].append(record)
    for caller, items in outcomes.items():
        check_caller(caller, items, starts[caller])


def check_leaving(name, events):
    """No new work reaches an upstream a few seconds after it said so."""
    left_at = [e["at"] for e in events if e["event"] == "leaving"]
    if left_at:
        late = [e for e in events if e["event"] == "start"]
        late = [e["at"] - left_at[0] for e in late if e["at"] > left_at[0] + 3.0]
        assert not late, f"{name} got work {late} s after it began to leave"


def check_caller(caller, items, started):
    """Each answer is whole, its own and true; nothing ran twice."""
    assert started <= 1, f"{caller} ran {started} times"
    for record in items:
        assert record.outcome in (
            "done",
            "not-run",
            "unknown",
            "broken",
            "refused-connection",
        ), record
        if record.outcome == "done":
            assert record.body["caller"] == caller, "an answer crossed"
            assert record.body["body"] == caller, "an answer was not whole"
        if record.status in (429, 503):
            assert int(record.retry_after) >= 1
    done = any(record.outcome == "done" for record in items)
    if done:
        assert started == 1, f"{caller} was answered without a run"
    elif all(record.outcome == "not-run" for record in items):
        assert started == 0, f"{caller} ran in spite of the refusal"


def list_runs(cell):
    """Return (worker, epoch, start, end, outcome) of each task's runs."""
    runs = defaultdict(list)
    for name, events in read_workers(cell).items():
        begun = {}
        for event in events:
            key = (event["job"], event["task"], event["epoch"])
            if event["event"] == "start":
                begun[key] = event["at"]
            else:
                runs[key[:2]].append(
                    (name, key[2], begun.pop(key), event["at"], event["outcome"])
                )
        for key, at in begun.items():
            runs[key[:2]].append((name, key[2], at, float("inf"), "running"))
    return runs


def check_tasks(cell, jobs, *, stopped):
    """No task ran in two places; what must run once did.

    Args:
        cell: The cell.
        jobs: Submitted jobs by identity.
        stopped: Spans in which a worker was killed or frozen, by worker. A frozen
            worker runs nothing; when it wakes it has to end its tasks at once.
    """
    for (job_id, index), items in list_runs(cell).items():
        if job_id not in jobs:
            continue
        items = [end_when_stopped(item, stopped.get(item[0], ())) for item in items]
        items.sort(key=lambda item: item[2])
        for earlier, later in itertools.pairwise(items):
            assert later[2] >= earlier[3], f"{job_id}/{index} ran in two places"
        if not jobs[job_id].get("idempotent"):
            assert len(items) <= 1, f"{job_id}/{index} ran {len(items)} times"


def end_when_stopped(item, spans):
    """Return a run that ended with its worker's freeze or death, if it did."""
    name, epoch, start, end, outcome = item
    for began, over in spans:
        ended_at_once = end - over < WAKE_S
        if start < began < end and (outcome.startswith("killed") or over == began):
            assert ended_at_once or over == began, f"{name} went on after its lease"
            return (name, epoch, start, began, outcome)
    return item
