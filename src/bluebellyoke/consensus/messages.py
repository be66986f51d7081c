"""Log entries, memberships and the messages between replicas."""

import enum

import msgspec

__all__ = [
    "AppendReply",
    "AppendRequest",
    "Entry",
    "EntryKind",
    "Envelope",
    "HardState",
    "JoinRequest",
    "Member",
    "Membership",
    "Message",
    "PeerList",
    "SnapshotMeta",
    "SnapshotReply",
    "SnapshotRequest",
    "TransferRequest",
    "VoteReply",
    "VoteRequest",
]


class EntryKind(enum.IntEnum):
    """What the payload of an entry holds."""

    NOOP = 0
    COMMANDS = 1
    MEMBERSHIP = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A replica as the membership lists it.

    Attributes:
        replica: Identity that was made with the data folder.
        name: Name of the instance that runs the replica.
        address: IP number of the instance's peer listener.
        port: TCP port of the instance's peer listener.
        data_centre: Data centre of the instance.
    """

    replica: str
    name: str
    address: str
    port: int
    data_centre: str


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """Voters and learners of the log, by replica identity."""

    voters: dict[str, Member] = {}
    learners: dict[str, Member] = {}

    @property
    def quorum(self) -> int:
        """Number of voters that make a majority."""
        return len(self.voters) // 2 + 1

    @property
    def members(self) -> dict[str, Member]:
        """All voters and learners."""
        return {**self.voters, **self.learners}


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """Term and vote, which must be synced before any answer that relies on them."""

    term: int = 0
    voted_for: str = ""


class SnapshotMeta(msgspec.Struct, frozen=True, array_like=True):
    """Position and membership of a snapshot.

    Attributes:
        index: Last entry that the snapshot covers.
        term: Term of that entry.
        size: Length of the state, in bytes.
    """

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    size: int = 0


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of the messages between replicas."""

    term: int


class VoteRequest(Message, frozen=True, array_like=True, tag=True):
    """Ask for a vote, or with `pre` whether a vote would be given."""

    last_index: int
    last_term: int
    pre: bool
    transfer: bool = False


class VoteReply(Message, frozen=True, array_like=True, tag=True):
    """Answer of a `VoteRequest`."""

    granted: bool
    pre: bool


class AppendRequest(Message, frozen=True, array_like=True, tag=True):
    """Entries for a follower; without entries a heartbeat.

    Attributes:
        sent_at: Leader's monotonic time, returned by the follower.
    """

    previous_index: int
    previous_term: int
    commit: int
    sent_at: float
    entries: tuple[Entry, ...] = ()


class AppendReply(Message, frozen=True, array_like=True, tag=True):
    """Answer of an `AppendRequest`.

    Attributes:
        index: Last matching entry, or on a mismatch the last that may match.
    """

    matched: bool
    index: int
    sent_at: float


class SnapshotRequest(Message, frozen=True, array_like=True, tag=True):
    """One chunk of a snapshot for a follower."""

    meta: SnapshotMeta
    offset: int
    chunk: bytes
    sent_at: float


class SnapshotReply(Message, frozen=True, array_like=True, tag=True):
    """Bytes of a snapshot that the follower holds so far."""

    index: int
    received: int
    sent_at: float


class TransferRequest(Message, frozen=True, array_like=True, tag=True):
    """Ask a follower to stand for election at once."""


class JoinRequest(Message, frozen=True, array_like=True, tag=True):
    """Offer of a replica that is in no membership to become a member."""

    member: Member


class PeerList(Message, frozen=True, array_like=True, tag=True):
    """Addresses of the members, for instances that know none."""

    addresses: tuple[str, ...]


AnyMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | SnapshotReply
    | TransferRequest
    | JoinRequest
    | PeerList
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender and receiver, by replica identity.

    Attributes:
        origin: Address of the sender's peer listener, so that a replica that knows no
            membership yet can answer.
    """

    cell: str
    source: str
    origin: str
    target: str
    message: AnyMessage
