"""Startup and graceful shutdown of an instance.

A graceful shutdown takes these steps:

1. The health check fails, so that the load balancer stops sending requests.
2. After `linger_s`, new requests are refused as not run.
3. Open requests finish.
4. The instance returns its slots to the leader.
5. If the replica is the leader, it transfers the leadership. From the first step on,
   it asks the leader for its replacement by a spare replica.
6. The process exits.
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
from bluebellyoke.dispatch.features import DispatchFeatures
from bluebellyoke.dispatch.ports import NullWorkerClient
from bluebellyoke.dispatch.workers import LeaseTimes
from bluebellyoke.errors import BluebellyokeError, find_error
from bluebellyoke.instance import wire
from bluebellyoke.instance.api import Api, InstanceStatus
from bluebellyoke.instance.client_refusals import RefusalReport, create_limits
from bluebellyoke.instance.codec import MessageCodec
from bluebellyoke.instance.connection_limits import ACCEPT_BATCH
from bluebellyoke.instance.connection_table import ConnectionTable
from bluebellyoke.instance.directory import ReplicaDirectory
from bluebellyoke.instance.directory_service import DirectoryService
from bluebellyoke.instance.gateway import Gateway, GatewayContext, Listener
from bluebellyoke.instance.http import HttpInterface
from bluebellyoke.instance.http_server import (
    HTTP_CLOSE_TIMEOUT_S,
    LISTEN_BACKLOG,
    HttpServer,
    create_http_server,
    sweep_connections,
)
from bluebellyoke.instance.link import LeaderLink
from bluebellyoke.instance.peer_limits import PeerBudget, PeerServer
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
from bluebellyoke.instance.stalls import StallWatch
from bluebellyoke.leader.controller import LeaderController
from bluebellyoke.leader.sessions import LeaderOptions
from bluebellyoke.metrics import Metrics
from bluebellyoke.placement.engine import PlacementEngine
from bluebellyoke.placement.policies import create_policy
from bluebellyoke.routing.router import Router
from bluebellyoke.settings import Settings
from bluebellyoke.sources import compute_digest

__all__ = ["Application", "PortInUseError"]

logger = logging.getLogger("bluebellyoke.instance")

#: Polls per `leader_silence_s`, the time after which a silent leader is abandoned. It
#: holds while requests occupy slots or wait for one.
POLLS_PER_LEADER_SILENCE = 2.5

#: Polls of an idle instance per lease. Two of them may be lost.
POLLS_PER_LEASE = 3.0

#: Interval of reloading the settings, in seconds. They may change without a signal.
RELOAD_INTERVAL_S = 2.0


class PortInUseError(BluebellyokeError):
    """A listener's port is in use or its address is not on this machine."""

    def __init__(self, path: Path, key: str, endpoint: str, error: OSError) -> None:
        super().__init__(
            f"{path}: key `instance.{key}`: cannot listen on {endpoint}: "
            f"{error.strerror}",
            remedy="choose a free port and an address of this machine",
        )


