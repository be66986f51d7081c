"""A stand-in runner, one process, that follows the users' page "Running tasks".

It keeps its state in memory only, so a process that is killed and started again with
the same ID is a new incarnation that knows nothing of the one before. The first word of
a task's text is the time that the task works, in milliseconds. Every start and end is
appended to the file of events before it is answered.
"""

import argparse
import contextlib
import http.client
import itertools
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

MAX_ENDS = 500
TICK_S = 0.01
ACK_TIMEOUT_S = 1.0


class Handler(BaseHTTPRequestHandler):
    """Passes the calls to the runner."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_GET(self):
        """Answer a health check."""
        self.reply(200, {})

    def do_POST(self):
        """Answer an order."""
        size = int(self.headers.get("Content-Length", 0))
        body = json.loads(self.rfile.read(size))
        expected = self.headers.get("Expected-Instance")
        self.reply(*self.server.runner.answer(self.path, body, expected))

    def reply(self, status, value):
        """Send a response with a JSON body."""
        data = json.dumps(value).encode()
        head = (
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        self.wfile.write(head.encode() + data)

    def log_message(self, *args):
        """Write no access log."""


class Server(ThreadingHTTPServer):
    """Server of a runner."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Ignore connections that a peer has closed."""


class Runner:
    """State of one incarnation."""

    def __init__(self, options):
        self.options = options
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.lock = threading.Condition()
        self.fence = 0
        self.lease_ms = 0
        self.running = {}
        self.highest = {}
        self.ended = []
        self.numbers = itertools.count(1)
        self.events = open(options.events, "a", buffering=1)  # noqa: SIM115

    def clock_ms(self):
        """Return the runner's own steady clock, which begins with the process."""
        return int((time.monotonic() - self.started_at) * 1000)

    def write(self, what, task="", run=0):
        """Append an event."""
        row = [time.time(), self.options.id, self.born, what, task, run]
        self.events.write(json.dumps(row) + "\n")

    def answer(self, path, body, expected):
        """Return status and body of the response to an order."""
        if expected is not None and expected != self.options.id:
            return 421, {}
        orders = {
            "/-/run-start": self.start,
            "/-/run-stop": self.stop,
            "/-/hold": self.hold,
            "/-/pace": self.pace,
        }
        if path not in orders:
            return 404, {}
        with self.lock:
            fence = body.get("FencingToken", 0)
            if fence < self.fence:
                return 409, {"CurrentTimeMs": self.clock_ms(), "Reason": "fence"}
            self.fence = fence
            status, value = orders[path](body)
        return status, {"CurrentTimeMs": self.clock_ms(), **value}

    def extend(self, deadline_ms):
        """Extend the lease, which never shortens."""
        granted = min(deadline_ms, self.clock_ms() + self.options.max_hold_ms)
        self.lease_ms = max(self.lease_ms, granted)

    def start(self, body):
        """Start a run."""
        task, run = body["Task"], body["RunId"]
        if self.running.get(task, (0, 0))[0] == run:
            self.extend(body["DeadlineMs"])
            return 200, {}
        if run <= self.highest.get(task, 0) or task in self.running:
            self.extend(body["DeadlineMs"])
            return 409, {"Reason": "old"}
        if max(body["DeadlineMs"], self.lease_ms) <= self.clock_ms():
            return 409, {"Reason": "late"}
        self.extend(body["DeadlineMs"])
        work_s = float(body["TaskSpec"].split()[0]) / 1000
        self.running[task] = (run, time.monotonic() + work_s)
        self.write("start", task, run)
        return 200, {}

    def stop(self, body):
        """Stop a run, or block it if it is not there yet."""
        task, run = body["Task"], body["RunId"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        if task in self.running and self.running[task][0] <= run:
            self.end(task, "stopped")
        return 200, {}

    def pace(self, body):
        """Accept a pace and change nothing."""
        return 200, {}

    def hold(self, body):
        """Renew the lease and return both lists."""
        if "DeadlineMs" in body:
            self.extend(body["DeadlineMs"])
        seen = body.get("SeenUpto", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        wait_until = time.monotonic() + body.get("WaitMs", 0) / 1000
        while not self.ended and time.monotonic() < wait_until:
            self.lock.wait(wait_until - time.monotonic())
        running = [[task, run, "", 50, 0] for task, (run, _) in self.running.items()]
        rows = self.ended[:MAX_ENDS]
        return 200, {"Running": running, "Ended": rows, "born": self.born}

    def end(self, task, how):
        """End a run and list its end."""
        run, _ = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.ended.append([next(self.numbers), task, run, how, ""])
        self.write(how, task, run)
        self.lock.notify_all()

    def work(self):
        """End runs whose time has come, or all once the lease has expired."""
        while True:
            time.sleep(TICK_S)
            with self.lock:
                is_over = self.clock_ms() > self.lease_ms
                for task, (_, end_at) in list(self.running.items()):
                    if is_over:
                        self.end(task, "lapsed")
                    elif time.monotonic() >= end_at:
                        self.end(task, "done")

    def beat(self):
        """Send heartbeats, the first one at once, until a node acknowledges each."""
        options = self.options
        nodes = options.nodes.split(",")
        current = 0
        for number in itertools.count(1):
            due = time.monotonic() + options.beat_ms / 1000
            body = {
                "Service": options.service,
                "Address": options.address,
                "Zone": options.zone,
                "Version": "v1",
                "Slots": 8,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Capacity": {"Cpu": options.cpu, "MemMb": 64000, "Gpu": 0},
                "Labels": ["a", options.rack],
                "CurrentTimeMs": self.clock_ms(),
                "Seq": number,
                "born": self.born,
            }
            for _ in nodes:
                if self.send_beat(nodes[current], body):
                    break
                current = (current + 1) % len(nodes)
            time.sleep(max(due - time.monotonic(), 0.05))

    def send_beat(self, node, body):
        """Send one heartbeat; return whether it was acknowledged within a second."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            call = http.client.HTTPConnection(node, timeout=ACK_TIMEOUT_S)
            path = f"/-/instances/{self.options.id}"
            call.request("PUT", path, json.dumps(body))
            status = call.getresponse().status
            call.close()
            return 200 <= status < 300
        return False


def main():
    """Run until the process is killed."""
    parser = argparse.ArgumentParser()
    for name in ("id", "address", "nodes", "service", "zone", "rack", "events"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--cpu", type=int, default=16000)
    parser.add_argument("--max-hold-ms", type=int, default=6000)
    parser.add_argument("--beat-ms", type=int, default=1500)
    options = parser.parse_args()
    runner = Runner(options)
    host, _, port = options.address.rpartition(":")
    server = Server((host, int(port)), Handler)
    server.runner = runner
    runner.write("born")
    threading.Thread(target=runner.work, daemon=True).start()
    threading.Thread(target=runner.beat, daemon=True).start()
    server.serve_forever()


if __name__ == "__main__":
    main()
