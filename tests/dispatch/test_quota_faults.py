"""Tests of quotas under faults, and of workflows that a quota no longer lets run."""

import logging

import pytest

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.planning_round import WaitReason
from bluebellyoke.dispatch.quota_reports import LOG_INTERVAL_S
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.specs import WorkspaceSpec
from bluebellyoke.workflow.workspace_figures import (
    MAX_LISTED_WORKSPACES,
    list_workspace_figures,
)
from tests.dispatch.simulation import DispatcherSimulation
from tests.dispatch.test_dispatcher import deliver, find_calls, plan
from tests.dispatch.test_dispatcher_random import STEPS, RandomScenario
from tests.workflow.factories import create_configuration, create_spec, create_step

ID = "0000000000000001"
OTHER_ID = "0000000000000002"
QUOTA_CPU = 4500


def configure(simulation, quota_cpu, names=("a",)):
    """Set the quota of each workspace, in millicores."""
    configuration = create_configuration(
        simulation.store.configuration.version + 1,
        workspaces=tuple(
            WorkspaceSpec(name=name, quota=Resources(quota_cpu)) for name in names
        ),
    )
    command = workflow_commands.ApplyConfiguration(configuration=configuration)
    simulation.dispatcher.change_configuration(
        command, simulation.now, lambda result: None
    )
    simulation.commit()


class QuotaSimulation(DispatcherSimulation):
    """Checks at each start what a workspace runs on all workers."""

    quota = Resources(QUOTA_CPU)

    def check_start(self, worker, key):
        super().check_start(worker, key)
        workspace = self.store.workflows[key[0].workflow].spec.workspace
        used = self.find_need(key[0]).cpu_millis + sum(
            need.cpu_millis
            for other in self.workers.values()
            for (task, _), need in other.runs.items()
            if self.store.workflows[task.workflow].spec.workspace == workspace
        )
        assert workspace == "" or used <= QUOTA_CPU, f"{workspace} uses {used}"


class QuotaScenario(RandomScenario):
    """A random scenario with two workspaces and jobs without one."""

    def __init__(self, seed):
        super().__init__(seed)
        self.simulation = QuotaSimulation()
        configure(self.simulation, QUOTA_CPU, ("a", "b"))

    def inject_event(self):
        simulation = self.simulation
        if self.random.random() < 0.06 and self.job_count < 12:
            self.job_count += 1
            simulation.submit(
                create_spec(
                    f"{self.job_count:016x}",
                    self.random.choice(STEPS),
                    workspace=self.random.choice(("a", "a", "b", "")),
                )
            )
        else:
            super().inject_event()


# Guards against starts beyond the quota after a change of leader, a lost answer, a late
# start or a crash, and against jobs that wait forever for a quota that is free.
@pytest.mark.parametrize("seed", range(25))
def test_no_fault_lets_a_workspace_exceed_its_quota(seed):
    QuotaScenario(seed).run()


@pytest.fixture
def simulation():
    """A cell whose workers have responded to a first poll."""
    simulation = DispatcherSimulation()
    configure(simulation, 2000)
    simulation.tick()
    deliver(simulation)
    return simulation


def list_starts(simulation):
    return [x.request.task.workflow for x in find_calls(simulation, "start")]


# Guards against a quota that is given back while the state of a run is unknown.
def test_run_of_unknown_outcome_keeps_its_quota(simulation):
    simulation.submit(create_spec(ID, [create_step(2)], workspace="a"))
    plan(simulation)
    for sent in find_calls(simulation, "start"):
        simulation.time_out(sent)
    deliver(simulation, kinds=())
    simulation.submit(create_spec(OTHER_ID, workspace="a"))
    plan(simulation)
    assert OTHER_ID not in list_starts(simulation)
    assert simulation.store.usage.get_used("a").cpu_millis == 2000


# Guards against a new leader that counts only the runs that it has started.
def test_new_leader_counts_the_runs_of_earlier_ones(simulation):
    simulation.submit(create_spec(ID, [create_step(2)], workspace="a"))
    plan(simulation)
    simulation.change_leader()
    simulation.submit(create_spec(OTHER_ID, workspace="a"))
    for _ in range(3):
        plan(simulation)
        deliver(simulation)
    assert all(
        task.workflow != OTHER_ID
        for worker in simulation.workers.values()
        for task, _ in worker.runs
    )
    assert simulation.dispatcher.wait_reasons == {(OTHER_ID, 0, 0): WaitReason.QUOTA}


# Guards against runs that are killed, or workflows that fail, by a lower quota.
def test_lowered_quota_stops_no_run(simulation):
    gang = [create_step(2, gang=True)]
    simulation.submit(create_spec(ID, gang, workspace="a"))
    plan(simulation)
    deliver(simulation)
    configure(simulation, 1000)
    wait(simulation, 5.0)
    assert find_calls(simulation, "stop") == []
    assert simulation.store.workflows[ID].outcome == ""
    simulation.run_until_finished()
    assert simulation.store.workflows[ID].outcome == "completed"


def wait(simulation, seconds):
    for _ in range(round(seconds / 0.1)):
        simulation.advance(0.1)
        simulation.tick()
        deliver(simulation)


# Guards against an accepted job that is given up for a quota that was lowered later.
def test_gang_waits_until_its_quota_is_raised_again(simulation):
    simulation.submit(create_spec(ID, [create_step(2, gang=True)], workspace="a"))
    configure(simulation, 1000)
    wait(simulation, 6.0)
    assert simulation.store.workflows[ID].outcome == ""
    assert simulation.dispatcher.wait_reasons == {(ID, 0, 0): WaitReason.QUOTA}
    configure(simulation, 2000)
    wait(simulation, 1.0)
    simulation.run_until_finished()
    assert simulation.store.workflows[ID].outcome == "completed"


# Guards against a log line per round or per step of a workspace at its quota.
def test_full_quota_is_logged_once_an_interval(simulation, caplog):
    caplog.set_level(logging.INFO, "bluebellyoke.dispatch")
    for number in range(10):
        simulation.submit(create_spec(f"{number:016x}", workspace="a"))
    wait(simulation, LOG_INTERVAL_S - 1.0)
    message = "dispatch: a workspace reaches its quota"
    (line,) = [x for x in caplog.records if x.message == message]
    assert (line.workspace, line.running, line.waiting_steps) == ("a", 2, 8)
    assert line.quota["cpu_millis"] == 2000
    wait(simulation, 2.0)
    assert len([x for x in caplog.records if x.message == message]) == 2


# Guards against figures that are missing or that grow with the number of workspaces.
def test_metrics_show_the_busiest_workspaces(simulation):
    names = [f'b"{number}' for number in range(200)]
    configure(simulation, 2000, ["a", *names])
    for number in range(3):
        simulation.submit(create_spec(f"{number:016x}", workspace="a"))
    large = [create_step(9, gang=True)]
    for number in range(3, 200):
        simulation.submit(create_spec(f"{number:016x}", large, workspace=names[number]))
    wait(simulation, 1.0)
    text = simulation.calls.metrics.render()
    assert 'workspace_running{workspace="a"} 2' in text
    assert 'workspace_waiting{workspace="a"} 1' in text
    assert 'workspace_quota{workspace="a",resource="cpu_millis"} 2000' in text
    assert 'workspace_refused_total{workspace="b\\"5",cause="malformed"} 1' in text
    assert 'workspace_refused_total{workspace="(others)",cause="malformed"}' in text
    assert text.count("workspace_running{") == MAX_LISTED_WORKSPACES
    assert text.count("workspace_refused_total{") == 65
    assert next(iter(list_workspace_figures(simulation.store))) == "a"
