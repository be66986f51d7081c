"""Calls to the leader about queues, and calls to the advisor on its behalf."""

import logging

import anyio

from bluebellyoke.cell.early_cancels import MAX_PENDING_S, MAX_UNREAD_S
from bluebellyoke.cell.result import Result, refuse
from bluebellyoke.clock import Clock
from bluebellyoke.dispatch.ports import Advisor, AdvisorBusyError
from bluebellyoke.errors import BluebellyokeError
from bluebellyoke.instance import wire
from bluebellyoke.instance.link import LeaderLink, NoLeaderError, TooManyCallsError
from bluebellyoke.instance.stalls import StallWatch
from bluebellyoke.metrics import Metrics
from bluebellyoke.workflow.admission import validate_workflow
from bluebellyoke.workflow.commands import ApplyConfiguration
from bluebellyoke.workflow.specs import Configuration, WorkflowSpec
from bluebellyoke.workflow.worker_validation import (
    validate_worker,
    validate_worker_id,
)

__all__ = ["AdviceHandler", "LargeDocumentError", "QueueClient"]

logger = logging.getLogger("bluebellyoke.queues")

#: Timeouts of the wait for a stream to the leader, in seconds. An election takes less;
#: a refused caller retries after one second at the earliest. The short timeout is for
#: reads, heartbeats of workers and calls of operators.
LINK_TIMEOUT_S = 0.9
SHORT_LINK_TIMEOUT_S = 0.5

#: Time without a stream to a leader after which a sent request fails, in seconds. It is
#: longer because the leader may have carried out the request.
MAX_DISCONNECTED_S = 1.2

#: Timeout for the leader's reply to a request with a credential, in seconds. From 2.5 s
#: after a configuration is acknowledged, no caller may get a reply by an earlier one. A
#: reply can be delayed on its way, but it is no older than the call that it is for.
MAX_DECISION_AGE_S = 2.4

#: Timeouts for the leader's reply to a worker or an operator, in seconds.
ANNOUNCE_TIMEOUT_S = 0.9
CONFIGURATION_TIMEOUT_S = 0.95

#: Size above which a configuration is not relayed between an instance and the leader,
#: in bytes. A larger one would hold up the stream that all other calls share: on a link
#: of 2 Mbit/s, this much takes 0.26 s.
MAX_RELAYED_BYTES = 64 * 1024

#: Slowest connection to the network that an instance is expected to have, in bytes per
#: second, and the longest time for which the transfer of one body explains silence.
MIN_LINK_BYTES_PER_S = 200_000
MAX_TRANSFER_S = 4.0

#: Maximum number of queued calls to the advisor; the leader sends one at a time.
MAX_QUEUED_ADVICE_CALLS = 64

#: Timeout of a call to the advisor, in seconds.
ADVICE_TIMEOUT_S = 10.0

#: Maximum number of characters of an invalid ID that the log shows.
MAX_LOGGED_CHARACTERS = 80

#: Codes of requests without a reply from the leader. An `unavailable` request was not
#: sent; an `unanswered` one may have been carried out.
UNAVAILABLE = "unavailable"
UNANSWERED = "unanswered"


class LargeDocumentError(BluebellyokeError):
    """A configuration is too large to be relayed to or from the leader.

    Attributes:
        leader_host: IP address of the leader, which the caller has to call itself.
    """

    def __init__(self, leader_host: str) -> None:
        super().__init__(
            "the configuration is too large to be relayed",
            remedy=f"call the leader at {leader_host}",
        )
        self.leader_host = leader_host


