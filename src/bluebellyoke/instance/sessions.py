"""gRPC service for the streams from instances to the leader."""

import contextlib
import itertools
from collections.abc import Callable

import anyio
from grpclib.const import Cardinality, Handler
from grpclib.server import Stream

from bluebellyoke.instance import wire
from bluebellyoke.instance.codec import LINK_METHOD
from bluebellyoke.instance.replica import SessionClosed, SessionInput
from bluebellyoke.instance.streams import collect_batch

__all__ = ["SessionServer"]

#: Maximum number of queued messages to an instance; more close its stream.
MAX_QUEUED_MESSAGES = 20_000


class SessionServer:
    """Accepts streams from instances and passes their messages to the replica.

    Args:
        post: Queues an input for the replica; returns False if its queue is full.
    """

    def __init__(self, post: Callable[[SessionInput | SessionClosed], bool]) -> None:
        self._post = post
        self._session_ids = itertools.count(1)

    async def _handle_stream(self, stream: Stream) -> None:
        session_id = next(self._session_ids)
        outbox, inbox = anyio.create_memory_object_stream(MAX_QUEUED_MESSAGES)

        def send(message: wire.FromLeader | None) -> None:
            try:
                if message is None:
                    outbox.close()
                else:
                    outbox.send_nowait(message)
            except (anyio.WouldBlock, anyio.ClosedResourceError):
                outbox.close()
            except anyio.BrokenResourceError:
                pass

        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._receive_messages, stream, session_id, send)
                with contextlib.suppress(anyio.EndOfStream):
                    while True:
                        await stream.send_message(await collect_batch(inbox))
                tasks.cancel_scope.cancel()
        finally:
            inbox.close()
            self._post(SessionClosed(session_id))

    async def _receive_messages(
        self,
        stream: Stream,
        session_id: int,
        send: Callable[[wire.FromLeader | None], None],
    ) -> None:
        async for batch in stream:
            for message in batch:
                if not self._post(SessionInput(session_id, message, send)):
                    send(None)
                    return
        send(None)

    def __mapping__(self) -> dict[str, Handler]:
        return {
            LINK_METHOD: Handler(
                self._handle_stream,
                Cardinality.STREAM_STREAM,
                "FromInstance",
                "FromLeader",
            )
        }
