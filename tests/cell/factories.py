"""Factories of commands and states for tests of the cell state."""

from bluebellyoke.cell import commands
from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.state import CellState
from bluebellyoke.instance.bodies import compute_digest


def create_ticket(number, **fields):
    ticket = commands.Ticket(number=number, **fields)
    return commands.ApplyTicket(ticket=ticket, digest=compute_digest(ticket), time=1.0)


def create_job(job_id, *, time=1.0, **fields):
    fields.setdefault("workspace", "w")
    spec = commands.JobSpec(id=job_id, **fields)
    return commands.SubmitJob(spec=spec, digest=compute_digest(spec), time=time)


def create_worker(name, *, session="s1", cpu=4000, time=1.0, rack="r1", memory=4096):
    return commands.AdmitWorker(
        worker=name,
        session=session,
        total=Resources(cpu, memory, 0),
        rack=rack,
        data_centre="dc1",
        time=time,
    )


def create_state(*, workers=2, workspaces=("w",), cpu=4000):
    """Return a state with a service, workspaces and live workers."""
    state = CellState()
    specs = tuple(commands.WorkspaceSpec(name=name) for name in workspaces)
    services = (commands.ServiceSpec(name="s"),)
    assert state.apply(create_ticket(1, workspaces=specs, services=services)).accepted
    for number in range(workers):
        state.apply(create_worker(f"m{number}", cpu=cpu, rack=f"r{number % 3}"))
    return state


def place(state, job_id, index, worker, *, time=2.0):
    """Place one task; return whether it started."""
    task = state.scheduling.find_task(job_id, index)
    if task is None:
        return False
    session = state.scheduling.workers[worker].session
    placement = commands.Placement(job_id, index, task.epoch + 1, worker, session)
    result = state.apply(commands.PlaceTasks(placements=(placement,), time=time))
    return result.detail["started"] == "1"


def report(state, job_id, index, outcome, *, time=3.0, epoch=None, worker=None):
    """Report the end of a task from `worker`, by default the one that runs it."""
    task = state.scheduling.find_task(job_id, index)
    reporter = state.scheduling.workers[worker] if worker else task.worker
    item = commands.TaskReport(job_id, index, epoch or task.epoch, outcome)
    return state.apply(
        commands.ReportTasks(
            worker=reporter.name, session=reporter.session, reports=(item,), time=time
        )
    )
