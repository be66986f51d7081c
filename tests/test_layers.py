"""What may know of what."""

import re
from pathlib import Path

SOURCE = Path(__file__).resolve().parent.parent / "src" / "bluebellyoke"

#: Names of the platform that must not leave its adapter.
PLATFORM_WORDS = re.compile(
    r"TaskSpec|SeenUpto|FencingToken|HeartbeatAddr|RunId|MemMb|DeadlineMs"
    r"|run-start|run-stop|fleetbench|platform\.(bodies|clients|listeners|settings)"
)


def test_nothing_outside_the_adapter_knows_the_platform():
    found = [
        f"{path.relative_to(SOURCE)}:{number}: {line.strip()}"
        for path in SOURCE.rglob("*.py")
        if "platform" not in path.relative_to(SOURCE).parts
        for number, line in enumerate(path.read_text().splitlines(), start=1)
        if PLATFORM_WORDS.search(line)
    ]
    assert found == []


def test_aggregates_know_no_shell():
    """State that is replicated reads no clock, socket or random source."""
    forbidden = re.compile(r"^\s*(import|from) (anyio|asyncio|socket|time|random)\b")
    found = [
        f"{path.name}:{line}"
        for path in (SOURCE / "workflow").glob("*.py")
        for line in path.read_text().splitlines()
        if forbidden.match(line)
    ]
    assert found == []
