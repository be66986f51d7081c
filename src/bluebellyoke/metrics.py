"""Latency histograms and counters of an instance."""

from collections import Counter
from collections.abc import Mapping

from hdrh.histogram import HdrHistogram
from msgspec.structs import asdict

from bluebellyoke.workflow.workspace_figures import WorkspaceFigures

__all__ = ["Metrics"]

#: Range of the histograms: 1 µs to 10 minutes.
LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2

#: Maximum number of workspaces whose refusals are counted by name, which bounds the
#: number of labels, and the name for all others.
MAX_REFUSED_WORKSPACES = 64
OTHER_WORKSPACES = "(others)"

PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Latency histograms in microseconds, and counters by name and label."""

    def __init__(self) -> None:
        self._histograms: dict[str, HdrHistogram] = {}
        self._counters: Counter[tuple[str, str]] = Counter()
        self._workspaces: Mapping[str, WorkspaceFigures] = {}
        self._refused: Counter[tuple[str, str]] = Counter()
        self._refused_names: set[str] = set()
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

    def record_prediction_error(self, seconds: float) -> None:
        """Record by how much a job ended after its predicted end, or before it."""
        kind = "late" if seconds > 0 else "early"
        self._record(f"prediction_error_seconds_{kind}", abs(seconds))

    def record_refusal(self, cause: str) -> None:
        """Count a job that was refused under load, by the cause."""
        self._counters["admission_refusals_total", cause] += 1

    def record_refused_client(self, cause: str) -> None:
        """Count a request or connection of a client that a limit has ended."""
        self._counters["client_refusals_total", cause] += 1

    def record_admission_error(self, kind: str) -> None:
        """Count a decision on a job that has proved wrong."""
        self._counters["admission_errors_total", kind] += 1

    def record_contained_error(self, part: str) -> None:
        """Count an unexpected error by the part that was skipped for it."""
        self._counters["contained_errors_total", part] += 1

    def record_preemption(self, stops: int, lost_work: float) -> None:
        """Count runs that were stopped for short jobs, and the core-seconds lost."""
        self._counters["preemptions_total", "stopped"] += stops
        self._counters["preempted_core_millis_total", "lost"] += round(lost_work * 1000)

    def record_tick_interval(self, seconds: float) -> None:
        """Record the time between two turns of the leader's dispatcher."""
        self._record("dispatch_tick_interval_seconds", seconds)

    def record_worker_crash(self, evidence: str) -> None:
        """Count a crash of a worker by what proved it."""
        self._counters["worker_crashes_total", evidence] += 1

    def record_run(self, outcome: str) -> None:
        """Count an ended run by its outcome."""
        self._counters["runs_total", outcome] += 1

    def record_speed_change(self, kind: str) -> None:
        """Count a change of what is known of a worker's speed."""
        self._counters["worker_speed_changes_total", kind] += 1

    def record_moved_runs(self, reason: str, count: int) -> None:
        """Count the runs that are moved off a worker, by what is wrong with it."""
        self._counters["moved_runs_total", reason] += count

    def record_run_time_error(self, seconds: float) -> None:
        """Record how far the run time of a task was off the expected one."""
        self._record("run_time_error_seconds", seconds)

    def set_workspaces(self, figures: Mapping[str, WorkspaceFigures]) -> None:
        """Replace the figures of the workspaces, whose number the caller bounds."""
        self._workspaces = figures

    def record_refused_workflow(self, workspace: str, code: str) -> None:
        """Count a refused workflow by workspace and cause.

        Workspaces beyond a maximum number are counted under one name.
        """
        if len(self._refused_names) < MAX_REFUSED_WORKSPACES:
            self._refused_names.add(workspace)
        if workspace not in self._refused_names:
            workspace = OTHER_WORKSPACES
        self._refused[workspace, code] += 1

    def count_refused_workflows(self, workspace: str) -> dict[str, int]:
        """Return the number of refused workflows of a workspace by cause."""
        return {
            code: count
            for (name, code), count in sorted(self._refused.items())
            if name == workspace
        }

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
        # No integer stands for infinity or for NaN, which `min` leaves out as second.
        value = int(max(LOWEST_US, min(HIGHEST_US, seconds * 1e6)))
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
        lines += self._render_workspaces()
        for name, total in sorted(self._totals.items()):
            lines.append(f"bluebellyoke_{name} {total:.10g}")
        for name, value in sorted(self._gauges.items()):
            lines.append(f"bluebellyoke_{name} {value:g}")
        return "\n".join(lines) + "\n"

    def _render_workspaces(self) -> list[str]:
        lines = []
        for name, item in sorted(self._workspaces.items()):
            label = f'workspace="{_escape(name)}"'
            for figure, value in (
                ("running", item.running),
                ("waiting", item.waiting),
                ("share", item.share),
            ):
                lines.append(f"bluebellyoke_workspace_{figure}{{{label}}} {value:g}")
            for figure, amount in (("used", item.used), ("quota", item.quota)):
                lines += [
                    f"bluebellyoke_workspace_{figure}"
                    f'{{{label},resource="{resource}"}} {value}'
                    for resource, value in asdict(amount).items()
                ]
        for (name, code), count in sorted(self._refused.items()):
            lines.append(
                "bluebellyoke_workspace_refused_total"
                f'{{workspace="{_escape(name)}",cause="{code}"}} {count}'
            )
        return lines


def _escape(label: str) -> str:
    """Return a label value in the notation of the Prometheus text format."""
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
