"""HTTP client of the operators' API, used by the command line."""

import json
from dataclasses import dataclass

import httpcore

from bluebellyoke.errors import BluebellyokeError

__all__ = ["ApiResponse", "Client", "NoInstanceError"]

CONNECT_TIMEOUT_S = 2.0
RESPONSE_TIMEOUT_S = 15.0


class NoInstanceError(BluebellyokeError):
    """No instance responded."""

    def __init__(self, servers: list[str], cause: str) -> None:
        super().__init__(
            f"no instance of {', '.join(servers)} responded ({cause})",
            remedy="name running instances with --server IP:PORT",
        )


@dataclass(frozen=True, slots=True)
class ApiResponse:
    """Status code and decoded JSON body of a response."""

    status: int
    value: dict

    @property
    def is_success(self) -> bool:
        """Whether the instance carried out the request."""
        return self.status < 300


class Client:
    """Client that tries instances in order until one responds.

    Args:
        servers: HTTP addresses of instances, `IP:PORT`.
    """

    def __init__(self, servers: list[str]) -> None:
        self._servers = servers

    def request(self, method: str, path: str, body: bytes = b"") -> ApiResponse:
        """Send a request to the first instance that responds.

        Raises:
            NoInstanceError: Each instance failed to respond or has no leader.
        """
        cause = "no address given"
        for server in self._servers:
            try:
                response = self._send(server, method, path, body)
            except (httpcore.NetworkError, httpcore.TimeoutException) as error:
                cause = f"{server}: {error or type(error).__name__}"
                continue
            except httpcore.ProtocolError as error:
                cause = f"{server}: {error}"
                continue
            if response.status != 503:
                return response
            cause = f"{server}: {response.value.get('reason', 'unavailable')}"
        raise NoInstanceError(self._servers, cause)

    def _send(self, server: str, method: str, path: str, body: bytes) -> ApiResponse:
        timeout = {
            "connect": CONNECT_TIMEOUT_S,
            "read": RESPONSE_TIMEOUT_S,
            "write": RESPONSE_TIMEOUT_S,
        }
        with httpcore.ConnectionPool() as pool:
            response = pool.request(
                method,
                f"http://{server}{path}",
                headers={"content-type": "application/json"},
                content=body,
                extensions={"timeout": timeout},
            )
        try:
            value = json.loads(response.content or b"{}")
        except ValueError:
            value = {"reason": response.content.decode("utf-8", "replace")}
        return ApiResponse(response.status, value)
