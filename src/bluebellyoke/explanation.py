"""Explanation of a request to a queue, derived from the logs of the instances.

The log lines of a workflow are collected from all instances and sorted by time. Its
critical path is traced from the task that ended last back to the caller's request.
The longest span on this path is the cause of the latency; a refusal or a failure is
explained from the last lines.
"""

import enum
import itertools
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from bluebellyoke.interference_explanation import describe_interference
from bluebellyoke.log_lines import LogLine

__all__ = ["Explanation", "Span", "Verdict", "explain_request"]

#: Longest time between a refusal and a leader change that explains it.
LEADER_CHANGE_WINDOW_S = 3.0

#: Largest expected clock skew between two instances.
MAX_CLOCK_SKEW = timedelta(milliseconds=100)

#: The job itself is the cause if its runs failed on at least this many workers.
MIN_FAILED_WORKERS = 2

_REQUEST_ANSWERED = "queues: answers a request"
_WORKFLOW_SUBMITTED = "dispatch: took a workflow"
_ADVISOR_ASKED = "queues: asked the advisor"
_RUN_STARTED = "dispatch: starts a run"
_START_FAILED = "dispatch: a start failed"
_RUN_ENDED = "dispatch: a run ended"
_STEP_WAITS = "dispatch: a step waits"
_WORKFLOW_CANCELLED = "dispatch: cancels a workflow"
_WORKFLOW_ENDED = "dispatch: a workflow ended"
_WORKER_PAUSED = "dispatch: sets a worker aside"
_WORKER_CRASHED = {
    "dispatch: a worker crashed",
    "dispatch: a worker may have crashed",
}
_WORKER_UNRESPONSIVE = "dispatch: lost a worker's answer"
_LEADER_CHANGED = "replica: leads"

#: Messages about the cell or a worker that may explain a request's latency or end.
_CELL_EVENTS = (_LEADER_CHANGED, _WORKER_PAUSED, _WORKER_UNRESPONSIVE)

#: Descriptions of a span, by the message or the run outcome at its end.
_SPAN_DESCRIPTIONS = {
    _WORKFLOW_SUBMITTED: "until a leader accepted it",
    _ADVISOR_ASKED: "while it waited for the advisor",
    _RUN_STARTED: "while it waited for a worker with capacity and a valid ticket",
    _START_FAILED: "while it waited for a worker's response to a start",
    _WORKFLOW_ENDED: "until its end was recorded",
}
_RUN_SPAN_DESCRIPTIONS = {
    "done": "while its task ran",
    "failed": "during a run that failed",
    "never-started": "until a start without a response was resolved",
    "stopped": "until a run was stopped",
    "lost": "until an unreachable worker was declared lost",
    "lapsed": "until the lease of a lost worker expired",
    "broken": "during a gang run that was aborted",
    "alone": "while it waited for the other members of its gang",
}


class Verdict(enum.StrEnum):
    """Outcome of a request."""

    UNKNOWN = "unknown"
    REFUSED = "refused"
    UNFINISHED = "unfinished"
    CANCELLED = "cancelled"
    FAILED = "failed"
    COMPLETED = "completed"


@dataclass(frozen=True, slots=True)
class Span:
    """Time between two events on the critical path of a request.

    Attributes:
        duration_s: Duration in seconds.
        description: What the request waited for, as a subordinate clause.
        end_line: Log line of the event at its end.
    """

    duration_s: float
    description: str
    end_line: LogLine


@dataclass(frozen=True, slots=True)
class Explanation:
    """Outcome of a request and its cause.

    Attributes:
        request_id: ID of the request's workflow.
        cause: One sentence on the cause of the outcome or of the latency.
        spans: Critical path, from the request to the task that ended last.
        lines: All log lines of the request, in order of time.
    """

    request_id: str
    verdict: Verdict
    cause: str
    spans: tuple[Span, ...]
    lines: tuple[LogLine, ...]


def explain_request(lines: Iterable[LogLine], request_id: str) -> Explanation:
    """Explain the outcome of a request.

    Args:
        lines: Log lines of the instances, in any order.
        request_id: ID of the request's workflow.
    """
    request_lines: list[LogLine] = []
    cell_lines: list[LogLine] = []
    for line in lines:
        if _concerns(line, request_id):
            request_lines.append(line)
        elif line.message in _CELL_EVENTS:
            cell_lines.append(line)
    request_lines.sort(key=lambda line: line.time)
    verdict = _determine_verdict(request_lines)
    spans = _build_spans(request_lines, cell_lines)
    cause = _find_cause(verdict, request_lines, spans, cell_lines)
    return Explanation(request_id, verdict, cause, spans, tuple(request_lines))


