"""How long a request may have waited at an instance before it was read."""

import anyio
import pytest

from bluebellyoke.cell.early_cancels import MAX_UNREAD_S
from bluebellyoke.instance import wire
from bluebellyoke.instance.queues import QueueClient
from bluebellyoke.instance.stalls import BACKLOG_S, INTERVAL_S, StallWatch
from bluebellyoke.metrics import Metrics
from tests.instance.test_link import ManualClock
from tests.workflow.factories import create_spec

FROZEN_S = MAX_UNREAD_S + 1.0


@pytest.fixture
def clock():
    return ManualClock()


def run_for(clock, stalls, seconds):
    for _ in range(round(seconds / INTERVAL_S)):
        clock.seconds += INTERVAL_S
        stalls.note()


def test_requests_of_a_process_that_runs_are_new(clock):
    stalls = StallWatch(clock)
    for _ in range(30):
        clock.seconds += INTERVAL_S
        assert stalls.measure() <= INTERVAL_S + BACKLOG_S
        stalls.note()


# Guards against a request that was read after a freeze and counts as new, whether the
# watch or the request is first to run.
@pytest.mark.parametrize("is_noted_first", [False, True])
def test_request_after_a_freeze_may_have_come_at_its_start(clock, is_noted_first):
    stalls = StallWatch(clock)
    run_for(clock, stalls, 10.0)
    clock.seconds += FROZEN_S
    if is_noted_first:
        stalls.note()
    assert stalls.measure() >= FROZEN_S
    run_for(clock, stalls, BACKLOG_S - INTERVAL_S)
    assert stalls.measure() >= FROZEN_S
    run_for(clock, stalls, BACKLOG_S + 2 * INTERVAL_S)
    assert stalls.measure() <= INTERVAL_S + BACKLOG_S


class AcceptingLink:
    """Link whose leader accepts everything."""

    def __init__(self):
        self.timeouts_s = []

    async def wait_connected(self, timeout_s):
        return True

    async def call(self, body, timeout_s, max_disconnected_s):
        self.timeouts_s.append(timeout_s)
        return wire.QueueReply("accepted")


def request(client, action, draft=None, timeout_s=3.0):
    replies = []

    async def body():
        replies.append(
            await client.request(action, "h", "/q/", timeout_s=timeout_s, draft=draft)
        )

    anyio.run(body)
    return replies[0].code


# Guards against a submission that an instance passes on when its cancel may be
# forgotten: it waited, unread, while the instance was frozen.
def test_submission_that_may_be_too_old_is_not_passed_on(clock):
    stalls = StallWatch(clock)
    link = AcceptingLink()
    client = QueueClient(link=link, clock=clock, metrics=Metrics(), stalls=stalls)
    draft = create_spec("", queue="")
    clock.seconds += FROZEN_S
    assert request(client, wire.QueueAction.SUBMIT, draft) == "unavailable"
    assert link.timeouts_s == []
    assert request(client, wire.QueueAction.READ) == "accepted"
    assert request(client, wire.QueueAction.CANCEL) == "accepted"
    run_for(clock, stalls, 20.0)
    assert request(client, wire.QueueAction.SUBMIT, draft) == "accepted"


# Guards against a submission that a caller without a patience keeps pending for hours.
def test_request_waits_for_a_leader_no_longer_than_its_cancel_is_remembered(clock):
    link = AcceptingLink()
    stalls = StallWatch(clock)
    client = QueueClient(link=link, clock=clock, metrics=Metrics(), stalls=stalls)
    draft = create_spec("", queue="")
    request(client, wire.QueueAction.SUBMIT, draft, timeout_s=1e9)
    assert link.timeouts_s == [60.0]
