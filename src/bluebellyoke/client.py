"""Operators' HTTP client, used by the command line."""

import json
from dataclasses import dataclass

import httpcore

from bluebellyoke.errors import BluebellyokeError

__all__ = ["ApiReply", "Client", "NoInstanceError"]

#: Time to connect to one instance, and to wait for its answer, in seconds.
CONNECT_S = 2.0
ANSWER_S = 15.0


class NoInstanceError(BluebellyokeError):
    """No instance answered."""

    def __init__(self, servers: list[str], error: str) -> None:
        super().__init__(
            f"no instance of {', '.join(servers)} answered ({error})",
            remedy="name running instances with --server IP:PORT",
        )


@dataclass(frozen=True, slots=True)
class ApiReply:
    """Status code and JSON value of an answer."""

    status: int
    value: dict

    @property
    def is_success(self) -> bool:
        """Whether the instance did what was asked."""
        return self.status < 300


class Client:
    """Asks instances in turn until one answers.

    Args:
        servers: HTTP addresses of instances, `IP:PORT`.
    """

    def __init__(self, servers: list[str]) -> None:
        self._servers = servers

    def request(self, method: str, path: str, body: bytes = b"") -> ApiReply:
        """Send a request and return the answer.

        Raises:
            NoInstanceError: No instance answered, or each lacks a leader.
        """
        error = "none was named"
        for server in self._servers:
            try:
                reply = self._ask(server, method, path, body)
            except (httpcore.NetworkError, httpcore.TimeoutException) as failure:
                error = f"{server}: {failure or type(failure).__name__}"
                continue
            except httpcore.ProtocolError as failure:
                error = f"{server}: {failure}"
                continue
            if reply.status != 503:
                return reply
            error = f"{server}: {reply.value.get('reason', 'unavailable')}"
        raise NoInstanceError(self._servers, error)

    def _ask(self, server: str, method: str, path: str, body: bytes) -> ApiReply:
        timeout = {"connect": CONNECT_S, "read": ANSWER_S, "write": ANSWER_S}
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
        return ApiReply(response.status, value)
