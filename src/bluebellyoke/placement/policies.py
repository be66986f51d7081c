"""Placement policies: which worker and which job come first.

`PackingPolicy` keeps as few workers busy as it can and plans seldom, for small
workers and a small control budget. `LowLatencyPolicy` starts work as early as it can:
it plans often, compares little and takes the shortest jobs first.
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

#: Score of a task that keeps its worker busy for its own sake alone.
EXTENSION_WEIGHT = 0.5

#: Score of a rack or data centre that already runs a task of the same service.
SAME_RACK_PENALTY = 2.0

#: Jobs at the head of a queue among which the shortest is chosen.
SHORTEST_FIRST_WINDOW = 8

#: Wait after which a job is no longer overtaken by shorter ones, in seconds.
OVERTAKING_AGE_LIMIT_S = 60.0


class UnknownPolicyError(BluebellyokeError):
    """The settings name no shipped policy."""

    def __init__(self, name: str) -> None:
        super().__init__(
            f"no placement policy is named {name!r}",
            remedy="choose `packing` or `waiting`",
        )


class PlacementPolicy(abc.ABC):
    """Choices in which placements differ between operators.

    Attributes:
        name: Value of the setting that selects the policy.
        sample_size: Suitable workers that are compared for one task.
        interval_s: Shortest time between two planning rounds, in seconds.
    """

    name: str
    sample_size: int
    interval_s: float

    @abc.abstractmethod
    def score(self, candidate: Candidate, need: Resources, extension: float) -> float:
        """Return how bad a worker is for a task; the least score wins.

        Args:
            candidate: The worker.
            need: Resources of the task.
            extension: Part of the task's run time for which it keeps the worker
                busy longer than the tasks that are there, from 0 to 1.
        """

    @abc.abstractmethod
    def order_jobs(self, jobs: Iterable[Job], now: float) -> Iterable[Job]:
        """Return the jobs of one queue in the order in which to try them."""


class PackingPolicy(PlacementPolicy):
    """Best fit among workers that are busy for as long anyway.

    A task that ends before the others of its worker keeps no worker busy for its own
    sake, so workers run empty together and can be switched off.
    """

    name = "packing"
    sample_size = 32
    interval_s = 0.1

    def score(self, candidate: Candidate, need: Resources, extension: float) -> float:
        """Return the room left in the scarcer resource, and the extension."""
        return (
            compute_remaining_fraction(candidate, need) + EXTENSION_WEIGHT * extension
        )

    def order_jobs(self, jobs: Iterable[Job], now: float) -> Iterable[Job]:
        """Return the jobs as they came."""
        return jobs


class LowLatencyPolicy(PlacementPolicy):
    """Earliest start: frequent rounds, few comparisons, shortest job first.

    Even here the fullest worker is taken, because room that is spread over all
    workers holds no large task.
    """

    name = "waiting"
    sample_size = 8
    interval_s = 0.01

    def score(self, candidate: Candidate, need: Resources, extension: float) -> float:
        """Return the room left in the scarcer resource."""
        return compute_remaining_fraction(candidate, need)

    def order_jobs(self, jobs: Iterable[Job], now: float) -> Iterable[Job]:
        """Return the shortest of the first jobs ahead of the others.

        A job that has waited long is overtaken no more.
        """
        iterator = iter(jobs)
        head = list(islice(iterator, SHORTEST_FIRST_WINDOW))
        head.sort(key=lambda job: _compute_length_key(job, now))
        yield from head
        yield from iterator


def compute_remaining_fraction(candidate: Candidate, need: Resources) -> float:
    """Return the fraction of a worker that a task leaves, of the scarcer resource."""
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
    """Return the policy of a setting's value.

    Raises:
        UnknownPolicyError: No policy has this name.
    """
    for policy in (PackingPolicy, LowLatencyPolicy):
        if policy.name == name:
            return policy()
    raise UnknownPolicyError(name)
