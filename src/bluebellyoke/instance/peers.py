"""Streams between replicas: one outgoing stream per peer that carries batches.

A peer acknowledges each batch. If an acknowledgement takes longer than
`ACKNOWLEDGEMENT_TIMEOUT_S`, the sender closes the stream and opens a new one.
Otherwise messages would stay delayed after the end of a network partition that
dropped packets silently.
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

#: Timeout for the acknowledgement of a batch, in seconds.
ACKNOWLEDGEMENT_TIMEOUT_S = 1.0

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
        """Queue an envelope for a peer; drop it if the queue is full."""
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
        while True:
            try:
                await self._run_stream(address, inbox)
            except* CONNECTION_ERRORS as errors:
                logger.debug(
                    "peers: the stream failed",
                    extra={"peer": address, "error": str(errors.exceptions[0])},
                )
            _drop_queued(inbox)
            await anyio.sleep(RECONNECT_DELAY_S)

    async def _run_stream(
        self, address: str, inbox: anyio.abc.ObjectReceiveStream
    ) -> None:
        async with open_stream(
            address, PEER_METHOD, "Envelopes", "Envelopes"
        ) as stream:
            pending_since: deque[float] = deque()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_read_acknowledgements, stream, pending_since)
                tasks.start_soon(_watch_acknowledgements, pending_since)
                while True:
                    batch = await collect_batch(inbox)
                    pending_since.append(anyio.current_time())
                    await stream.send_message(batch)


def _drop_queued(inbox: anyio.abc.ObjectReceiveStream) -> None:
    """Drop envelopes for an unreachable peer; the Raft node sends them again."""
    with contextlib.suppress(anyio.WouldBlock):
        while True:
            inbox.receive_nowait()


async def _read_acknowledgements(stream, pending_since: deque[float]) -> None:
    while await stream.recv_message() is not None:
        pending_since.popleft()
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
        async for batch in stream:
            for envelope in batch:
                self._deliver(envelope)
            await stream.send_message(())

    def __mapping__(self) -> dict[str, Handler]:
        return {
            PEER_METHOD: Handler(
                self._handle_stream, Cardinality.STREAM_STREAM, "Envelopes", "Envelopes"
            )
        }
