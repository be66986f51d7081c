"""Limits on clients by the settings, and how refusals are answered and reported."""

import http
import logging
import resource

import msgspec

from bluebellyoke.clock import Clock
from bluebellyoke.dispatch.log_limits import LogLimit
from bluebellyoke.instance.connection_limits import (
    ConnectionLimits,
    Refusal,
    derive_limits,
)
from bluebellyoke.metrics import Metrics
from bluebellyoke.settings import LimitSettings

__all__ = ["RefusalReport", "create_limits", "format_refusal"]

logger = logging.getLogger("bluebellyoke.http")


def create_limits(settings: LimitSettings) -> ConnectionLimits:
    """Return the limits on clients for the settings and this process."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    max_descriptors = settings.max_descriptors
    if soft_limit != resource.RLIM_INFINITY:
        max_descriptors = min(max_descriptors, soft_limit)
    return derive_limits(
        memory_mb=settings.memory_mb,
        max_descriptors=max_descriptors,
        head_kb=settings.client_head_kb,
        head_timeout_s=settings.client_head_timeout_s,
        body_timeout_s=settings.client_body_timeout_s,
    )


class RefusalReport:
    """Counts and logs what the limits on clients refuse.

    Args:
        metrics: Metrics of the instance.
        clock: Source of time.
    """

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        self._metrics = metrics
        self._clock = clock
        self._log_limit = LogLimit()

    def record(self, refusal: Refusal, address: str) -> None:
        """Record a refusal.

        Connections that are closed because they were idle are counted only.
        """
        self._metrics.record_refused_client(refusal.label)
        if refusal is Refusal.IDLE:
            return
        if self._log_limit.allow(self._clock.monotonic()):
            logger.info(
                "http: refused a client",
                extra={
                    "cause": refusal.label,
                    "status": refusal.status,
                    "client": address,
                    "skipped": self._log_limit.pop_skipped(),
                },
            )


def format_refusal(refusal: Refusal) -> bytes:
    """Return the whole response to a refused request."""
    body = msgspec.json.encode({"Error": refusal.reason})
    lines = [
        f"HTTP/1.1 {refusal.status} {http.HTTPStatus(refusal.status).phrase}",
        "content-type: application/json",
        f"content-length: {len(body)}",
        "connection: close",
    ]
    if refusal.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        lines.append("retry-after: 1")
    return "\r\n".join([*lines, "", ""]).encode() + body
