"""Interface of an adapter that lets a cell run on a foreign platform.

An adapter translates. It has listeners of its own for callers that speak the
platform's formats, and clients for what the platform provides.
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
    """An address to listen on and what answers there."""

    address: str
    port: int
    app: AsgiApp


@dataclass(frozen=True, slots=True)
class GatewayContext:
    """What an adapter may use of its instance.

    Attributes:
        queues: Requests to the leader.
        is_ready: Whether the balancer may send callers here.
        is_leaving: Whether the instance is about to stop.
    """

    queues: QueueClient
    metrics: Metrics
    is_ready: Callable[[], bool]
    is_leaving: Callable[[], bool]


class Gateway(abc.ABC):
    """Adapter to a platform."""

    @abc.abstractmethod
    def create_listeners(self, context: GatewayContext) -> list[Listener]:
        """Return the adapter's listeners."""

    @abc.abstractmethod
    def create_worker_client(self) -> WorkerClient:
        """Return the client of the platform's workers."""

    @abc.abstractmethod
    def create_advisor(self) -> Advisor | None:
        """Return the client of the platform's advisor, if there is one."""

    @abc.abstractmethod
    def reload_settings(self) -> Settings | None:
        """Read the settings anew; return None and log why if they cannot be read."""
