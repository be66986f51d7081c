"""Random commands: the usage by workspace equals a plain count of the placed runs."""

import hypothesis.strategies as st
import msgspec
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.sharing import is_within_quota
from bluebellyoke.workflow import commands
from bluebellyoke.workflow.snapshot import WorkflowSnapshot
from bluebellyoke.workflow.specs import WorkspaceSpec
from bluebellyoke.workflow.store import WorkflowStore
from tests.workflow.factories import (
    create_configuration,
    create_spec,
    create_step,
    create_store,
    create_worker,
)

WORKSPACES = ("", "a", "b", "removed")
QUOTAS = st.builds(
    Resources, st.sampled_from([0, 1500, 3000]), st.sampled_from([0, 300, 1000])
)


def count_plainly(store):
    """Return what all runs use, what lasting ones use, and the runs, by workspace."""
    used, lasting, runs = {}, {}, {}
    for workflow in store.workflows.values():
        name = workflow.spec.workspace
        for repetition in workflow.repetitions.values():
            for spec, step in zip(workflow.spec.steps, repetition.steps, strict=True):
                placed = sum(task.placed for task in step.tasks)
                # The processor time of backfill tasks is not counted.
                cpu = 0 if spec.backfill else spec.need.cpu_millis
                need = Resources(cpu, spec.need.memory_mb, spec.need.accelerators)
                used[name] = used.get(name, Resources()) + need * placed
                runs[name] = runs.get(name, 0) + placed
                if spec.long_running:
                    lasting[name] = lasting.get(name, Resources()) + need * placed
    return used, lasting, runs


class UsageStateMachine(RuleBasedStateMachine):
    """Workflows of several workspaces on three workers that come and go."""

    def __init__(self):
        super().__init__()
        self.store = create_store(workers=3)
        self.version = 1
        self.submitted = 0
        self.incarnation = 1
        self.now = 10.0
        self.configure(Resources(2000), Resources(0, 300))
        for workspace in ("a", "b"):
            self.submit_workflow(workspace, [create_step(4)])
            self.submit_workflow(workspace, [create_step(2, long_running=True)])
            self.submit_workflow(workspace, [create_step(2, gang=True)])

    def list_tasks(self):
        return [
            (commands.TaskName(workflow.spec.id, 0, step, index), task)
            for workflow in self.store.workflows.values()
            for step, progress in enumerate(workflow.get_repetition(0).steps)
            for index, task in enumerate(progress.tasks)
        ]

    def list_workers(self):
        return sorted(self.store.workers.values(), key=lambda spec: spec.id)

    @rule(quota=QUOTAS, other=QUOTAS)
    def change_quotas(self, quota, other):
        self.configure(quota, other)

    def configure(self, quota, other):
        self.version += 1
        configuration = create_configuration(
            self.version,
            workspaces=(
                WorkspaceSpec(name="a", quota=quota),
                WorkspaceSpec(name="b", quota=other),
            ),
        )
        self.store.apply(commands.ApplyConfiguration(configuration=configuration))

    @rule(
        workspace=st.sampled_from(WORKSPACES),
        steps=st.lists(
            st.builds(
                create_step,
                st.integers(1, 3),
                cpu=st.sampled_from([500, 1500]),
                gang=st.booleans(),
                backfill=st.booleans(),
                long_running=st.booleans(),
            ),
            min_size=1,
            max_size=2,
        ),
    )
    def submit(self, workspace, steps):
        self.submit_workflow(workspace, steps)

    def submit_workflow(self, workspace, steps):
        self.submitted += 1
        spec = create_spec(f"{self.submitted:016x}", steps, workspace=workspace)
        self.store.apply(commands.SubmitWorkflow(time=self.now, spec=spec))

    @precondition(lambda self: self.store.workflows and self.store.workers)
    @rule(data=st.data(), times=st.integers(1, 4))
    def assign(self, data, times):
        for _ in range(times):
            self.assign_group(data)

    def assign_group(self, data):
        """Assign a task or a whole gang, also with an outdated run number."""
        tasks = self.list_tasks()
        waiting = [item for item in tasks if not item[1].placed]
        name, task = data.draw(st.sampled_from(waiting or tasks))
        step = self.store.workflows[name.workflow].spec.steps[name.step]
        indexes = range(step.count) if step.gang else [name.index]
        workers = st.sampled_from(self.list_workers())
        run = task.run + data.draw(st.sampled_from([1, 1, 1, 0]))
        starts = []
        for index in indexes:
            member = msgspec.structs.replace(name, index=index)
            starts.append(commands.RunStart(member, run, *data.draw(workers).key))
        result = self.store.apply(commands.AssignRuns(starts=tuple(starts)))
        workspace = self.store.workflows[name.workflow].spec.workspace
        limits = self.store.find_workspace(workspace)
        if "1" in result.detail["done"] and limits is not None:
            used = count_plainly(self.store)[0][workspace]
            assert is_within_quota(used, limits.quota, Resources()), (
                "a start exceeds the quota"
            )

    @precondition(lambda self: self.store.workflows)
    @rule(
        data=st.data(),
        outcome=st.sampled_from(list(commands.RunOutcome)),
        difference=st.sampled_from([0, 0, 0, 1, -1]),
        times=st.integers(1, 2),
    )
    def end(self, data, outcome, difference, times):
        name, task = data.draw(st.sampled_from(self.list_tasks()))
        item = commands.RunEnd(name, task.run + difference, outcome)
        ends = (item,) * times
        self.store.apply(commands.RecordEnds(time=self.now, ends=ends))

    @precondition(lambda self: self.store.workflows)
    @rule(data=st.data())
    def cancel(self, data):
        workflow = data.draw(st.sampled_from(sorted(self.store.workflows)))
        self.store.apply(
            commands.CancelWorkflow(time=self.now, workflow=workflow, queue="q")
        )

    @rule(number=st.integers(1, 3))
    def restart_worker(self, number):
        self.incarnation += 1
        spec = create_worker(f"w{number}", incarnation=self.incarnation)
        self.store.apply(commands.EnrolWorker(time=self.now, spec=spec))

    @precondition(lambda self: self.store.workers)
    @rule(data=st.data(), has_crashed=st.booleans())
    def remove_worker(self, data, has_crashed):
        key = data.draw(st.sampled_from(self.list_workers())).key
        runs = self.store.runs[key] if has_crashed else ()
        crashed = tuple(commands.CrashedRun(*run, 1, True) for run in runs)
        self.now += 1.0
        self.store.apply(
            commands.RemoveWorker(
                time=self.now, worker=key[0], incarnation=key[1], crashed_runs=crashed
            )
        )

    @rule()
    def forget(self):
        names = tuple(self.store.workflows)
        self.store.apply(commands.ForgetWorkflows(workflows=names))

    @rule()
    def restore_snapshot(self):
        data = msgspec.msgpack.encode(self.store.dump())
        snapshot = msgspec.msgpack.decode(data, type=WorkflowSnapshot)
        self.store = WorkflowStore.load(snapshot)

    @invariant()
    def usage_equals_the_plain_count(self):
        used, lasting, runs = count_plainly(self.store)
        for name in WORKSPACES:
            assert self.store.usage.get_used(name) == used.get(name, Resources())
            held = self.store.usage.get_lasting(name)
            assert held == lasting.get(name, Resources())
            assert self.store.usage.count_runs(name) == runs.get(name, 0)
        active = {name for name, count in runs.items() if count}
        assert {name for name, _ in self.store.usage.iter_used()} == active


TestUsage = UsageStateMachine.TestCase
TestUsage.settings = settings(max_examples=80, stateful_step_count=60, deadline=None)
