"""Callers and consistency checks of the integration tests.

Callers record each request and its answer. The checks compare these records with the
ledgers of the stand-ins.
"""

import itertools
import json
import threading
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

import httpcore

from standins.ledger import read_ledger

READ_TIMEOUT_S = 30.0

#: Time in which a resumed worker has to end the tasks of its expired lease, in seconds.
RESUME_GRACE_S = 1.0


@dataclass
class RequestRecord:
    """A request of a caller and its result.

    Attributes:
        status: Status of the answer, or 0 without an answer.
        outcome: Outcome header of the answer, `refused-connection` or `broken` without
            an answer, or `invalid-body` if the body is not valid JSON.
        code: Code of the answer's JSON body, or an empty string.
        duration_s: Time until the answer or the failure, in seconds.
        sent_at: Wall-clock time of sending, in seconds.
    """

    caller: str
    method: str
    key: str
    status: int = 0
    outcome: str = ""
    code: str = ""
    body: dict = field(default_factory=dict)
    retry_after: str = ""
    duration_s: float = 0.0
    sent_at: float = 0.0


def send_request(
    address, path, *, method="POST", caller="c", key="", deadline_ms=5_000
):
    """Send one request and return its record."""
    record = RequestRecord(caller, method, key, sent_at=time.time())
    headers = {
        "bluebellyoke-workspace": "depot",
        "bluebellyoke-deadline-ms": str(deadline_ms),
        "x-caller": caller,
    }
    if key:
        headers["idempotency-key"] = key
    started_at = time.monotonic()
    try:
        with httpcore.ConnectionPool() as pool:
            response = pool.request(
                method,
                f"http://{address}/services/estimates{path}",
                headers=headers,
                content=caller.encode(),
                extensions={"timeout": {"connect": 1.0, "read": READ_TIMEOUT_S}},
            )
    except httpcore.ConnectError:
        record.outcome = "refused-connection"
        return record
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
        # The connection broke, so the caller has to treat the outcome as unknown.
        record.outcome = "broken"
        return record
    finally:
        record.duration_s = time.monotonic() - started_at
    response_headers = {k.decode().lower(): v.decode() for k, v in response.headers}
    record.status = response.status
    record.outcome = response_headers.get("bluebellyoke-outcome", "")
    record.retry_after = response_headers.get("retry-after", "")
    try:
        record.body = json.loads(response.content or b"{}")
    except ValueError:
        record.outcome = "invalid-body"
    record.code = record.body.get("code", "")
    return record


