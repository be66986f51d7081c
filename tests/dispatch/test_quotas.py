"""Tests of quotas of workspaces in planning rounds."""

import pytest

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.planning_round import WaitReason
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.specs import WorkspaceSpec
from tests.dispatch.test_planner import NOW, Cell, list_jobs
from tests.workflow.factories import (
    ADVISOR,
    create_configuration,
    create_queue,
    create_spec,
    create_step,
)


class QuotaCell(Cell):
    """A cell with workspaces."""

    def __init__(self, quotas, **fields):
        super().__init__(**fields)
        self.version = 1
        self.configure(quotas)

    def configure(self, quotas, shares=None):
        """Set the quotas of the workspaces; a number is one of CPU in millicores."""
        self.version += 1
        queues = self.store.configuration.queues
        configuration = create_configuration(
            self.version,
            queues,
            workspaces=tuple(
                WorkspaceSpec(
                    name=name,
                    quota=Resources(quota) if isinstance(quota, int) else quota,
                    share=(shares or {}).get(name, 1.0),
                )
                for name, quota in quotas.items()
            ),
        )
        self.store.apply(
            workflow_commands.ApplyConfiguration(configuration=configuration)
        )

    def end_runs(self, count=None):
        """Let runs end as done, the oldest first."""
        ended = 0
        for worker in self.workers.values():
            for task, run in list(worker.runs):
                if ended == count:
                    return
                ended += 1
                worker.drop_run((task, run))
                done = workflow_commands.RunOutcome.DONE
                end = workflow_commands.RunEnd(task, run, done)
                self.store.apply(workflow_commands.RecordEnds(time=NOW, ends=(end,)))


# Guards against starts above the quota within one round and over several rounds.
def test_workspace_starts_no_more_than_its_quota():
    cell = QuotaCell({"a": 3000, "b": 0})
    first = cell.submit([create_step(2)], workspace="a")
    second = cell.submit([create_step(3)], workspace="a")
    other = cell.submit([create_step(4)], workspace="b")
    started = list_jobs(cell.plan_and_start())
    assert started.count(first) == 2
    assert started.count(second) == 1
    assert started.count(other) == 4
    assert cell.plan_and_start() == ()
    assert cell.planner.wait_reasons == {(second, 0, 0): WaitReason.QUOTA}
    cell.end_runs(2)
    assert len(cell.plan_and_start()) <= 2


# Guards against a limit on steps that no workspace of the configuration owns.
@pytest.mark.parametrize("workspace", ["", "removed"])
def test_steps_without_a_known_workspace_are_not_limited(workspace):
    cell = QuotaCell({"a": 1000})
    cell.submit([create_step(5)], workspace=workspace)
    assert len(cell.plan_and_start()) == 5


# Guards against backfill runs that use up a quota of CPU or wait for it.
def test_backfill_takes_up_no_processor_time_of_the_quota():
    cell = QuotaCell({"a": 2000})
    cell.submit([create_step(5, backfill=True)], workspace="a")
    job = cell.submit([create_step(3)], workspace="a")
    assert list_jobs(cell.plan_and_start()).count(job) == 2
    cell.submit([create_step(2, backfill=True)], workspace="a")
    assert len(cell.plan_and_start()) == 2


# Guards against QUOTA of review/4: backfill runs of one workspace took up twice the
# memory that its quota allows.
def test_backfill_keeps_within_the_memory_of_the_quota():
    cell = QuotaCell({"a": Resources(0, 500, 0), "b": 0})
    job = cell.submit([create_step(8, backfill=True)], workspace="a")
    other = cell.submit([create_step(8, backfill=True)], workspace="b")
    started = list_jobs(cell.plan_and_start())
    assert (started.count(job), started.count(other)) == (5, 8)
    assert cell.plan_and_start() == ()
    assert cell.planner.wait_reasons == {(job, 0, 0): WaitReason.QUOTA}
    cell.end_runs(2)
    assert list_jobs(cell.plan_and_start()).count(job) == 2


