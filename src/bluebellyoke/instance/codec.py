"""MessagePack codec of the gRPC streams between instances.

grpclib transports the frames; the codec converts typed messages to bytes and back
without generated code. Each frame holds a batch of messages, because a frame costs
more than a message.
"""

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from bluebellyoke.consensus.messages import Envelope
from bluebellyoke.instance.wire import FromInstance, FromLeader

__all__ = [
    "COUNTED_PEER_METHOD",
    "LINK_METHOD",
    "PEER_METHOD",
    "Acknowledgement",
    "MessageCodec",
]

#: gRPC method that carries an instance's stream to the leader.
LINK_METHOD = "/bluebellyoke.Leader/Link"

#: gRPC method that carries messages from replica to replica. Earlier builds know only
#: this one, which acknowledges each batch with an empty one.
PEER_METHOD = "/bluebellyoke.Replica/Deliver"

#: The same, but an `Acknowledgement` covers all batches since the last one.
COUNTED_PEER_METHOD = "/bluebellyoke.Replica/DeliverCounted"


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True):
    """Number of batches that a peer has received on a stream so far."""

    batches: int


_DECODERS = {
    "FromInstance": msgspec.msgpack.Decoder(tuple[FromInstance, ...]),
    "FromLeader": msgspec.msgpack.Decoder(tuple[FromLeader, ...]),
    "Envelopes": msgspec.msgpack.Decoder(tuple[Envelope, ...]),
    "Acknowledgement": msgspec.msgpack.Decoder(Acknowledgement),
}


class MessageCodec(CodecBase):
    """Encodes and decodes the typed messages of a stream."""

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the encoded message; `message_type` is not used."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the decoded message; `message_type` is the name of the decoder."""
        return _DECODERS[message_type].decode(data)
