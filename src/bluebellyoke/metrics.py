"""Latency histograms and counters of an instance."""

from collections import Counter

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics"]

#: Range of the histograms: 1 µs to 10 minutes.
LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2

PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Latency histograms in microseconds, and counters by name and label."""

    def __init__(self) -> None:
        self._histograms: dict[str, HdrHistogram] = {}
        self._counters: Counter[tuple[str, str]] = Counter()
        self._totals: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}

    def record_request_wait(self, seconds: float) -> None:
        """Record the time from a request's arrival to its dispatch to an upstream."""
        self._record("request_wait_seconds", seconds)

    def record_request(self, outcome: str, seconds: float) -> None:
        """Record the outcome and the latency of a request."""
        self._counters["requests_total", outcome] += 1
        self._record("request_seconds", seconds)

    def record_task_wait(self, job_class: str, seconds: float) -> None:
        """Record the time from a task's submission to its placement."""
        self._record(f"task_wait_seconds_{job_class}", seconds)

    def record_queue_request(self, action: str, code: str, seconds: float) -> None:
        """Record the response to a caller of a queue."""
        self._counters["queue_requests_total", f"{action}/{code}"] += 1
        self._record(f"queue_request_seconds_{action}", seconds)

    def record_advisor_call(self, seconds: float) -> None:
        """Record the latency of a call to the advisor."""
        self._record("advice_seconds", seconds)

    def record_worker_call(self, kind: str, outcome: str, seconds: float) -> None:
        """Record a call to a worker; a poll's latency includes the long-poll wait."""
        self._counters["worker_calls_total", f"{kind}/{outcome}"] += 1
        self._record(f"worker_call_seconds_{kind}", seconds)

    def record_workflow_start_wait(self, seconds: float) -> None:
        """Record the time from a workflow's acceptance to its first run."""
        self._record("workflow_start_wait_seconds", seconds)

    def record_workflow(self, outcome: str, seconds: float) -> None:
        """Record the time from a workflow's acceptance to its end."""
        self._counters["workflows_total", outcome] += 1
        self._record(f"workflow_seconds_{outcome}", seconds)

    def record_overdue_steps(self, reason: str, count: int) -> None:
        """Count the steps that a check found to wait long, by the reason."""
        self._counters["overdue_steps_total", reason] += count

    def record_tick_interval(self, seconds: float) -> None:
        """Record the time between two turns of the leader's dispatcher."""
        self._record("dispatch_tick_interval_seconds", seconds)

    def record_worker_crash(self, evidence: str) -> None:
        """Count a crash of a worker by what proved it."""
        self._counters["worker_crashes_total", evidence] += 1

    def record_run(self, outcome: str) -> None:
        """Count an ended run by its outcome."""
        self._counters["runs_total", outcome] += 1

    def record_task_kept_apart(self) -> None:
        """Count a start that avoids a worker because of a known interference."""
        self._totals["tasks_kept_apart_total"] += 1

    def set_interfering_pairs(self, count: int) -> None:
        """Set the number of pairs of images that are known to slow each other down."""
        self._gauges["interfering_pairs"] = count

    def set_paced_runs(self, count: int) -> None:
        """Set the number of backfill runs that are slowed down at present."""
        self._gauges["paced_runs"] = count

    def record_unused_backfill(self, core_seconds: float) -> None:
        """Add processor time that backfill runs could not use while slowed down."""
        self._totals["backfill_unused_core_seconds_total"] += core_seconds

    def _record(self, name: str, seconds: float) -> None:
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._histograms[name] = histogram
        value = min(max(int(seconds * 1e6), LOWEST_US), HIGHEST_US)
        histogram.record_value(value)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for name, histogram in sorted(self._histograms.items()):
            full_name = f"bluebellyoke_{name}"
            lines.append(f"# TYPE {full_name} summary")
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / 1e6
                lines.append(
                    f'{full_name}{{quantile="{percentile / 100:g}"}} {value:g}'
                )
            lines.append(f"{full_name}_count {histogram.get_total_count()}")
        for (name, label), count in sorted(self._counters.items()):
            lines.append(f'bluebellyoke_{name}{{outcome="{label}"}} {count}')
        for name, total in sorted(self._totals.items()):
            lines.append(f"bluebellyoke_{name} {total:.10g}")
        for name, value in sorted(self._gauges.items()):
            lines.append(f"bluebellyoke_{name} {value:g}")
        return "\n".join(lines) + "\n"
