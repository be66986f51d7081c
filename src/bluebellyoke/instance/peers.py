"""Streams between replicas: one outgoing stream a peer, in batches.

A peer acknowledges each batch. A stream without an acknowledgement for
`ACKNOWLEDGE_S` is closed and opened anew, so that a cut that dropped packets
silently does not hold messages back after it has healed.
"""

import contextlib
import logging
from collections import deque
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from grpclib.const import Cardinality, Handler
from grpclib.server import Stream

from bluebellyoke.consensus.messages import Envelope
from bluebellyoke.instance.codec import PEER_METHOD
from bluebellyoke.instance.streams import (
    CONNECTION_ERRORS,
    StreamClosedError,
    collect_batch,
    open_stream,
)

__all__ = ["PeerReceiver", "PeerSender"]

logger = logging.getLogger("bluebellyoke.peers")

#: Time within which a peer acknowledges a batch, in seconds.
ACKNOWLEDGE_S = 1.0

#: Wait before a stream is opened anew, in seconds.
RECONNECT_S = 0.1

#: Envelopes that wait for a peer; more are dropped, since the core sends again.
OUTBOX_ENVELOPES = 1024


class PeerSender:
    """Sends envelopes to the addresses of peers.

    Args:
        task_group: Owner of the tasks that send.
    """

    def __init__(self, task_group: TaskGroup) -> None:
        self._task_group = task_group
        self._outboxes: dict[str, anyio.abc.ObjectSendStream] = {}

    def send(self, address: str, envelope: Envelope) -> None:
        """Queue an envelope for a peer; drop it if the queue is full."""
        outbox = self._outboxes.get(address)
        if outbox is None:
            outbox, inbox = anyio.create_memory_object_stream(OUTBOX_ENVELOPES)
            self._outboxes[address] = outbox
            self._task_group.start_soon(self._run, address, inbox)
        try:
            outbox.send_nowait(envelope)
        except anyio.WouldBlock:
            logger.debug("peers: drops a message", extra={"peer": address})

    async def _run(self, address: str, inbox: anyio.abc.ObjectReceiveStream) -> None:
        while True:
            try:
                await self._pump(address, inbox)
            except* CONNECTION_ERRORS as errors:
                logger.debug(
                    "peers: lost a stream",
                    extra={"peer": address, "error": str(errors.exceptions[0])},
                )
            _drop_waiting(inbox)
            await anyio.sleep(RECONNECT_S)

    async def _pump(self, address: str, inbox: anyio.abc.ObjectReceiveStream) -> None:
        async with open_stream(
            address, PEER_METHOD, "Envelopes", "Envelopes"
        ) as stream:
            unacknowledged: deque[float] = deque()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_read_acknowledgements, stream, unacknowledged)
                tasks.start_soon(_watch, unacknowledged)
                while True:
                    batch = await collect_batch(inbox)
                    unacknowledged.append(anyio.current_time())
                    await stream.send_message(batch)


def _drop_waiting(inbox: anyio.abc.ObjectReceiveStream) -> None:
    """Drop what waits for a peer that is out of reach; the core sends it again."""
    with contextlib.suppress(anyio.WouldBlock):
        while True:
            inbox.receive_nowait()


async def _read_acknowledgements(stream, unacknowledged: deque[float]) -> None:
    while await stream.recv_message() is not None:
        unacknowledged.popleft()
    raise StreamClosedError()


async def _watch(unacknowledged: deque[float]) -> None:
    """Raise an error when the oldest batch is not acknowledged in time."""
    while True:
        await anyio.sleep(ACKNOWLEDGE_S / 4)
        oldest = unacknowledged[0] if unacknowledged else float("inf")
        if anyio.current_time() - oldest > ACKNOWLEDGE_S:
            raise StreamClosedError()


class PeerReceiver:
    """gRPC service that takes envelopes from peers.

    Args:
        deliver: Called with each envelope.
    """

    def __init__(self, deliver: Callable[[Envelope], bool]) -> None:
        self._deliver = deliver

    async def _on_stream(self, stream: Stream) -> None:
        async for batch in stream:
            for envelope in batch:
                self._deliver(envelope)
            await stream.send_message(())

    def __mapping__(self) -> dict[str, Handler]:
        return {
            PEER_METHOD: Handler(
                self._on_stream, Cardinality.STREAM_STREAM, "Envelopes", "Envelopes"
            )
        }
