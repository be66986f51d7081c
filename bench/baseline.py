"""The plain scheduler that the engine is measured against.

First fit over a full scan of the workers, jobs strictly in the order of submission,
no sharing, no preemption, no reservation.
"""

from bluebellyoke.cell.commands import Placement
from bluebellyoke.placement.engine import RoundResult


class BaselineEngine:
    """First fit, first come."""

    def plan(self, book, now, limit=512):
        """Return the placements of one round."""
        result = RoundResult()
        free = {name: worker.free for name, worker in book.workers.items()}
        jobs = sorted(
            (job for queue in book.queues.values() for job in queue.values()),
            key=lambda job: job.submitted_at,
        )
        for job in jobs:
            placed = []
            for index in job.waiting:
                worker = self.find(book, free, job)
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

    def find(self, book, free, job):
        """Return the first worker with room."""
        for worker in book.workers.values():
            if worker.alive and job.need.fits_in(free[worker.name]):
                return worker
        return None
