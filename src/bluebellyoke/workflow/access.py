"""Decision whether a caller may use a queue or a workflow.

Rules:
    * A configuration without workspaces admits all callers.
    * A queue admits the callers that have a credential of some workspace; a public
      queue admits all callers.
    * A workflow of a workspace admits the callers that have a credential of this
      workspace, also on a public queue. A workflow without a workspace admits the
      callers that its queue admits.
    * The leader decides before it proposes a command, and the store decides again when
      it applies the command, since a configuration may be committed in between.
"""

import hmac

import msgspec

from bluebellyoke.workflow.specs import Configuration, QueueSpec, WorkflowSpec
from bluebellyoke.workflow.workflow import Workflow

__all__ = [
    "LOGGED_DIGITS",
    "AccessDecision",
    "authorize",
    "authorize_request",
    "find_workspace",
]

#: Number of digits of a digest that logs may show.
LOGGED_DIGITS = 8


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

    In addition to `authorize`, it covers queues that do not exist, IDs that another
    queue holds, and repeated submissions whose key has been removed.

    Args:
        configuration: Newest committed configuration.
        queue: Queue that the request is for, or None if the configuration has none.
        credential: Digest of the caller's key, an empty text without a key, or None for
            a command from before workspaces, which is always admitted.
        workflow: Workflow that has the request's ID, in any queue, or None.
        submits: Whether the request submits a workflow.
    """
    if credential is None or not configuration.workspaces:
        return AccessDecision()
    if queue is None:
        return AccessDecision(code="unknown-queue", reason="no such queue is in force")
    if workflow is None or workflow.spec.address != queue.address:
        return authorize(configuration, queue, credential)
    decision = authorize(configuration, queue, credential, workflow.spec)
    if (
        submits
        and decision.code == "unauthenticated"
        and hmac.compare_digest(workflow.credential, credential)
    ):
        # The caller must not be told that its job was refused, because the job runs.
        reason = "the job was accepted with a key that has been removed since"
        return AccessDecision(code="unanswered", reason=reason)
    return decision


def authorize(
    configuration: Configuration,
    queue: QueueSpec,
    credential: str,
    workflow: WorkflowSpec | None = None,
) -> AccessDecision:
    """Decide on a request to a queue.

    Args:
        configuration: Newest committed configuration.
        queue: Queue of the configuration that the request's path selects.
        credential: Digest of the caller's key, or an empty text.
        workflow: Existing workflow of the queue that the request concerns, if any.
    """
    if not configuration.workspaces:
        return AccessDecision()
    workspace = find_workspace(configuration, credential)
    owner = workflow.workspace if workflow is not None else ""
    if not workspace and (owner or not queue.public):
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


def _refuse_unknown(credential: str) -> AccessDecision:
    reason = "the key is unknown; send one that the configuration holds"
    if not credential:
        reason = "the request has no key; send one of a workspace"
    return AccessDecision(code="unauthenticated", reason=reason)
