"""Message codec of the streams between instances: MessagePack without generated code.

grpclib carries the frames; the codec turns typed messages into bytes and back. Every
frame holds a batch, since a frame costs more than a message.
"""

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from bluebellyoke.consensus.messages import Envelope
from bluebellyoke.instance.wire import FromInstance, FromLeader

__all__ = ["LINK_METHOD", "PEER_METHOD", "MessageCodec"]

#: gRPC method that carries an instance's stream to the leader.
LINK_METHOD = "/bluebellyoke.Leader/Link"

#: gRPC method that carries messages from replica to replica.
PEER_METHOD = "/bluebellyoke.Replica/Deliver"

_DECODERS = {
    "FromInstance": msgspec.msgpack.Decoder(tuple[FromInstance, ...]),
    "FromLeader": msgspec.msgpack.Decoder(tuple[FromLeader, ...]),
    "Envelopes": msgspec.msgpack.Decoder(tuple[Envelope, ...]),
}


class MessageCodec(CodecBase):
    """Encodes the typed messages of a stream."""

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes of a message."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message of some bytes; `message_type` names the decoder."""
        return _DECODERS[message_type].decode(data)
