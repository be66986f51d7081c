"""Planning rounds, which assign waiting tasks to workers.

A round plans urgent jobs first, then the workspaces in the order of their fair-share
rank, a few tasks at a time. It reads the scheduling state and returns
placements to commit; it modifies only its own index and caches.

Rules:
    * A gang is planned as a whole or not at all.
    * Later jobs may be placed before a job for which no worker has capacity. After a
      while workers are reserved for it, and other jobs use them only if they are
      expected to end before the reservation is due (backfilling).
    * An urgent job without a worker preempts the cheapest restartable tasks of one
      worker.
    * A workspace below its fair share without a worker preempts a task of the workspace
      that is furthest above its own fair share.
    * A worker whose tasks need more than it has is relieved first.
    * Tasks that must not run twice are never preempted.
"""

import heapq
import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from bluebellyoke.cell.commands import JobKind, Placement
from bluebellyoke.cell.crashes import is_suspect
from bluebellyoke.cell.jobs import Job, JobClass, Task
from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.scheduling import SchedulingState
from bluebellyoke.placement.candidates import (
    DEFAULT_RUN_TIME_S,
    Candidate,
    CandidateIndex,
    estimate_job_end,
)
from bluebellyoke.placement.fairness import FairShares
from bluebellyoke.placement.policies import SAME_RACK_PENALTY, PlacementPolicy
from bluebellyoke.placement.preemption import PreemptionPlanner
from bluebellyoke.placement.reservations import Reservations

__all__ = ["Decision", "PlacementEngine", "RoundResult"]

#: Maximum number of placements in one round.
MAX_PLACEMENTS_PER_ROUND = 512

#: Number of unplaceable jobs after which a round skips the rest of a queue.
MAX_UNPLACEABLE_JOBS_PER_QUEUE = 64

#: Number of workers per task that a workspace may plan in one turn, and the maximum
#: number of tasks in one turn.
WORKERS_PER_TURN_TASK = 64
MAX_TASKS_PER_TURN = 16

#: Score penalty of a worker on which a task of the same job failed.
FAILED_WORKER_PENALTY = 100.0

#: Maximum number of needs remembered as unplaceable in a round.
MAX_UNPLACEABLE_NEEDS = 8

#: Maximum number of waiting reasons kept for `explain`.
MAX_WAITING_REASONS = 20_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """One placement decision, for the log and for `explain`.

    Attributes:
        action: "place" or "preempt".
        waited_s: Time since the task began to wait, in seconds.
    """

    action: str
    job_id: str
    index: int
    worker: str
    reason: str
    job_class: JobClass
    waited_s: float = 0.0


@dataclass(slots=True)
class RoundResult:
    """Result of a planning round.

    Attributes:
        placements: Tasks to start.
        preemptions: Tasks to stop, as (job ID, task index, epoch).
        decisions: Records of these decisions.
    """

    placements: list[Placement] = field(default_factory=list)
    preemptions: list[tuple[str, int, int]] = field(default_factory=list)
    decisions: list[Decision] = field(default_factory=list)


