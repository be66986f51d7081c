"""Validation of the workers that describe themselves, before they are registered.

What a worker sends enters the replicated log, the requests to it and the sums over all
workers, so each value has a limit that none of these exceeds.
"""

from bluebellyoke.addresses import AddressError, split_address
from bluebellyoke.workflow.specs import WorkerSpec

__all__ = ["validate_worker", "validate_worker_id"]

#: Maximum length of an ID or another name, and of the list of labels.
MAX_NAME_CHARACTERS = 255
MAX_LABELS = 64

#: Maximum amount of a resource, the same as on the project's own interface.
MAX_AMOUNT = 10**9

#: Latest start of a process, in Unix milliseconds: the end of the year 2099. An entry
#: with a later one would hide the worker of this ID that really runs.
MAX_INCARNATION_MS = 4_102_444_799_999

#: Largest integer that every JSON library represents exactly.
MAX_SEQUENCE = 2**53 - 1


def validate_worker_id(worker_id: str) -> list[str]:
    """Return the errors of an ID, which becomes a part of the head of requests."""
    is_printable = worker_id.isascii() and worker_id.isprintable()
    if (
        is_printable
        and " " not in worker_id
        and 0 < len(worker_id) <= MAX_NAME_CHARACTERS
    ):
        return []
    return [
        f"the ID is not valid; use 1 to {MAX_NAME_CHARACTERS} ASCII characters without "
        "spaces and control characters"
    ]


def validate_worker(spec: WorkerSpec) -> list[str]:
    """Return the errors of a description that are independent of the cell's state."""
    errors = validate_worker_id(spec.id)
    if not 0 <= spec.incarnation <= MAX_INCARNATION_MS:
        errors.append(
            "the start of the process is out of range; send Unix milliseconds"
        )
    if not 0 <= spec.sequence <= MAX_SEQUENCE:
        errors.append("the number of the report is out of range; count up from 1")
    try:
        split_address(spec.address)
    except AddressError as error:
        errors.append(str(error))
    return errors + _validate_names(spec) + _validate_capacity(spec)


def _validate_names(spec: WorkerSpec) -> list[str]:
    errors = []
    if not spec.pool:
        errors.append("the pool has no name; send that of a configured pool")
    names = (spec.pool, spec.data_centre, *spec.labels)
    if max(map(len, names)) > MAX_NAME_CHARACTERS:
        errors.append(
            f"a name or label has more than {MAX_NAME_CHARACTERS} characters; shorten "
            "it"
        )
    if len(spec.labels) > MAX_LABELS:
        errors.append(f"there are more than {MAX_LABELS} labels; send fewer")
    return errors


def _validate_capacity(spec: WorkerSpec) -> list[str]:
    capacity = spec.capacity
    amounts = (capacity.cpu_millis, capacity.memory_mb, capacity.accelerators)
    if all(0 <= amount <= MAX_AMOUNT for amount in amounts):
        return []
    return [f"a capacity is out of range; send numbers from 0 to {MAX_AMOUNT}"]
