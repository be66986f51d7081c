"""Log entries, memberships and messages between replicas."""

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
    "LeaveNotice",
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
    """Type of the payload of a log entry."""

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
    """A replica in the membership.

    Attributes:
        replica: ID that was created with the data folder.
        name: Name of the instance that runs the replica.
        address: IP address of the instance's peer listener.
        port: TCP port of the instance's peer listener.
        data_centre: Data centre of the instance.
    """

    replica: str
    name: str
    address: str
    port: int
    data_centre: str


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """Voters and learners, by replica ID."""

    voters: dict[str, Member] = {}
    learners: dict[str, Member] = {}

    @property
    def quorum(self) -> int:
        """Number of voters required for a majority."""
        return len(self.voters) // 2 + 1

    @property
    def members(self) -> dict[str, Member]:
        """All voters and learners."""
        return {**self.voters, **self.learners}


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """Term and vote, which must be synced before any reply that depends on them."""

    term: int = 0
    voted_for: str = ""


class SnapshotMeta(msgspec.Struct, frozen=True, array_like=True):
    """Log position, membership and size of a snapshot.

    Attributes:
        index: Index of the last entry that the snapshot covers.
        term: Term of that entry.
        membership: Membership in effect at that entry.
        size: Size of the state, in bytes.
    """

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    size: int = 0


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of the messages between replicas.

    Attributes:
        term: Current term of the sender. A pre-vote and its grant carry the next
            term; join requests, leave notices and peer lists carry 0.
    """

    term: int


class VoteRequest(Message, frozen=True, array_like=True, tag=True):
    """Request for a vote.

    Attributes:
        last_index: Index of the candidate's last entry.
        last_term: Term of that entry.
        pre: Whether this is a pre-vote, which only asks if a vote would be granted.
        transfer: Whether the leader asked the candidate to take over the leadership.
    """

    last_index: int
    last_term: int
    pre: bool
    transfer: bool = False


class VoteReply(Message, frozen=True, array_like=True, tag=True):
    """Reply to a `VoteRequest`."""

    granted: bool
    pre: bool


class AppendRequest(Message, frozen=True, array_like=True, tag=True):
    """Entries for a follower; a heartbeat if it has no entries.

    Attributes:
        previous_index: Index of the entry before the first one.
        previous_term: Term of that entry.
        commit: Commit index of the leader.
        sent_at: Leader's monotonic time in seconds, which the follower echoes.
        entries: Entries with consecutive indexes.
    """

    previous_index: int
    previous_term: int
    commit: int
    sent_at: float
    entries: tuple[Entry, ...] = ()


class AppendReply(Message, frozen=True, array_like=True, tag=True):
    """Reply to an `AppendRequest`.

    Attributes:
        matched: Whether the entry at `previous_index` matches the leader's.
        index: Index of the last matching entry, or after a mismatch the last index
            at which the logs may match.
        sent_at: Value of `sent_at` in the request.
    """

    matched: bool
    index: int
    sent_at: float


class SnapshotRequest(Message, frozen=True, array_like=True, tag=True):
    """One chunk of a snapshot for a follower.

    Attributes:
        meta: Metadata of the snapshot.
        offset: Position of the chunk in the state, in bytes.
        chunk: Part of the state.
        sent_at: Leader's monotonic time in seconds, which the follower echoes.
    """

    meta: SnapshotMeta
    offset: int
    chunk: bytes
    sent_at: float


class SnapshotReply(Message, frozen=True, array_like=True, tag=True):
    """Reply to a `SnapshotRequest`.

    Attributes:
        index: Index of the snapshot.
        received: Bytes of the state that the follower has received so far.
        sent_at: Value of `sent_at` in the request.
    """

    index: int
    received: int
    sent_at: float


class TransferRequest(Message, frozen=True, array_like=True, tag=True):
    """Request that a follower start an election immediately."""


class JoinRequest(Message, frozen=True, array_like=True, tag=True):
    """Request of a replica outside the membership to join it."""

    member: Member


class LeaveNotice(Message, frozen=True, array_like=True, tag=True):
    """Notice to the leader that the sender's instance shuts down."""


class PeerList(Message, frozen=True, array_like=True, tag=True):
    """Addresses of the members, for instances that do not know them."""

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
    | LeaveNotice
    | PeerList
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender and receiver.

    Attributes:
        cell: Name of the cell.
        source: Replica ID of the sender.
        origin: Address of the sender's peer listener, so that a replica that does not
            know the membership yet can reply.
        target: Replica ID of the receiver.
        message: The message.
    """

    cell: str
    source: str
    origin: str
    target: str
    message: AnyMessage
