"""Log lines of instances, read from text."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime

__all__ = ["LogLine", "read_lines"]

_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of an instance's log."""

    time: datetime
    instance: str
    message: str
    fields: dict

    @property
    def task(self) -> tuple | None:
        """Repetition, step and index of the task that the line is about, if any."""
        task = self.fields.get("task")
        return tuple(task) if isinstance(task, list) else None


def read_lines(sources: Iterable[Iterable[str]]) -> Iterator[LogLine]:
    """Yield the log lines in text sources, skipping all other content."""
    for source in sources:
        for text in source:
            yield from _parse(text)


def _parse(text: str) -> Iterator[LogLine]:
    """Yield the log lines in a line of text, which may have a prefix."""
    decoder = json.JSONDecoder()
    position = text.find('{"time"')
    while position >= 0:
        try:
            value, end = decoder.raw_decode(text, position)
            time = datetime.strptime(value["time"], _TIME_FORMAT)
            yield LogLine(time, value.get("instance", ""), value["message"], value)
        except (ValueError, KeyError, TypeError):
            # A line may be truncated, for example if its process was killed.
            end = position + 1
        position = text.find('{"time"', end)
