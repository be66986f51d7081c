"""The project's own HTTP paths: operators, jobs, upstreams and workers.

docs/API.md describes every path, body and status code.
"""

from collections.abc import Callable

from returns.pipeline import is_successful

from bluebellyoke.cell import commands as c
from bluebellyoke.clock import Clock
from bluebellyoke.instance import border
from bluebellyoke.instance import wire as w
from bluebellyoke.instance.entry import Entry
from bluebellyoke.instance.link import LeaderLink
from bluebellyoke.metrics import Metrics

__all__ = ["Api", "InstanceStatus"]

#: Time within which the leader must answer an API call, in seconds.
CALL_TIMEOUT_S = 5.0

_RESULT_STATUS = {
    "malformed": 400,
    "number-taken": 409,
    "stale-number": 409,
    "id-taken": 409,
    "unknown-job": 404,
    "unknown-workspace": 404,
    "unknown-service": 404,
    "finished": 409,
    "can-never-run": 422,
    "too-many-tasks": 422,
    "cell-full": 503,
}


class InstanceStatus:
    """What an instance says of itself.

    Args:
        name: Name of the instance.
        incarnation: Identity of this run.
    """

    def __init__(self, *, name: str, incarnation: str) -> None:
        self.name = name
        self.incarnation = incarnation
        self.leaving = False
        self.request_drain: Callable[[], None] = lambda: None
        self.describe_replica: Callable[[], dict | None] = lambda: None


class Api:
    """Answers the project's own paths.

    Args:
        entry: Routing of callers' requests.
        link: Stream to the leader.
        clock: Source of time.
        status: What the instance says of itself.
        metrics: Histograms and counters.
    """

    def __init__(
        self,
        *,
        entry: Entry,
        link: LeaderLink,
        clock: Clock,
        status: InstanceStatus,
        metrics: Metrics,
    ) -> None:
        self._entry = entry
        self._link = link
        self._clock = clock
        self._status = status
        self._metrics = metrics

    async def answer(self, method: str, parts: tuple, body: bytes):
        """Return status code and value of an API request."""
        match (method, *parts):
            case ("GET", "healthz"):
                return self._answer_health()
            case ("GET", "metrics"):
                return 200, self._metrics.render()
            case ("GET", "v1", "instance"):
                return 200, self._describe_instance()
            case ("POST", "v1", "drain"):
                self._status.request_drain()
                return 202, {"code": "draining"}
            case ("POST", "v1", "jobs"):
                return await self._command(border.JobBody, body, created=202)
            case ("DELETE", "v1", "jobs", job_id):
                return await self._call_result(c.CancelJob(job_id=job_id))
            case ("GET", "v1", "jobs", job_id):
                return await self._query("job", job_id)
            case ("GET", "v1", "jobs", job_id, "explain"):
                return await self._query("explain", job_id)
            case ("POST", "v1", "tickets"):
                return await self._command(border.TicketBody, body)
            case ("GET", "v1", "tickets"):
                return await self._query("ticket", "")
            case ("GET", "v1", "tickets", number):
                return await self._query("ticket", number)
            case ("GET", "v1", "status"):
                return await self._query("status", "")
            case ("POST", "v1", "upstreams"):
                return await self._announce(body)
            case ("POST", "v1", "workers", "heartbeat"):
                return await self._heartbeat(body)
        return 404, {"code": "unknown-path", "reason": "see docs/API.md"}

    def _answer_health(self) -> tuple[int, dict]:
        """Tell the balancer whether to send callers here."""
        has_lease = self._entry.router.has_lease(self._clock.monotonic())
        if self._status.leaving or not has_lease:
            return 503, {"ready": False}
        return 200, {"ready": True}

    def _describe_instance(self) -> dict:
        router = self._entry.router
        return {
            "name": self._status.name,
            "incarnation": self._status.incarnation,
            "has_lease": router.has_lease(self._clock.monotonic()),
            "version": router.view.version,
            "ticket": router.view.ticket,
            "draining": self._status.leaving,
            "in_hand": router.in_hand,
            "open_requests": self._entry.open_requests,
            "replica": self._status.describe_replica(),
        }

    async def _command(self, model, body: bytes, *, created: int = 200):
        parsed = border.parse_body(model, body)
        if not is_successful(parsed):
            return _describe_faults(parsed.failure())
        return await self._call_result(parsed.unwrap().build(), created=created)

    async def _call_result(self, command: c.Command, *, created: int = 200):
        result = await self._link.call(command, CALL_TIMEOUT_S)
        status = created if result.accepted else _RESULT_STATUS.get(result.code, 409)
        value = {
            "accepted": result.accepted,
            "code": result.code,
            "reason": result.reason,
            **result.detail,
        }
        return status, value

    async def _query(self, topic: str, subject: str):
        reply = await self._link.call(w.Query(topic, subject), CALL_TIMEOUT_S)
        return (200 if reply.found else 404), reply.body

    async def _announce(self, body: bytes):
        """Take an upstream's announcement; a mere renewal joins the next poll."""
        parsed = border.parse_body(border.UpstreamBody, body)
        if not is_successful(parsed):
            return _describe_faults(parsed.failure())
        announced = parsed.unwrap()
        command = announced.build()
        renewal = w.Renewal(command.upstream, command.incarnation, announced.running)
        if self._entry.renew_upstream(command, renewal):
            return 200, {"accepted": True, "code": "renewed"}
        return await self._call_result(command)

    async def _heartbeat(self, body: bytes):
        parsed = border.parse_body(border.HeartbeatBody, body)
        if not is_successful(parsed):
            return _describe_faults(parsed.failure())
        heartbeat = parsed.unwrap().build()
        timeout_s = CALL_TIMEOUT_S + heartbeat.wait_s
        orders = await self._link.call(heartbeat, timeout_s)
        return 200, _describe_orders(orders)


def _describe_faults(error: border.MalformedBodyError) -> tuple[int, dict]:
    return 400, {"code": "malformed", "faults": error.faults}


def _describe_orders(orders: w.WorkerOrders) -> dict:
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
        "throttle": [_describe_key(*key) for key in orders.throttle],
        "acknowledged": [_describe_key(*key) for key in orders.acknowledged],
    }


def _describe_key(job_id: str, index: int, epoch: int) -> dict:
    return {"job": job_id, "task": index, "epoch": epoch}
