"""Validation of configurations and selection of queues by host and path."""

import hashlib
import math

from bluebellyoke.workflow.specs import (
    WORKFLOW_ID_LENGTH,
    Configuration,
    QueueAddress,
    QueueSpec,
    WorkspaceSpec,
)

__all__ = ["find_queue", "split_path", "validate_configuration"]

#: Digest of an empty key. A request without a key could not be told from one with it.
_EMPTY_KEY_DIGEST = hashlib.sha256(b"").hexdigest()


def validate_configuration(configuration: Configuration) -> list[str]:
    """Return the errors of a configuration that are independent of the cell's state."""
    errors = []
    pools = {pool.name for pool in configuration.pools}
    if len(pools) != len(configuration.pools):
        errors.append("two pools have the same name; rename one")
    if configuration.version < 1:
        errors.append("the version is below 1; count up from the one in force")
    prefixes: set[tuple[str, str]] = set()
    names: set[str] = set()
    for queue in configuration.queues:
        errors += _validate_queue(queue, pools)
        if (queue.host, queue.prefix) in prefixes:
            errors.append(
                f"queue {queue.name!r} has the host and prefix of another; change one"
            )
        if queue.name in names:
            errors.append(f"two queues are named {queue.name!r}; rename one")
        prefixes.add((queue.host, queue.prefix))
        names.add(queue.name)
    return errors + _validate_workspaces(configuration.workspaces)


def _validate_workspaces(workspaces: tuple[WorkspaceSpec, ...]) -> list[str]:
    errors = []
    names: set[str] = set()
    owners: dict[str, str] = {}
    for workspace in workspaces:
        errors += _validate_workspace(workspace)
        if workspace.name in names:
            errors.append(f"two workspaces are named {workspace.name!r}; rename one")
        names.add(workspace.name)
        digests = set(workspace.credentials)
        # Errors do not name the digest, since it would help to guess a weak key.
        others = {owners[x] for x in digests if x in owners} - {workspace.name}
        errors += [
            f"workspaces {other!r} and {workspace.name!r} share a key; give one of "
            f"them another key"
            for other in sorted(others)
        ]
        owners.update(dict.fromkeys(digests, workspace.name))
    return errors


def _validate_workspace(workspace: WorkspaceSpec) -> list[str]:
    name, quota = workspace.name, workspace.quota
    errors = []
    if not name:
        errors.append("a workspace has no name; give it one")
    if _EMPTY_KEY_DIGEST in workspace.credentials:
        errors.append(f"workspace {name!r} has an empty key; remove or replace it")
    if not 0 <= workspace.share < math.inf:
        errors.append(f"the share of workspace {name!r} must be a number of at least 0")
    if min(quota.cpu_millis, quota.memory_mb, quota.accelerators) < 0:
        errors.append(
            f"the quota of workspace {name!r} must not be negative; 0 means no limit"
        )
    return errors


def _validate_queue(queue: QueueSpec, pools: set[str]) -> list[str]:
    errors = []
    if queue.pool not in pools:
        errors.append(
            f"queue {queue.name!r} names the unknown pool {queue.pool!r}; declare it"
        )
    if queue.timeout_ms <= 0:
        errors.append(f"queue {queue.name!r} has no timeout; give one above 0 ms")
    if not queue.prefix.startswith("/"):
        errors.append(f"the prefix of queue {queue.name!r} must begin with /")
    if queue.attempts < 1:
        errors.append(f"queue {queue.name!r} allows no attempt; allow at least 1")
    return errors


def find_queue(configuration: Configuration, host: str, path: str) -> QueueSpec | None:
    """Return the queue of a host with the longest matching path prefix, or None."""
    found = [
        queue
        for queue in configuration.queues
        if queue.host == host and path.startswith(queue.prefix)
    ]
    return max(found, key=lambda queue: len(queue.prefix), default=None)


def split_path(host: str, path: str) -> tuple[QueueAddress, str]:
    """Return the address of the queue and the ID of the workflow that a path names.

    They are the same for any configuration, since IDs are of equal length.
    """
    prefix, workflow_id = path[:-WORKFLOW_ID_LENGTH], path[-WORKFLOW_ID_LENGTH:]
    return QueueAddress(host, prefix), workflow_id
