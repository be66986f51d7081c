"""Snapshot of the replicated state of workflows."""

import msgspec

from bluebellyoke.cell.early_cancels import EarlyCancel
from bluebellyoke.workflow.ended_incarnations import EndedIncarnation
from bluebellyoke.workflow.lost_workers import LostWorker
from bluebellyoke.workflow.specs import (
    Configuration,
    QueueAddress,
    QueueSpec,
    WorkerSpec,
)
from bluebellyoke.workflow.task_crashes import TaskCrashes
from bluebellyoke.workflow.unsettled_runs import UnsettledRun
from bluebellyoke.workflow.workflow import Workflow

__all__ = ["WorkflowSnapshot"]


class WorkflowSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Snapshot of a workflow store.

    Attributes:
        removed_queues: Last definitions of removed queues that had active workflows.
        lost_workers: Removed workers that may have crashed.
        ended_incarnations: Incarnations of workers that ended a short time ago.
        unsettled_runs: Runs that the next incarnations of removed workers may have.
        removal_times: Addresses of removed queues that have workflows, and wall-clock
            times of their removals, in seconds.
        early_cancels: Cancels of workflows that were not known.
    """

    configuration: Configuration
    workers: list[WorkerSpec]
    workflows: list[Workflow]
    crashes: list[TaskCrashes] = []
    removed_queues: list[QueueSpec] = []
    lost_workers: list[LostWorker] = []
    ended_incarnations: list[EndedIncarnation] = []
    unsettled_runs: list[UnsettledRun] = []
    removal_times: list[tuple[QueueAddress, float]] = []
    early_cancels: list[EarlyCancel] = []
