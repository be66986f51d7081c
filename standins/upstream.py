"""A stand-in upstream: answers requests and announces itself.

The path of a request tells what to do: `/sleep/0.2` waits, `/error` answers 500,
`/cut` breaks off in the middle, `/crossed` answers under another request's number,
`/large/1000000` sends that many bytes, `/trickle/1000000` does so with a pause in the
middle, `/chunked/1000000` also without telling the length, anything else is echoed.
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

RENEW_S = 0.8
PAUSE_S = 1.0


class Upstream:
    """One stand-in upstream process."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.ledger = Ledger(Path(options.ledger))
        self.balancer = Balancer(options.entries.split(","))
        self.incarnation = uuid.uuid4().hex[:8]
        self.leaving = False
        self.running: dict[str, int] = {}

    async def __call__(self, scope, receive, send) -> None:
        """Answer one request."""
        headers = {k.decode(): v.decode() for k, v in scope["headers"]}
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        holder = headers.get("bluebellyoke-instance", "")
        facts = {
            "request": headers.get("bluebellyoke-request", ""),
            "caller": headers.get("x-caller", ""),
            "path": scope["path"],
        }
        self.running[holder] = self.running.get(holder, 0) + 1
        self.ledger.write(
            "start", running=sum(self.running.values()), leaving=self.leaving, **facts
        )
        try:
            await self._answer(scope, headers, body, send)
        finally:
            self.running[holder] -= 1
            if not self.running[holder]:
                del self.running[holder]
            self.ledger.write("end", **facts)

    async def _answer(self, scope, headers, body: bytes, send) -> None:
        _, what, *rest = scope["path"].split("/")
        status, answer = 200, None
        if what == "sleep":
            await anyio.sleep(float(rest[0]))
        elif what == "error":
            status = 500
        elif what in ("large", "trickle", "chunked"):
            answer = b"x" * int(rest[0])
        if answer is None:
            echo = {
                "upstream": self.options.name,
                "path": scope["path"],
                "caller": headers.get("x-caller", ""),
                "body": body.decode("latin-1"),
            }
            answer = json.dumps(echo).encode()
        length = len(answer) + (10 if what == "cut" else 0)
        told_length = (b"content-length", str(length).encode())
        number = headers.get("bluebellyoke-request", "").encode()
        if what == "crossed":
            number = b"another/1"
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    (b"content-type", b"application/json"),
                    (b"bluebellyoke-request", number),
                    *([] if what == "chunked" else [told_length]),
                ],
            }
        )
        if what in ("trickle", "chunked"):
            half, answer = answer[: len(answer) // 2], answer[len(answer) // 2 :]
            await send({"type": "http.response.body", "body": half, "more_body": True})
            await anyio.sleep(PAUSE_S)
        await send({"type": "http.response.body", "body": answer})

    async def announce_forever(self) -> None:
        """Renew the announcement until cancelled."""
        while True:
            await self.announce()
            await anyio.sleep(RENEW_S)

    async def announce(self) -> None:
        """Announce this upstream once, through any instance."""
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
                "POST", "/v1/upstreams", value, timeout_s=2.0, keep_trying_on=(503,)
            )

    async def leave(self) -> None:
        """Say that this upstream is leaving and finish what it has."""
        self.leaving = True
        self.ledger.write("leaving")
        await self.announce()
        with anyio.move_on_after(self.options.leave_s):
            await anyio.sleep(3.0)
            while self.running:
                await anyio.sleep(0.05)


class _Server(uvicorn.Server):
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
    parser.add_argument("--entries", required=True)
    parser.add_argument("--ledger", required=True)
    parser.add_argument("--leave-s", type=float, default=10.0)
    anyio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()
