import random

import pytest

from bench.workload import CellSimulation
from bluebellyoke.cell import commands
from bluebellyoke.cell.jobs import TaskState
from bluebellyoke.cell.resources import Resources
from bluebellyoke.placement.engine import PlacementEngine
from bluebellyoke.placement.policies import UnknownPolicyError, create_policy

NOON = 12 * 3600.0
MIDNIGHT = 0.0
CORE = Resources(1_000, 1_000, 0)


@pytest.fixture(params=["packing", "waiting"])
def engine(request):
    return PlacementEngine(
        policy=create_policy(request.param), random_source=random.Random(4)
    )


def create_cell(*, workers=4, workspaces=2, cores=4, weights=None):
    simulation = CellSimulation(now=NOON)
    simulation.add_workspaces(workspaces, weights)
    simulation.add_workers(
        workers, Resources(cores * 1_000, cores * 1_000, 0), per_rack=2
    )
    return simulation


def count_running(simulation, workspace):
    return simulation.state.scheduling.workspaces[workspace].cpu_millis // 1_000


def test_full_capacity_is_used_without_overcommitment(engine):
    simulation = create_cell()
    simulation.submit("j", "t0", CORE, 60.0, tasks=40)
    for _ in range(40):
        simulation.step(engine, 0.05)
    assert simulation.starts == 16
    assert simulation.count_overcommitted_workers() == 0
    assert engine.waiting_reasons["j"] == "no worker has room"


def test_gang_waits_for_capacity_for_all_members(engine):
    simulation = create_cell()
    simulation.submit("filler", "t0", CORE, 1.0, tasks=14)
    simulation.step(engine, 0.1)
    simulation.submit("gang", "t1", CORE, 5.0, tasks=4, kind=commands.JobKind.GANG)
    simulation.step(engine, 0.1)
    job = simulation.state.scheduling.jobs["gang"]
    assert job.counts[TaskState.RUNNING] == 0
    assert engine.waiting_reasons["gang"] == "room for 2 of 4 members"
    simulation.step(engine, 2.0)
    assert job.counts[TaskState.RUNNING] == 4


def test_large_gang_is_not_starved_by_small_jobs(engine):
    simulation = create_cell(workspaces=1)
    source = random.Random(1)

    def submit_small(number):
        run_s = source.uniform(5, 15)
        simulation.submit(f"s{number}", "t0", CORE, run_s, expected_s=run_s)

    for number in range(20):
        submit_small(number)
    simulation.step(engine, 0.1)
    simulation.submit("gang", "t0", CORE, 5.0, tasks=16, kind=commands.JobKind.GANG)
    # Small jobs arrive faster than the cell can run them.
    for number in range(20, 1_000):
        submit_small(number)
        simulation.step(engine, 0.3)
    assert simulation.state.scheduling.jobs["gang"].first_start_at
    assert simulation.starts > 300


def test_backfill_uses_reserved_workers_for_short_jobs_only(engine):
    simulation = create_cell(workers=1, workspaces=1)
    simulation.submit("long", "t0", Resources(2_000, 10, 0), 100.0, expected_s=100.0)
    simulation.step(engine, 0.1)
    simulation.submit("large", "t0", Resources(4_000, 10, 0), 5.0, expected_s=5.0)
    for _ in range(250):
        simulation.step(engine, 0.1)
    simulation.submit("short", "t0", CORE, 5.0, expected_s=5.0)
    simulation.submit("too_long", "t0", CORE, 500.0, expected_s=500.0)
    for _ in range(20):
        simulation.step(engine, 0.1)
    assert simulation.state.scheduling.jobs["short"].first_start_at
    assert not simulation.state.scheduling.jobs["too_long"].first_start_at


def test_urgent_job_preempts_the_cheapest_tasks(engine):
    simulation = create_cell(workers=2, workspaces=2, cores=4)
    simulation.submit("non_restartable", "t0", CORE, 900.0, tasks=3)
    simulation.submit("checkpointed", "t0", CORE, 900.0, tasks=3, checkpoint=True)
    simulation.submit("idempotent", "t0", CORE, 900.0, tasks=2, idempotent=True)
    for _ in range(100):
        simulation.step(engine, 1.0)
    simulation.submit("urgent", "t1", CORE, 5.0, urgent=True)
    submitted = simulation.now
    for _ in range(21):
        simulation.step(engine, 0.1)
    started = simulation.state.scheduling.jobs["urgent"].first_start_at
    assert 0 < started - submitted <= 2.1
    scheduling = simulation.state.scheduling
    assert scheduling.jobs["non_restartable"].counts[TaskState.RUNNING] == 3
    assert scheduling.jobs["idempotent"].counts[TaskState.RUNNING] == 2
    assert scheduling.jobs["checkpointed"].counts[TaskState.RUNNING] == 2