class QueueClient:
    """Forwards requests to the leader; only its state is certain to be current.

    Args:
        link: Stream to the leader.
        clock: Source of time.
        metrics: Histograms and counters.
        stalls: Times in which this instance stood still.
        own_address: Address at which other instances reach this one.
    """

    def __init__(
        self,
        *,
        link: LeaderLink,
        clock: Clock,
        metrics: Metrics,
        stalls: StallWatch,
        own_address: str = "",
    ) -> None:
        self._stalls = stalls
        self._link = link
        self._own_address = own_address
        self._clock = clock
        self._metrics = metrics
        self.open_requests = 0

    async def request(
        self,
        action: wire.QueueAction,
        host: str,
        path: str,
        *,
        timeout_s: float,
        draft: WorkflowSpec | None = None,
        credential: str = "",
    ) -> wire.QueueReply:
        """Return the leader's reply to a caller's request to a queue.

        Args:
            action: Action on a workflow or a queue.
            host: Value of the request's Host header.
            path: Path of the request, which starts with the queue's prefix.
            timeout_s: Timeout for the leader's reply, in seconds.
            draft: Workflow to submit, without its ID and queue.
            credential: Digest of the caller's key, or an empty text.
        """
        started_at = self._clock.monotonic()
        unread_s = self._stalls.measure()
        errors = validate_workflow(draft) if draft is not None else []
        self.open_requests += 1
        try:
            if errors:
                reply = wire.QueueReply("malformed", reason="; ".join(errors))
            elif draft is not None and unread_s > MAX_UNREAD_S:
                reason = f"the request may be {unread_s:.0f} s old; repeat it"
                reply = wire.QueueReply(UNAVAILABLE, reason=reason)
            else:
                body = wire.QueueRequest(action, host, path, draft, credential)
                reply = await self._ask_leader(body, timeout_s)
        finally:
            self.open_requests -= 1
        took_s = self._clock.monotonic() - started_at
        self._metrics.record_queue_request(action.value, reply.code, took_s)
        if action is not wire.QueueAction.READ or reply.code != "accepted":
            logger.info(
                "queues: answers a request",
                extra={
                    "action": action.value,
                    "path": path,
                    "code": reply.code,
                    "reason": reply.reason,
                    "took_s": round(took_s, 4),
                },
            )
        return reply

    async def _ask_leader(
        self, body: wire.QueueRequest, timeout_s: float
    ) -> wire.QueueReply:
        is_read = body.action is wire.QueueAction.READ
        link_timeout_s = SHORT_LINK_TIMEOUT_S if is_read else LINK_TIMEOUT_S
        if not await self._link.wait_connected(min(link_timeout_s, timeout_s)):
            return wire.QueueReply(UNAVAILABLE, reason="no leader is known now")
        timeout_s = min(timeout_s, MAX_PENDING_S)
        if body.credential:
            timeout_s = min(timeout_s, MAX_DECISION_AGE_S)
        try:
            max_disconnected_s = SHORT_LINK_TIMEOUT_S if is_read else MAX_DISCONNECTED_S
            return await self._link.call(body, timeout_s, max_disconnected_s)
        except NoLeaderError:
            # A read changes nothing, so the caller can safely repeat it.
            code = UNAVAILABLE if is_read else UNANSWERED
            return wire.QueueReply(code, reason="the leader has not answered")
        except TooManyCallsError as error:
            return wire.QueueReply(UNAVAILABLE, reason=str(error))

    async def announce(self, announcement: wire.WorkerAnnouncement) -> Result:
        """Send a worker's heartbeat to the leader, unless it is not valid."""
        errors = validate_worker_id(announcement.worker)
        if announcement.spec is not None:
            errors = validate_worker(announcement.spec)
        if errors:
            reason = "; ".join(errors)
            logger.info(
                "queues: refused a heartbeat",
                extra={
                    "worker": announcement.worker[:MAX_LOGGED_CHARACTERS],
                    "reason": reason,
                },
            )
            return refuse("malformed", reason)
        return await self._call(announcement, ANNOUNCE_TIMEOUT_S)

    def expect_body(self, size: int) -> None:
        """Prepare for the arrival of a body, which may delay the leader's replies.

        Args:
            size: Size of the body, in bytes.
        """
        if size > MAX_RELAYED_BYTES:
            transfer_s = min(size / MIN_LINK_BYTES_PER_S, MAX_TRANSFER_S)
            self._link.tolerate_silence(transfer_s)

    async def check_size(self, size: int) -> None:
        """Check whether a configuration may be relayed, before it is decoded.

        Args:
            size: Size of the configuration, in bytes.

        Raises:
            LargeDocumentError: It is too large, and another instance leads.
        """
        if size <= MAX_RELAYED_BYTES:
            return
        if await self._link.wait_connected(SHORT_LINK_TIMEOUT_S) and self._is_remote():
            raise self._refuse_to_relay()

    async def change_configuration(self, configuration: Configuration) -> Result:
        """Ask the leader to apply a configuration."""
        command = ApplyConfiguration(configuration=configuration)
        return await self._call(command, CONFIGURATION_TIMEOUT_S)

    async def read_configuration(self) -> bytes | None:
        """Return the current configuration, or None if the leader sent none.

        Raises:
            LargeDocumentError: It is too large to be relayed.
        """
        is_remote = self._is_remote()
        query = wire.Query(
            "configuration", max_bytes=MAX_RELAYED_BYTES if is_remote else 0
        )
        try:
            reply = await self._link.call(query, CONFIGURATION_TIMEOUT_S)
        except (NoLeaderError, TooManyCallsError) as error:
            logger.info(
                "queues: cannot read the configuration", extra={"fault": str(error)}
            )
            return None
        if not reply.is_too_large:
            return reply.body if reply.found else None
        if self._link.connected and self._is_remote():
            raise self._refuse_to_relay()
        return None

    def _is_remote(self) -> bool:
        """Return whether another instance leads, as far as is known."""
        return self._link.leader_address != self._own_address

    def _refuse_to_relay(self) -> LargeDocumentError:
        host, _, _ = self._link.leader_address.rpartition(":")
        logger.info(
            "queues: does not relay a large configuration",
            extra={"leader": self._link.leader_address},
        )
        return LargeDocumentError(host)

    async def _call(self, body, timeout_s: float) -> Result:
        if not await self._link.wait_connected(SHORT_LINK_TIMEOUT_S):
            return refuse(UNAVAILABLE, "no leader is known now")
        try:
            return await self._link.call(body, timeout_s)
        except NoLeaderError as error:
            return refuse(UNANSWERED, str(error))
        except TooManyCallsError as error:
            return refuse(UNAVAILABLE, str(error))