class Callers:
    """Threads that send requests to all instances in turn until they are stopped.

    Args:
        cell: Cell that receives the requests.
        count: Number of concurrent callers.
        path: Path of the requests.
        keyed: Whether every second request has an idempotency key.
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
        """Stop the callers and wait for the last answers."""
        self._stop.set()
        for thread in self._threads:
            thread.join(READ_TIMEOUT_S)

    def _run(self, number):
        sequence = number
        while not self._stop.is_set():
            sequence += 1
            address = self.cell.addresses[sequence % len(self.cell.addresses)]
            key = f"k{number}-{sequence}" if self._keyed and sequence % 2 else ""
            record = send_request(
                address, self._path, caller=f"c{number}-{sequence}", key=key
            )
            self.records.append(record)
            if key and record.outcome != "done":
                self._resend(record, key, sequence)
            if record.outcome != "done":
                time.sleep(0.05)

    def _resend(self, record, key, sequence):
        """Send a keyed request again through another instance."""
        address = self.cell.addresses[(sequence + 1) % len(self.cell.addresses)]
        repeated = send_request(address, self._path, caller=record.caller, key=key)
        self.records.append(repeated)

    def wait_for_answers(self, count, wait_s=30.0):
        """Wait until `count` more requests have been answered completely."""
        goal = self.count_done() + count
        deadline = time.monotonic() + wait_s
        while self.count_done() < goal:
            assert time.monotonic() < deadline, "requests were not answered in time"
            time.sleep(0.05)

    def count_done(self):
        return sum(record.outcome == "done" for record in list(self.records))


def read_upstreams(cell):
    """Return the ledgers of the upstreams, by name."""
    return {path.stem: read_ledger(path) for path in cell.folder.glob("u*.ledger")}


def read_workers(cell):
    """Return the ledgers of the workers, by name."""
    return {path.stem: read_ledger(path) for path in cell.folder.glob("w*.ledger")}


def check_requests(cell, records, *, slots=8):
    """Check the guarantees for callers' requests against the upstreams' ledgers."""
    starts = Counter()
    for name, events in read_upstreams(cell).items():
        running = [e["running"] for e in events if e["event"] == "start"]
        assert max(running, default=0) <= slots, f"{name} was overcommitted"
        starts.update(e["caller"] for e in events if e["event"] == "start")
        check_no_late_starts(name, events)
    outcomes = defaultdict(list)
    for record in records:
        outcomes[record.caller].append(record)
    for caller, items in outcomes.items():
        check_caller(caller, items, starts[caller])


def check_no_late_starts(name, events):
    """Check that an upstream gets no requests from 3 s after it began to leave."""
    left_at = [e["at"] for e in events if e["event"] == "leaving"]
    if left_at:
        late = [e for e in events if e["event"] == "start"]
        late = [e["at"] - left_at[0] for e in late if e["at"] > left_at[0] + 3.0]
        assert not late, f"{name} got requests {late} s after it began to leave"


def check_caller(caller, items, started):
    """Check that each answer is complete, correct and consistent with a single run."""
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
            assert record.body["caller"] == caller, (
                "the answer belongs to another request"
            )
            assert record.body["body"] == caller, "the answer is incomplete"
        if record.status in (429, 503):
            assert int(record.retry_after) >= 1
    done = any(record.outcome == "done" for record in items)
    if done:
        assert started == 1, f"{caller} was answered but did not run"
    elif all(record.outcome == "not-run" for record in items):
        assert started == 0, f"{caller} ran although it was reported as not run"


def list_runs(cell):
    """Return (worker, epoch, start, end, outcome) of each run, by job and task.

    A run without a recorded end has an infinite end and the outcome `running`.
    """
    runs = defaultdict(list)
    for name, events in read_workers(cell).items():
        start_times = {}
        for event in events:
            key = (event["job"], event["task"], event["epoch"])
            if event["event"] == "start":
                start_times[key] = event["at"]
            else:
                runs[key[:2]].append(
                    (name, key[2], start_times.pop(key), event["at"], event["outcome"])
                )
        for key, at in start_times.items():
            runs[key[:2]].append((name, key[2], at, float("inf"), "running"))
    return runs


def check_tasks(cell, jobs, *, stopped_spans):
    """Check that no runs of a task overlap and non-idempotent tasks run at most once.

    Args:
        cell: Cell whose workers' ledgers are checked.
        jobs: Submitted jobs, by ID.
        stopped_spans: Spans (start, end) in which a worker was frozen, by worker; both
            times are equal if it was killed. A frozen worker runs nothing; after it
            resumes it has to end its tasks within RESUME_GRACE_S.
    """
    for (job_id, index), items in list_runs(cell).items():
        if job_id not in jobs:
            continue
        items = [
            truncate_at_stop(item, stopped_spans.get(item[0], ())) for item in items
        ]
        items.sort(key=lambda item: item[2])
        for earlier, later in itertools.pairwise(items):
            assert later[2] >= earlier[3], f"{job_id}/{index} ran in two places"
        if not jobs[job_id].get("idempotent"):
            assert len(items) <= 1, f"{job_id}/{index} ran {len(items)} times"


def truncate_at_stop(item, spans):
    """Return the run, cut off at the time when its worker was frozen or killed."""
    name, epoch, start, end, outcome = item
    for started_at, resumed_at in spans:
        ended_in_time = end - resumed_at < RESUME_GRACE_S
        if start < started_at < end and (
            outcome.startswith("killed") or resumed_at == started_at
        ):
            assert ended_in_time or resumed_at == started_at, (
                f"{name} ran a task after its lease expired"
            )
            return (name, epoch, start, started_at, outcome)
    return item
