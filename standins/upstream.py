"""Stand-in upstream that answers requests and announces itself.

The path of a request selects the behaviour: `/sleep/0.2` waits, `/error` answers 500,
`/cut` sends a truncated answer, `/crossed` answers under another request's number,
`/large/1000000` sends that many bytes, `/trickle/1000000` pauses in the middle of
them, and `/chunked/1000000` also omits Content-Length. Other requests are echoed.
"""

import argparse
import contextlib
import json
import signal
import uuid
from pathlib import Path

import anyio
import uvicorn

from standins.balancer import RETRY_ERRORS, Balancer
from standins.ledger import Ledger

ANNOUNCE_INTERVAL_S = 0.8
TRICKLE_PAUSE_S = 1.0


class Upstream:
    """The application of a stand-in upstream."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.ledger = Ledger(Path(options.ledger))
        self.balancer = Balancer(options.entries.split(","))
        self.incarnation = uuid.uuid4().hex[:8]
        self.leaving = False
        self.running: dict[str, int] = {}

    async def __call__(self, scope, receive, send) -> None:
        """Answer one request and record its start and end in the ledger."""
        headers = {k.decode(): v.decode() for k, v in scope["headers"]}
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        holder = headers.get("bluebellyoke-instance", "")
        fields = {
            "request": headers.get("bluebellyoke-request", ""),
            "caller": headers.get("x-caller", ""),
            "path": scope["path"],
        }
        self.running[holder] = self.running.get(holder, 0) + 1
        self.ledger.write(
            "start", running=sum(self.running.values()), leaving=self.leaving, **fields
        )
        try:
            await self._answer(scope, headers, body, send)
        finally:
            self.running[holder] -= 1
            if not self.running[holder]:
                del self.running[holder]
            self.ledger.write("end", **fields)

    async def _answer(self, scope, headers, body: bytes, send) -> None:
        _, action, *arguments = scope["path"].split("/")
        status, answer = 200, None
        if action == "sleep":
            await anyio.sleep(float(arguments[0]))
        elif action == "error":
            status = 500
        elif action in ("large", "trickle", "chunked"):
            answer = b"x" * int(arguments[0])
        if answer is None:
            echo = {
                "upstream": self.options.name,
                "path": scope["path"],
                "caller": headers.get("x-caller", ""),
                "body": body.decode("latin-1"),
            }
            answer = json.dumps(echo).encode()
        length = len(answer) + (10 if action == "cut" else 0)
        content_length = (b"content-length", str(length).encode())
        request_number = headers.get("bluebellyoke-request", "").encode()
        if action == "crossed":
            request_number = b"another/1"
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    (b"content-type", b"application/json"),
                    (b"bluebellyoke-request", request_number),
                    *([] if action == "chunked" else [content_length]),
                ],
            }
        )
        if action in ("trickle", "chunked"):
            half, answer = answer[: len(answer) // 2], answer[len(answer) // 2 :]
            await send({"type": "http.response.body", "body": half, "more_body": True})
            await anyio.sleep(TRICKLE_PAUSE_S)
        await send({"type": "http.response.body", "body": answer})

    async def announce_forever(self) -> None:
        """Send announcements periodically until cancelled."""
        while True:
            await self.announce()
            await anyio.sleep(ANNOUNCE_INTERVAL_S)

    async def announce(self) -> None:
        """Send one announcement through any instance."""
        options = self.options
        value = {
            "name": options.name,
            "incarnation": self.incarnation,
            "service": options.service,
            "address": options.address,
            "port": options.port,
            "slots": options.slots,
            "connections": 60,
            "data_centre": options.data_centre,
            "leaving": self.leaving,
            "running": dict(self.running),
        }
        with contextlib.suppress(*RETRY_ERRORS, RuntimeError):
            await self.balancer.send_json(
                "POST", "/v1/upstreams", value, timeout_s=2.0, retry_statuses=(503,)
            )

    async def leave(self) -> None:
        """Announce that this upstream is leaving and finish the running requests."""
        self.leaving = True
        self.ledger.write("leaving")
        await self.announce()
        with anyio.move_on_after(self.options.leave_s):
            await anyio.sleep(3.0)
            while self.running:
                await anyio.sleep(0.05)


class _Server(uvicorn.Server):
    """Server that leaves the handling of signals to `run`."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


async def run(options: argparse.Namespace) -> None:
    """Run until SIGTERM."""
    upstream = Upstream(options)
    config = uvicorn.Config(
        upstream,
        host=options.address,
        port=options.port,
        http="httptools",
        ws="none",
        lifespan="off",
        log_level="error",
        timeout_keep_alive=600,
        backlog=1024,
    )
    server = _Server(config)
    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve)
            tasks.start_soon(upstream.announce_forever)
            async for _ in signals:
                break
            await upstream.leave()
            server.should_exit = True
            tasks.cancel_scope.cancel()


def main() -> None:
    """Parse the command line and run."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--data-centre", default="")
    # Addresses of all instances, joined by commas.
    parser.add_argument("--entries", required=True)
    parser.add_argument("--ledger", required=True)
    parser.add_argument("--leave-s", type=float, default=10.0)
    anyio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()
