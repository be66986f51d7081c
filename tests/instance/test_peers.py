"""Streams between replicas, over loopback."""

import socket

import anyio
import pytest
from grpclib.server import Server

from bluebellyoke.consensus import messages
from bluebellyoke.instance import peers
from bluebellyoke.instance.codec import (
    COUNTED_PEER_METHOD,
    PEER_METHOD,
    Acknowledgement,
    MessageCodec,
)
from bluebellyoke.instance.peers import PeerReceiver, PeerSender
from tests.test_addresses import ODD_ADDRESSES

WAIT_S = 60.0


class RecordingReceiver(PeerReceiver):
    """Receiver that counts streams and stores the terms of the messages.

    Attributes:
        methods: Methods that it offers; earlier builds have only the first.
        changed: Set when a message has arrived.
    """

    def __init__(self, methods):
        super().__init__(self.store)
        self.methods = methods
        self.terms = []
        self.streams = []
        self.changed = anyio.Event()

    def store(self, envelope):
        self.terms.append(envelope.message.term)
        self.changed.set()

    def __mapping__(self):
        handlers = super().__mapping__()
        return {method: handlers[method] for method in self.methods}

    async def wait_for(self, term):
        while term not in self.terms:
            self.changed = anyio.Event()
            await self.changed.wait()


def create_envelope(term):
    return messages.Envelope("c", "r1", "a:1", "r2", messages.TransferRequest(term))


def run_with_receiver(methods, body):
    async def run():
        receiver = RecordingReceiver(methods)
        server = Server([receiver], codec=MessageCodec())
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as listener:
            listener.bind(("127.0.0.1", 0))
            await server.start(sock=listener)
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            with anyio.fail_after(WAIT_S):
                async with anyio.create_task_group() as tasks:
                    sender = PeerSender(tasks)
                    await body(receiver, lambda x: sender.send(address, x))
                    tasks.cancel_scope.cancel()
            server.close()

    anyio.run(run)


def test_stream_outlives_the_timeout_of_acknowledgements(monkeypatch):
    """Pattern: many small batches, whose acknowledgements are sent together."""
    monkeypatch.setattr(peers, "ACKNOWLEDGEMENT_TIMEOUT_S", 0.5)
    failures = []
    monkeypatch.setattr(
        peers.logger, "debug", lambda *args, **fields: failures.append(fields)
    )

    async def body(receiver, send):
        for term in range(1, 61):
            send(create_envelope(term))
            await anyio.sleep(0.02)
        await receiver.wait_for(60)
        assert receiver.terms == list(range(1, 61))

    run_with_receiver((PEER_METHOD, COUNTED_PEER_METHOD), body)
    assert failures == []


@pytest.mark.parametrize(
    "methods", [(PEER_METHOD,), (PEER_METHOD, COUNTED_PEER_METHOD)]
)
def test_messages_reach_peers_of_both_builds(methods):
    """The messages sent before the method is known may be lost; Raft sends again."""

    async def body(receiver, send):
        term = 0
        while not receiver.terms:
            term += 1
            send(create_envelope(term))
            with anyio.move_on_after(0.2):
                await receiver.changed.wait()
        for later in range(term + 1, term + 30):
            send(create_envelope(later))
            await receiver.wait_for(later)

    run_with_receiver(methods, body)


def test_silent_peer_gets_a_new_stream(monkeypatch):
    """Pattern: a connection that drops everything without a reset."""
    monkeypatch.setattr(peers, "ACKNOWLEDGEMENT_TIMEOUT_S", 0.2)
    streams = []

    async def receive_silently(self, stream):
        streams.append(stream)
        await anyio.sleep_forever()

    monkeypatch.setattr(PeerReceiver, "_handle_counted_stream", receive_silently)

    async def body(receiver, send):
        term = 0
        while len(streams) < 2:
            term += 1
            send(create_envelope(term))
            await anyio.sleep(0.05)

    run_with_receiver((PEER_METHOD, COUNTED_PEER_METHOD), body)


# Guards against the end of the whole process because one peer, such as one of a faulty
# build, acknowledged batches that it had not got.
@pytest.mark.parametrize("counts", [(1000,), (10**18,), (1, 0), (-1,)])
def test_impossible_acknowledgement_ends_only_the_stream(monkeypatch, counts):
    streams = []

    async def acknowledge_wrongly(self, stream):
        streams.append(stream)
        await stream.recv_message()
        for count in counts:
            await stream.send_message(Acknowledgement(count))
        await anyio.sleep_forever()

    monkeypatch.setattr(PeerReceiver, "_handle_counted_stream", acknowledge_wrongly)
    # Only the acknowledgement may end the stream here, not its absence.
    monkeypatch.setattr(peers, "ACKNOWLEDGEMENT_TIMEOUT_S", 2 * WAIT_S)

    async def body(receiver, send):
        with anyio.fail_after(10.0):
            while len(streams) < 2:
                send(create_envelope(1))
                await anyio.sleep(0.3)

    run_with_receiver((PEER_METHOD, COUNTED_PEER_METHOD), body)


# Guards against the end of the whole process because one peer gave an address that
# cannot be dialled as its own, such as one with a port out of range.
@pytest.mark.parametrize("odd", ODD_ADDRESSES)
def test_message_to_an_odd_address_does_not_hinder_the_others(odd):
    async def run():
        async with anyio.create_task_group() as tasks:
            sender = PeerSender(tasks)
            sender.send(odd, create_envelope(1))
            await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()

    anyio.run(run)