# Guards against the same for other runs beside them.
def test_other_runs_get_no_memory_of_the_quota_that_backfill_holds():
    cell = QuotaCell({"a": Resources(0, 500, 0)})
    cell.submit([create_step(3, backfill=True)], workspace="a")
    cell.plan_and_start()
    cell.submit([create_step(8, cpu=100)], workspace="a")
    assert len(cell.plan_and_start()) == 2


# Guards against the same for a gang, which starts as a whole.
def test_gang_of_backfill_tasks_waits_for_the_memory_of_its_quota():
    cell = QuotaCell({"a": Resources(0, 500, 0)})
    cell.submit([create_step(3, backfill=True)], workspace="a")
    cell.plan_and_start()
    gang = cell.submit([create_step(3, gang=True, backfill=True)], workspace="a")
    assert cell.plan_and_start() == ()
    assert cell.planner.wait_reasons == {(gang, 0, 0): WaitReason.QUOTA}
    cell.end_runs(1)
    assert list_jobs(cell.plan_and_start()) == [gang] * 3


# Guards against gangs that start in part, or that wait although the quota is free.
def test_gang_waits_until_its_quota_is_free_as_a_whole():
    cell = QuotaCell({"a": 4000})
    cell.submit([create_step(2)], workspace="a")
    cell.plan_and_start()
    gang = cell.submit([create_step(3, gang=True)], workspace="a")
    assert cell.plan_and_start() == ()
    assert cell.planner.wait_reasons == {(gang, 0, 0): WaitReason.QUOTA}
    cell.end_runs(1)
    assert list_jobs(cell.plan_and_start()) == [gang] * 3


# Guards against workers that are reserved or kept free for a gang without quota.
def test_gang_without_quota_reserves_no_workers():
    cell = QuotaCell({"a": 4000, "b": 0}, workers=2, cpu=4000)
    cell.submit([create_step(1, cpu=3000)], workspace="a")
    cell.plan_and_start()
    cell.submit([create_step(2, cpu=2000, gang=True)], workspace="a")
    other = cell.submit([create_step(2, cpu=2000, estimate_ms=9e3)], workspace="b")
    assert list_jobs(cell.plan_and_start()) == [other] * 2


# Guards against calls of the advisor for steps that wait for their quota, and against
# such steps taking the places of those whose tickets are renewed.
def test_step_without_quota_asks_no_advisor():
    queues = [create_queue(advisor=ADVISOR)]
    cell = QuotaCell({"a": 1000, "b": 0}, queues=queues)
    cell.configure({"a": 0, "b": 0})
    for _ in range(10):
        cell.submit([create_step(1)], workspace="a")
    cell.configure({"a": 500, "b": 0})
    other = cell.submit([create_step(1)], workspace="b")
    assert cell.plan() == []
    assert cell.advice.queued_calls == 1
    assert cell.advice.get_step_advice((other, 0, 0)).is_evaluating


# Guards against starts that raise a usage above a quota that was lowered below it, and
# against stops of what runs.
def test_lowered_quota_keeps_runs_and_starts_none():
    cell = QuotaCell({"a": 6000})
    cell.submit([create_step(8)], workspace="a")
    assert len(cell.plan_and_start()) == 6
    cell.configure({"a": 2000})
    for remaining in (5, 4, 3, 2):
        assert cell.plan_and_start() == ()
        cell.end_runs(1)
        assert cell.store.usage.get_used("a") == Resources(
            1000 * remaining, 100 * remaining
        )
    assert cell.plan_and_start() == ()
    cell.end_runs(1)
    assert len(cell.plan_and_start()) == 1


# Guards against a start that was planned before the quota was lowered.
def test_start_planned_under_an_older_quota_is_not_assigned():
    cell = QuotaCell({"a": 3000})
    cell.submit([create_step(3)], workspace="a")
    planned = cell.plan()
    cell.configure({"a": 2000})
    starts = tuple(item.start for item in planned)
    result = cell.store.apply(workflow_commands.AssignRuns(starts=starts))
    assert result.detail["done"] == "110"


