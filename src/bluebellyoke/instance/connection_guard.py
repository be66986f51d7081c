"""HTTP protocol that applies the limits on clients in front of uvicorn's parser.

uvicorn limits neither heads nor trailers nor the requests that a client sends ahead of
their responses. The guard counts bytes, lets one request be parsed at a time and closes
connections; the parser and the exchange with the application are those of uvicorn.
"""

import asyncio

import httptools
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from bluebellyoke.instance.client_refusals import format_refusal
from bluebellyoke.instance.connection_limits import (
    BodyLimits,
    ListenerLimits,
    Phase,
    Refusal,
)
from bluebellyoke.instance.connection_table import ConnectionOwner, ConnectionRecord
from bluebellyoke.instance.guard_context import ConnectionGuard
from bluebellyoke.instance.holdable_flow import HoldableFlow

__all__ = ["GuardedProtocol"]

#: Most that is parsed before the limits are checked, in bytes. It bounds the number of
#: small requests that are parsed ahead of the response to the first one.
PARSED_BYTES = 2048

#: Unread bytes of responses from which on a connection gets no further response.
UNSENT_BYTES = 16 * 1024

#: Bytes that a connection may hold without being counted, which keeps the count away
#: from ordinary requests.
UNCOUNTED_BYTES = 4096

#: Estimated memory of a header besides its bytes, and of a parsed request.
HEADER_BYTES = 200
REQUEST_BYTES = 8192

#: Framing that is allowed for each byte of a chunked body: a chunk of one byte has five
#: more.
FRAMING_PER_BYTE = 8

#: Time after which a closed connection is cut if its client reads nothing, in seconds.
CLOSE_TIMEOUT_S = 5.0

#: Bytes of a body that are discarded after an early response.
DISCARDED_BYTES = 64 * 1024


#: Limits before the first request.
NO_BODY = BodyLimits(0, 0)


class _RefusedError(Exception):
    """Stops the parser; the connection knows the refusal."""


