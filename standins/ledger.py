"""Append-only event log of a stand-in, one JSON object per line."""

import json
import time
from pathlib import Path


class Ledger:
    """Writes events with their wall-clock times."""

    def __init__(self, path: Path) -> None:
        self._file = open(path, "a", buffering=1)  # noqa: SIM115

    def write(self, event: str, **fields) -> None:
        """Write one event."""
        line = {"at": time.time(), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")


def read_ledger(path: Path) -> list[dict]:
    """Return all completely written events of a ledger, oldest first."""
    if not path.exists():
        return []
    lines = path.read_text().splitlines()
    return [json.loads(line) for line in lines if line.endswith("}")]
