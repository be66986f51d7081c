"""Tests of how long suspects wait, however many others wait too.

The bound is the one of docs/DESIGN.md: the number of suspects before one, divided by
the places of its pool, times the time for which a suspect uses a place.
"""

import math

import pytest

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.crashes import SUSPECT_AGE_S
from bluebellyoke.dispatch.isolation import (
    CRASH_RECOVERY_S,
    MAX_DELAY_S,
    MIN_SHARE,
    OVERDUE_S,
    PROBATION_MARGIN_S,
    compute_turn,
)
from bluebellyoke.dispatch.suspects import RENEWED_SUSPECTS
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.task_crashes import SharedCrash, TaskCrashes
from tests.dispatch.crashing import STEP_S, CrashSimulation
from tests.dispatch.test_planner import NOW, Cell, list_jobs
from tests.dispatch.test_suspects import blame, hold
from tests.workflow.factories import (
    ADVISOR,
    create_queue,
    create_spec,
    create_step,
    name_task,
)

POOL_SIZE = 8

#: Age of the runs at the crashes that made them suspects.
AGE_S = 0.01

#: Size of the groups of suspects in a stream, and time between them.
GROUP_SIZE = 4
GROUP_INTERVAL_S = 0.5

#: Time from an event at a worker until the leader has acted on it: a poll and a commit.
REACTION_S = 0.2

#: Longest use of a place: other runs turn old, then a run crashes its worker at the end
#: of its probation.
MAX_USE_S = (
    SUSPECT_AGE_S + AGE_S + PROBATION_MARGIN_S + CRASH_RECOVERY_S + 2 * REACTION_S
)


def compute_max_wait(before):
    """Return the longest wait of a suspect with so many others before it."""
    places = max(int(POOL_SIZE * MIN_SHARE), 1)
    return math.ceil((before + 1) / places) * MAX_USE_S


def number_id(number):
    return f"{number:016x}"


class SuspectSimulation(CrashSimulation):
    """Workers with suspects; every fourth workflow crashes its workers.

    Attributes:
        first_starts: Time of the first start of each workflow.
    """

    def __init__(self, **options):
        self.first_starts = {}
        super().__init__(POOL_SIZE, **options)
        self.run(0.1)

    def submit_suspects(self, *numbers, cpu=1000):
        """Submit workflows whose tasks are suspects of the same crash."""
        for number in numbers:
            self.submit(create_spec(number_id(number), [create_step(1, cpu=cpu)]))
        tasks = [workflow_commands.TaskName(number_id(x), 0, 0, 0) for x in numbers]
        age_ms = round(AGE_S * 1000)
        runs = [workflow_commands.CrashedRun(x, 1, age_ms, True) for x in tasks]
        worker_key = (f"gone{numbers[0]}", 1)
        self.store.crashes.record(worker_key, runs, self.now)

    def handle_start(self, worker, request):
        self.first_starts.setdefault(request.task.workflow, self.now)
        return super().handle_start(worker, request)


def is_deadly(task):
    return int(task.workflow, 16) % 4 == 0


# Guards against a suspect that never starts since others, which are less suspicious,
# become suspects faster than they can be started.
def test_suspect_starts_in_a_stream_of_less_suspicious_ones():
    simulation = SuspectSimulation(deadly=is_deadly)
    groups = (range(first, first + GROUP_SIZE) for first in range(8, 10_000, 4))

    def run_with_stream(seconds):
        for _ in range(round(seconds / GROUP_INTERVAL_S)):
            simulation.submit_suspects(*next(groups))
            simulation.run(GROUP_INTERVAL_S)

    run_with_stream(3.0)
    before = len(simulation.store.active)
    # Its suspicion, which is at most 1, puts it behind those of the next crashes.
    before += GROUP_SIZE * math.ceil(MAX_DELAY_S / GROUP_INTERVAL_S)
    begun_at, limit_s = simulation.now, compute_max_wait(before)
    simulation.submit_suspects(1)
    while simulation.now < begun_at + limit_s:
        run_with_stream(GROUP_INTERVAL_S)
        if number_id(1) in simulation.first_starts:
            break
    assert simulation.first_starts.get(number_id(1), math.inf) - begun_at <= limit_s


# Guards against a suspect that gets no turn after a storm of crashes, many of them by
# other suspects.
@pytest.mark.parametrize("count", [8, 48])
def test_each_of_many_suspects_starts_within_the_bound(count):
    simulation = SuspectSimulation(deadly=is_deadly, task_s=3.0)
    begun_at = simulation.now
    simulation.submit_suspects(*range(1, count + 1))
    simulation.run(compute_max_wait(count - 1) + 1.0)
    waits = sorted(x - begun_at for x in simulation.first_starts.values())
    assert len(waits) == count
    assert all(wait <= compute_max_wait(x) for x, wait in enumerate(waits))


# Guards against small suspects that wait beside free room until long runs have ended:
# large ones, which need a worker of their own, held all places meanwhile.
def test_large_suspects_without_room_hold_no_place():
    simulation = SuspectSimulation(deadly=lambda task: False, task_s=200.0)
    steps = [create_step(POOL_SIZE, cpu=2000, max_per_worker=1)]
    simulation.submit(create_spec(number_id(1000), steps))
    simulation.run(1.0)
    begun_at = simulation.now
    simulation.submit_suspects(*range(1, POOL_SIZE + 1), cpu=3000)
    small = range(POOL_SIZE + 1, 2 * POOL_SIZE - 1)
    simulation.submit_suspects(*small)
    limit_s = compute_max_wait(len(small))
    simulation.run(limit_s + STEP_S)
    started = set(simulation.first_starts) & set(map(number_id, small))
    waits = [simulation.first_starts[x] - begun_at for x in started]
    assert len(waits) == len(small)
    assert max(waits) <= limit_s


