"""Baseline scheduler that the placement engine is compared with.

It scans all workers for the first fit and takes jobs strictly in submission order,
without fair sharing, preemption or reservations.
"""

from bluebellyoke.cell.commands import Placement
from bluebellyoke.placement.engine import RoundResult


class BaselineEngine:
    """First-fit scheduler that serves jobs in submission order."""

    def plan(self, scheduling, now, limit=512):
        """Return the placements of one scheduling round."""
        result = RoundResult()
        free = {name: worker.free for name, worker in scheduling.workers.items()}
        jobs = sorted(
            (job for queue in scheduling.queues.values() for job in queue.values()),
            key=lambda job: job.submitted_at,
        )
        for job in jobs:
            placed = []
            for index in job.waiting:
                worker = self.find_worker(scheduling, free, job)
                if worker is None or len(result.placements) + len(placed) >= limit:
                    break
                free[worker.name] = free[worker.name] - job.need
                epoch = job.tasks[index].epoch + 1
                placed.append(
                    Placement(job.spec.id, index, epoch, worker.name, worker.session)
                )
            if job.is_gang and len(placed) < job.spec.tasks:
                for item in placed:
                    free[item.worker] = free[item.worker] + job.need
                break
            result.placements += placed
            if len(placed) < len(job.waiting):
                break
        return result

    def find_worker(self, scheduling, free, job):
        """Return the first live worker with enough free resources, or None."""
        for worker in scheduling.workers.values():
            if worker.alive and job.need.fits_in(free[worker.name]):
                return worker
        return None
