"""Stand-ins for the users' platform: the called workers and the advisor.

They are the peers of `bluebellyoke.platform` and implement the published rules that
concern a scheduler: fencing tokens, run numbers, leases on the worker's own clock,
numbered ends and tickets. They run in threads of the test process.
"""

import contextlib
import itertools
import json
import socket
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import httpcore

__all__ = ["CalledWorker", "StandInAdvisor"]

LONGEST_LEASE_MS = 6000
HEARTBEAT_INTERVAL_S = 0.3
TICK_S = 0.02

#: Time from an accepted start to the call of its hook, in seconds. The response to the
#: start has left the worker by then.
START_HOOK_DELAY_S = 0.005

CALL_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, OSError)


class _Handler(BaseHTTPRequestHandler):
    """Passes JSON requests to the stand-in."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_POST(self):
        """Answer a request."""
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
        """Suppress the access log."""


class _Server(ThreadingHTTPServer):
    """HTTP server on loopback in its own thread."""

    daemon_threads = True
    # With the default of 5, connections that are opened at once while the process is
    # busy are dropped by the kernel, and go silent for seconds.
    request_queue_size = 128

    def __init__(self, port=0):
        super().__init__(("127.0.0.1", port), _Handler)
        self.address = f"127.0.0.1:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        """Ignore lost connections, which killed instances cause."""
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)


class StandInAdvisor(_Server):
    """Allows every worker and gives it a ticket with its name."""

    def answer(self, path, body, expected):
        """Return a ticket for each worker of the request."""
        allowed = [[name, f"ticket-{name}"] for name in body["Workers"]]
        return 200, {"Allowed": allowed}


class CalledWorker(_Server):
    """A worker that runs tasks as timers and keeps a ledger.

    Args:
        name: ID of the worker.
        control_addresses: Addresses of the instances that accept heartbeats.
        run_s: Run time of each task, in seconds.
        cpu_millis: CPU capacity, in millicores; it may be changed.
        deadly_text: Payload of the tasks that end its process as they start.
        labels: Its labels.
        clock_rate: Rate of its clock; the published rules allow 0.98 and more.
        forwarder: Forwarder in front of it, whose address it announces, or None.
        port: Port at which it listens: that of a crashed worker, or 0 for any.
        are_heartbeats_lost: Whether its heartbeats fail; it may be changed.
        refuses_polls: Whether it closes the connections of polls; it may be changed.

    Attributes:
        calls: Paths of the calls that have reached it, in their order.
        on_next_start: Called, from another thread, `START_HOOK_DELAY_S` after it has
            accepted its next start, and then reset; None for no call.
        acknowledged_cpu_millis: Capacity of the latest heartbeat that was acknowledged.
        most_running: Largest number of tasks running at once since it was last set.
        has_crashed: Whether a task has ended its process.
    """

    def __init__(
        self,
        name,
        *,
        control_addresses,
        run_s=0.3,
        cpu_millis=4000,
        deadly_text="(deadly)",
        labels=("a", "r1"),
        clock_rate=1.0,
        forwarder=None,
        port=0,
        are_heartbeats_lost=False,
        refuses_polls=False,
    ):
        self.name = name
        self.control_addresses = itertools.cycle(control_addresses)
        self.run_s = run_s
        self.cpu_millis = cpu_millis
        self.deadly_text = deadly_text
        self.labels = labels
        self.clock_rate = clock_rate
        self.acknowledged_cpu_millis = 0
        self.most_running = 0
        self.has_crashed = False
        self.incarnation = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.lock = threading.Condition()
        self.fencing_token = 0
        self.lease_deadline_ms = 0
        self.running = {}
        self.paces = {}
        self.ended = []
        self.end_numbers = itertools.count(1)
        self.last_blocked_run = {}
        self.ledger = []
        self.is_closed = False
        self.are_heartbeats_lost = are_heartbeats_lost
        self.refuses_polls = refuses_polls
        self.calls = []
        self.on_next_start = None
        super().__init__(port)
        self.announced_address = self.address
        if forwarder is not None:
            forwarder.target = self.address
            forwarder.accept()
            self.announced_address = forwarder.address
        threading.Thread(target=self._send_heartbeats, daemon=True).start()
        threading.Thread(target=self._run_tasks, daemon=True).start()

    def close(self):
        """Stop the server and the heartbeats."""
        self.is_closed = True
        self.shutdown()
        self.server_close()

    def crash(self):
        """End the process of the worker without a notice."""
        with self.lock:
            self._crash()

    def finish_runs(self, next_run_s):
        """Let all runs end as done, and later ones after a time in seconds."""
        with self.lock:
            self.run_s = next_run_s
            self.running = dict.fromkeys(self.running, 0.0)

    def announce_leave(self):
        """Announce that the worker leaves; it sends no heartbeat after that."""
        self.are_heartbeats_lost = True
        url = f"http://{next(self.control_addresses)}/-/instances/{self.name}"
        assert httpcore.request("DELETE", url).status == 200

    def read_clock_ms(self):
        """Return the worker's monotonic clock, in milliseconds."""
        elapsed_s = time.monotonic() - self.started_at
        return int(elapsed_s * self.clock_rate * 1000)

    def answer(self, path, body, expected):
        """Handle a call and return its status and answer."""
        if self.has_crashed:
            raise ConnectionAbortedError(f"{self.name} has crashed")
        if expected != self.name:
            return 421, {}
        handler = {
            "/-/run-start": self._start,
            "/-/run-stop": self._stop,
            "/-/pace": self._pace,
            "/-/hold": self._hold,
        }[path]
        with self.lock:
            if self.refuses_polls and path == "/-/hold":
                raise ConnectionAbortedError(f"{self.name} accepts no polls yet")
            self.calls.append(path)
            if body["FencingToken"] < self.fencing_token:
                return 409, {"CurrentTimeMs": self.read_clock_ms(), "Reason": "fence"}
            self.fencing_token = body["FencingToken"]
            status, value = handler(body)
            if self.has_crashed:
                raise ConnectionAbortedError(f"{self.name} has crashed")
        return status, {"CurrentTimeMs": self.read_clock_ms(), **value}

    def _extend_lease(self, deadline_ms):
        granted_ms = min(deadline_ms, self.read_clock_ms() + LONGEST_LEASE_MS)
        self.lease_deadline_ms = max(self.lease_deadline_ms, granted_ms)

    def _start(self, body):
        key = (body["Task"], body["RunId"])
        if body["DeadlineMs"] < self.read_clock_ms():
            return 409, {"Reason": "late"}
        self._extend_lease(body["DeadlineMs"])
        if key in self.running:
            return 200, {}
        if body["RunId"] <= self.last_blocked_run.get(body["Task"], 0):
            return 409, {"Reason": "old"}
        if body.get("Ticket") != f"ticket-{self.name}":
            return 409, {"Reason": "ticket"}
        self.running[key] = time.monotonic() + self.run_s
        self.ledger.append((time.time(), "start", *key))
        self.most_running = max(self.most_running, len(self.running))
        if body["TaskSpec"] == self.deadly_text:
            self._crash()
        if self.on_next_start is not None:
            threading.Timer(START_HOOK_DELAY_S, self.on_next_start).start()
            self.on_next_start = None
        return 200, {}

    def _crash(self):
        """End all runs and connections, and accept no other."""
        for key in self.running:
            self.ledger.append((time.time(), "crashed", *key))
        self.running.clear()
        self.paces.clear()
        self.has_crashed = self.is_closed = True
        self.lock.notify_all()
        # The thread that waits for connections keeps a closed socket listening.
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def _stop(self, body):
        key = (body["Task"], body["RunId"])
        self.last_blocked_run[body["Task"]] = max(
            self.last_blocked_run.get(body["Task"], 0), body["RunId"]
        )
        if key in self.running:
            self._end(key, "stopped")
        return 200, {}

    def _pace(self, body):
        key = (body["Task"], body["RunId"])
        if key not in self.running:
            return 409, {"Reason": "old"}
        self.paces[key] = body["Percent"]
        return 200, {}

    def _hold(self, body):
        if "DeadlineMs" in body:
            self._extend_lease(body["DeadlineMs"])
        self.ended = [row for row in self.ended if row[0] > body["SeenUpto"]]
        if not self.ended:
            self.lock.wait(body.get("WaitMs", 0) / 1000)
        running = [[task, run, "", 50, 0] for task, run in self.running]
        return 200, {
            "Running": running,
            "Ended": self.ended[:],
            "born": self.incarnation,
        }

    def _end(self, key, outcome, ended_at=None):
        del self.running[key]
        self.paces.pop(key, None)
        self.last_blocked_run[key[0]] = max(
            self.last_blocked_run.get(key[0], 0), key[1]
        )
        self.ended.append([next(self.end_numbers), key[0], key[1], outcome, ""])
        self.ledger.append((ended_at or time.time(), outcome, *key))
        self.lock.notify_all()

    def _run_tasks(self):
        ticked_at = time.monotonic()
        while not self.is_closed:
            time.sleep(TICK_S)
            with self.lock:
                elapsed_s = time.monotonic() - ticked_at
                ticked_at += elapsed_s
                for key, percent in self.paces.items():
                    self.running[key] += elapsed_s * (1 - percent / 100)
                overdue_ms = self.read_clock_ms() - self.lease_deadline_ms
                for key, end_at in list(self.running.items()):
                    if overdue_ms > 0:
                        # The ledger has the end of the lease, not of this pause, which
                        # is longer on a busy machine.
                        overdue_s = overdue_ms / 1000 / self.clock_rate
                        self._end(key, "lapsed", time.time() - overdue_s)
                    elif time.monotonic() >= end_at:
                        self._end(key, "done")

    def _send_heartbeats(self):
        sequence = itertools.count(1)
        while not self.is_closed:
            heartbeat = {
                "Service": "huvo11a",
                "Address": self.announced_address,
                "Zone": "dc1",
                "State": "ready",
                "Capacity": {"Cpu": self.cpu_millis, "MemMb": 16000, "Gpu": 0},
                "Labels": self.labels,
                "CurrentTimeMs": self.read_clock_ms(),
                "Seq": next(sequence),
                "born": self.incarnation,
            }
            url = f"http://{next(self.control_addresses)}/-/instances/{self.name}"
            # After a failure the next instance is tried with the next heartbeat.
            with contextlib.suppress(*CALL_ERRORS):
                if self.are_heartbeats_lost:
                    raise ConnectionAbortedError("the heartbeat is lost")
                response = httpcore.request(
                    "PUT", url, content=json.dumps(heartbeat).encode()
                )
                if response.status == 200:
                    self.acknowledged_cpu_millis = heartbeat["Capacity"]["Cpu"]
            time.sleep(HEARTBEAT_INTERVAL_S)
