"""What became of a request to a queue, told from the instances' logs.

The lines of all instances are read, those of one workflow are put in order, and the
way of the task that ended last is followed back to the caller's request. The longest
part of that way, or the refusal or failure at its end, names the cause.
"""

import enum
import itertools
import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta

__all__ = ["Explanation", "LogLine", "Part", "Verdict", "explain_request", "read_lines"]

#: Time around a refusal in which a change of the leader explains it, in seconds.
LEADER_CHANGE_S = 3.0

#: Largest difference between two instances' clocks that is expected.
CLOCK_SKEW = timedelta(milliseconds=100)

#: Workers on which a failed workflow failed before the workflow itself is blamed.
BLAMED_WORKERS = 2

_ANSWERED = "queues: answers a request"
_TAKEN = "dispatch: took a workflow"
_ADVISED = "queues: asked the advisor"
_STARTED = "dispatch: starts a run"
_START_FAILED = "dispatch: a start failed"
_RUN_ENDED = "dispatch: a run ended"
_CANCELLED = "dispatch: cancels a workflow"
_OVER = "dispatch: a workflow ended"
_SET_ASIDE = "dispatch: sets a worker aside"
_SILENT = "dispatch: lost a worker's answer"
_LEADS = "replica: leads"

#: Lines of no single request that may explain one.
_SHARED = (_LEADS, _SET_ASIDE, _SILENT)

_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"

#: What a wait before an event means, by that event and its outcome.
_WAITS = {
    _TAKEN: "until a leader had taken it over",
    _ADVISED: "for the advisor",
    _STARTED: "for a worker with room and a valid ticket",
    _START_FAILED: "for the answer of a worker to a start",
    _OVER: "until its end was recorded",
}
_RUN_WAITS = {
    "done": "while its task ran",
    "failed": "while a run went on that failed",
    "never-started": "until a start without an answer was settled",
    "stopped": "until a run had been stopped",
    "lost": "until a lost worker was given up",
    "lapsed": "until the lease of a lost worker ended",
    "broken": "while a gang ran that broke up",
    "alone": "for the other members of its gang",
}


class Verdict(enum.StrEnum):
    """How the request ended."""

    UNKNOWN = "unknown"
    REFUSED = "refused"
    UNFINISHED = "unfinished"
    CANCELLED = "cancelled"
    FAILED = "failed"
    COMPLETED = "completed"


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of an instance's log."""

    time: datetime
    instance: str
    message: str
    fields: dict

    @property
    def run(self) -> tuple | None:
        """Place of the task that the line is about, if any."""
        task = self.fields.get("task")
        return tuple(task) if isinstance(task, list) else None


@dataclass(frozen=True, slots=True)
class Part:
    """A part of the way of a request.

    Attributes:
        seconds: Its length.
        why: What it was spent on.
        line: Line at its end.
    """

    seconds: float
    why: str
    line: LogLine


@dataclass(frozen=True, slots=True)
class Explanation:
    """What became of a request.

    Attributes:
        cause: One sentence on what decided it.
        parts: Way of the task that ended last, from the request on.
        lines: All lines of the request, in order.
    """

    identity: str
    verdict: Verdict
    cause: str
    parts: tuple[Part, ...]
    lines: tuple[LogLine, ...]


def read_lines(sources: Iterable[Iterable[str]]) -> Iterator[LogLine]:
    """Yield the log lines of some files; whatever else they hold is skipped."""
    for source in sources:
        for text in source:
            yield from _parse(text)


def _parse(text: str) -> Iterator[LogLine]:
    """Yield the log lines in a line of text, which may begin with something else."""
    decoder = json.JSONDecoder()
    position = text.find('{"time"')
    while position >= 0:
        try:
            value, end = decoder.raw_decode(text, position)
            when = datetime.strptime(value["time"], _TIME_FORMAT)
            yield LogLine(when, value.get("instance", ""), value["message"], value)
        except (ValueError, KeyError, TypeError):
            # A line may be cut short, as when its process was killed.
            end = position + 1
        position = text.find('{"time"', end)


def explain_request(lines: Iterable[LogLine], identity: str) -> Explanation:
    """Tell what became of the request with an identity."""
    own: list[LogLine] = []
    others: list[LogLine] = []
    for line in lines:
        if _is_about(line, identity):
            own.append(line)
        elif line.message in _SHARED:
            others.append(line)
    own.sort(key=lambda line: line.time)
    verdict = _judge(own)
    parts = _find_parts(own, others)
    cause = _find_cause(verdict, own, parts, others)
    return Explanation(identity, verdict, cause, parts, tuple(own))


def _is_about(line: LogLine, identity: str) -> bool:
    path = line.fields.get("path")
    if line.fields.get("job") == identity:
        return True
    return isinstance(path, str) and path.rpartition("/")[2] == identity


def _judge(own: list[LogLine]) -> Verdict:
    over = _find_last(own, _OVER)
    if over is not None:
        return Verdict(over.fields["outcome"])
    if any(line.message == _CANCELLED for line in own):
        return Verdict.CANCELLED
    if _was_taken(own):
        return Verdict.UNFINISHED
    return Verdict.REFUSED if own else Verdict.UNKNOWN


def _was_taken(own: list[LogLine]) -> bool:
    return any(
        line.message == _TAKEN and line.fields.get("code") in ("accepted", "known")
        for line in own
    )


def _find_last(own: list[LogLine], message: str) -> LogLine | None:
    found = [line for line in own if line.message == message]
    return found[-1] if found else None