# Guards against suspects that start above the quota or set workers apart in vain.
def test_suspects_count_for_the_quota():
    cell = QuotaCell({"a": 2000}, workers=4)
    suspect = cell.submit([create_step(1)], workspace="a")
    (start,) = cell.plan_and_start()
    worker = cell.workers.pop(start.worker)
    crashed = workflow_commands.CrashedRun(start.task, start.run, 1, True)
    cell.store.apply(
        workflow_commands.RemoveWorker(
            time=NOW,
            worker=worker.spec.id,
            incarnation=worker.spec.incarnation,
            crashed_runs=(crashed,),
        )
    )
    cell.configure({"a": 500})
    assert cell.plan_and_start() == ()
    assert cell.planner.wait_reasons == {(suspect, 0, 0): WaitReason.QUOTA}
    cell.configure({"a": 1000})
    cell.submit([create_step(1)], workspace="a")
    assert list_jobs(cell.plan_and_start()) == [suspect]


# Guards against accepted workflows that could never run.
@pytest.mark.parametrize(
    ("step", "code"),
    [
        (create_step(4, gang=True), "malformed"),
        (create_step(1, cpu=3500), "malformed"),
        (create_step(3, gang=True), "ok"),
        (create_step(40), "ok"),
        (create_step(40, gang=True, backfill=True), "ok"),
    ],
)
def test_step_above_the_quota_is_refused_at_submission(step, code):
    cell = QuotaCell({"a": 3000})
    spec = workflow_commands.SubmitWorkflow(
        spec=create_spec(steps=[step], workspace="a"), time=NOW
    )
    result = cell.store.apply(spec)
    assert result.accepted == (code == "ok")
    if code != "ok":
        assert result.code == code
        assert "3000 mCPU" in result.reason


# Guards against accepted backfill workflows that could never run.
@pytest.mark.parametrize(
    ("step", "code"),
    [
        (create_step(1, memory=600, backfill=True), "malformed"),
        (create_step(6, gang=True, backfill=True), "malformed"),
        (create_step(6, backfill=True), "ok"),
    ],
)
def test_backfill_step_above_the_memory_quota_is_refused(step, code):
    cell = QuotaCell({"a": Resources(1, 500, 0)})
    spec = workflow_commands.SubmitWorkflow(
        spec=create_spec(steps=[step], workspace="a"), time=NOW
    )
    result = cell.store.apply(spec)
    assert result.accepted == (code == "ok")
    assert code in ("ok", result.code)


# Guards against a gang that waits forever, since smaller tasks behind it take up what
# each ended run gives back.
def test_tasks_behind_a_gang_leave_it_quota():
    cell = QuotaCell({"a": 6000})
    cell.submit([create_step(6)], workspace="a")
    cell.plan_and_start()
    gang = cell.submit([create_step(3, gang=True)], workspace="a")
    cell.submit([create_step(20)], workspace="a")
    for _ in range(2):
        cell.end_runs(1)
        assert cell.plan_and_start() == ()
    cell.end_runs(1)
    assert list_jobs(cell.plan_and_start()) == [gang] * 3


# Guards against tasks that wait for a gang although less than half of the quota is in
# use, and against short ones that wait at all.
def test_tasks_start_behind_a_gang_while_half_of_the_quota_is_free():
    cell = QuotaCell({"a": 6000})
    cell.submit([create_step(1, cpu=1500)], workspace="a")
    cell.plan_and_start()
    cell.submit([create_step(5, gang=True)], workspace="a")
    later = cell.submit([create_step(3, cpu=1200)], workspace="a")
    assert list_jobs(cell.plan_and_start()) == [later] * 2
    short = cell.submit([create_step(3, estimate_ms=600.0)], workspace="a")
    assert list_jobs(cell.plan_and_start()) == [short] * 2


# Guards against quota that is kept for a gang that exceeds it alone.
def test_gang_that_never_fits_keeps_no_quota():
    cell = QuotaCell({"a": 6000})
    cell.submit([create_step(5, gang=True)], workspace="a")
    cell.configure({"a": 4000})
    later = cell.submit([create_step(4)], workspace="a")
    assert list_jobs(cell.plan_and_start()) == [later] * 4
