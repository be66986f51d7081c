"""Client-side stand-in of a load balancer that selects instances round robin."""

import itertools
import json

import httpcore

RETRY_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


class Balancer:
    """Sends each request to the next instance and skips instances that fail.

    Args:
        instances: HTTP addresses of the instances.
    """

    def __init__(self, instances: list[str]) -> None:
        self._instances = instances
        self._next_index = itertools.count()
        self._pool = httpcore.AsyncConnectionPool(max_connections=200)

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 10.0,
        attempts: int | None = None,
        retry_statuses: tuple[int, ...] = (),
    ) -> tuple[int, dict[str, str], bytes]:
        """Return status, headers and body of the first instance that answers.

        Args:
            method: HTTP method.
            path: Path of the request.
            body: Body of the request.
            headers: Headers of the request.
            timeout_s: Read timeout, in seconds.
            attempts: Maximum number of attempts; by default one per instance.
            retry_statuses: Statuses on which the next instance is tried.

        Raises:
            Exception: Error of the last attempt.
        """
        error: Exception | None = None
        for _ in range(attempts or len(self._instances)):
            instance = self._instances[next(self._next_index) % len(self._instances)]
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
            if response.status in retry_statuses:
                error = RuntimeError(f"status {response.status}")
                continue
            response_headers = {
                k.decode().lower(): v.decode() for k, v in response.headers
            }
            return response.status, response_headers, response.content
        raise error or RuntimeError("no instances are configured")

    async def send_json(
        self, method: str, path: str, value: dict | None = None, **options
    ) -> tuple[int, dict]:
        """Send a JSON value and return the status and the decoded JSON answer."""
        body = b"" if value is None else json.dumps(value).encode()
        headers = {"content-type": "application/json"}
        status, _, answer = await self.request(method, path, body, headers, **options)
        return status, json.loads(answer or b"{}")

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()