class AdviceHandler:
    """Makes the leader's calls to the advisor, one at a time.

    Args:
        advisor: Interface to the advisor, or None if there is none.
        link: Stream to the leader.
        clock: Source of time.
        metrics: Histograms and counters.
    """

    def __init__(
        self,
        *,
        advisor: Advisor | None,
        link: LeaderLink,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._advisor = advisor
        self._link = link
        self._clock = clock
        self._metrics = metrics
        self._sender, self._receiver = anyio.create_memory_object_stream(
            MAX_QUEUED_ADVICE_CALLS
        )

    def enqueue(self, call: wire.AdviceCall) -> None:
        """Queue a call; if the queue is full, reply that there is no advice."""
        try:
            self._sender.send_nowait(call)
        except anyio.WouldBlock:
            self._link.send(wire.AdviceReply(call.id))

    async def run(self) -> None:
        """Handle queued calls until cancelled."""
        try:
            async for call in self._receiver:
                self._link.send(
                    wire.AdviceReply(call.id, await self._ask_advisor(call))
                )
        finally:
            if self._advisor is not None:
                with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                    await self._advisor.close()

    async def _ask_advisor(self, call: wire.AdviceCall) -> dict[str, str] | None:
        if self._advisor is None:
            return None
        started_at = self._clock.monotonic()
        tickets = None
        failure = ""
        try:
            with anyio.fail_after(ADVICE_TIMEOUT_S):
                tickets = await self._advisor.request_tickets(call.step, call.workers)
        except TimeoutError:
            failure = f"none within {ADVICE_TIMEOUT_S:g} s"
        except AdvisorBusyError as error:
            failure = str(error)
        except Exception as error:
            # No response of the advisor may end the instance's task group.
            logger.exception("queues: a call to the advisor raised an unexpected error")
            failure = f"{type(error).__name__} {error}"
        took_s = self._clock.monotonic() - started_at
        self._metrics.record_advisor_call(took_s)
        logger.info(
            "queues: asked the advisor",
            extra={
                "job": call.step[0],
                "step": list(call.step[1:]),
                "workers": len(call.workers),
                "allowed": len(tickets) if tickets is not None else None,
                "fault": failure,
                "took_s": round(took_s, 4),
            },
        )
        return tickets
