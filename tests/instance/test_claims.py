"""Claims of idempotency keys, with prepared replies in place of a leader."""

import logging

import anyio
import pytest

from bluebellyoke.cell import commands
from bluebellyoke.cell.result import Result
from bluebellyoke.clock import SystemClock
from bluebellyoke.instance import claims
from bluebellyoke.instance.claims import ClaimHandler
from bluebellyoke.instance.exchange import RequestOutcome, UpstreamRequest
from bluebellyoke.instance.link import NoLeaderError
from bluebellyoke.instance.requests import CallerRequest

IN_PROGRESS = Result(
    accepted=False,
    code="in-progress",
    outcome=commands.Outcome(commands.ClaimStatus.CLAIMED),
)

#: Time until the deadline of the request, in seconds.
DEADLINE_S = 30.0


class Leader:
    """Stream to the leader and the instance's lease.

    Args:
        replies: Replies to the claims; then no leader is found.
        keeps_lease: Whether the instance still has its lease then.
    """

    def __init__(self, replies, *, keeps_lease):
        self.replies = list(replies)
        self.keeps_lease = keeps_lease

    def has_lease(self, now):
        return self.keeps_lease or bool(self.replies)

    async def call(self, body, timeout_s):
        if isinstance(body, commands.ClaimRequest) and self.replies:
            return self.replies.pop(0)
        raise NoLeaderError()


def handle_request(leader):
    clock = SystemClock()
    handler = ClaimHandler(router=leader, link=leader, clock=clock, holder="i/1")
    now = clock.monotonic()
    request = CallerRequest(
        service="s",
        workspace="w",
        method="POST",
        upstream_request=UpstreamRequest(b"POST", b"/", [], b""),
        arrived_at=now,
        deadline=now + DEADLINE_S,
        key="k",
        digest="d",
    )

    async def attempt(request):
        raise AssertionError("the request was sent without a claim")

    return anyio.run(handler.handle, request, attempt)


# Guards against a caller that sends a request again under a new key, and so runs it
# twice, as it was told that nothing ran although an earlier request was in progress.
@pytest.mark.parametrize("keeps_lease", [True, False])
def test_leader_lost_while_an_earlier_request_runs_leaves_the_outcome_unknown(
    monkeypatch, caplog, keeps_lease
):
    monkeypatch.setattr(claims, "CLAIM_POLL_INTERVAL_S", 0.01)
    with caplog.at_level(logging.INFO, "bluebellyoke.routing"):
        result = handle_request(Leader([IN_PROGRESS] * 2, keeps_lease=keeps_lease))
    assert (result.outcome, result.code) == (RequestOutcome.UNKNOWN, "in-progress")
    assert any("lost the leader" in record.message for record in caplog.records)


@pytest.mark.parametrize("keeps_lease", [True, False])
def test_request_without_a_leader_is_not_run(keeps_lease):
    result = handle_request(Leader([], keeps_lease=keeps_lease))
    assert (result.outcome, result.code) == (RequestOutcome.NOT_RUN, "no-lease")
