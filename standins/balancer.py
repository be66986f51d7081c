"""The platform's balancer as a client sees it: one of the instances, in turn."""

import itertools
import json

import httpcore

RETRY_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


class Balancer:
    """Sends each request to the next instance; passes over dead ones."""

    def __init__(self, instances: list[str]) -> None:
        self._instances = instances
        self._turn = itertools.count()
        self._pool = httpcore.AsyncConnectionPool(max_connections=200)

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 10.0,
        tries: int | None = None,
        keep_trying_on: tuple[int, ...] = (),
    ) -> tuple[int, dict[str, str], bytes]:
        """Return status, headers and body of the first instance that answers."""
        error: Exception | None = None
        for _ in range(tries or len(self._instances)):
            instance = self._instances[next(self._turn) % len(self._instances)]
            try:
                response = await self._pool.request(
                    method,
                    f"http://{instance}{path}",
                    headers=headers or {},
                    content=body,
                    extensions={
                        "timeout": {"connect": 1.0, "read": timeout_s, "write": 5.0}
                    },
                )
            except RETRY_ERRORS as failure:
                error = failure
                continue
            if response.status in keep_trying_on:
                error = RuntimeError(f"status {response.status}")
                continue
            found = {k.decode().lower(): v.decode() for k, v in response.headers}
            return response.status, found, response.content
        raise error or RuntimeError("no instance")

    async def send_json(
        self, method: str, path: str, value: dict | None = None, **options
    ) -> tuple[int, dict]:
        """Send a JSON value and return status and JSON answer."""
        body = b"" if value is None else json.dumps(value).encode()
        headers = {"content-type": "application/json"}
        status, _, answer = await self.request(method, path, body, headers, **options)
        return status, json.loads(answer or b"{}")

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()
