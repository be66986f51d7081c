"""Cluster of Raft nodes with a simulated network and disks.

A crash loses everything that is not synced.
"""

import random
from dataclasses import dataclass

from bluebellyoke.consensus import messages
from bluebellyoke.consensus.effects import Effects
from bluebellyoke.consensus.log import EntryLog
from bluebellyoke.consensus.raft import RaftNode
from bluebellyoke.consensus.timing import ElectionTiming

TIMING = ElectionTiming()


class MemorySnapshots:
    """In-memory source of snapshot chunks."""

    def __init__(self):
        self.data = b""

    def read_chunk(self, offset, size):
        return self.data[offset : offset + size]


@dataclass
class Disk:
    """Synced state of one replica."""

    hard_state: messages.HardState
    base: messages.SnapshotMeta
    entries: list
    snapshots: MemorySnapshots


def create_member(replica):
    # Members with the same address and port would count as the same instance.
    port = 1000 + sum(replica.encode())
    return messages.Member(replica, replica, "127.0.0.1", port, f"dc-{replica}")


class Cluster:
    """Raft nodes, their disks, the messages in flight and the committed entries.

    Attributes:
        partitioned: Replicas whose messages are dropped.
        committed: Committed entries by index.
        leaders: Leaders by term.
        applied: Index of the last applied entry by replica.
    """

    def __init__(self, count=3, seed=0):
        self.now = 100.0
        self.random = random.Random(seed)
        self.disks = {}
        self.nodes = {}
        self.network = []
        self.partitioned = set()
        self.committed = {}
        self.leaders = {}
        self.applied = {}
        names = [f"r{number}" for number in range(count)]
        voters = {name: create_member(name) for name in names}
        base = messages.SnapshotMeta(1, 1, messages.Membership(voters, {}), 0)
        for name in names:
            self.add_replica(name, base, messages.HardState(1, ""))

    def add_replica(self, name, base=None, hard_state=None):
        self.disks[name] = Disk(
            hard_state or messages.HardState(),
            base or messages.SnapshotMeta(),
            [],
            MemorySnapshots(),
        )
        self.start(name)

    def start(self, name):
        disk = self.disks[name]
        self.nodes[name] = RaftNode(
            replica=name,
            log=EntryLog(disk.base, disk.entries),
            hard_state=disk.hard_state,
            timing=TIMING,
            snapshots=disk.snapshots,
            random_source=self.random,
            now=self.now,
        )
        self.applied[name] = disk.base.index

    def crash(self, name):
        """Stop a replica and lose everything that it has not synced."""
        self.nodes.pop(name, None)

    def wipe(self, name):
        """Stop a replica and lose its disk."""
        self.crash(name)
        del self.disks[name]

    def process_effects(self, name):
        """Carry out all effects of a node in the order that `Effects` requires."""
        node = self.nodes[name]
        while True:
            effects = node.take_effects()
            if effects == Effects():
                return
            self.send(name, effects.early_messages)
            self.sync(name, node, effects)
            self.send(name, effects.messages)
            self.apply(name, effects.committed)
            self.check_single_leader(name, node)

    def sync(self, name, node, effects):
        disk = self.disks[name]
        if effects.snapshot is not None:
            disk.base, disk.snapshots.data = effects.snapshot
            disk.entries = []
            self.applied[name] = disk.base.index
        if effects.hard_state is not None:
            disk.hard_state = effects.hard_state
        if effects.truncate_from is not None:
            keep = effects.truncate_from - disk.base.index - 1
            disk.entries = disk.entries[:keep]
        disk.entries = disk.entries + effects.entries
        if effects.entries:
            node.acknowledge_sync(effects.entries[-1].index)

    def send(self, source, outgoing):
        for target, message in outgoing:
            self.network.append((source, target, message))

    def apply(self, name, entries):
        for entry in entries:
            assert entry.index == self.applied[name] + 1, "an entry was skipped"
            self.applied[name] = entry.index
            known = self.committed.setdefault(entry.index, entry)
            assert known == entry, f"two entries were committed at {entry.index}"

    def check_single_leader(self, name, node):
        if node.is_leader:
            first = self.leaders.setdefault(node.term, name)
            assert first == name, f"two leaders in term {node.term}"

    def check_leases(self):
        """Check that at most one lease is valid and its holder has all commits."""
        holders = [x for x, n in self.nodes.items() if n.is_lease_valid(self.now)]
        assert len(holders) <= 1, f"{holders} hold a valid lease at the same time"
        for name in holders:
            node = self.nodes[name]
            for index, entry in self.committed.items():
                if index > node.log.base.index:
                    assert node.log.find_term(index) == entry.term, "an entry was lost"

    def is_partitioned(self, source, target):
        return source in self.partitioned or target in self.partitioned

    def deliver(self, position):
        source, target, message = self.network.pop(position)
        if target not in self.nodes or self.is_partitioned(source, target):
            return
        self.nodes[target].receive(source, message, self.now)
        self.process_effects(target)

    def advance(self, seconds):
        self.now += seconds
        for name in sorted(self.nodes):
            self.nodes[name].tick(self.now)
            self.process_effects(name)
        self.check_leases()

    def settle(self, seconds=6.0, step=0.05):
        """Advance time while delivering all messages in order."""
        end = self.now + seconds
        while self.now < end:
            self.advance(step)
            while self.network:
                self.deliver(0)
            self.check_leases()

    def find_leader(self):
        for name, node in self.nodes.items():
            if node.is_lease_valid(self.now):
                return name
        return None

    def propose(self, name, payload):
        node = self.nodes[name]
        if node.is_leader:
            node.propose(payload, self.now)
            self.process_effects(name)

    def compact(self, name):
        """Take a snapshot at the last applied entry and compact the log."""
        node = self.nodes[name]
        index = self.applied[name]
        if index <= node.log.base.index:
            return
        data = f"state-{index}".encode()
        meta = messages.SnapshotMeta(
            index, node.log.find_term(index), node.find_membership_at(index), len(data)
        )
        disk = self.disks[name]
        disk.snapshots.data = data
        disk.entries = disk.entries[index - disk.base.index :]
        disk.base = meta
        node.compact(meta)
