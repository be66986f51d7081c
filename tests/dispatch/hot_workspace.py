"""A cell in which one workspace sends far more than its usual traffic for a while.

The traffic is that of the bid house, on a third of its workers: long gangs, batches and
short jobs of several workspaces. Run times are fixed, so that two plays differ in the
burst only.
"""

import heapq
import random

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.fair_order import FairOrder
from bluebellyoke.dispatch.planner import Planner
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.specs import StepSpec
from tests.dispatch.test_planner import NOW
from tests.dispatch.test_quotas import QuotaCell
from tests.workflow.factories import create_queue, create_worker

WORKERS = 60
WORKSPACES = tuple(f"s{number}" for number in range(10))
HOT = WORKSPACES[0]
ROUND_S = 0.05
BURST = (6.0, 13.0)
END_S = 16.0

#: Step and jobs a second by queue; the tasks use about 0.7 of the cell.
KINDS = {
    "short": (StepSpec(count=3, need=Resources(5000), estimate_ms=640.0), 17.7),
    "long": (
        StepSpec(count=8, need=Resources(9000), estimate_ms=5000.0, gang=True),
        1.65,
    ),
    "batch": (StepSpec(count=9, need=Resources(3500), estimate_ms=3400.0), 4.8),
}


class HotCell:
    """Plays the traffic and records how long each job waits for its last start.

    Args:
        factor: Multiple of its usual traffic that one workspace sends in the burst.
        seed: Seed of the arrivals.
        orders: Orders of the waiting steps; the fair order if None.
    """

    def __init__(self, factor, seed=0, orders=None):
        queues = [
            create_queue(name, priority=priority) for priority, name in enumerate(KINDS)
        ]
        self.cell = QuotaCell(dict.fromkeys(WORKSPACES, 0), workers=0, queues=queues)
        for number in range(WORKERS):
            capacity = Resources(32000, 65536)
            self.cell.add_worker(create_worker(f"w{number}", capacity=capacity))
        orders = (FairOrder(),) if orders is None else orders
        self.cell.planner = Planner(self.cell.advice, orders=orders)
        self.factor = factor
        self.seed = seed
        self.ends = []
        self.submitted = {}
        self.missing = {}
        self.waits = {}

    def list_arrivals(self):
        """Return time, workspace and queue of each job; the usual ones never differ."""
        arrivals = []
        for workspace in WORKSPACES:
            for queue, (_, rate) in KINDS.items():
                chance = random.Random(f"{self.seed}{workspace}{queue}")
                arrivals += self.list_random(chance, rate, 0, END_S, workspace, queue)
                if workspace == HOT and self.factor > 1:
                    extra = rate * (self.factor - 1)
                    arrivals += self.list_random(
                        chance, extra, *BURST, workspace, queue
                    )
        return sorted(arrivals)

    def list_random(self, chance, rate, begin, end, workspace, queue):
        time, found = begin, []
        while True:
            time += chance.expovariate(rate / len(WORKSPACES))
            if time >= end:
                return found
            found.append((time, workspace, queue))

    def play(self):
        """Return the waits of the jobs that came in the burst, by workspace."""
        arrivals = self.list_arrivals()
        for number in range(round(END_S / ROUND_S)):
            time = number * ROUND_S
            while arrivals and arrivals[0][0] <= time:
                at, workspace, queue = arrivals.pop(0)
                job = self.cell.submit([KINDS[queue][0]], queue, workspace=workspace)
                self.submitted[job] = (at, workspace, queue)
                self.missing[job] = KINDS[queue][0].count
            self.end_runs(time)
            self.start_runs(time)
        return self.collect()

    def end_runs(self, time):
        while self.ends and self.ends[0][0] <= time:
            _, _, start = heapq.heappop(self.ends)
            self.cell.workers[start.worker].drop_run((start.task, start.run))
            done = workflow_commands.RunOutcome.DONE
            end = workflow_commands.RunEnd(start.task, start.run, done)
            self.cell.store.apply(workflow_commands.RecordEnds(time=NOW, ends=(end,)))

    def start_runs(self, time):
        for number, start in enumerate(self.cell.plan_and_start()):
            job = start.task.workflow
            at, _, queue = self.submitted[job]
            duration_s = KINDS[queue][0].estimate_ms / 1000
            heapq.heappush(self.ends, (time + duration_s, (time, number), start))
            self.missing[job] -= 1
            if not self.missing[job]:
                self.waits[job] = time - at

    def collect(self):
        waits = {}
        for job, (at, workspace, queue) in self.submitted.items():
            if BURST[0] <= at < BURST[1]:
                kind = (workspace == HOT, queue)
                waits.setdefault(kind, []).append(self.waits.get(job, END_S - at))
        return waits