class PlacementEngine:
    """Plans rounds over the scheduling state.

    Args:
        policy: Placement policy of the cell.
        random_source: Random source for sampling.
        day_hours: Hours of local time, start and end, between which services are
            planned before batch jobs; batch jobs come first at other times.
        utc_offset_hours: Offset of the operator's local time from UTC, in hours.

    Attributes:
        waiting_reasons: Why jobs could not be placed, by job.
    """

    def __init__(
        self,
        *,
        policy: PlacementPolicy,
        random_source: random.Random,
        day_hours: tuple[int, int] = (6, 18),
        utc_offset_hours: int = 0,
    ) -> None:
        self.policy = policy
        self.waiting_reasons: dict[str, str] = {}
        self._index = CandidateIndex(random_source)
        self._shares = FairShares()
        self._reservations = Reservations(self._index)
        self._preemption = PreemptionPlanner(self._index, self._shares)
        self._day_hours = day_hours
        self._utc_offset_hours = utc_offset_hours
        self._unplaceable_needs: list[Resources] = []
        self._unplaceable_jobs: set[str] = set()
        self._location_counts: dict[str, Counter] = {}
        self._planned_counts: dict[str, int] = {}
        self._waiting: dict[str, list[int]] = {}
        # Job of the suspect that the round starts on a worker, by worker.
        self._isolated: dict[str, str] = {}

    def rebuild(self, scheduling: SchedulingState) -> None:
        """Discard all caches and read a scheduling state, as after a leader change."""
        self._index.rebuild(scheduling)
        self._reservations.clear()
        self._preemption.clear()

    def plan(
        self,
        scheduling: SchedulingState,
        now: float,
        limit: int = MAX_PLACEMENTS_PER_ROUND,
    ) -> RoundResult:
        """Plan one round.

        Args:
            scheduling: Jobs, workers and workspaces.
            now: Wall-clock time, in seconds.
            limit: Maximum number of placements.
        """
        self._index.refresh(scheduling)
        self._shares.begin_round(scheduling, now)
        self._reservations.refresh(scheduling, now)
        self._preemption.refresh(scheduling, now)
        self._unplaceable_needs.clear()
        self._unplaceable_jobs.clear()
        self._location_counts.clear()
        self._planned_counts.clear()
        self._waiting.clear()
        self._isolated.clear()
        result = RoundResult()
        self._relieve_overcommitted(now, result)
        self._plan_urgent(scheduling, now, limit, result)
        self._plan_by_fair_share(scheduling, now, limit, result)
        return result

    # Job order.

    def _plan_urgent(
        self, scheduling: SchedulingState, now: float, limit: int, result: RoundResult
    ) -> None:
        jobs = [
            job
            for name in scheduling.workspaces
            for job in scheduling.queues.get((name, JobClass.URGENT), {}).values()
        ]
        jobs.sort(key=lambda job: job.submitted_at)
        for job in jobs:
            while self._count_unplanned(job) and len(result.placements) < limit:
                if not self._plan_job(scheduling, job, now, result):
                    self._preempt_for_urgent(scheduling, job, now, result)
                    break

    def _plan_by_fair_share(
        self, scheduling: SchedulingState, now: float, limit: int, result: RoundResult
    ) -> None:
        heap = [
            (self._shares.compute_rank(name, item.spec.share), name)
            for name, item in scheduling.workspaces.items()
            if self._has_waiting_jobs(scheduling, name)
        ]
        heapq.heapify(heap)
        tasks_per_turn = min(
            max(len(self._index.candidates) // WORKERS_PER_TURN_TASK, 1),
            MAX_TASKS_PER_TURN,
        )
        while heap and len(result.placements) < limit:
            _, name = heapq.heappop(heap)
            if self._plan_turn(scheduling, name, now, tasks_per_turn, result):
                rank = self._shares.compute_rank(
                    name, scheduling.workspaces[name].spec.share
                )
                heapq.heappush(heap, (rank, name))

    def _has_waiting_jobs(self, scheduling: SchedulingState, workspace: str) -> bool:
        return (workspace, JobClass.SERVICE) in scheduling.queues or (
            workspace,
            JobClass.BATCH,
        ) in scheduling.queues

    def _plan_turn(
        self,
        scheduling: SchedulingState,
        workspace: str,
        now: float,
        tasks_per_turn: int,
        result: RoundResult,
    ) -> bool:
        """Plan a few tasks of a workspace; return whether any was placed."""
        for job in self._list_jobs(scheduling, workspace, now):
            planned = 0
            while planned < tasks_per_turn and self._count_unplanned(job):
                if not self._plan_job(scheduling, job, now, result):
                    self._handle_unplaceable(scheduling, job, now, result)
                    break
                planned += 1
            if planned:
                return True
        return False

    def _list_jobs(
        self, scheduling: SchedulingState, workspace: str, now: float
    ) -> Iterator[Job]:
        """Yield the jobs of a workspace that the round has not found unplaceable."""
        for job_class in self._order_classes(now):
            queue = scheduling.queues.get((workspace, job_class))
            if not queue:
                continue
            skipped = 0
            for job in self.policy.order_jobs(queue.values(), now):
                if job.spec.id in self._unplaceable_jobs:
                    skipped += 1
                    if skipped >= MAX_UNPLACEABLE_JOBS_PER_QUEUE:
                        break
                    continue
                if self._count_unplanned(job):
                    yield job

    def _order_classes(self, now: float) -> tuple[JobClass, JobClass]:
        hour = (now / 3600 + self._utc_offset_hours) % 24
        if self._day_hours[0] <= hour < self._day_hours[1]:
            return (JobClass.SERVICE, JobClass.BATCH)
        return (JobClass.BATCH, JobClass.SERVICE)

    # Planning of a job.

    def _count_unplanned(self, job: Job) -> int:
        """Return how many waiting tasks of a job the round has not planned."""
        return len(job.waiting) - self._planned_counts.get(job.spec.id, 0)

    def _plan_job(
        self, scheduling: SchedulingState, job: Job, now: float, result: RoundResult
    ) -> bool:
        """Plan the next task of a job, or a whole gang; return whether it succeeded."""
        if job.is_gang:
            return self._plan_gang(scheduling, job, now, result)
        candidate = self._choose_worker(scheduling, job, now)
        if candidate is None:
            return False
        self._add_placements(job, [candidate], now, result)
        return True

    def _plan_gang(
        self, scheduling: SchedulingState, job: Job, now: float, result: RoundResult
    ) -> bool:
        if len(job.waiting) < job.spec.tasks:
            self._set_waiting_reason(job, "members of the gang have not all stopped")
            return False
        chosen: list[Candidate] = []
        unplaceable_needs = list(self._unplaceable_needs)
        for _ in range(job.spec.tasks):
            candidate = self._choose_worker(scheduling, job, now)
            if candidate is None:
                break
            self._index.allocate(candidate, job.need)
            self._shares.add(job.spec.workspace, job.need)
            chosen.append(candidate)
        for candidate in chosen:
            self._index.release(candidate, job.need)
            self._shares.add(job.spec.workspace, job.need, -1)
        if len(chosen) < job.spec.tasks:
            if chosen:
                # The resources allocated to some members were released, so a need
                # found unplaceable meanwhile may fit again.
                self._unplaceable_needs = unplaceable_needs
            self._set_waiting_reason(
                job, f"room for {len(chosen)} of {job.spec.tasks} members"
            )
            return False
        self._add_placements(job, chosen, now, result)
        return True

    def _add_placements(
        self, job: Job, chosen: list[Candidate], now: float, result: RoundResult
    ) -> None:
        waiting = self._list_unplanned(job)
        ends_at = estimate_job_end(job, now)
        for candidate in chosen:
            index = waiting.pop()
            if is_suspect(job, index):
                self._isolated[candidate.worker.name] = job.spec.id
            task = job.tasks[index]
            worker = candidate.worker
            self._index.allocate(candidate, job.need)
            candidate.idle_at = max(candidate.idle_at, ends_at)
            self._shares.add(job.spec.workspace, job.need)
            if job.spec.id in self._location_counts:
                self._location_counts[job.spec.id][worker.rack] += 1
            result.placements.append(
                Placement(
                    job.spec.id, index, task.epoch + 1, worker.name, worker.session
                )
            )
            result.decisions.append(
                Decision(
                    action="place",
                    job_id=job.spec.id,
                    index=index,
                    worker=worker.name,
                    reason=f"best of the sampled workers by {self.policy.name}",
                    job_class=job.job_class,
                    waited_s=now - task.since,
                )
            )
        self._planned_counts[job.spec.id] = self._planned_counts.get(
            job.spec.id, 0
        ) + len(chosen)
        self.waiting_reasons.pop(job.spec.id, None)
        self._reservations.cancel(job.spec.id)

    def _list_unplanned(self, job: Job) -> list[int]:
        """Return the waiting tasks that the round has not planned, the next one last.

        Suspects of a crash come after the others, since few workers are idle.
        """
        waiting = self._waiting.get(job.spec.id)
        if waiting is None:
            waiting = self._waiting[job.spec.id] = list(job.waiting)
            if job.crashes:
                waiting.sort(key=lambda index: is_suspect(job, index))
            waiting.reverse()
        return waiting

    def _may_share(self, candidate: Candidate, job: Job) -> bool:
        """Return whether the next task of a job may start beside a worker's tasks.

        A suspect of a crash starts on an idle worker, and no other task beside it.
        """
        name = candidate.worker.name
        if self._isolated.get(name, job.spec.id) != job.spec.id:
            return False
        if not job.crashes or not is_suspect(job, self._list_unplanned(job)[-1]):
            return name not in self._isolated
        if candidate.worker.tasks:
            return False
        return job.is_gang or not self._index.has_allocation(candidate)

    def _choose_worker(
        self, scheduling: SchedulingState, job: Job, now: float
    ) -> Candidate | None:
        """Return the best worker for a task of a job, or None."""
        need = job.need
        workspace = scheduling.workspaces[job.spec.workspace]
        if not self._shares.is_within_quota(
            workspace.spec.name, workspace.spec.quota, need
        ):
            self._set_waiting_reason(job, "the workspace's quota is used up")
            return None
        for candidate in self._reservations.list_workers(job.spec.id):
            if (
                candidate.can_hold(need)
                and candidate.worker.is_schedulable(now)
                and self._may_share(candidate, job)
            ):
                return candidate
        if any(other.fits_in(need) for other in self._unplaceable_needs):
            self._set_waiting_reason(job, "no worker has room")
            return None
        best = None
        for accelerated in (True,) if need.accelerators else (False, True):
            best = self._choose_from_group(job, need, now, accelerated)
            if best is not None:
                return best
        self._set_waiting_reason(job, "no worker has room")
        if not job.crashes and len(self._unplaceable_needs) < MAX_UNPLACEABLE_NEEDS:
            self._unplaceable_needs.append(need)
        return None

    def _choose_from_group(
        self, job: Job, need: Resources, now: float, accelerated: bool
    ) -> Candidate | None:
        best, best_score, compared = None, 0.0, 0
        policy = self.policy
        expected_s = job.expected_s or DEFAULT_RUN_TIME_S
        for candidate in self._index.search(need, accelerated=accelerated):
            if not candidate.can_hold(need) or not candidate.worker.is_schedulable(now):
                continue
            if not self._reservations.allows(candidate, job, now):
                continue
            if not self._may_share(candidate, job):
                continue
            if candidate.worker.quarantines and self._index.has_allocation(candidate):
                # A worker that is probed after its quarantine gets only one task.
                continue
            busy_s = max(candidate.idle_at - now, 0.0)
            extension = max(expected_s - busy_s, 0.0) / expected_s
            score = policy.score(candidate, need, extension)
            score += self._compute_penalty(candidate, job)
            if best is None or score < best_score:
                best, best_score = candidate, score
            compared += 1
            if compared >= policy.sample_size:
                break
        return best

    def _compute_penalty(self, candidate: Candidate, job: Job) -> float:
        penalty = 0.0
        if candidate.worker.name in job.failed_on:
            penalty += FAILED_WORKER_PENALTY
        if job.spec.kind is JobKind.SERVICE:
            counts = self._count_tasks_by_location(job)
            penalty += SAME_RACK_PENALTY * counts[candidate.worker.rack]
            penalty += counts[candidate.worker.data_centre] / (job.spec.tasks or 1)
        return penalty

    def _count_tasks_by_location(self, job: Job) -> Counter:
        """Return the number of tasks of a service by rack and by data centre."""
        counts = self._location_counts.get(job.spec.id)
        if counts is None:
            counts = self._location_counts[job.spec.id] = Counter()
            for task in job.tasks:
                if task.worker is not None:
                    counts[task.worker.rack] += 1
                    counts[task.worker.data_centre] += 1
        return counts

    # Unplaceable jobs and preemption.

    def _handle_unplaceable(
        self, scheduling: SchedulingState, job: Job, now: float, result: RoundResult
    ) -> None:
        self._unplaceable_jobs.add(job.spec.id)
        self._reservations.reserve_if_starved(scheduling, job, now)
        victims = self._preemption.plan_for_fairness(scheduling, job, now)
        self._add_preemptions(
            victims,
            f"its workspace is above its due; {job.spec.id} waits below",
            result,
        )

    def _relieve_overcommitted(self, now: float, result: RoundResult) -> None:
        """Preempt tasks of workers whose tasks need more than the worker has."""
        for candidate in self._index.list_overcommitted():
            victims = self._preemption.plan_for_overcommit(candidate, now)
            self._add_preemptions(victims, "its worker is too full", result)

    def _preempt_for_urgent(
        self, scheduling: SchedulingState, job: Job, now: float, result: RoundResult
    ) -> None:
        """Preempt tasks to make room for the waiting tasks of an urgent job."""
        for _ in range(self._count_unplanned(job)):
            victims = self._preemption.plan_for_urgent(scheduling, job, now)
            if not victims:
                return
            self._add_preemptions(
                victims, f"urgent job {job.spec.id} needs its room", result
            )

    def _add_preemptions(
        self, victims: list[Task], reason: str, result: RoundResult
    ) -> None:
        for task in victims:
            result.preemptions.append((*task.key, task.epoch))
            result.decisions.append(
                Decision(
                    action="preempt",
                    job_id=task.job.spec.id,
                    index=task.index,
                    worker=task.worker.name,
                    reason=reason,
                    job_class=task.job.job_class,
                )
            )

    def _set_waiting_reason(self, job: Job, reason: str) -> None:
        if len(self.waiting_reasons) >= MAX_WAITING_REASONS:
            self.waiting_reasons.clear()
        self.waiting_reasons[job.spec.id] = reason