class GuardedProtocol(HttpToolsProtocol, asyncio.BufferedProtocol, ConnectionOwner):
    """Connection of a client, within limits.

    Args:
        guard: What the connections of the process share.
        **options: Arguments of uvicorn's protocol.
    """

    def __init__(self, *, guard: ConnectionGuard, **options) -> None:
        super().__init__(**options)
        self.headers = []
        self._guard = guard
        self._table = guard.table
        self._record: ConnectionRecord | None = None
        self._limits: ListenerLimits | None = None
        # Limits of the newest request's body.
        self._body_limits = NO_BODY
        # The part of the newest request that is being received.
        self._stage = Phase.IDLE
        # Bytes since the last whole head or request that belong to no body.
        self._framing_bytes = 0
        # Estimated memory of the newest whole head, and size of its body so far.
        self._head_bytes = 0
        self._body_bytes = 0
        # The exchange that the application works on.
        self._active: RequestResponseCycle | None = None
        # What was read behind a request that has no response yet.
        self._waiting = b""
        # Size of a response that the client does not read, while it is too large.
        self._unsent_bytes = 0
        self._refusal: Refusal | None = None
        self._is_ending = False

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Admit the connection, or refuse it if there are too many."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=UNSENT_BYTES)
        self.flow = HoldableFlow(transport)
        self._limits = self._guard.get_listener_limits(self.server)
        self._record = ConnectionRecord(
            owner=self,
            address=self.client[0] if self.client else "",
            descriptor=transport.get_extra_info("socket").fileno(),
        )
        refusal = self._table.add(self._record, self._guard.clock.monotonic())
        if refusal is not None:
            self._end(refusal)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection, without references that wait for the collector."""
        self._is_ending = True
        self._waiting = b""
        self.pipeline.clear()
        if self._active is not None:
            _disconnect(self._active)
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        if self._record is not None:
            self._table.remove(self._record)
        self._active = self._record = None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections share."""
        return self._guard.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process what was read."""
        self.data_received(bytes(self._guard.buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse what was read as far as the limits allow."""
        if self._is_ending:
            return
        self._unset_keepalive_if_required()
        now = self._record.read_at = self._guard.clock.monotonic()
        if self._waiting:
            self._waiting += data
            self._hold_reading()
        else:
            self._parse(data)
        self._update(now)

    def pause_writing(self) -> None:
        """Note the size of a response that the client does not read."""
        super().pause_writing()
        self._unsent_bytes = self.transport.get_write_buffer_size()
        self._update()

    def resume_writing(self) -> None:
        """Note that the client reads on."""
        super().resume_writing()
        self._unsent_bytes = 0
        self._update()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        super().on_message_begin()
        self._stage = Phase.HEAD
        self._body_bytes = 0
        self._head_bytes = 0

    def on_headers_complete(self) -> None:
        """Check the announced size of the body and start the request."""
        self._body_limits = self._limits.find(self.url)
        max_bytes = self._body_limits.max_bytes
        if max_bytes is not None:
            for name, value in self.headers:
                if name == b"content-length" and int(value) > max_bytes:
                    self._stop_parser(Refusal.BODY_TOO_LONG)
        self._head_bytes = self._framing_bytes + HEADER_BYTES * len(self.headers)
        self._framing_bytes = 0
        self._stage = Phase.BODY
        super().on_headers_complete()
        # Trailers are counted, but do not become headers of a request that has begun.
        self.headers = []

    def on_body(self, body: bytes) -> None:
        """Count a part of the body and pass it on."""
        self._framing_bytes -= len(body)
        self._body_bytes += len(body)
        max_bytes = self._body_limits.max_bytes
        if max_bytes is not None and self._body_bytes > max_bytes:
            self._stop_parser(Refusal.BODY_TOO_LONG)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End a request."""
        super().on_message_complete()
        self._framing_bytes = 0
        self.headers = []
        is_answered = self.cycle.response_complete
        self._stage = Phase.IDLE if is_answered else Phase.REPLY

    def _stop_parser(self, refusal: Refusal) -> None:
        self._refusal = refusal
        raise _RefusedError()

    # Exchanges with the application.

    def _start_asgi_task(self, cycle: RequestResponseCycle, app) -> None:
        self._active = cycle
        super()._start_asgi_task(cycle, app)

    def on_response_complete(self) -> None:
        """Begin the next request, if the client has sent one."""
        self._active = None
        super().on_response_complete()
        if self.transport.is_closing():
            return
        if self._active is None:
            if self._is_ending:
                self.transport.close()
                return
            if self._stage is Phase.REPLY:
                self._stage = Phase.IDLE
            elif self._stage is Phase.BODY:
                # The rest of the body is discarded.
                max_bytes = self._body_bytes + DISCARDED_BYTES
                self._body_limits = BodyLimits(max_bytes, 0)
        if self._waiting and not self._must_wait():
            # The rest of the body of a request that was queued may be among it.
            self._unset_keepalive_if_required()
            self.loop.call_soon(self._parse_waiting)
        self._update()

    def _parse_waiting(self) -> None:
        if self._is_ending:
            return
        data, self._waiting = self._waiting, b""
        self.flow.is_held = False
        self._parse(data)
        if not self._waiting and not self._is_ending:
            self.flow.resume_reading()
        self._update()

    # Limits.

    def _parse(self, data: bytes) -> None:
        """Parse bytes until a whole request has to wait for its response."""
        if len(data) <= PARSED_BYTES and not self._must_wait():
            self._parse_part(data)
            return
        view = memoryview(data)
        for start in range(0, len(view), PARSED_BYTES):
            if self._must_wait():
                self._waiting = bytes(view[start:])
                self._hold_reading()
                return
            self._parse_part(view[start : start + PARSED_BYTES])
            if self._is_ending:
                return

    def _parse_part(self, part: bytes | memoryview) -> None:
        self._framing_bytes += len(part)
        try:
            self.parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            # What follows belongs to a protocol that no listener has.
            self._end_after_response()
        except httptools.HttpParserError:
            self._refuse(self._refusal or Refusal.MALFORMED)
        else:
            limit = self._table.limits.head_bytes
            if self._stage is Phase.BODY:
                limit += FRAMING_PER_BYTE * self._body_bytes
            if self._framing_bytes > limit:
                self._refuse(Refusal.HEAD_TOO_LONG)

    def _must_wait(self) -> bool:
        """Return whether a whole request waits for its response."""
        return bool(self.pipeline) or (
            self._active is not None and not self._active.more_body
        )

    def _hold_reading(self) -> None:
        self.flow.is_held = True
        self.flow.pause_reading()

    def _find_phase(self) -> Phase:
        active = self._active
        if active is not None:
            is_receiving = active.more_body and active is self.cycle
            return Phase.BODY if is_receiving else Phase.REPLY
        if self._stage is Phase.IDLE and self._framing_bytes > 0:
            return Phase.HEAD
        return self._stage

    def _update(self, now: float | None = None) -> None:
        """Tell the table what the connection waits for and what it holds."""
        record = self._record
        if self._is_ending or record is None:
            return
        phase = self._find_phase()
        if phase is not record.phase:
            self._table.set_phase(record, phase, now or self._guard.clock.monotonic())
        held = self._framing_bytes + self._unsent_bytes
        if phase is not Phase.IDLE:
            body_bytes = min(self._body_bytes, self._body_limits.unforwarded_bytes)
            held += self._head_bytes + body_bytes + HEADER_BYTES * len(self.headers)
            held += len(self._waiting) + REQUEST_BYTES * len(self.pipeline)
            if phase is Phase.BODY:
                held += REQUEST_BYTES
        if held > UNCOUNTED_BYTES:
            self._table.hold(record, held)
        elif record.held_bytes:
            self._table.hold(record, 0)

    # Refusals.

    def refuse(self, refusal: Refusal) -> None:
        """Refuse the incomplete request, if there is one, and close the connection."""
        if refusal is Refusal.UNREAD_REPLY:
            self._is_ending = True
            self.transport.abort()
        else:
            self._end(refusal)

    def count_unsent_bytes(self) -> int:
        """Return the number of bytes that the client has not read yet."""
        return self.transport.get_write_buffer_size()

    def is_reading(self) -> bool:
        """Return whether the process reads what the client sends."""
        return not self.flow.read_paused

    def _refuse(self, refusal: Refusal) -> None:
        """Refuse the newest request, which is incomplete, by the client's fault."""
        self._table.report(refusal, self._record)
        self._end(refusal)

    def _end(self, refusal: Refusal) -> None:
        active = self._active
        if active is not None and (active is not self.cycle or not active.more_body):
            # An earlier request is whole and gets its response.
            self._end_after_response()
            return
        if active is not None:
            _disconnect(active)
            has_response = active.response_started
        else:
            # A request that got its response early has no second one.
            has_response = self._stage is Phase.BODY
        may_have_run = self._body_bytes > self._body_limits.unforwarded_bytes
        may_have_run = may_have_run and refusal is not Refusal.BODY_TOO_LONG
        self._is_ending = True
        self._waiting = b""
        if refusal.status and not (has_response or may_have_run):
            self.transport.write(format_refusal(refusal))
        self.transport.close()
        if self.transport.get_write_buffer_size():
            self.loop.call_later(CLOSE_TIMEOUT_S, self.transport.abort)

    def _end_after_response(self) -> None:
        """Read nothing more, and close the connection after the first response."""
        self._is_ending = True
        self._waiting = b""
        self.pipeline.clear()
        if self._active is None:
            self.transport.close()
            return
        self._active.keep_alive = False
        self._hold_reading()


def _disconnect(cycle: RequestResponseCycle) -> None:
    """Show the app that the client has left before the end of its body."""
    cycle.disconnected = True
    cycle.body = bytearray()
    cycle.message_event.set()
