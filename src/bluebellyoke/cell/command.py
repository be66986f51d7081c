"""Base class of the commands of the replicated log."""

import msgspec

__all__ = ["Command"]


class Command(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True):
    """A command of the replicated log.

    Attributes:
        time: Wall-clock time at which the leader proposed the command, in seconds
            since the epoch.
    """

    time: float = 0.0
