"""Cancels that are remembered until no submission of their jobs can arrive."""

import gc
import tracemalloc

import msgspec
import pytest

from bluebellyoke.cell import commands
from bluebellyoke.cell.early_cancels import (
    KEPT_S,
    MAX_EARLY_CANCELS,
    MAX_PENDING_S,
    MAX_UNREAD_S,
    EarlyCancel,
    EarlyCancels,
)
from bluebellyoke.cell.snapshot import dump_state, load_state
from bluebellyoke.cell.state import CellState

NOW = 1000.0

JOB = ("00000000000000a1", "nony24.example", "/lohu930/")

#: Memory that remembered cancels may take up, in bytes: a twentieth of an instance.
LIMIT_BYTES = 15 * 1024 * 1024


def restore(cancels):
    data = msgspec.msgpack.encode(cancels.dump())
    return EarlyCancels(msgspec.msgpack.decode(data, type=list[EarlyCancel]))


@pytest.fixture(params=[False, True], ids=["live", "restored"])
def pass_on(request):
    """Return a function that returns the cancels, or what a snapshot keeps of them."""
    return restore if request.param else lambda cancels: cancels


def test_submission_of_a_cancelled_job_is_refused_until_none_can_arrive(pass_on):
    cancels = EarlyCancels()
    assert cancels.find_end(JOB, ["a"], NOW) is None
    assert cancels.add(JOB, ["a"], NOW)
    cancels = pass_on(cancels)
    oldest = NOW + MAX_UNREAD_S + MAX_PENDING_S
    assert cancels.find_end(JOB, ["a"], oldest) == NOW + KEPT_S > oldest
    assert cancels.find_end(JOB, ["a"], NOW + KEPT_S + 0.1) is None
    assert cancels.find_end(JOB, ["b"], NOW) is None
    assert cancels.find_end(JOB, ["b", "a"], NOW) is not None
    assert cancels.find_end((JOB[0], "other", JOB[2]), ["a"], NOW) is None


def test_repeated_cancel_is_kept_from_its_last_time_on(pass_on):
    cancels = EarlyCancels()
    cancels.add(JOB, ["a"], NOW)
    cancels.add(("x",), ["a"], NOW + 1)
    cancels.add(JOB, ["a"], NOW + KEPT_S)
    cancels = pass_on(cancels)
    assert len(cancels) == 2
    assert cancels.find_end(JOB, ["a"], NOW + 2 * KEPT_S) is not None
    cancels.add(("y",), ["a"], NOW + KEPT_S + 2)
    assert len(cancels) == 2


# Guards against a client that fills the memory of all replicas with unknown jobs, and
# against a cancel that is acknowledged without being remembered.
def test_cancels_of_a_million_unknown_jobs_take_bounded_memory():
    gc.collect()
    tracemalloc.start()
    try:
        cancels = EarlyCancels()
        accepted = sum(
            cancels.add((f"{number:016x}", *JOB[1:]), ["workspace a"], NOW)
            for number in range(1_000_000)
        )
        gc.collect()
        used_bytes = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert accepted == len(cancels) == MAX_EARLY_CANCELS
    assert used_bytes < LIMIT_BYTES
    assert cancels.find_end((f"{0:016x}", *JOB[1:]), ["workspace a"], NOW)
    assert not cancels.add(JOB, ["a"], NOW + KEPT_S)
    assert cancels.add(JOB, ["a"], NOW + KEPT_S + 1)
    assert len(cancels) == 1


def test_full_table_takes_a_cancel_that_it_remembers_already():
    cancels = EarlyCancels(
        EarlyCancel((str(number),), "a", NOW) for number in range(MAX_EARLY_CANCELS)
    )
    assert cancels.add(("0",), ["a"], NOW + 1)
    assert not cancels.add(("0",), ["a", "b"], NOW + 1)


# The product's own interface.


def create_submission(job_id="j", time=NOW):
    spec = commands.JobSpec(
        id=job_id,
        workspace="depot",
        kind=commands.JobKind.BATCH,
        tasks=1,
        need=commands.Resources(1000, 100, 0),
        payload="",
    )
    return commands.SubmitJob(time=time, spec=spec, digest="d")


@pytest.fixture
def state():
    state = CellState()
    ticket = commands.Ticket(
        number=1, workspaces=(commands.WorkspaceSpec(name="depot"),)
    )
    state.apply(commands.ApplyTicket(time=NOW, ticket=ticket, digest="t"))
    return state


# Guards against a job that runs although its caller has cancelled it and was told that
# there is none, when its submission arrives later.
@pytest.mark.parametrize("is_restored", [False, True])
def test_job_that_arrives_after_its_cancel_is_refused(state, is_restored):
    assert state.apply(commands.CancelJob(time=NOW, job_id="j")).code == "unknown-job"
    if is_restored:
        state = load_state(dump_state(state))
    late = NOW + MAX_UNREAD_S + MAX_PENDING_S
    assert state.apply(create_submission(time=late)).code == "cancelled"
    assert "j" not in state.scheduling.jobs
    assert state.apply(create_submission("k", time=late)).accepted
    assert state.apply(create_submission(time=NOW + KEPT_S + 1)).accepted


def test_cancel_of_an_unknown_job_is_refused_while_too_many_are_remembered(state):
    for number in range(MAX_EARLY_CANCELS):
        state.apply(commands.CancelJob(time=NOW, job_id=str(number)))
    assert state.apply(commands.CancelJob(time=NOW, job_id="j")).code == "cell-full"
    assert state.apply(create_submission()).accepted
    assert state.apply(commands.CancelJob(time=NOW, job_id="j")).accepted
