"""One running instance: its parts, their start, and their graceful stop.

A planned stop goes in steps. The health check fails, so that the balancer turns
callers away; after the linger time new requests are refused as not run; requests in
hand finish; slots go back; a leading replica hands over; then the process ends.
"""

import contextlib
import logging
import random
import signal
import socket
import uuid
from collections.abc import AsyncIterator
from pathlib import Path

import anyio
import uvicorn
from grpclib.server import Server as GrpcServer

from bluebellyoke.clock import Clock
from bluebellyoke.consensus.repair import RepairOptions
from bluebellyoke.errors import BluebellyokeError, find_fault
from bluebellyoke.instance import wire as w
from bluebellyoke.instance.api import Api, InstanceStatus
from bluebellyoke.instance.codec import MessageCodec
from bluebellyoke.instance.entry import Entry
from bluebellyoke.instance.http import HttpInterface
from bluebellyoke.instance.link import Link
from bluebellyoke.instance.peers import PeerReceiver, PeerSender
from bluebellyoke.instance.replica import Replica, ReplicaOptions
from bluebellyoke.instance.sessions import SessionServer
from bluebellyoke.leader.director import Director
from bluebellyoke.leader.sessions import DirectorOptions
from bluebellyoke.metrics import Metrics
from bluebellyoke.placement.engine import PlacementEngine
from bluebellyoke.placement.policies import create_policy
from bluebellyoke.routing.router import Router
from bluebellyoke.settings import Settings

__all__ = ["Application", "PortInUseError"]

logger = logging.getLogger("bluebellyoke.instance")

#: Longest time between two polls, in seconds.
POLL_INTERVAL_S = 0.4

#: Time to close the HTTP connections after the last request, in seconds.
HTTP_CLOSE_S = 3.0

#: Connections that wait to be accepted.
BACKLOG = 2048


class PortInUseError(BluebellyokeError):
    """A listener's port is taken or its address is not on this machine."""

    def __init__(self, path: Path, key: str, endpoint: str, error: OSError) -> None:
        super().__init__(
            f"{path}: key `instance.{key}`: cannot listen on {endpoint}: "
            f"{error.strerror}",
            remedy="choose a free port and an address of this machine",
        )


