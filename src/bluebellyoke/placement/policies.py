"""Placement policies, which select workers and order jobs.

`PackingPolicy` keeps as few workers busy as possible and plans infrequently, for small
workers and a small budget for the control plane. `LowLatencyPolicy` starts tasks as
early as possible: it plans frequently, compares few workers and prefers short jobs.
"""

import abc
from collections.abc import Iterable
from itertools import islice

from bluebellyoke.cell.jobs import Job
from bluebellyoke.cell.resources import Resources
from bluebellyoke.errors import BluebellyokeError
from bluebellyoke.placement.candidates import Candidate

__all__ = [
    "PackingPolicy",
    "PlacementPolicy",
    "UnknownPolicyError",
    "LowLatencyPolicy",
    "create_policy",
]

#: Score penalty of a task for whose whole run time its worker would otherwise be idle.
EXTENSION_WEIGHT = 0.5

#: Score penalty for each task of the same service that runs in the same rack.
SAME_RACK_PENALTY = 2.0

#: Number of jobs at the head of a queue that are sorted by run time.
SHORTEST_FIRST_WINDOW = 8

#: Wait after which shorter jobs no longer overtake a job, in seconds.
OVERTAKING_AGE_LIMIT_S = 60.0


class UnknownPolicyError(BluebellyokeError):
    """The settings name an unknown placement policy."""

    def __init__(self, name: str) -> None:
        super().__init__(
            f"no placement policy is named {name!r}",
            remedy="choose `packing` or `waiting`",
        )


class PlacementPolicy(abc.ABC):
    """Base class of the placement policies.

    Attributes:
        name: Value of the setting that selects the policy.
        sample_size: Number of suitable workers compared for one task.
        interval_s: Minimum time between two planning rounds, in seconds.
    """

    name: str
    sample_size: int
    interval_s: float

    @abc.abstractmethod
    def score(self, candidate: Candidate, need: Resources, extension: float) -> float:
        """Return the score of a worker for a task; the lowest score wins.

        Args:
            candidate: The worker.
            need: Resources of the task.
            extension: Fraction of the task's run time, from 0 to 1, after the expected
                end of the tasks already on the worker.
        """

    @abc.abstractmethod
    def order_jobs(self, jobs: Iterable[Job], now: float) -> Iterable[Job]:
        """Return the jobs of one queue in planning order."""


class PackingPolicy(PlacementPolicy):
    """Best fit, with a preference for workers that stay busy at least as long.

    A task that ends before the other tasks of its worker does not extend the time for
    which the worker is busy. Tasks of a worker thus end together, and the idle worker
    can be switched off.
    """

    name = "packing"
    sample_size = 32
    interval_s = 0.1

    def score(self, candidate: Candidate, need: Resources, extension: float) -> float:
        """Return the remaining fraction of the scarcer resource, plus the extension."""
        return (
            compute_remaining_fraction(candidate, need) + EXTENSION_WEIGHT * extension
        )

    def order_jobs(self, jobs: Iterable[Job], now: float) -> Iterable[Job]:
        """Return the jobs in the order of submission."""
        return jobs


class LowLatencyPolicy(PlacementPolicy):
    """Earliest start: frequent rounds, few comparisons, shortest job first.

    The fullest suitable worker is preferred here too, because free capacity that is
    spread over all workers does not fit a large task.
    """

    name = "waiting"
    sample_size = 8
    interval_s = 0.01

    def score(self, candidate: Candidate, need: Resources, extension: float) -> float:
        """Return the remaining fraction of the scarcer resource."""
        return compute_remaining_fraction(candidate, need)

    def order_jobs(self, jobs: Iterable[Job], now: float) -> Iterable[Job]:
        """Return the first jobs sorted by run time, then the others.

        Jobs that have waited longer than the limit come first.
        """
        iterator = iter(jobs)
        head = list(islice(iterator, SHORTEST_FIRST_WINDOW))
        head.sort(key=lambda job: _compute_length_key(job, now))
        yield from head
        yield from iterator


def compute_remaining_fraction(candidate: Candidate, need: Resources) -> float:
    """Return the fraction of the scarcer resource that a task leaves on a worker."""
    total = candidate.worker.total
    return min(
        (candidate.cpu_millis - need.cpu_millis) / (total.cpu_millis or 1),
        (candidate.memory_mb - need.memory_mb) / (total.memory_mb or 1),
    )


def _compute_length_key(job: Job, now: float) -> float:
    if now - job.submitted_at > OVERTAKING_AGE_LIMIT_S:
        return 0.0
    return job.expected_s


def create_policy(name: str) -> PlacementPolicy:
    """Return the policy that a setting names.

    Raises:
        UnknownPolicyError: No policy has this name.
    """
    for policy in (PackingPolicy, LowLatencyPolicy):
        if policy.name == name:
            return policy()
    raise UnknownPolicyError(name)
