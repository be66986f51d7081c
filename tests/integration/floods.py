"""Clients that send more than any limit allows, over raw sockets.

Each connection sends a bounded number of bytes and ends when the peer closes it, so
that a test ends whatever the process under test does.
"""

import contextlib
import select
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import h2.config
import h2.connection
import h2.exceptions

#: Bytes that a connection sends if its request never ends; it is a multiple of every
#: bound on a head, and 40 connections send more than the memory of the test's machine.
ENDLESS_BYTES = 4 * 1024 * 1024

#: Size of a body that is sent whole, and of one whose last byte is never sent. Both are
#: below the 8 MiB that an instance once took from any client.
WHOLE_BODY_BYTES = 8_000_000
PARTIAL_BODY_BYTES = 7_900_000

#: Sizes of bodies that each are allowed, by the path of the request.
ALLOWED_BODY_BYTES = {"/-/config": 4_000_000, "/v1/jobs": 4_000_000}
CLIENT_BODY_BYTES = 262_144

#: Timeout of a single call of a socket, in seconds.
SOCKET_TIMEOUT_S = 5.0

#: Time for which a client waits for a reply or the end of its connection, in seconds.
END_TIMEOUT_S = 30.0

#: Interval at which a waiting client checks whether it has to stop, in seconds.
STOP_CHECK_INTERVAL_S = 0.2

#: Size of one write, in bytes.
WRITE_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class Target:
    """A listener, and a request that it answers in calm times."""

    address: tuple[str, int]
    method: str
    path: str

    def build_head(self, *lines: str) -> bytes:
        """Return a request's head with these lines, without the empty line."""
        first = (f"{self.method} {self.path} HTTP/1.1", "Host: nony24.example")
        return "".join(f"{line}\r\n" for line in (*first, *lines)).encode()