def _concerns(line: LogLine, request_id: str) -> bool:
    path = line.fields.get("path")
    if line.fields.get("job") == request_id or _is_suspect(line, request_id):
        return True
    return isinstance(path, str) and path.rpartition("/")[2] == request_id


def _is_suspect(line: LogLine, request_id: str) -> bool:
    """Return whether a line reports a crash that a request may have caused."""
    suspects = line.fields.get("suspects")
    is_crash = line.message in _WORKER_CRASHED and isinstance(suspects, list)
    return is_crash and any(item[:1] == [request_id] for item in suspects)


def _determine_verdict(request_lines: list[LogLine]) -> Verdict:
    end = _find_last(request_lines, _WORKFLOW_ENDED)
    if end is not None:
        return Verdict(end.fields["outcome"])
    if any(map(_is_cancellation, request_lines)):
        return Verdict.CANCELLED
    if _was_accepted(request_lines):
        return Verdict.UNFINISHED
    return Verdict.REFUSED if request_lines else Verdict.UNKNOWN


def _is_cancellation(line: LogLine) -> bool:
    is_accepted = line.fields.get("code", "accepted") == "accepted"
    return line.message == _WORKFLOW_CANCELLED and is_accepted


def _was_accepted(request_lines: list[LogLine]) -> bool:
    return any(
        line.message == _WORKFLOW_SUBMITTED
        and line.fields.get("code") in ("accepted", "known")
        for line in request_lines
    )


def _find_last(request_lines: list[LogLine], message: str) -> LogLine | None:
    found = [line for line in request_lines if line.message == message]
    return found[-1] if found else None


# Critical path.


def _build_spans(
    request_lines: list[LogLine], cell_lines: list[LogLine]
) -> tuple[Span, ...]:
    path = _trace_critical_path(request_lines)
    spans = []
    for before, after in itertools.pairwise(path):
        duration_s = max((after.time - before.time).total_seconds(), 0.0)
        events = [line for line in cell_lines if before.time < line.time <= after.time]
        description = (
            _describe_quota_wait(request_lines, before, after)
            or _describe_wait(before, after)
        ) + _describe_events(events, after.fields.get("worker"))
        description += describe_interference(after, request_lines)
        spans.append(Span(duration_s, description, after))
    return tuple(spans)


def _describe_quota_wait(
    request_lines: list[LogLine], before: LogLine, after: LogLine
) -> str:
    """Describe a wait whose last report names the quota; else return an empty text."""
    reasons = [
        line.fields.get("reason")
        for line in request_lines
        if line.message == _STEP_WAITS
        and before.time < line.time <= after.time
        and after.message == _RUN_STARTED
        and line.fields.get("step") == list(after.task[:2])
    ]
    is_quota = reasons[-1:] == ["quota"]
    return "while it waited for the quota of its workspace" if is_quota else ""


def _describe_events(lines: list[LogLine], worker: str | None) -> str:
    """Describe what happened to the cell or to a worker during a span."""
    description = ""
    if any(line.message == _LEADER_CHANGED for line in lines):
        description += ", during which the leader changed"
    unresponsive = [line for line in lines if line.message == _WORKER_UNRESPONSIVE]
    if any(line.fields.get("worker") == worker for line in unresponsive):
        description += ", and its worker did not respond to a poll"
    return description


def _trace_critical_path(request_lines: list[LogLine]) -> list[LogLine]:
    """Return the lines on the critical path, oldest first."""
    path: list[LogLine] = []
    current = _find_last(request_lines, _WORKFLOW_ENDED) or (
        request_lines[-1] if request_lines else None
    )
    while current is not None and current not in path:
        path.append(current)
        current = _find_predecessor(current, request_lines)
    return path[::-1]


