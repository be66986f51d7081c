"""HTTP API for operators, jobs, upstreams and workers.

docs/API.md describes every path, body and status code.
"""

from collections.abc import Callable

from returns.pipeline import is_successful

from bluebellyoke.cell import commands
from bluebellyoke.cell.early_cancels import MAX_UNREAD_S
from bluebellyoke.clock import Clock
from bluebellyoke.instance import bodies, wire
from bluebellyoke.instance.link import LeaderLink
from bluebellyoke.instance.proxy import RequestProxy
from bluebellyoke.instance.stalls import StallWatch
from bluebellyoke.metrics import Metrics

__all__ = ["Api", "InstanceStatus"]

#: Timeout for the leader's reply to an API call, in seconds.
CALL_TIMEOUT_S = 5.0

#: Status codes of refused commands; all others get 409.
_REFUSAL_STATUS = {
    "malformed": 400,
    "number-taken": 409,
    "stale-number": 409,
    "id-taken": 409,
    "unknown-job": 404,
    "unknown-workspace": 404,
    "unknown-service": 404,
    "finished": 409,
    "cancelled": 409,
    "can-never-run": 422,
    "too-many-tasks": 422,
    "cell-full": 503,
}


class InstanceStatus:
    """State of an instance for its API.

    Args:
        name: Name of the instance.
        incarnation: Identifier of this run of the process.

    Attributes:
        leaving: Whether the instance is shutting down.
        request_stop: Starts the graceful shutdown.
        describe_replica: Returns the replica's state, or None without a replica.
    """

    def __init__(self, *, name: str, incarnation: str) -> None:
        self.name = name
        self.incarnation = incarnation
        self.leaving = False
        self.request_stop: Callable[[], None] = lambda: None
        self.describe_replica: Callable[[], dict | None] = lambda: None