class _HttpServer(uvicorn.Server):
    """uvicorn without signal handlers; the application owns the signals."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class Application:
    """Owns the parts of an instance.

    Args:
        settings: Checked settings.
        path: File of the settings, for error messages.
        clock: Source of time.
    """

    def __init__(self, *, settings: Settings, path: Path, clock: Clock) -> None:
        self._settings = settings
        self._path = path
        self._clock = clock
        self._metrics = Metrics()
        own = settings.instance
        self._status = InstanceStatus(name=own.name, incarnation=uuid.uuid4().hex[:12])
        self._status.request_drain = self.request_stop
        self._stop_wanted = anyio.Event()
        self._router = Router(data_centre=own.data_centre)
        self._link = Link(
            hello=w.Hello(
                settings.cell.name,
                own.name,
                self._status.incarnation,
                own.data_centre,
            ),
            seeds=own.seeds,
            clock=clock,
            begin_stream=self._router.begin_stream,
            build_poll=lambda: self._entry.build_poll(),
            on_message=lambda message: self._entry.on_leader_message(message),
            poll_interval_s=POLL_INTERVAL_S,
        )
        self._entry = Entry(
            router=self._router,
            link=self._link,
            clock=clock,
            holder=f"{own.name}/{self._status.incarnation}",
            metrics=self._metrics,
        )
        self._replica: Replica | None = None
        self._fault: BluebellyokeError | None = None

    def request_stop(self) -> None:
        """Begin the graceful stop."""
        self._stop_wanted.set()

    async def run(self) -> None:
        """Run until a stop is asked for and finished.

        Raises:
            PortInUseError: A listener cannot be opened.
            BluebellyokeError: The data folder cannot be used, or failed meanwhile.
        """
        own = self._settings.instance
        http_socket = self._listen("http_port", own.http_port)
        peer_socket = None
        try:
            if own.data_folder is not None:
                peer_socket = self._listen("peer_port", own.peer_port)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_signals)
                async with self._run_replica(peer_socket):
                    server = self._create_http_server()
                    async with anyio.create_task_group() as parts:
                        parts.start_soon(self._link.run)
                        parts.start_soon(self._entry.run)
                        parts.start_soon(server.serve, [http_socket])
                        logger.info(
                            "instance: serves",
                            extra={"address": own.address, "port": own.http_port},
                        )
                        await self._stop_wanted.wait()
                        await self._drain(server)
                        parts.cancel_scope.cancel()
                tasks.cancel_scope.cancel()
        finally:
            http_socket.close()
            if peer_socket is not None:
                peer_socket.close()
        logger.info("instance: stopped")
        if self._fault is not None:
            raise self._fault

    def _listen(self, key: str, port: int) -> socket.socket:
        address = self._settings.instance.address
        family = socket.AF_INET6 if ":" in address else socket.AF_INET
        # asyncio turns Nagle's algorithm off only where the protocol is explicit.
        listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((address, port))
            listener.listen(BACKLOG)
        except OSError as error:
            listener.close()
            raise PortInUseError(self._path, key, f"{address}:{port}", error) from error
        listener.setblocking(False)
        return listener

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.request_stop()

    def _create_http_server(self) -> _HttpServer:
        api = Api(
            entry=self._entry,
            link=self._link,
            clock=self._clock,
            status=self._status,
            metrics=self._metrics,
        )
        interface = HttpInterface(
            entry=self._entry,
            api=api,
            clock=self._clock,
            longest_deadline_s=self._settings.limits.longest_deadline_s,
        )
        config = uvicorn.Config(
            interface,
            http="httptools",
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
            server_header=False,
            date_header=False,
            timeout_keep_alive=75,
            timeout_graceful_shutdown=int(HTTP_CLOSE_S),
            backlog=BACKLOG,
        )
        return _HttpServer(config)

    # Replica.

    @contextlib.asynccontextmanager
    async def _run_replica(
        self, peer_socket: socket.socket | None
    ) -> AsyncIterator[None]:
        """Run the replica's parts around the body, if there is a data folder."""
        if peer_socket is None:
            yield
            return
        async with anyio.create_task_group() as tasks:
            sender = PeerSender(tasks)
            self._replica = self._create_replica(sender)
            self._status.describe_replica = self._replica.describe
            server = GrpcServer(
                [PeerReceiver(self._replica.post), SessionServer(self._replica.post)],
                codec=MessageCodec(),
            )
            await server.start(sock=peer_socket)
            tasks.start_soon(self._run_until_fault, self._replica, server)
            try:
                yield
            finally:
                server.close()
                tasks.cancel_scope.cancel()

    async def _run_until_fault(self, replica: Replica, server: GrpcServer) -> None:
        """Run the replica; if its disk fails, let the instance drain and end.

        Callers' requests in hand do not depend on the own disk.
        """
        try:
            await replica.run()
        except* BluebellyokeError as group:
            self._fault = find_fault(group)
            logger.error(
                "instance: lost its replica", extra={"fault": str(self._fault)}
            )
            self._replica = None
            server.close()
            self.request_stop()

    def _create_replica(self, sender: PeerSender) -> Replica:
        settings = self._settings
        own, cell, limits = settings.instance, settings.cell, settings.limits
        engine = PlacementEngine(
            policy=create_policy(cell.policy),
            random_source=random.Random(own.name),
            day_hours=(cell.day_starts_hour, cell.day_ends_hour),
            utc_offset_hours=cell.utc_offset_hours,
        )
        director = Director(
            options=DirectorOptions(
                instance_lease_s=limits.instance_lease_s,
                worker_lease_s=limits.worker_lease_s,
                upstream_silence_s=limits.upstream_silence_s,
                longest_deadline_s=limits.longest_deadline_s,
            ),
            engine=engine,
        )
        return Replica(
            options=ReplicaOptions(
                cell=cell.name,
                folder=own.data_folder,
                name=own.name,
                address=own.address,
                port=own.reached_port,
                data_centre=own.data_centre,
                repair=RepairOptions(
                    target_voters=cell.voters, replace_after_s=cell.replace_after_s
                ),
                snapshot_bytes=limits.snapshot_mb * 1024 * 1024,
                seeds=own.seeds,
            ),
            director=director,
            clock=self._clock,
            metrics=self._metrics,
            send=sender.send,
        )

    # Stop.

    async def _drain(self, server: _HttpServer) -> None:
        limits = self._settings.limits
        self._status.leaving = True
        logger.info("instance: drains", extra={"linger_s": limits.linger_s})
        await anyio.sleep(limits.linger_s)
        self._router.draining = True
        self._link.poll_soon()
        with anyio.move_on_after(limits.longest_deadline_s):
            while self._entry.open_requests or self._router.in_hand:
                await anyio.sleep(0.02)
        await self._link.say_bye()
        server.should_exit = True
        if self._replica is not None:
            await self._replica.hand_over()
        with anyio.move_on_after(HTTP_CLOSE_S):
            while server.server_state.connections:
                await anyio.sleep(0.02)
