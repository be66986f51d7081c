"""Decision whether a caller may use a queue or a workflow.

Rules:
    * A configuration without workspaces admits all callers.
    * A queue admits the callers that have a credential of some workspace; a public
      queue admits all callers.
    * A workflow of a workspace admits the callers that have a credential of this
      workspace, also on a public queue. A workflow without a workspace admits the
      callers that its queue admits or, once that is removed, those with the credential
      that it was submitted with.
    * The leader decides before it proposes a command, and the store decides again when
      it applies the command, since a configuration may be committed in between.
"""

import hmac

import msgspec

from bluebellyoke.workflow.specs import Configuration, QueueSpec, WorkflowSpec
from bluebellyoke.workflow.workflow import Workflow

__all__ = [
    "ANYONE",
    "LOGGED_DIGITS",
    "AccessDecision",
    "authorize",
    "authorize_request",
    "find_workspace",
    "list_owners",
]

#: Number of digits of a digest that logs may show.
LOGGED_DIGITS = 8


#: Owner of what concerns all callers.
ANYONE = "anyone"


class AccessDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Decision on a request.

    Attributes:
        workspace: Workspace of the caller's credential, or an empty text.
        code: Empty if the request is admitted, else the code of the refusal.
        reason: Explanation of a refusal.
    """

    workspace: str = ""
    code: str = ""
    reason: str = ""

    @property
    def admitted(self) -> bool:
        """Whether the request is admitted."""
        return not self.code


def authorize_request(
    configuration: Configuration,
    queue: QueueSpec | None,
    credential: str | None,
    workflow: Workflow | None,
    *,
    submits: bool,
) -> AccessDecision:
    """Decide on a request, or on its command when it is applied.

    In addition to `authorize`, it covers queues that are not configured, and
    submissions that are repeated after their key has been removed or given to another
    workspace.

    Args:
        configuration: Newest committed configuration.
        queue: Queue that the request is for, or None if the configuration has none.
        credential: Digest of the caller's key, an empty text without a key, or None for
            a command from before workspaces, which is always admitted.
        workflow: Workflow of the queue that the request concerns, or None.
        submits: Whether the request submits a workflow.
    """
    if credential is None or not configuration.workspaces:
        return AccessDecision()
    if workflow is None:
        if queue is None:
            reason = "no such queue is in force"
            return AccessDecision(code="unknown-queue", reason=reason)
        return authorize(configuration, queue, credential)
    decision = authorize(configuration, queue, credential, workflow.spec)
    if decision.admitted or not hmac.compare_digest(workflow.credential, credential):
        return decision
    if queue is None and not workflow.spec.workspace:
        return AccessDecision()
    if submits:
        # The caller must not be told that its job was refused, because the job runs.
        reason = "the job was accepted with a key that has been removed or moved since"
        return AccessDecision(code="unanswered", reason=reason)
    return decision


def authorize(
    configuration: Configuration,
    queue: QueueSpec | None,
    credential: str,
    workflow: WorkflowSpec | None = None,
) -> AccessDecision:
    """Decide on a request to a queue.

    Args:
        configuration: Newest committed configuration.
        queue: Queue that the request's path selects, or None if it was removed.
        credential: Digest of the caller's key, or an empty text.
        workflow: Existing workflow of the queue that the request concerns, if any.
    """
    if not configuration.workspaces:
        return AccessDecision()
    workspace = find_workspace(configuration, credential)
    owner = workflow.workspace if workflow is not None else ""
    is_public = queue is not None and queue.public
    if not workspace and (owner or not is_public):
        return _refuse_unknown(credential)
    if owner and owner != workspace:
        return AccessDecision(
            workspace=workspace,
            code="forbidden",
            reason="the job is of another workspace; send a key of that workspace",
        )
    return AccessDecision(workspace=workspace)


def find_workspace(configuration: Configuration, credential: str) -> str:
    """Return the name of the workspace that has a credential, or an empty text."""
    prefix = credential[:LOGGED_DIGITS]
    for workspace in configuration.workspaces:
        for digest in workspace.credentials:
            # The prefix of a digest is no secret; the rest is compared in constant
            # time.
            if digest.startswith(prefix) and hmac.compare_digest(digest, credential):
                return workspace.name
    return ""


def list_owners(workspace: str, credential: str | None) -> tuple[str, ...]:
    """Return whom the callers with a credential count as.

    Two callers count as the same if they have an owner in common.

    Args:
        workspace: Workspace of the credential, or an empty text.
        credential: Digest of the caller's key, an empty text, or None.
    """
    owner = f"workspace {workspace}"
    return (owner, f"key {credential}") if credential else (owner,)


def _refuse_unknown(credential: str) -> AccessDecision:
    reason = "the key is unknown; send one that the configuration holds"
    if not credential:
        reason = "the request has no key; send one of a workspace"
    return AccessDecision(code="unauthenticated", reason=reason)
