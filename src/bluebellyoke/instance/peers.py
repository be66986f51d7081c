"""Streams between replicas: one outgoing stream per peer that carries batches.

A peer acknowledges the batches, several at once while many arrive. If an
acknowledgement takes longer than `ACKNOWLEDGEMENT_TIMEOUT_S`, the sender closes the
stream and opens a new one. Otherwise messages would stay delayed after the end of a
network partition that dropped packets silently.

A stream is opened for the first message, so a machine that is gone for good causes no
connections once nobody sends to it.
"""

import contextlib
import logging
from collections import deque
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from bluebellyoke.addresses import is_address
from bluebellyoke.consensus.messages import Envelope
from bluebellyoke.instance.codec import (
    COUNTED_PEER_METHOD,
    PEER_METHOD,
    Acknowledgement,
)
from bluebellyoke.instance.streams import (
    CONNECTION_ERRORS,
    StreamClosedError,
    collect_batch,
    open_stream,
)

__all__ = ["PeerReceiver", "PeerSender"]

logger = logging.getLogger("bluebellyoke.peers")

#: Timeout for the acknowledgement of a batch, in seconds.
ACKNOWLEDGEMENT_TIMEOUT_S = 1.0

#: Minimum time between two acknowledgements, in seconds.
ACKNOWLEDGEMENT_INTERVAL_S = 0.2

#: Delay before a new stream replaces a closed one, in seconds.
RECONNECT_DELAY_S = 0.1

#: Maximum number of queued envelopes per peer; more are dropped, since the Raft node
#: sends its messages again.
MAX_QUEUED_ENVELOPES = 1024


class PeerSender:
    """Sends envelopes to the addresses of peers.

    Args:
        task_group: Task group in which the streams run.
    """

    def __init__(self, task_group: TaskGroup) -> None:
        self._task_group = task_group
        self._outboxes: dict[str, anyio.abc.ObjectSendStream] = {}

    def send(self, address: str, envelope: Envelope) -> None:
        """Queue an envelope for a peer.

        It is dropped if the queue is full or if the address cannot be dialled.
        """
        if not is_address(address):
            logger.debug("peers: cannot dial an address", extra={"peer": address})
            return
        outbox = self._outboxes.get(address)
        if outbox is None:
            outbox, inbox = anyio.create_memory_object_stream(MAX_QUEUED_ENVELOPES)
            self._outboxes[address] = outbox
            self._task_group.start_soon(self._run, address, inbox)
        try:
            outbox.send_nowait(envelope)
        except anyio.WouldBlock:
            logger.debug("peers: dropped a message", extra={"peer": address})

    async def _run(self, address: str, inbox: anyio.abc.ObjectReceiveStream) -> None:
        method = COUNTED_PEER_METHOD
        while True:
            first = await collect_batch(inbox)
            try:
                await _run_stream(address, method, inbox, first)
            except* CONNECTION_ERRORS as errors:
                logger.debug(
                    "peers: the stream failed",
                    extra={"peer": address, "error": str(errors.exceptions[0])},
                )
                # The next process at this address may be of another build.
                is_unknown = errors.subgroup(_is_unknown_method) is not None
                method = PEER_METHOD if is_unknown else COUNTED_PEER_METHOD
            _drop_queued(inbox)
            await anyio.sleep(RECONNECT_DELAY_S)


def _is_unknown_method(error: BaseException) -> bool:
    """Return whether the peer may not know the method.

    grpclib's client reports a refusal without a content type as an unknown error.
    """
    statuses = (Status.UNIMPLEMENTED, Status.UNKNOWN)
    return isinstance(error, GRPCError) and error.status in statuses


async def _run_stream(
    address: str, method: str, inbox: anyio.abc.ObjectReceiveStream, first: tuple
) -> None:
    """Send batches, beginning with the first one, until the stream fails."""
    is_counted = method == COUNTED_PEER_METHOD
    reply_type = "Acknowledgement" if is_counted else "Envelopes"
    async with open_stream(address, method, "Envelopes", reply_type) as stream:
        pending_since: deque[float] = deque()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_read_acknowledgements, stream, pending_since)
            tasks.start_soon(_watch_acknowledgements, pending_since)
            batch = first
            while True:
                pending_since.append(anyio.current_time())
                await stream.send_message(batch)
                batch = await collect_batch(inbox)


def _drop_queued(inbox: anyio.abc.ObjectReceiveStream) -> None:
    """Drop envelopes for an unreachable peer; the Raft node sends them again."""
    with contextlib.suppress(anyio.WouldBlock):
        while True:
            inbox.receive_nowait()


async def _read_acknowledgements(stream, pending_since: deque[float]) -> None:
    acknowledged = 0
    while (message := await stream.recv_message()) is not None:
        received = acknowledged + 1
        if isinstance(message, Acknowledgement):
            received = message.batches
        newly_received = received - acknowledged
        if not 0 <= newly_received <= len(pending_since):
            raise StreamClosedError(
                f"the peer acknowledged {received} batches after {acknowledged}, "
                f"with {len(pending_since)} pending"
            )
        for _ in range(newly_received):
            pending_since.popleft()
        acknowledged = received
    raise StreamClosedError()


async def _watch_acknowledgements(pending_since: deque[float]) -> None:
    """Raise an error if the oldest batch is not acknowledged in time."""
    while True:
        await anyio.sleep(ACKNOWLEDGEMENT_TIMEOUT_S / 4)
        oldest = pending_since[0] if pending_since else float("inf")
        if anyio.current_time() - oldest > ACKNOWLEDGEMENT_TIMEOUT_S:
            raise StreamClosedError()


class PeerReceiver:
    """gRPC service that receives envelopes from peers.

    Args:
        deliver: Called with each envelope.
    """

    def __init__(self, deliver: Callable[[Envelope], bool]) -> None:
        self._deliver = deliver

    async def _handle_stream(self, stream: Stream) -> None:
        """Receive batches and acknowledge each of them."""
        async for batch in stream:
            self._deliver_batch(batch)
            await stream.send_message(())

    async def _handle_counted_stream(self, stream: Stream) -> None:
        """Receive batches and acknowledge all that have arrived, at intervals."""
        counter = _BatchCounter()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_send_acknowledgements, stream, counter)
            async for batch in stream:
                self._deliver_batch(batch)
                counter.add()
            tasks.cancel_scope.cancel()

    def _deliver_batch(self, batch: tuple[Envelope, ...]) -> None:
        for envelope in batch:
            self._deliver(envelope)

    def __mapping__(self) -> dict[str, Handler]:
        cardinality = Cardinality.STREAM_STREAM
        return {
            PEER_METHOD: Handler(
                self._handle_stream, cardinality, "Envelopes", "Envelopes"
            ),
            COUNTED_PEER_METHOD: Handler(
                self._handle_counted_stream, cardinality, "Envelopes", "Acknowledgement"
            ),
        }


class _BatchCounter:
    """Number of batches received on a stream, with an event for new ones."""

    def __init__(self) -> None:
        self.batches = 0
        self.changed = anyio.Event()

    def add(self) -> None:
        self.batches += 1
        self.changed.set()


async def _send_acknowledgements(stream: Stream, counter: _BatchCounter) -> None:
    while True:
        await counter.changed.wait()
        counter.changed = anyio.Event()
        await stream.send_message(Acknowledgement(counter.batches))
        await anyio.sleep(ACKNOWLEDGEMENT_INTERVAL_S)
