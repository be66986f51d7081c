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
from bluebellyoke.consensus.bootstrap import (
    create_founding_replica,
    create_joining_replica,
)
from bluebellyoke.consensus.membership_planner import MembershipOptions
from bluebellyoke.consensus.messages import Envelope
from bluebellyoke.consensus.storage import holds_replica
from bluebellyoke.consensus.timing import ElectionTiming
from bluebellyoke.dispatch.calls import WorkerCalls
from bluebellyoke.dispatch.ports import NullWorkerClient
from bluebellyoke.dispatch.workers import LeaseTimes
from bluebellyoke.errors import BluebellyokeError, find_error
from bluebellyoke.instance import wire as w
from bluebellyoke.instance.api import Api, InstanceStatus
from bluebellyoke.instance.codec import MessageCodec
from bluebellyoke.instance.directory import Directory
from bluebellyoke.instance.gateway import AsgiApp, Gateway, GatewayParts, Listener
from bluebellyoke.instance.http import HttpInterface
from bluebellyoke.instance.link import Link
from bluebellyoke.instance.peers import PeerReceiver, PeerSender
from bluebellyoke.instance.proxy import RequestProxy
from bluebellyoke.instance.queues import AdviceHandler, QueueClient
from bluebellyoke.instance.replica import (
    Replica,
    ReplicaOptions,
    SessionClosed,
    SessionInput,
)
from bluebellyoke.instance.sessions import SessionServer
from bluebellyoke.leader.controller import LeaderController
from bluebellyoke.leader.sessions import LeaderOptions
from bluebellyoke.metrics import Metrics
from bluebellyoke.placement.engine import PlacementEngine
from bluebellyoke.placement.policies import create_policy
from bluebellyoke.routing.router import Router
from bluebellyoke.settings import Settings

__all__ = ["Application", "PortInUseError"]

logger = logging.getLogger("bluebellyoke.instance")

#: Polls within the silence after which an instance seeks another leader.
POLLS_PER_SILENCE = 2.5

#: Time to close the HTTP connections after the last request, in seconds.
HTTP_CLOSE_S = 3.0

#: Time between two looks at the settings while the cell is out of reach, in seconds.
SEEK_S = 2.0

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


class _PortRouter:
    """Sends each request to what answers at the port that it came to."""

    def __init__(self, own: AsgiApp, listeners: list[Listener]) -> None:
        self._own = own
        self._apps = {(item.address, item.port): item.app for item in listeners}

    async def __call__(self, scope: dict, receive, send) -> None:
        place = tuple(scope.get("server") or ())[:2]
        await self._apps.get(place, self._own)(scope, receive, send)


