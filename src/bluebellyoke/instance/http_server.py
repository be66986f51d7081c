"""The HTTP server of an instance, with the limits on its clients."""

import contextlib
import functools
import socket

import anyio
import uvicorn

from bluebellyoke.clock import Clock
from bluebellyoke.instance.connection_guard import GuardedProtocol
from bluebellyoke.instance.connection_limits import (
    ACCEPT_BATCH,
    BodyLimits,
    ListenerLimits,
)
from bluebellyoke.instance.connection_table import ConnectionTable
from bluebellyoke.instance.gateway import AsgiApp, Listener
from bluebellyoke.instance.guard_context import ConnectionGuard
from bluebellyoke.instance.http import BODY_LIMITS

__all__ = [
    "HTTP_CLOSE_TIMEOUT_S",
    "LISTEN_BACKLOG",
    "HttpServer",
    "create_http_server",
    "sweep_connections",
]

#: Timeout for closing the HTTP connections after the last request, in seconds.
HTTP_CLOSE_TIMEOUT_S = 3.0

#: Maximum number of connections that wait to be accepted by a listener.
LISTEN_BACKLOG = 2048

#: Interval at which connections whose time is up are closed, in seconds.
SWEEP_INTERVAL_S = 0.5


class HttpServer(uvicorn.Server):
    """uvicorn without signal handlers; `Application` handles the signals."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Leave the signals alone."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen with a long queue, although few connections are accepted at once.

        uvicorn and asyncio use one number for both. Connections that are accepted
        together have descriptors before any of them can be refused.
        """
        await super().startup(sockets)
        for item in sockets or ():
            item.listen(LISTEN_BACKLOG)


class _PortRouter:
    """Dispatches each request to the ASGI app of the address that received it.

    Args:
        default_app: App for addresses that no listener has.
        listeners: Listeners with an app of their own.
    """

    def __init__(self, default_app: AsgiApp, listeners: list[Listener]) -> None:
        self._default_app = default_app
        self._apps = {(item.address, item.port): item.app for item in listeners}

    async def __call__(self, scope: dict, receive, send) -> None:
        endpoint = tuple(scope.get("server") or ())[:2]
        await self._apps.get(endpoint, self._default_app)(scope, receive, send)


def create_http_server(
    interface: AsgiApp,
    listeners: list[Listener],
    *,
    table: ConnectionTable,
    clock: Clock,
) -> HttpServer:
    """Return the server of all HTTP listeners.

    Args:
        interface: App for addresses that no listener has.
        listeners: Listeners with an app of their own.
        table: The connections of clients and their limits.
        clock: Source of time.
    """
    guard = ConnectionGuard(
        table=table,
        clock=clock,
        listeners={
            (item.address, item.port): ListenerLimits(
                BodyLimits(item.max_body_bytes, item.max_body_bytes)
            )
            for item in listeners
        },
        default_limits=BODY_LIMITS,
    )
    config = uvicorn.Config(
        _PortRouter(interface, listeners),
        http=functools.partial(GuardedProtocol, guard=guard),
        ws="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        server_header=False,
        date_header=False,
        timeout_keep_alive=int(table.limits.idle_timeout_s),
        timeout_graceful_shutdown=int(HTTP_CLOSE_TIMEOUT_S),
        backlog=ACCEPT_BATCH,
    )
    return HttpServer(config)


async def sweep_connections(table: ConnectionTable, clock: Clock) -> None:
    """Close the connections whose time is up, until cancelled."""
    while True:
        await anyio.sleep(SWEEP_INTERVAL_S)
        table.sweep(clock.monotonic())