# The way of the task that ended last.


def _find_parts(own: list[LogLine], others: list[LogLine]) -> tuple[Part, ...]:
    way = _follow_back(own)
    parts = []
    for before, after in itertools.pairwise(way):
        seconds = max((after.time - before.time).total_seconds(), 0.0)
        meanwhile = [x for x in others if before.time < x.time <= after.time]
        why = _name_wait(before, after) + _name_events(
            meanwhile, after.fields.get("worker")
        )
        parts.append(Part(seconds, why, after))
    return tuple(parts)


def _name_events(lines: list[LogLine], worker: str | None) -> str:
    """Return what happened to the cell or to a worker in a part of the way."""
    why = ""
    if any(line.message == _LEADS for line in lines):
        why += ", with a change of the leader meanwhile"
    silent = [line for line in lines if line.message == _SILENT]
    if any(line.fields.get("worker") == worker for line in silent):
        why += ", and its worker left a hold unanswered"
    return why


def _follow_back(own: list[LogLine]) -> list[LogLine]:
    """Return the lines that led to the last one, oldest first."""
    way: list[LogLine] = []
    current = _find_last(own, _OVER) or (own[-1] if own else None)
    while current is not None and current not in way:
        way.append(current)
        current = _find_cause_of(current, own)
    return way[::-1]


def _find_cause_of(line: LogLine, own: list[LogLine]) -> LogLine | None:
    """Return the latest line that had to come before another, or None."""
    latest = line.time + CLOCK_SKEW
    earlier = [item for item in own if item.time <= latest and item is not line]
    if line.message in (_RUN_ENDED, _START_FAILED):
        wanted = [
            item
            for item in earlier
            if item.run == line.run
            and item.fields.get("run") == line.fields.get("run")
            and item.message in (_STARTED, _START_FAILED)
        ]
    elif line.message == _STARTED:
        wanted = [item for item in earlier if _may_release(item, line)]
    elif line.message == _OVER:
        # Lines of ends may have been left out when many came at once.
        wanted = [item for item in earlier if item.message in (_RUN_ENDED, _STARTED)]
    elif line.message == _ADVISED:
        wanted = [item for item in earlier if item.message in (_TAKEN, _RUN_ENDED)]
    else:
        wanted = []
    if wanted or _is_turned_away(line):
        return wanted[-1] if wanted else None
    return next((item for item in earlier if _is_turned_away(item)), None)


def _is_turned_away(item: LogLine) -> bool:
    is_submission = item.fields.get("action") == "submit"
    return (
        item.message == _ANSWERED
        and is_submission
        and item.fields.get("code") != "accepted"
    )


def _may_release(item: LogLine, start: LogLine) -> bool:
    """Return whether a line tells of something that a start had to wait for."""
    if item.message == _RUN_ENDED:
        if item.run == start.run:
            return item.fields.get("run") < start.fields.get("run")
        # A task of an earlier step.
        return item.run[1] != start.run[1]
    if item.message == _ADVISED:
        return item.fields.get("step") == list(start.run[:2])
    return item.message == _TAKEN


def _name_wait(before: LogLine, line: LogLine) -> str:
    if _is_turned_away(before):
        return "from a first attempt without success until a leader took it over"
    if line.message == _RUN_ENDED:
        outcome = str(line.fields.get("outcome"))
        return _RUN_WAITS.get(outcome, f"until a run ended as {outcome}")
    return _WAITS.get(line.message, f"until {line.message}")


# Causes.


def _find_cause(
    verdict: Verdict,
    own: list[LogLine],
    parts: tuple[Part, ...],
    others: list[LogLine],
) -> str:
    if verdict is Verdict.UNKNOWN:
        return "no instance has logged it: it arrived nowhere, or the lines are lost"
    if verdict is Verdict.REFUSED:
        return _explain_refusal(own, others)
    if verdict is Verdict.FAILED:
        return _explain_failure(own, others)
    if verdict is Verdict.CANCELLED:
        return "it was cancelled by its caller"
    if not parts:
        return "it has not got beyond its acceptance"
    longest = max(parts, key=lambda part: part.seconds)
    return f"{longest.seconds:.2f} s were spent {_join(longest)}"


def _join(part: Part) -> str:
    worker = part.line.fields.get("worker")
    return f"{part.why} (worker {worker})" if worker else part.why


def _explain_refusal(own: list[LogLine], others: list[LogLine]) -> str:
    last = own[-1]
    code, reason = last.fields.get("code"), last.fields.get("reason")
    near = [
        line
        for line in others
        if line.message == _LEADS
        and abs((line.time - last.time).total_seconds()) < LEADER_CHANGE_S
    ]
    cause = f"instance {last.instance} answered {code}: {reason}"
    if near:
        cause += f"; {near[0].instance} became the leader at {near[0].time:%H:%M:%S.%f}"
    return cause


def _explain_failure(own: list[LogLine], others: list[LogLine]) -> str:
    over = _find_last(own, _OVER)
    workers = {
        line.fields.get("worker")
        for line in own
        if line.message == _RUN_ENDED and line.fields.get("outcome") == "failed"
    }
    aside = {line.fields.get("worker") for line in others if line.message == _SET_ASIDE}
    cause = f"{over.fields.get('reason')}, on {len(workers)} workers"
    if workers & aside:
        return f"{cause}, of which {len(workers & aside)} were set aside for failures"
    if len(workers) >= BLAMED_WORKERS:
        return f"{cause} that others used without failures: the job is at fault"
    return cause