def test_burst_of_urgent_jobs_starts_in_time_on_a_full_cell(engine):
    simulation = create_cell(workers=20, workspaces=3, cores=16)
    simulation.submit("fill", "t0", CORE, 9_000.0, tasks=320, checkpoint=True)
    for _ in range(20):
        simulation.step(engine, 0.1)
    for number in range(30):
        simulation.submit(f"u{number}", "t1", CORE, 9_000.0, urgent=True)
    for _ in range(21):
        simulation.step(engine, 0.1)
    assert len(simulation.waits["urgent"]) == 30
    assert max(simulation.waits["urgent"]) <= 2.1


def test_tasks_that_must_not_run_twice_are_never_preempted(engine):
    simulation = create_cell(workers=2, workspaces=2)
    simulation.submit("non_restartable", "t0", CORE, 900.0, tasks=8)
    simulation.step(engine, 0.1)
    simulation.submit("urgent", "t1", CORE, 5.0, urgent=True)
    simulation.submit("fair", "t1", CORE, 5.0, tasks=4)
    for _ in range(200):
        simulation.step(engine, 0.1)
    assert (
        simulation.state.scheduling.jobs["non_restartable"].counts[TaskState.RUNNING]
        == 8
    )


def test_borrowed_capacity_is_returned(engine):
    simulation = create_cell(workers=5, workspaces=2)
    simulation.submit("flood", "t0", CORE, 9_000.0, tasks=100, checkpoint=True)
    for _ in range(10):
        simulation.step(engine, 0.1)
    assert count_running(simulation, "t0") == 20
    simulation.submit("late", "t1", CORE, 9_000.0, tasks=100, checkpoint=True)
    for _ in range(200):
        simulation.step(engine, 0.1)
    assert count_running(simulation, "t1") in (9, 10)
    before = simulation.starts
    for _ in range(200):
        simulation.step(engine, 0.1)
    assert simulation.starts - before <= 2


def test_shares_follow_the_weights(engine):
    simulation = create_cell(workers=5, workspaces=2, weights={0: 3.0, 1: 1.0})
    for name in ("t0", "t1"):
        simulation.submit(name, name, CORE, 3.0, tasks=2_000)
    for _ in range(300):
        simulation.step(engine, 0.1)
    assert 14 <= count_running(simulation, "t0") <= 16
    assert 4 <= count_running(simulation, "t1") <= 6


def test_quota_limits_a_workspace(engine):
    simulation = create_cell()
    spec = commands.WorkspaceSpec(name="t0", quota=Resources(3_000, 0, 0))
    ticket = commands.Ticket(number=2, workspaces=(spec,))
    simulation.apply(
        commands.ApplyTicket(ticket=ticket, digest="q", time=simulation.now)
    )
    simulation.submit("j", "t0", CORE, 60.0, tasks=10)
    simulation.step(engine, 0.1)
    assert count_running(simulation, "t0") == 3
    assert engine.waiting_reasons["j"] == "the workspace's quota is used up"


def test_service_is_spread_over_racks(engine):
    simulation = create_cell(workers=6, cores=8)
    simulation.submit("s", "t0", CORE, 1e9, tasks=3, kind=commands.JobKind.SERVICE)
    simulation.step(engine, 0.1)
    tasks = simulation.state.scheduling.jobs["s"].tasks
    assert len({task.worker.rack for task in tasks}) == 3


@pytest.mark.parametrize(("hour", "first"), [(NOON, "service"), (MIDNIGHT, "batch")])
def test_services_are_placed_first_by_day_and_batch_jobs_by_night(engine, hour, first):
    simulation = create_cell(workers=1, workspaces=1)
    simulation.now = 10 * 86_400 + hour
    simulation.submit("batch", "t0", CORE, 100.0, tasks=4)
    simulation.submit(
        "service", "t0", CORE, 1e9, tasks=4, kind=commands.JobKind.SERVICE
    )
    simulation.step(engine, 0.1)
    assert simulation.state.scheduling.jobs[first].counts[TaskState.RUNNING] == 4


def test_accelerators_are_kept_for_tasks_that_need_them(engine):
    simulation = create_cell(workers=2)
    simulation.apply(
        commands.AdmitWorker(
            worker="gpu",
            session="s",
            total=Resources(4_000, 4_000, 2),
            rack="r9",
            data_centre="d",
            time=simulation.now,
        )
    )
    simulation.submit("plain", "t0", CORE, 60.0, tasks=8)
    simulation.submit("accelerated", "t1", Resources(1_000, 1_000, 1), 60.0, tasks=2)
    simulation.step(engine, 0.1)
    tasks = simulation.state.scheduling.jobs["accelerated"].tasks
    assert [task.worker.name for task in tasks] == ["gpu", "gpu"]
    plain = simulation.state.scheduling.jobs["plain"].tasks
    assert all(task.worker.name != "gpu" for task in plain)