def _find_predecessor(line: LogLine, request_lines: list[LogLine]) -> LogLine | None:
    """Return the latest line that a line depends on, or None."""
    latest = line.time + MAX_CLOCK_SKEW
    earlier = [
        item for item in request_lines if item.time <= latest and item is not line
    ]
    if line.message in (_RUN_ENDED, _START_FAILED):
        candidates = [
            item
            for item in earlier
            if item.task == line.task
            and item.fields.get("run") == line.fields.get("run")
            and item.message in (_RUN_STARTED, _START_FAILED)
        ]
    elif line.message == _RUN_STARTED:
        candidates = [item for item in earlier if _may_unblock(item, line)]
    elif line.message == _WORKFLOW_ENDED:
        # The rate limit of the log may have dropped lines of run ends.
        candidates = [
            item for item in earlier if item.message in (_RUN_ENDED, _RUN_STARTED)
        ]
    elif line.message == _ADVISOR_ASKED:
        candidates = [
            item
            for item in earlier
            if item.message in (_WORKFLOW_SUBMITTED, _RUN_ENDED)
        ]
    else:
        candidates = []
    if candidates or _is_failed_submission(line):
        return candidates[-1] if candidates else None
    return next((item for item in earlier if _is_failed_submission(item)), None)


def _is_failed_submission(line: LogLine) -> bool:
    is_submission = line.fields.get("action") == "submit"
    return (
        line.message == _REQUEST_ANSWERED
        and is_submission
        and line.fields.get("code") != "accepted"
    )


def _may_unblock(line: LogLine, start: LogLine) -> bool:
    """Return whether a run could start only after the event of a line."""
    if line.message == _RUN_ENDED:
        if line.task == start.task:
            return line.fields.get("run") < start.fields.get("run")
        # The end of a run of an earlier step.
        return line.task[1] != start.task[1]
    if line.message == _ADVISOR_ASKED:
        return line.fields.get("step") == list(start.task[:2])
    return line.message == _WORKFLOW_SUBMITTED


def _describe_wait(before: LogLine, after: LogLine) -> str:
    if _is_failed_submission(before):
        return "between the first failed attempt and its acceptance by a leader"
    if after.message == _RUN_ENDED:
        outcome = str(after.fields.get("outcome"))
        return _RUN_SPAN_DESCRIPTIONS.get(outcome, f"until a run ended as {outcome}")
    return _SPAN_DESCRIPTIONS.get(after.message, f"until {after.message}")


# Causes.


def _find_cause(
    verdict: Verdict,
    request_lines: list[LogLine],
    spans: tuple[Span, ...],
    cell_lines: list[LogLine],
) -> str:
    if verdict is Verdict.UNKNOWN:
        return (
            "no instance logged it: it reached no instance, or the log lines are lost"
        )
    if verdict is Verdict.REFUSED:
        return _explain_refusal(request_lines, cell_lines)
    if verdict is Verdict.FAILED:
        return _explain_failure(request_lines, cell_lines)
    if verdict is Verdict.CANCELLED:
        return "its caller cancelled it"
    if not spans:
        return "no events were logged after its acceptance"
    longest = max(spans, key=lambda span: span.duration_s)
    return f"{longest.duration_s:.2f} s passed {_format_span(longest)}"


def _format_span(span: Span) -> str:
    worker = span.end_line.fields.get("worker")
    return f"{span.description} (worker {worker})" if worker else span.description


def _explain_refusal(request_lines: list[LogLine], cell_lines: list[LogLine]) -> str:
    last = request_lines[-1]
    code, reason = last.fields.get("code"), last.fields.get("reason")
    leader_changes = [
        line
        for line in cell_lines
        if line.message == _LEADER_CHANGED
        and abs((line.time - last.time).total_seconds()) < LEADER_CHANGE_WINDOW_S
    ]
    cause = f"instance {last.instance} answered {code}: {reason}"
    if leader_changes:
        cause += (
            f"; {leader_changes[0].instance} became the leader at "
            f"{leader_changes[0].time:%H:%M:%S.%f}"
        )
    return cause


def _explain_failure(request_lines: list[LogLine], cell_lines: list[LogLine]) -> str:
    end = _find_last(request_lines, _WORKFLOW_ENDED)
    workers = {
        line.fields.get("worker")
        for line in request_lines
        if line.message == _RUN_ENDED and line.fields.get("outcome") == "failed"
    }
    paused = {
        line.fields.get("worker")
        for line in cell_lines
        if line.message == _WORKER_PAUSED
    }
    reason = end.fields.get("reason")
    crashed = [
        line.fields.get("worker")
        for line in request_lines
        if line.message in _WORKER_CRASHED
    ]
    if crashed and not workers:
        return f"{reason} ({', '.join(map(str, crashed))}): the job is at fault"
    cause = f"{reason}, on {len(workers)} workers"
    if workers & paused:
        return f"{cause}, of which {len(workers & paused)} were set aside for failures"
    if len(workers) >= MIN_FAILED_WORKERS:
        return f"{cause}, none of which was set aside: the job is at fault"
    return cause
