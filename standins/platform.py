"""Stand-in of the users' platform: workers that are called, and an advisor.

It keeps the published rules that matter to a scheduler: fencing, run numbers, leases by
its own clock, numbered ends, tickets. It runs in a thread of the test.
"""

import contextlib
import itertools
import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import httpcore

__all__ = ["CalledWorker", "StandInAdvisor"]

LONGEST_LEASE_MS = 6000
HEARTBEAT_S = 0.3
TICK_S = 0.02

CALL_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, OSError)


class _Handler(BaseHTTPRequestHandler):
    """Passes JSON calls to the stand-in."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_POST(self):
        """Answer a call."""
        length = int(self.headers.get("Content-Length", 0))
        body = json.loads(self.rfile.read(length))
        expected = self.headers.get("Expected-Instance")
        status, value = self.server.answer(self.path, body, expected)
        data = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *args):
        """Write nothing."""


class _Server(ThreadingHTTPServer):
    """Server on loopback in a thread."""

    daemon_threads = True

    def __init__(self):
        super().__init__(("127.0.0.1", 0), _Handler)
        self.address = f"127.0.0.1:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        """Ignore callers that have left, as killed instances do."""
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)


class StandInAdvisor(_Server):
    """Allows every worker, with a ticket that names it."""

    def answer(self, path, body, expected):
        """Return tickets for all workers that are named."""
        allowed = [[name, f"ticket-{name}"] for name in body["Workers"]]
        return 200, {"Allowed": allowed}


class CalledWorker(_Server):
    """A worker that starts what it is told and keeps a ledger.

    Args:
        name: Identity.
        controls: Addresses that take heartbeats.
        run_s: Time that each task works.
    """

    def __init__(self, name, *, controls, run_s=0.3, cpu=4000):
        self.name = name
        self.controls = itertools.cycle(controls)
        self.run_s = run_s
        self.cpu = cpu
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.lock = threading.Condition()
        self.fence = 0
        self.lease_ms = 0
        self.running = {}
        self.ended = []
        self.count = itertools.count(1)
        self.barred = {}
        self.ledger = []
        self.is_closed = False
        super().__init__()
        threading.Thread(target=self._beat, daemon=True).start()
        threading.Thread(target=self._work, daemon=True).start()

    def close(self):
        """Stop to answer and to announce itself."""
        self.is_closed = True
        self.shutdown()
        self.server_close()

    def read_clock(self):
        """Return the worker's steady clock, in milliseconds."""
        return int((time.monotonic() - self.began) * 1000)

    def answer(self, path, body, expected):
        """Carry out a call."""
        if expected != self.name:
            return 421, {}
        handler = {
            "/-/run-start": self._start,
            "/-/run-stop": self._stop,
            "/-/hold": self._hold,
        }[path]
        with self.lock:
            if body["FencingToken"] < self.fence:
                return 409, {"CurrentTimeMs": self.read_clock(), "Reason": "fence"}
            self.fence = body["FencingToken"]
            status, value = handler(body)
        return status, {"CurrentTimeMs": self.read_clock(), **value}

    def _extend(self, deadline_ms):
        granted = min(deadline_ms, self.read_clock() + LONGEST_LEASE_MS)
        self.lease_ms = max(self.lease_ms, granted)

    def _start(self, body):
        key = (body["Task"], body["RunId"])
        if body["DeadlineMs"] < self.read_clock():
            return 409, {"Reason": "late"}
        self._extend(body["DeadlineMs"])
        if key in self.running:
            return 200, {}
        if body["RunId"] <= self.barred.get(body["Task"], 0):
            return 409, {"Reason": "old"}
        if body.get("Ticket") != f"ticket-{self.name}":
            return 409, {"Reason": "ticket"}
        self.running[key] = time.monotonic() + self.run_s
        self.ledger.append((time.time(), "start", *key))
        return 200, {}

    def _stop(self, body):
        key = (body["Task"], body["RunId"])
        self.barred[body["Task"]] = max(self.barred.get(body["Task"], 0), body["RunId"])
        if key in self.running:
            self._end(key, "stopped")
        return 200, {}

    def _hold(self, body):
        if "DeadlineMs" in body:
            self._extend(body["DeadlineMs"])
        self.ended = [row for row in self.ended if row[0] > body["SeenUpto"]]
        if not self.ended:
            self.lock.wait(body.get("WaitMs", 0) / 1000)
        running = [[task, run, "", 50, 0] for task, run in self.running]
        return 200, {"Running": running, "Ended": self.ended[:], "born": self.born}

    def _end(self, key, how):
        del self.running[key]
        self.barred[key[0]] = max(self.barred.get(key[0], 0), key[1])
        self.ended.append([next(self.count), key[0], key[1], how, ""])
        self.ledger.append((time.time(), how, *key))
        self.lock.notify_all()

    def _work(self):
        while not self.is_closed:
            time.sleep(TICK_S)
            with self.lock:
                has_lapsed = self.read_clock() > self.lease_ms
                for key, due in list(self.running.items()):
                    if has_lapsed:
                        self._end(key, "lapsed")
                    elif time.monotonic() >= due:
                        self._end(key, "done")

    def _beat(self):
        sequence = itertools.count(1)
        while not self.is_closed:
            beat = {
                "Service": "huvo11a",
                "Address": self.address,
                "Zone": "dc1",
                "State": "ready",
                "Capacity": {"Cpu": self.cpu, "MemMb": 16000, "Gpu": 0},
                "Labels": ["a", "r1"],
                "CurrentTimeMs": self.read_clock(),
                "Seq": next(sequence),
                "born": self.born,
            }
            url = f"http://{next(self.controls)}/-/instances/{self.name}"
            # After a failure the next instance is tried with the next heartbeat.
            with contextlib.suppress(*CALL_ERRORS):
                httpcore.request("PUT", url, content=json.dumps(beat).encode())
            time.sleep(HEARTBEAT_S)