class Application:
    """Creates, runs and stops the components of an instance.

    Args:
        settings: Validated settings.
        path: File of the settings, for error messages.
        clock: Source of time.
        gateway: Adapter to an external platform, if the instance runs on one.
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
        instance = settings.instance
        self._directory = ReplicaDirectory(seeds=instance.seeds)
        self._status = InstanceStatus(
            name=instance.name, incarnation=uuid.uuid4().hex[:12]
        )
        self._status.request_stop = self.request_stop
        self._stop_requested = anyio.Event()
        self._router = Router(data_centre=instance.data_centre)
        self._link = LeaderLink(
            hello=wire.Hello(
                settings.cell.name,
                instance.name,
                self._status.incarnation,
                instance.data_centre,
            ),
            directory=self._directory,
            clock=clock,
            on_connected=self._router.reset_last_grant,
            build_poll=lambda: self._proxy.build_poll(),
            on_message=self._handle_leader_message,
            get_poll_interval=self._get_poll_interval,
            silence_timeout_s=settings.limits.leader_silence_s,
        )
        self._proxy = RequestProxy(
            router=self._router,
            link=self._link,
            clock=clock,
            holder=f"{instance.name}/{self._status.incarnation}",
            metrics=self._metrics,
        )
        self._stalls = StallWatch(clock)
        self._queues = QueueClient(
            link=self._link,
            clock=clock,
            metrics=self._metrics,
            own_address=f"{instance.address}:{instance.external_peer_port}",
            stalls=self._stalls,
        )
        self._advice = AdviceHandler(
            advisor=gateway.create_advisor() if gateway is not None else None,
            link=self._link,
            clock=clock,
            metrics=self._metrics,
        )
        report = RefusalReport(self._metrics, clock).record
        self._connections = ConnectionTable(create_limits(settings.limits), report)
        self._peers = PeerBudget(self._connections, report)
        self._replica: Replica | None = None
        self._directory_service: DirectoryService | None = None
        self._replica_error: BluebellyokeError | None = None

    def request_stop(self) -> None:
        """Start the graceful shutdown."""
        self._stop_requested.set()

    async def run(self) -> None:
        """Run until a requested shutdown is complete.

        Raises:
            PortInUseError: A listener cannot be opened.
            BluebellyokeError: The data folder is unusable, or the replica failed
                while it ran.
        """
        instance = self._settings.instance
        listeners = self._create_gateway_listeners()
        sockets = [
            self._open_listener("http_port", instance.address, instance.http_port)
        ]
        try:
            sockets.append(
                self._open_listener("peer_port", instance.address, instance.peer_port)
            )
            for item in listeners:
                sockets.append(self._open_listener("gateway", item.address, item.port))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_signals)
                tasks.start_soon(sweep_connections, self._connections, self._clock)
                tasks.start_soon(self._stalls.run)
                if self._gateway is not None:
                    tasks.start_soon(self._reload_at_intervals)
                async with self._run_peer_server(sockets[1]):
                    server = self._create_http_server(listeners)
                    async with anyio.create_task_group() as services:
                        services.start_soon(self._link.run)
                        services.start_soon(self._proxy.run)
                        services.start_soon(self._advice.run)
                        services.start_soon(server.serve, [sockets[0], *sockets[2:]])
                        logger.info(
                            "instance: started",
                            extra={
                                "address": instance.address,
                                "port": instance.http_port,
                                "sources": compute_digest(),
                            },
                        )
                        await self._stop_requested.wait()
                        await self._drain(server)
                        services.cancel_scope.cancel()
                tasks.cancel_scope.cancel()
        finally:
            for item in sockets:
                item.close()
        logger.info("instance: stopped")
        if self._replica_error is not None:
            raise self._replica_error

    def _create_gateway_listeners(self) -> list[Listener]:
        if self._gateway is None:
            return []
        context = GatewayContext(
            queues=self._queues,
            metrics=self._metrics,
            is_ready=self._is_ready,
            is_leaving=lambda: self._status.leaving,
        )
        return self._gateway.create_listeners(context)

    def _is_ready(self) -> bool:
        has_lease = self._router.has_lease(self._clock.monotonic())
        return has_lease and not self._status.leaving

    def _get_poll_interval(self) -> float:
        """Return the maximum time between two polls, in seconds."""
        limits = self._settings.limits
        idle_interval_s = limits.instance_lease_s / POLLS_PER_LEASE
        if not self._router.active_requests:
            return idle_interval_s
        return min(limits.leader_silence_s / POLLS_PER_LEADER_SILENCE, idle_interval_s)

    def _handle_leader_message(self, message: wire.FromLeader) -> None:
        if isinstance(message, wire.AdviceCall):
            self._advice.enqueue(message)
        else:
            self._proxy.handle_leader_message(message)

    def _open_listener(self, key: str, address: str, port: int) -> socket.socket:
        family = socket.AF_INET6 if ":" in address else socket.AF_INET
        # asyncio disables Nagle's algorithm only if the socket's protocol is explicit.
        listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((address, port))
            listener.listen(LISTEN_BACKLOG)
        except OSError as error:
            listener.close()
            raise PortInUseError(self._path, key, f"{address}:{port}", error) from error
        listener.setblocking(False)
        return listener

    async def _watch_signals(self) -> None:
        handled = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*handled) as received:
            async for signal_number in received:
                if signal_number == signal.SIGHUP:
                    self._reload_seeds()
                else:
                    self.request_stop()

    async def _reload_at_intervals(self) -> None:
        """Reload the settings, also while the leader is reachable.

        Seeds without a replica find the cell only if the members know of them.
        """
        while True:
            await anyio.sleep(RELOAD_INTERVAL_S)
            self._reload_seeds()

    def _reload_seeds(self) -> None:
        """Apply changed seeds; other changed settings need a restart."""
        settings = (
            self._gateway.reload_settings() if self._gateway is not None else None
        )
        if settings is None or settings.instance.seeds == self._directory.seeds:
            return
        seeds = settings.instance.seeds
        self._directory.set_seeds(seeds)
        logger.info("instance: reloaded the seeds", extra={"seeds": list(seeds)})

    def _create_http_server(self, listeners: list[Listener]) -> HttpServer:
        api = Api(
            proxy=self._proxy,
            link=self._link,
            clock=self._clock,
            status=self._status,
            metrics=self._metrics,
            stalls=self._stalls,
        )
        interface = HttpInterface(
            proxy=self._proxy,
            api=api,
            clock=self._clock,
            longest_deadline_s=self._settings.limits.longest_deadline_s,
        )
        return create_http_server(
            interface, listeners, table=self._connections, clock=self._clock
        )

    def _count_open_requests(self) -> int:
        return (
            self._proxy.open_requests
            + self._router.active_requests
            + self._queues.open_requests
        )

    # Replica.

    @contextlib.asynccontextmanager
    async def _run_peer_server(self, peer_socket: socket.socket) -> AsyncIterator[None]:
        """Run the gRPC server, and the replica if there is one, during the body."""
        async with anyio.create_task_group() as tasks:
            sender = PeerSender(tasks)
            instance = self._settings.instance
            self._directory_service = DirectoryService(
                cell=self._settings.cell.name,
                own_address=f"{instance.address}:{instance.external_peer_port}",
                directory=self._directory,
                send=sender.send,
            )
            if instance.data_folder is not None:
                self._create_replica_files()
                self._replica = self._create_replica(sender)
                self._status.describe_replica = self._replica.describe
            server = PeerServer(
                [
                    PeerReceiver(self._deliver_envelope),
                    SessionServer(self._post_stream_event),
                ],
                codec=MessageCodec(),
                budget=self._peers,
            )
            await server.start(sock=peer_socket, backlog=ACCEPT_BATCH)
            peer_socket.listen(LISTEN_BACKLOG)
            if self._replica is not None:
                tasks.start_soon(self._run_replica, self._replica)
            try:
                yield
            finally:
                server.close()
                tasks.cancel_scope.cancel()

    def _deliver_envelope(self, envelope: Envelope) -> bool:
        """Process an envelope from a peer; return whether it was accepted."""
        if self._replica is not None:
            return self._replica.post(envelope)
        return self._directory_service.receive(envelope)

    def _post_stream_event(self, item: SessionInput | SessionClosed) -> bool:
        """Process an event of an instance's stream; return whether it was accepted."""
        if self._replica is not None:
            return self._replica.post(item)
        if isinstance(item, SessionInput):
            self._directory_service.redirect(item.message, item.send)
        return True

    def _create_replica_files(self) -> None:
        """Create the replica in an empty data folder if there is a gateway.

        Platforms start instances unattended, without the `init` command.
        """
        instance, cell = self._settings.instance, self._settings.cell
        if self._gateway is None or holds_replica(instance.data_folder):
            return
        address = f"{instance.address}:{instance.external_peer_port}"
        if instance.founder and address in instance.seeds:
            create_founding_replica(
                folder=instance.data_folder,
                cell=cell.name,
                own_address=address,
                founder_addresses=instance.seeds,
            )
        else:
            create_joining_replica(
                folder=instance.data_folder, cell=cell.name, name=instance.name
            )

    async def _run_replica(self, replica: Replica) -> None:
        """Run the replica; if its storage fails, shut down gracefully.

        Open requests do not depend on the local disk and can still finish.
        """
        try:
            await replica.run()
        except* BluebellyokeError as group:
            self._replica_error = find_error(group)
            logger.error(
                "instance: the replica failed",
                extra={"fault": str(self._replica_error)},
            )
            self._replica = None
            self.request_stop()

    def _create_replica(self, sender: PeerSender) -> Replica:
        settings = self._settings
        instance, cell, limits = settings.instance, settings.cell, settings.limits
        engine = PlacementEngine(
            policy=create_policy(cell.policy),
            random_source=random.Random(instance.name),
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
            calls=self._create_worker_calls(),
            lease_times=LeaseTimes(
                lease_s=limits.called_worker_lease_s,
                leaving_lease_s=limits.called_worker_lease_s / 2,
                max_lease_s=limits.longest_called_worker_lease_s,
            ),
            features=DispatchFeatures(**settings.dispatch.model_dump()),
        )
        return Replica(
            options=ReplicaOptions(
                cell=cell.name,
                folder=instance.data_folder,
                name=instance.name,
                address=instance.address,
                port=instance.external_peer_port,
                data_centre=instance.data_centre,
                timing=ElectionTiming.from_min_timeout(cell.election_s),
                membership=MembershipOptions(
                    target_voters=cell.voters, replace_after_s=cell.replace_after_s
                ),
                snapshot_threshold_bytes=limits.snapshot_mb * 1024 * 1024,
            ),
            controller=controller,
            clock=self._clock,
            metrics=self._metrics,
            send=sender.send,
            directory=self._directory,
        )

    def _create_worker_calls(self) -> WorkerCalls:
        client = NullWorkerClient()
        if self._gateway is not None:
            client = self._gateway.create_worker_client()
        return WorkerCalls(client=client, clock=self._clock, metrics=self._metrics)

    # Shutdown.

    async def _drain(self, server: HttpServer) -> None:
        limits = self._settings.limits
        self._status.leaving = True
        if self._replica is not None:
            self._replica.start_leaving()
        logger.info("instance: started draining", extra={"linger_s": limits.linger_s})
        await anyio.sleep(limits.linger_s)
        self._router.draining = True
        self._link.request_poll()
        with anyio.move_on_after(limits.longest_deadline_s):
            while self._count_open_requests():
                await anyio.sleep(0.02)
        await self._link.send_bye()
        server.should_exit = True
        if self._replica is not None:
            await self._leave_membership(self._replica)
        with anyio.move_on_after(HTTP_CLOSE_TIMEOUT_S):
            while server.server_state.connections:
                await anyio.sleep(0.02)

    async def _leave_membership(self, replica: Replica) -> None:
        """Hand the leadership over; a former leader then waits for its replacement.

        A follower has asked for its replacement since the start of the shutdown.
        """
        was_leader = replica.raft.is_leader
        await replica.transfer_leadership()
        if was_leader:
            await replica.wait_until_replaced()
