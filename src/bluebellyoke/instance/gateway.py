"""Interface of an adapter that runs a cell on an external platform.

An adapter translates between the platform's formats and those of the cell. It has
listeners for the platform's callers and clients of the platform's services.
"""

import abc
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bluebellyoke.dispatch.ports import Advisor, WorkerClient
from bluebellyoke.instance.queues import QueueClient
from bluebellyoke.metrics import Metrics
from bluebellyoke.settings import Settings

__all__ = ["AsgiApp", "Gateway", "GatewayContext", "Listener"]

AsgiApp = Callable[[dict, Callable, Callable], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Listener:
    """An address to listen on and the ASGI app that handles its requests.

    Attributes:
        max_body_bytes: Maximum size of a body, which the app reads whole before it acts
            on a request.
    """

    address: str
    port: int
    app: AsgiApp
    max_body_bytes: int


@dataclass(frozen=True, slots=True)
class GatewayContext:
    """Interfaces of the instance that an adapter may use.

    Attributes:
        queues: Client for requests to the leader.
        metrics: Metrics of the instance.
        is_ready: Returns whether the load balancer may send requests to the instance.
        is_leaving: Returns whether the instance is shutting down.
    """

    queues: QueueClient
    metrics: Metrics
    is_ready: Callable[[], bool]
    is_leaving: Callable[[], bool]


class Gateway(abc.ABC):
    """Adapter to an external platform."""

    @abc.abstractmethod
    def create_listeners(self, context: GatewayContext) -> list[Listener]:
        """Return the adapter's listeners."""

    @abc.abstractmethod
    def create_worker_client(self) -> WorkerClient:
        """Return the client for calls to the platform's workers."""

    @abc.abstractmethod
    def create_advisor(self) -> Advisor | None:
        """Return the client of the platform's advisor, or None if it has none."""

    @abc.abstractmethod
    def reload_settings(self) -> Settings | None:
        """Reload the settings; return None if they are unchanged or cannot be used.

        An error is logged. The method is called every few seconds.
        """