def _repeat(first: bytes, unit: bytes, size: int = ENDLESS_BYTES) -> Iterator[bytes]:
    """Yield the first bytes, then `size` bytes of repeated units."""
    yield first
    piece = unit * max(WRITE_BYTES // len(unit), 1)
    sent = 0
    while sent < size:
        part = piece[: size - sent]
        yield part
        sent += len(part)


def send_header_lines(target: Target) -> Iterator[bytes]:
    """Send a head of header lines without end."""
    return _repeat(target.build_head(), b"X-Filler: " + b"x" * 52 + b"\r\n")


def send_header_name(target: Target) -> Iterator[bytes]:
    """Send a head with one header name without end."""
    return _repeat(target.build_head(), b"x")


def send_trailers(target: Target) -> Iterator[bytes]:
    """Send trailers without end behind a chunked body."""
    head = target.build_head("Transfer-Encoding: chunked")
    return _repeat(head + b"\r\n2\r\n{}\r\n0\r\n", b"X-Filler: " + b"x" * 52 + b"\r\n")


def send_chunks(target: Target) -> Iterator[bytes]:
    """Send chunks without end."""
    head = target.build_head("Transfer-Encoding: chunked")
    return _repeat(head + b"\r\n", b"1000\r\n" + b" " * 4096 + b"\r\n")


def send_chunk_extension(target: Target) -> Iterator[bytes]:
    """Send one extension of a chunk without end."""
    head = target.build_head("Transfer-Encoding: chunked")
    return _repeat(head + b"\r\n2;", b"x")


def send_announced_body(target: Target) -> Iterator[bytes]:
    """Announce a body of 99,999,999,999 bytes, and send it."""
    head = target.build_head("Content-Length: 99999999999")
    return _repeat(head + b"\r\n", b" ")


def send_whole_body(target: Target) -> Iterator[bytes]:
    """Send a long body."""
    head = target.build_head(f"Content-Length: {WHOLE_BODY_BYTES}")
    return _repeat(head + b"\r\n", b" ", WHOLE_BODY_BYTES)


def send_partial_body(target: Target) -> Iterator[bytes]:
    """Send a long body without its last byte."""
    head = target.build_head(f"Content-Length: {PARTIAL_BODY_BYTES}")
    return _repeat(head + b"\r\n", b" ", PARTIAL_BODY_BYTES - 1)


def send_allowed_body(target: Target) -> Iterator[bytes]:
    """Send a body that is allowed, without its last byte."""
    size = ALLOWED_BODY_BYTES.get(target.path, CLIENT_BODY_BYTES)
    head = target.build_head(f"Content-Length: {size}")
    return _repeat(head + b"\r\n", b" ", size - 1)


def send_empty_lines(target: Target) -> Iterator[bytes]:
    """Send empty lines without end in place of a request."""
    return _repeat(b"", b"\r\n")


def send_pipelined_requests(target: Target) -> Iterator[bytes]:
    """Send whole requests one behind the other."""
    return _repeat(b"", target.build_head("Content-Length: 2") + b"\r\n{}")


@dataclass(slots=True)
class FloodResult:
    """What a connection met.

    Attributes:
        sent: Number of bytes sent.
        has_ended: Whether the peer replied or closed the connection in time.
    """

    sent: int = 0
    has_ended: bool = False


def _wait_for_reply(
    connection: socket.socket, stopped: threading.Event, timeout_s: float
) -> bool:
    """Return whether a reply or the end of the connection arrives in time."""
    end_at = time.monotonic() + timeout_s
    while time.monotonic() < end_at and not stopped.is_set():
        if select.select([connection], [], [], STOP_CHECK_INTERVAL_S)[0]:
            return True
    return False


def _run_connection(
    address: tuple[str, int],
    pieces: Iterator[bytes],
    result: FloodResult,
    stopped: threading.Event,
    *,
    timeout_s: float,
    reads_replies: bool,
) -> None:
    """Send all pieces, then wait for a reply or the end of the connection."""
    with (
        contextlib.suppress(OSError),
        socket.create_connection(address, timeout=timeout_s) as connection,
    ):
        try:
            for piece in pieces:
                if stopped.is_set():
                    return
                connection.sendall(piece)
                result.sent += len(piece)
                if reads_replies and select.select([connection], [], [], 0)[0]:
                    break
            if reads_replies:
                result.has_ended = _wait_for_reply(connection, stopped, timeout_s)
            else:
                # The replies stay in the buffers while the peer is watched.
                stopped.wait(timeout_s)
        except TimeoutError:
            return
        except OSError:
            result.has_ended = True


def flood(
    target: Target,
    send: Callable[[Target], Iterator[bytes]],
    *,
    connections: int,
    stopped: threading.Event,
    timeout_s: float = SOCKET_TIMEOUT_S,
    reads_replies: bool = True,
) -> list[FloodResult]:
    """Send the same from several connections at once; return what they met.

    Args:
        stopped: Set to stop all connections early.
        timeout_s: Timeout of each write, and of the wait for a reply, in seconds.
        reads_replies: Whether a client stops at the first byte of a reply; otherwise
            it reads nothing, and stops when the peer does.
    """
    results = [FloodResult() for _ in range(connections)]
    threads = [
        threading.Thread(
            target=_run_connection,
            args=(target.address, send(target), result, stopped),
            kwargs={"timeout_s": timeout_s, "reads_replies": reads_replies},
        )
        for result in results
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def connect(address: tuple[str, int]) -> socket.socket:
    """Open a connection on which each wait is bounded."""
    return socket.create_connection(address, timeout=END_TIMEOUT_S)


def read_status(connection: socket.socket) -> int:
    """Return the status of a reply, or 0 if the connection ends before it."""
    with contextlib.suppress(OSError):
        received = b""
        while b"\r\n\r\n" not in received:
            part = connection.recv(4096)
            if not part:
                return 0
            received += part
        return int(received.split(b" ", 2)[1])
    return 0


def exchange(address: tuple[str, int], pieces: list[bytes]) -> int:
    """Send one request; return the status of its reply, or 0 without a reply."""
    with connect(address) as connection:
        # A reply may come before the request is complete.
        with contextlib.suppress(OSError):
            for piece in pieces:
                connection.sendall(piece)
        return read_status(connection)


def send_slowly(connection: socket.socket, request: bytes, *, pause_s: float) -> int:
    """Send a request in two parts; return the status of its reply."""
    half = len(request) // 2
    connection.sendall(request[:half])
    time.sleep(pause_s)
    connection.sendall(request[half:])
    return read_status(connection)


@contextlib.contextmanager
def open_idle_connections(
    address: tuple[str, int], count: int
) -> Iterator[list[socket.socket]]:
    """Keep connections open that send nothing."""
    connections = []
    try:
        for _ in range(count):
            with contextlib.suppress(OSError):
                connections.append(
                    socket.create_connection(address, timeout=SOCKET_TIMEOUT_S)
                )
        yield connections
    finally:
        for connection in connections:
            connection.close()


def send_peer_message(address: tuple[str, int], stopped: threading.Event) -> None:
    """Send one message without end to the listener for other instances."""
    config = h2.config.H2Configuration(client_side=True, header_encoding="utf-8")
    peer = h2.connection.H2Connection(config)
    peer.initiate_connection()
    peer.send_headers(
        1,
        [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", "/bluebellyoke.Replica/Deliver"),
            (":authority", "peer"),
            ("te", "trailers"),
            ("content-type", "application/grpc+msgpack"),
        ],
    )
    peer.send_data(1, b"\0" + struct.pack(">I", 2**31))
    sent = 0
    with (
        contextlib.suppress(OSError, h2.exceptions.ProtocolError),
        socket.create_connection(address, timeout=SOCKET_TIMEOUT_S) as connection,
    ):
        while sent < ENDLESS_BYTES and not stopped.is_set():
            connection.sendall(peer.data_to_send())
            window = peer.local_flow_control_window(1)
            if window == 0 or select.select([connection], [], [], 0)[0]:
                received = connection.recv(65536)
                if not received:
                    return
                peer.receive_data(received)
                continue
            size = min(window, peer.max_outbound_frame_size)
            peer.send_data(1, b"x" * size)
            sent += size
        # The message stays incomplete while the peer's memory is measured.
        stopped.wait(SOCKET_TIMEOUT_S)
