"""Amounts of CPU time, memory and accelerators."""

import msgspec

__all__ = ["Resources"]


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of each resource that a worker offers or a task needs.

    Attributes:
        cpu_millis: CPU time, in thousandths of a core.
        memory_mb: Memory, in MiB.
        accelerators: Number of accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def __mul__(self, count: int) -> "Resources":
        return Resources(
            self.cpu_millis * count, self.memory_mb * count, self.accelerators * count
        )

    def fits_in(self, free: "Resources") -> bool:
        """Return whether `free` covers this amount of every resource."""
        return (
            self.cpu_millis <= free.cpu_millis
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )

    def max_with(self, other: "Resources") -> "Resources":
        """Return the larger of both amounts of each resource."""
        return Resources(
            max(self.cpu_millis, other.cpu_millis),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def compute_dominant_share(self, total: "Resources") -> float:
        """Return the dominant share: the largest fraction of a resource in `total`."""
        return max(
            self.cpu_millis / (total.cpu_millis or 1),
            self.memory_mb / (total.memory_mb or 1),
            self.accelerators / (total.accelerators or 1),
        )
