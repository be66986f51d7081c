"""gRPC service of a replica for the streams of instances."""

import contextlib
import itertools
from collections.abc import Callable

import anyio
from grpclib.const import Cardinality, Handler
from grpclib.server import Stream

from bluebellyoke.instance import wire as w
from bluebellyoke.instance.codec import LINK_METHOD
from bluebellyoke.instance.replica import SessionClosed, SessionInput
from bluebellyoke.instance.streams import collect_batch

__all__ = ["SessionServer"]

#: Messages to one instance that wait for the network; beyond it the stream ends.
OUTBOX_MESSAGES = 20_000


class SessionServer:
    """Takes instances' streams and passes their messages to the replica.

    Args:
        post: Queues an input of the replica; returns whether there was room.
    """

    def __init__(self, post: Callable[[SessionInput | SessionClosed], bool]) -> None:
        self._post = post
        self._numbers = itertools.count(1)

    async def _on_stream(self, stream: Stream) -> None:
        number = next(self._numbers)
        outbox, inbox = anyio.create_memory_object_stream(OUTBOX_MESSAGES)

        def send(message: w.FromLeader | None) -> None:
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
                tasks.start_soon(self._receive, stream, number, send)
                with contextlib.suppress(anyio.EndOfStream):
                    while True:
                        await stream.send_message(await collect_batch(inbox))
                tasks.cancel_scope.cancel()
        finally:
            inbox.close()
            self._post(SessionClosed(number))

    async def _receive(
        self,
        stream: Stream,
        number: int,
        send: Callable[[w.FromLeader | None], None],
    ) -> None:
        async for batch in stream:
            for message in batch:
                if not self._post(SessionInput(number, message, send)):
                    send(None)
                    return
        send(None)

    def __mapping__(self) -> dict[str, Handler]:
        return {
            LINK_METHOD: Handler(
                self._on_stream,
                Cardinality.STREAM_STREAM,
                "FromInstance",
                "FromLeader",
            )
        }
