"""gRPC streams to other instances."""

import contextlib
from collections.abc import AsyncIterator

import anyio
import msgspec
from grpclib.client import Channel, Stream, StreamStreamMethod
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from h2.exceptions import H2Error

from bluebellyoke.addresses import AddressError, split_address
from bluebellyoke.instance.codec import MessageCodec

__all__ = [
    "CONNECTION_ERRORS",
    "StreamClosedError",
    "collect_batch",
    "open_stream",
]

#: Maximum number of messages per frame.
MAX_BATCH_MESSAGES = 64

#: Timeout for resetting an abandoned stream, in seconds.
RESET_TIMEOUT_S = 0.2


class StreamClosedError(Exception):
    """The peer closed the stream or stopped responding."""


#: Exceptions that a stream raises if the connection or the peer fails, or if the peer
#: sends a message that cannot be decoded. A message that is nested too deeply causes a
#: RecursionError. grpclib raises the last two for a compressed or truncated one.
CONNECTION_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
    H2Error,
    OSError,
    StreamClosedError,
    msgspec.MsgspecError,
    AddressError,
    RecursionError,
    NotImplementedError,
    AssertionError,
)


async def collect_batch(inbox: anyio.abc.ObjectReceiveStream) -> tuple:
    """Wait for a message and return it with those queued after it.

    Raises:
        anyio.EndOfStream: The sender closed the queue and it is empty.
    """
    batch = [await inbox.receive()]
    while len(batch) < MAX_BATCH_MESSAGES:
        try:
            batch.append(inbox.receive_nowait())
        except (anyio.WouldBlock, anyio.EndOfStream):
            break
    return tuple(batch)


@contextlib.asynccontextmanager
async def open_stream(
    address: str, method: str, request_type: str, reply_type: str
) -> AsyncIterator[Stream]:
    """Open a stream on a separate connection and close both on exit.

    Args:
        address: IP address and port of the instance.
        method: gRPC method.
        request_type: Name of the decoder for sent messages.
        reply_type: Name of the decoder for received messages.

    Raises:
        AddressError: The address cannot be dialled.
    """
    host, port = split_address(address)
    channel = Channel(host, port, codec=MessageCodec())
    call = StreamStreamMethod(channel, method, request_type, reply_type)
    try:
        async with call.open() as stream:
            try:
                await stream.send_request()
                yield stream
            finally:
                # Without a reset, leaving the block would wait for the peer.
                with (
                    anyio.move_on_after(RESET_TIMEOUT_S, shield=True),
                    contextlib.suppress(*CONNECTION_ERRORS),
                ):
                    await stream.cancel()
    finally:
        channel.close()
