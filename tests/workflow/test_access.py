"""Decision whether a caller may use a queue or a workflow."""

import hashlib

import pytest

from bluebellyoke.workflow.access import authorize
from bluebellyoke.workflow.specs import WorkspaceSpec
from tests.workflow.factories import create_configuration, create_queue, create_spec


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


def create_workspace(name, *keys, **fields):
    return WorkspaceSpec(name=name, credentials=tuple(map(digest, keys)), **fields)


PRIVATE = create_queue("q")
PUBLIC = create_queue("open", public=True)
CONFIGURATION = create_configuration(
    queues=[PRIVATE, PUBLIC],
    workspaces=(create_workspace("a", "a1", "a2"), create_workspace("b", "b1")),
)
KEYS = {"none": "", "unknown": digest("x"), "a": digest("a2"), "b": digest("b1")}


# Guards against a request that runs without a credential of the newest configuration,
# or in the workspace of another caller.
@pytest.mark.parametrize(
    ("queue", "key", "owner", "code", "workspace"),
    [
        (PRIVATE, "none", None, "unauthenticated", ""),
        (PRIVATE, "unknown", None, "unauthenticated", ""),
        (PRIVATE, "a", None, "", "a"),
        (PRIVATE, "b", None, "", "b"),
        (PRIVATE, "none", "a", "unauthenticated", ""),
        (PRIVATE, "unknown", "a", "unauthenticated", ""),
        (PRIVATE, "a", "a", "", "a"),
        (PRIVATE, "b", "a", "forbidden", "b"),
        (PRIVATE, "a", "removed", "forbidden", "a"),
        (PRIVATE, "none", "removed", "unauthenticated", ""),
        (PRIVATE, "a", "", "", "a"),
        (PRIVATE, "none", "", "unauthenticated", ""),
        (PUBLIC, "none", None, "", ""),
        (PUBLIC, "unknown", None, "", ""),
        (PUBLIC, "a", None, "", "a"),
        (PUBLIC, "none", "", "", ""),
        (PUBLIC, "b", "", "", "b"),
        (PUBLIC, "a", "a", "", "a"),
        (PUBLIC, "none", "a", "unauthenticated", ""),
        (PUBLIC, "b", "a", "forbidden", "b"),
    ],
)
def test_credential_and_owner_decide(queue, key, owner, code, workspace):
    spec = create_spec(queue=queue.name, workspace=owner) if owner is not None else None
    decision = authorize(CONFIGURATION, queue, KEYS[key], spec)
    assert (decision.code, decision.workspace) == (code, workspace)
    assert decision.admitted is (code == "")


@pytest.mark.parametrize("key", ["none", "unknown"])
@pytest.mark.parametrize("owner", [None, "", "a"])
def test_configuration_without_workspaces_admits_all_callers(key, owner):
    spec = create_spec(workspace=owner) if owner is not None else None
    decision = authorize(create_configuration(), PRIVATE, KEYS[key], spec)
    assert decision.admitted
    assert decision.workspace == ""


def test_workspace_without_credentials_admits_no_caller():
    """Guards against an empty credential that matches a workspace without keys."""
    configuration = create_configuration(workspaces=(create_workspace("a"),))
    for key in KEYS.values():
        decision = authorize(configuration, PRIVATE, key)
        assert decision.code == "unauthenticated"


@pytest.mark.parametrize("length", [8, 63])
def test_part_of_a_digest_is_no_credential(length):
    """Guards against a comparison that ends with the logged digits of a digest."""
    decision = authorize(CONFIGURATION, PRIVATE, KEYS["a"][:length])
    assert decision.code == "unauthenticated"


def test_reason_shows_no_digest():
    decision = authorize(CONFIGURATION, PRIVATE, KEYS["unknown"])
    assert KEYS["unknown"][:8] not in decision.reason