class Api:
    """Handles the requests to the API paths.

    Args:
        proxy: Sends callers' requests to upstreams.
        link: Stream to the leader.
        clock: Source of time.
        status: State of the instance.
        metrics: Histograms and counters.
        stalls: Times in which the instance stood still.
    """

    def __init__(
        self,
        *,
        proxy: RequestProxy,
        link: LeaderLink,
        clock: Clock,
        status: InstanceStatus,
        metrics: Metrics,
        stalls: StallWatch,
    ) -> None:
        self._stalls = stalls
        self._proxy = proxy
        self._link = link
        self._clock = clock
        self._status = status
        self._metrics = metrics

    async def handle(self, method: str, parts: tuple, body: bytes):
        """Return the status code and the body of the response to an API request."""
        match (method, *parts):
            case ("GET", "healthz"):
                return self._check_health()
            case ("GET", "metrics"):
                return 200, self._metrics.render()
            case ("GET", "v1", "instance"):
                return 200, self._describe_instance()
            case ("POST", "v1", "drain"):
                self._status.request_stop()
                return 202, {"code": "draining"}
            case ("POST", "v1", "jobs"):
                return await self._submit_job(body)
            case ("DELETE", "v1", "jobs", job_id):
                return await self._call_leader(commands.CancelJob(job_id=job_id))
            case ("GET", "v1", "jobs", job_id):
                return await self._query("job", job_id)
            case ("GET", "v1", "jobs", job_id, "explain"):
                return await self._query("explain", job_id)
            case ("POST", "v1", "tickets"):
                return await self._run_command(bodies.TicketBody, body)
            case ("GET", "v1", "tickets"):
                return await self._query("ticket", "")
            case ("GET", "v1", "tickets", number):
                return await self._query("ticket", number)
            case ("GET", "v1", "status"):
                return await self._query("status", "")
            case ("POST", "v1", "upstreams"):
                return await self._announce_upstream(body)
            case ("POST", "v1", "workers", "heartbeat"):
                return await self._handle_heartbeat(body)
        return 404, {"code": "unknown-path", "reason": "see docs/API.md"}

    def _check_health(self) -> tuple[int, dict]:
        """Report to the load balancer whether the instance takes requests."""
        has_lease = self._proxy.router.has_lease(self._clock.monotonic())
        if self._status.leaving or not has_lease:
            return 503, {"ready": False}
        return 200, {"ready": True}

    def _describe_instance(self) -> dict:
        router = self._proxy.router
        return {
            "name": self._status.name,
            "incarnation": self._status.incarnation,
            "has_lease": router.has_lease(self._clock.monotonic()),
            "version": router.view.version,
            "ticket": router.view.ticket,
            "draining": self._status.leaving,
            "in_hand": router.active_requests,
            "open_requests": self._proxy.open_requests,
            "replica": self._status.describe_replica(),
        }

    async def _submit_job(self, body: bytes):
        unread_s = self._stalls.measure()
        if unread_s > MAX_UNREAD_S:
            reason = f"the request may be {unread_s:.0f} s old; repeat it"
            return 503, {"accepted": False, "code": "unavailable", "reason": reason}
        return await self._run_command(bodies.JobBody, body, accepted_status=202)

    async def _run_command(self, model, body: bytes, *, accepted_status: int = 200):
        parsed = bodies.parse_body(model, body)
        if not is_successful(parsed):
            return _describe_errors(parsed.failure())
        return await self._call_leader(
            parsed.unwrap().build(), accepted_status=accepted_status
        )

    async def _call_leader(
        self, command: commands.Command, *, accepted_status: int = 200
    ):
        result = await self._link.call(command, CALL_TIMEOUT_S)
        status = (
            accepted_status
            if result.accepted
            else _REFUSAL_STATUS.get(result.code, 409)
        )
        value = {
            "accepted": result.accepted,
            "code": result.code,
            "reason": result.reason,
            **result.detail,
        }
        return status, value

    async def _query(self, topic: str, subject: str):
        reply = await self._link.call(wire.Query(topic, subject), CALL_TIMEOUT_S)
        return (200 if reply.found else 404), reply.body

    async def _announce_upstream(self, body: bytes):
        """Handle an upstream's announcement.

        A renewal without changes is sent to the leader with the next poll; any other
        announcement becomes a command.
        """
        parsed = bodies.parse_body(bodies.UpstreamBody, body)
        if not is_successful(parsed):
            return _describe_errors(parsed.failure())
        announcement = parsed.unwrap()
        command = announcement.build()
        renewal = wire.Renewal(
            command.upstream, command.incarnation, announcement.running
        )
        if self._proxy.queue_renewal(command, renewal):
            return 200, {"accepted": True, "code": "renewed"}
        return await self._call_leader(command)

    async def _handle_heartbeat(self, body: bytes):
        parsed = bodies.parse_body(bodies.HeartbeatBody, body)
        if not is_successful(parsed):
            return _describe_errors(parsed.failure())
        heartbeat = parsed.unwrap().build()
        timeout_s = CALL_TIMEOUT_S + heartbeat.wait_s
        orders = await self._link.call(heartbeat, timeout_s)
        return 200, _describe_orders(orders)


def _describe_errors(error: bodies.MalformedBodyError) -> tuple[int, dict]:
    return 400, {"code": "malformed", "faults": error.errors}


def _describe_orders(orders: wire.WorkerOrders) -> dict:
    return {
        "status": orders.status,
        "lease_s": orders.lease_s,
        "run": [
            {
                "job": x.job_id,
                "task": x.index,
                "epoch": x.epoch,
                "need": {
                    "cpu_millis": x.need.cpu_millis,
                    "memory_mb": x.need.memory_mb,
                    "accelerators": x.need.accelerators,
                },
                "payload": x.payload,
            }
            for x in orders.run
        ],
        "stop": [
            {
                "job": x.job_id,
                "task": x.index,
                "epoch": x.epoch,
                "checkpoint": x.checkpoint,
            }
            for x in orders.stop
        ],
        "throttle": [_describe_task_key(*key) for key in orders.throttle],
        "acknowledged": [_describe_task_key(*key) for key in orders.acknowledged],
    }


def _describe_task_key(job_id: str, index: int, epoch: int) -> dict:
    return {"job": job_id, "task": index, "epoch": epoch}
