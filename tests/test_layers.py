"""Rules for the dependencies between modules."""

import re
from pathlib import Path

SOURCE = Path(__file__).resolve().parent.parent / "src" / "bluebellyoke"

#: Names of the platform that only its adapter may use.
PLATFORM_WORDS = re.compile(
    r"TaskSpec|SeenUpto|FencingToken|HeartbeatAddr|RunId|MemMb|DeadlineMs"
    r"|run-start|run-stop|fleetbench|platform\.(bodies|clients|listeners|settings)"
)


def test_only_the_adapter_uses_names_of_the_platform():
    found = [
        f"{path.relative_to(SOURCE)}:{number}: {line.strip()}"
        for path in SOURCE.rglob("*.py")
        if "platform" not in path.relative_to(SOURCE).parts
        for number, line in enumerate(path.read_text().splitlines(), start=1)
        if PLATFORM_WORDS.search(line)
    ]
    assert found == []


def test_workflow_modules_are_deterministic():
    """Replicated state must be deterministic: no clock, sockets or random numbers."""
    forbidden = re.compile(r"^\s*(import|from) (anyio|asyncio|socket|time|random)\b")
    found = [
        f"{path.name}:{line}"
        for path in (SOURCE / "workflow").glob("*.py")
        for line in path.read_text().splitlines()
        if forbidden.match(line)
    ]
    assert found == []
