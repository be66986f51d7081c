"""Base class of the commands of the replicated log."""

import msgspec

__all__ = ["Command"]


class Command(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True):
    """Base class of the commands.

    Attributes:
        time: Wall-clock time at which the leader proposed the command, in seconds.
    """

    time: float = 0.0