def compute_turn_after(*crashes):
    """Return the turn of a suspect after crashes at some times, with some suspects."""
    shared = [SharedCrash("w", 1, 1, time, 10, True, count) for time, count in crashes]
    return compute_turn(TaskCrashes(name_task(), shared))


# Guards against an order in which later crashes may put a suspect behind for ever.
def test_turn_follows_the_first_crash_and_hardly_the_suspicion():
    assert compute_turn_after((NOW, 1)) > compute_turn_after((NOW, 10))
    later = NOW + MAX_DELAY_S
    assert compute_turn_after((NOW, 1)) < compute_turn_after((later, 10))
    assert compute_turn_after((NOW, 2), (NOW + 60, 2)) == compute_turn_after((NOW, 2))


def occupy_places(cell, *names):
    """Let a suspect run on some workers."""
    for name in names:
        task = workflow_commands.TaskName(f"on {name}", 0, 0, 0)
        cell.workers[name].add_run(
            (task, 2), Resources(100), RunPhase.STARTED, NOW, probation_s=30.0
        )


# Guards against places that stay unused while the next suspects request tickets, which
# had expired while all places were in use.
def test_next_suspects_renew_their_tickets_while_all_places_are_in_use():
    cell = Cell(workers=4, queues=[create_queue(advisor=ADVISOR)])
    occupy_places(cell, "w1", "w2", "w3")
    jobs = [cell.submit([create_step(1)]) for _ in range(2 * RENEWED_SUSPECTS)]
    blame(cell, *jobs)
    for job in jobs:
        advice = cell.advice.get_step_advice((job, 0, 0))
        advice.evaluated = {worker.spec.key for worker in cell.workers.values()}
        advice.tickets = dict.fromkeys(advice.evaluated, ("t", NOW + 0.001))
    assert cell.plan() == []
    asking = [job for job in jobs if cell.advice.get_step_advice((job, 0, 0)).pending]
    assert asking == jobs[:RENEWED_SUSPECTS]


# Guards against a large suspect that waits for ever: its worker was no longer set apart
# in rounds in which other suspects used all places.
def test_drained_worker_is_kept_while_all_places_are_in_use():
    cell = Cell(workers=4)
    for name in cell.workers:
        hold(cell, name, cpu=3500)
    large = cell.submit([create_step(1, cpu=4000)])
    blame(cell, large)
    assert cell.plan_and_start() == ()
    occupy_places(cell, "w4")
    small = cell.submit([create_step(1, cpu=400)])
    blame(cell, small)
    others = cell.submit([create_step(4, cpu=500)])
    assert [x.worker for x in cell.plan_and_start()] == ["w2", "w3"]
    assert others in cell.store.active


# Guards against a worker that no task gets any more: it was drained for a suspect that
# may no longer run on any worker.
def test_drain_ends_once_its_suspect_may_use_no_worker():
    cell = Cell(workers=1, queues=[create_queue(), create_queue("a", advisor=ADVISOR)])
    hold(cell, "w1", cpu=3000)
    suspect = cell.submit([create_step(1, cpu=4000)], queue="a")
    advice = cell.advice.get_step_advice((suspect, 0, 0))
    advice.evaluated = {("w1", 1)}
    advice.tickets = {("w1", 1): ("t", NOW + 1.0)}
    blame(cell, suspect)
    other = cell.submit([create_step(1)])
    assert cell.plan_and_start() == ()
    advice.tickets.clear()
    assert list_jobs(cell.plan_and_start()) == [other]


# Guards against suspects that wait beside idle room for as long as crashes use up the
# places. Of 16 workers, 6.4 are allocated: twice as much for the rest leaves less than
# a quarter, one and a half times as much leaves 6 places.
@pytest.mark.parametrize(("overdue_s", "started"), [(-0.1, 4), (0.0, 6)])
def test_overdue_suspects_use_more_of_a_pool_with_room(overdue_s, started):
    cell = Cell(workers=POOL_SIZE * 2)
    for name in list(cell.workers):
        hold(cell, name, cpu=1600)
    jobs = [cell.submit([create_step(1)]) for _ in range(POOL_SIZE * 2)]
    blame(cell, *jobs)
    suspicion = 1 / len(jobs)
    now = NOW + suspicion * MAX_DELAY_S + OVERDUE_S + overdue_s
    for worker in cell.workers.values():
        worker.last_response_at = now
    assert len(cell.plan(now)) == started


def test_overdue_suspects_leave_a_full_pool_to_the_others():
    cell = Cell(workers=POOL_SIZE)
    for name in list(cell.workers):
        hold(cell, name, cpu=3600)
    jobs = [cell.submit([create_step(1, cpu=100)]) for _ in range(POOL_SIZE)]
    blame(cell, *jobs)
    now = NOW + 10 * OVERDUE_S
    for worker in cell.workers.values():
        worker.last_response_at = now
    assert len(list_jobs(x.start for x in cell.plan(now))) == POOL_SIZE * MIN_SHARE