class Application:
    """Owns the parts of an instance.

    Args:
        settings: Checked settings.
        path: File of the settings, for error messages.
        clock: Source of time.
        gateway: Adapter to a foreign platform, if the instance runs on one.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        path: Path,
        clock: Clock,
        gateway: Gateway | None = None,
    ) -> None:
        self._gateway = gateway
        self._settings = settings
        self._path = path
        self._clock = clock
        self._metrics = Metrics()
        self._seeds = settings.instance.seeds
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
            build_poll=lambda: self._proxy.build_poll(),
            on_message=self._on_leader_message,
            poll_interval_s=settings.limits.leader_silence_s / POLLS_PER_SILENCE,
            silence_s=settings.limits.leader_silence_s,
            list_known=self._list_known,
        )
        self._proxy = RequestProxy(
            router=self._router,
            link=self._link,
            clock=clock,
            holder=f"{own.name}/{self._status.incarnation}",
            metrics=self._metrics,
        )
        self._queues = QueueClient(link=self._link, clock=clock, metrics=self._metrics)
        self._advice = AdviceHandler(
            advisor=gateway.create_advisor() if gateway is not None else None,
            link=self._link,
            clock=clock,
            metrics=self._metrics,
        )
        self._replica: Replica | None = None
        self._directory: Directory | None = None
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
        listeners = self._gateway_listeners()
        sockets = [self._listen("http_port", own.address, own.http_port)]
        try:
            sockets.append(self._listen("peer_port", own.address, own.peer_port))
            for item in listeners:
                sockets.append(self._listen("gateway", item.address, item.port))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_signals)
                if self._gateway is not None:
                    tasks.start_soon(self._watch_settings)
                async with self._run_peer(sockets[1]):
                    server = self._create_http_server(listeners)
                    async with anyio.create_task_group() as parts:
                        parts.start_soon(self._link.run)
                        parts.start_soon(self._proxy.run)
                        parts.start_soon(self._advice.run)
                        parts.start_soon(server.serve, [sockets[0], *sockets[2:]])
                        logger.info(
                            "instance: serves",
                            extra={"address": own.address, "port": own.http_port},
                        )
                        await self._stop_wanted.wait()
                        await self._drain(server)
                        parts.cancel_scope.cancel()
                tasks.cancel_scope.cancel()
        finally:
            for item in sockets:
                item.close()
        logger.info("instance: stopped")
        if self._fault is not None:
            raise self._fault

    def _gateway_listeners(self) -> list[Listener]:
        if self._gateway is None:
            return []
        parts = GatewayParts(
            queues=self._queues,
            metrics=self._metrics,
            is_ready=self._is_ready,
            is_leaving=lambda: self._status.leaving,
        )
        return self._gateway.create_listeners(parts)

    def _is_ready(self) -> bool:
        has_lease = self._router.has_lease(self._clock.monotonic())
        return has_lease and not self._status.leaving

    def _on_leader_message(self, message: w.FromLeader) -> None:
        if isinstance(message, w.AdviceCall):
            self._advice.enqueue(message)
        else:
            self._proxy.on_leader_message(message)

    def _listen(self, key: str, address: str, port: int) -> socket.socket:
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
        wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*wanted) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    self._reload()
                else:
                    self.request_stop()

    async def _watch_settings(self) -> None:
        """Read the settings again while the cell is out of reach."""
        while True:
            await anyio.sleep(SEEK_S)
            if not self._link.connected:
                self._reload()

    def _reload(self) -> None:
        """Take over the seeds of the settings; the rest holds until a restart."""
        settings = self._gateway.reload() if self._gateway is not None else None
        if settings is None or settings.instance.seeds == self._seeds:
            return
        self._seeds = settings.instance.seeds
        self._link.set_seeds(self._seeds)
        if self._replica is not None:
            self._replica.set_seeds(self._seeds)
        logger.info("instance: reloads", extra={"seeds": list(self._seeds)})

    def _create_http_server(self, listeners: list[Listener]) -> _HttpServer:
        api = Api(
            proxy=self._proxy,
            link=self._link,
            clock=self._clock,
            status=self._status,
            metrics=self._metrics,
        )
        interface = HttpInterface(
            proxy=self._proxy,
            api=api,
            clock=self._clock,
            longest_deadline_s=self._settings.limits.longest_deadline_s,
        )
        config = uvicorn.Config(
            _PortRouter(interface, listeners),
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

    def _count_open(self) -> int:
        return (
            self._proxy.open_requests
            + self._router.active_requests
            + self._queues.open_requests
        )

    # Replica.

    @contextlib.asynccontextmanager
    async def _run_peer(self, peer_socket: socket.socket) -> AsyncIterator[None]:
        """Run the peer listener around the body, and the replica if there is one."""
        async with anyio.create_task_group() as tasks:
            sender = PeerSender(tasks)
            cell = self._settings.cell.name
            self._directory = Directory(cell=cell, send=sender.send)
            if self._settings.instance.data_folder is not None:
                self._make_folder()
                self._replica = self._create_replica(sender)
                self._status.describe_replica = self._replica.describe
            server = GrpcServer(
                [PeerReceiver(self._deliver), SessionServer(self._post)],
                codec=MessageCodec(),
            )
            await server.start(sock=peer_socket)
            if self._replica is not None:
                tasks.start_soon(self._run_until_fault, self._replica)
            try:
                yield
            finally:
                server.close()
                tasks.cancel_scope.cancel()

    def _deliver(self, envelope: Envelope) -> bool:
        """Take an envelope of a peer."""
        if self._replica is not None:
            return self._replica.post(envelope)
        return self._directory.deliver(envelope)

    def _post(self, item: SessionInput | SessionClosed) -> bool:
        """Take a message of an instance's stream."""
        if self._replica is not None:
            return self._replica.post(item)
        if isinstance(item, SessionInput):
            self._directory.answer(item.send)
        return True

    def _list_known(self) -> tuple[str, ...]:
        own = self._replica.peers if self._replica is not None else ()
        known = self._directory.addresses if self._directory is not None else ()
        return (*own, *known)

    def _make_folder(self) -> None:
        """Make an empty data folder where an adapter starts instances unattended."""
        own, cell = self._settings.instance, self._settings.cell
        if self._gateway is None or holds_replica(own.data_folder):
            return
        address = f"{own.address}:{own.external_peer_port}"
        if own.founder and address in own.seeds:
            create_founding_replica(
                folder=own.data_folder,
                cell=cell.name,
                own_address=address,
                founder_addresses=own.seeds,
            )
        else:
            create_joining_replica(
                folder=own.data_folder, cell=cell.name, name=own.name
            )

    async def _run_until_fault(self, replica: Replica) -> None:
        """Run the replica; if its disk fails, let the instance drain and end.

        Callers' requests in hand do not depend on the own disk.
        """
        try:
            await replica.run()
        except* BluebellyokeError as group:
            self._fault = find_error(group)
            logger.error(
                "instance: lost its replica", extra={"fault": str(self._fault)}
            )
            self._replica = None
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
        controller = LeaderController(
            options=LeaderOptions(
                instance_lease_s=limits.instance_lease_s,
                worker_lease_s=limits.worker_lease_s,
                upstream_silence_s=limits.upstream_silence_s,
                longest_deadline_s=limits.longest_deadline_s,
            ),
            engine=engine,
            calls=self._create_calls(),
            lease_times=LeaseTimes(
                lease_s=limits.called_worker_lease_s,
                max_lease_s=limits.longest_called_worker_lease_s,
            ),
        )
        return Replica(
            options=ReplicaOptions(
                cell=cell.name,
                folder=own.data_folder,
                name=own.name,
                address=own.address,
                port=own.external_peer_port,
                data_centre=own.data_centre,
                timing=ElectionTiming.from_min_timeout(cell.election_s),
                repair=MembershipOptions(
                    target_voters=cell.voters, replace_after_s=cell.replace_after_s
                ),
                snapshot_bytes=limits.snapshot_mb * 1024 * 1024,
                seeds=own.seeds,
            ),
            controller=controller,
            clock=self._clock,
            metrics=self._metrics,
            send=sender.send,
            directory=self._directory,
        )

    def _create_calls(self) -> WorkerCalls:
        caller = NullWorkerClient()
        if self._gateway is not None:
            caller = self._gateway.create_caller()
        return WorkerCalls(client=caller, clock=self._clock, metrics=self._metrics)

    # Stop.

    async def _drain(self, server: _HttpServer) -> None:
        limits = self._settings.limits
        self._status.leaving = True
        logger.info("instance: drains", extra={"linger_s": limits.linger_s})
        await anyio.sleep(limits.linger_s)
        self._router.draining = True
        self._link.poll_soon()
        with anyio.move_on_after(limits.longest_deadline_s):
            while self._count_open():
                await anyio.sleep(0.02)
        await self._link.say_bye()
        server.should_exit = True
        if self._replica is not None:
            await self._replica.hand_over()
        with anyio.move_on_after(HTTP_CLOSE_S):
            while server.server_state.connections:
                await anyio.sleep(0.02)