def test_failed_task_is_placed_on_another_worker(engine):
    simulation = create_cell(workers=3)
    simulation.submit("j", "t0", CORE, 60.0, idempotent=True)
    simulation.step(engine, 0.1)
    first = simulation.state.scheduling.jobs["j"].tasks[0].worker.name
    simulation.failing_workers.add(first)
    simulation.end_events.clear()
    item = commands.TaskReport("j", 0, 1, commands.TaskOutcome.FAILED)
    simulation.apply(
        commands.ReportTasks(
            worker=first, session="s", reports=(item,), time=simulation.now
        )
    )
    simulation.step(engine, 5.0)
    assert simulation.state.scheduling.jobs["j"].tasks[0].worker.name != first


def test_probed_worker_gets_one_task(engine):
    simulation = create_cell(workers=1)
    worker = simulation.state.scheduling.workers["m0"]
    worker.quarantines, worker.quarantined_until = 1, simulation.now - 1
    simulation.submit("j", "t0", CORE, 60.0, tasks=4)
    simulation.step(engine, 0.1)
    simulation.step(engine, 0.1)
    assert simulation.starts == 1


def test_unknown_policy_error_lists_the_choices():
    with pytest.raises(UnknownPolicyError, match="packing"):
        create_policy("best")


def test_new_engine_plans_from_the_existing_state(engine):
    simulation = create_cell()
    simulation.submit("j", "t0", CORE, 60.0, tasks=10)
    simulation.step(engine, 0.1)
    other = PlacementEngine(policy=engine.policy, random_source=random.Random(9))
    other.rebuild(simulation.state.scheduling)
    simulation.submit("k", "t1", CORE, 60.0, tasks=10)
    simulation.step(other, 0.1)
    assert simulation.starts == 16
    assert simulation.count_overcommitted_workers() == 0


def test_overcommitted_worker_is_relieved(engine):
    simulation = create_cell(workers=1, cores=4)
    simulation.submit("non_restartable", "t0", Resources(500, 500, 0), 60.0)
    simulation.submit(
        "idempotent", "t0", Resources(500, 500, 0), 60.0, tasks=4, idempotent=True
    )
    simulation.step(engine, 0.1)
    used = Resources(0, 1_500, 0)
    simulation.apply(
        commands.LearnNeed(job_id="idempotent", used=used, time=simulation.now)
    )
    assert simulation.count_overcommitted_workers() == 1
    simulation.step(engine, 0.1)
    assert simulation.count_overcommitted_workers() == 0
    simulation.step(engine, 0.5)
    assert simulation.count_workers_over_capacity() == 0
    scheduling = simulation.state.scheduling
    assert scheduling.jobs["idempotent"].counts[TaskState.RUNNING] == 2
    assert scheduling.jobs["non_restartable"].counts[TaskState.RUNNING] == 1


def test_need_of_later_jobs_is_learned_from_earlier_usage(engine):
    simulation = create_cell(workers=4, cores=8)
    for number in range(40):
        job_id = f"j{number}"
        simulation.submit(job_id, "t0", Resources(100, 100, 0), 0.05)
        simulation.step(engine, 0.1)
        used = Resources(0, 300, 0)
        simulation.apply(
            commands.LearnNeed(job_id=job_id, used=used, time=simulation.now)
        )
        simulation.step(engine, 0.1)
    simulation.submit("same", "t0", Resources(100, 100, 0), 5.0)
    simulation.submit("other", "t1", Resources(100, 100, 0), 5.0)
    assert simulation.state.scheduling.jobs["same"].need.memory_mb > 280
    assert simulation.state.scheduling.jobs["other"].need.memory_mb == 100


def test_unplaceable_gang_leaves_free_capacity_to_others(engine):
    simulation = create_cell(workspaces=2)
    simulation.submit("filler", "t1", CORE, 900.0, tasks=14)
    simulation.step(engine, 0.1)
    simulation.submit("gang", "t0", CORE, 5.0, tasks=8, kind=commands.JobKind.GANG)
    simulation.submit("small", "t0", CORE, 5.0, tasks=2)
    simulation.submit("other", "t1", CORE, 5.0, tasks=2)
    simulation.step(engine, 0.1)
    scheduling = simulation.state.scheduling
    assert scheduling.jobs["small"].counts[TaskState.RUNNING] == 2
