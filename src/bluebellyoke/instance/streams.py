"""Opening of gRPC streams to other instances."""

import contextlib
from collections.abc import AsyncIterator

import anyio
from grpclib.client import Channel, Stream, StreamStreamMethod
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from h2.exceptions import H2Error

from bluebellyoke.instance.codec import MessageCodec

__all__ = [
    "CONNECTION_ERRORS",
    "StreamClosedError",
    "collect_batch",
    "open_stream",
]

#: Messages of one frame, at most.
BATCH_MESSAGES = 64

#: Time to reset a stream that is given up, in seconds.
CANCEL_S = 0.2


class StreamClosedError(Exception):
    """The other side closed the stream or stopped answering."""


#: What a stream raises when the connection or the other side fails.
CONNECTION_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
    H2Error,
    OSError,
    StreamClosedError,
)


async def collect_batch(inbox: anyio.abc.ObjectReceiveStream) -> tuple:
    """Wait for a message and return it with those that wait behind it.

    Raises:
        anyio.EndOfStream: No message will come any more.
    """
    batch = [await inbox.receive()]
    while len(batch) < BATCH_MESSAGES:
        try:
            batch.append(inbox.receive_nowait())
        except (anyio.WouldBlock, anyio.EndOfStream):
            break
    return tuple(batch)


@contextlib.asynccontextmanager
async def open_stream(
    address: str, method: str, request_type: str, reply_type: str
) -> AsyncIterator[Stream]:
    """Open a stream on a connection of its own and close both at the end.

    Args:
        address: IP number and port of the instance.
        method: gRPC method.
        request_type: Name of the decoder of the messages sent.
        reply_type: Name of the decoder of the messages received.
    """
    host, _, port = address.rpartition(":")
    channel = Channel(host, int(port), codec=MessageCodec())
    call = StreamStreamMethod(channel, method, request_type, reply_type)
    try:
        async with call.open() as stream:
            try:
                await stream.send_request()
                yield stream
            finally:
                # Without a reset, leaving the block would wait for the other side.
                with (
                    anyio.move_on_after(CANCEL_S, shield=True),
                    contextlib.suppress(*CONNECTION_ERRORS),
                ):
                    await stream.cancel()
    finally:
        channel.close()
