"""Explanation of how the neighbours of a run decided its worker or its pace."""

from collections.abc import Sequence

from bluebellyoke.log_lines import LogLine

__all__ = ["describe_interference"]

_RUN_STARTED = "dispatch: starts a run"
_RUN_ENDED = "dispatch: a run ended"
_KEPT_APART = "dispatch: kept a task apart"
_RUN_PACED = "dispatch: paces a run"
_PACED_RUN_STOPPED = "dispatch: stops a paced run"


def describe_interference(line: LogLine, request_lines: Sequence[LogLine]) -> str:
    """Return the continuation of a span's description, or an empty text.

    Args:
        line: Start or end of a run, at the end of the span.
        request_lines: All lines of the request.
    """
    lines = [
        item
        for item in request_lines
        if item.task == line.task and item.fields.get("run") == line.fields.get("run")
    ]
    if line.message == _RUN_STARTED:
        return _describe_separation(lines)
    if line.message == _RUN_ENDED:
        return _describe_paces(lines)
    return ""


def _describe_separation(lines: Sequence[LogLine]) -> str:
    for line in lines:
        if line.message == _KEPT_APART:
            return (
                f", kept apart from image {line.fields.get('other')} on "
                f"{line.fields.get('avoided')}: {line.fields.get('factor')} times as "
                "long"
            )
    return ""


def _describe_paces(lines: Sequence[LogLine]) -> str:
    paces = [
        line.fields
        for line in lines
        if line.message == _RUN_PACED and line.fields.get("percent", 100) < 100
    ]
    if not paces:
        return ""
    lowest = min(paces, key=lambda fields: fields["percent"])
    description = (
        f", slowed down to {lowest['percent']} percent beside image "
        f"{lowest.get('image')}"
    )
    if any(line.message == _PACED_RUN_STOPPED for line in lines):
        description += " and stopped for it"
    return description
