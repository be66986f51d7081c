"""Fair queue of one service's waiting requests at one instance.

Start-time fair queueing serves the workspaces in proportion to their weights, so that
a workspace that floods the queue delays only itself. The requests of one workspace,
which form a flow, are served in the order of their arrival.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = ["FairQueue", "RouteRequest"]


@dataclass(slots=True, eq=False)
class RouteRequest:
    """A caller's request as the router sees it.

    Attributes:
        id: Identifier of the request at this instance.
        service: Name of the service.
        workspace: Workspace of the caller.
        arrived_at: Monotonic time of arrival, in seconds.
        deadline: Monotonic time by which the caller wants the response, in seconds.
        excluded: Upstreams that have already failed this request; empty while it waits
            in a queue.
    """

    id: int
    service: str
    workspace: str
    arrived_at: float
    deadline: float
    excluded: frozenset[str] = frozenset()


@dataclass(slots=True)
class Flow:
    """Waiting requests of one workspace.

    Attributes:
        start: Virtual start time of the first request.
    """

    weight: float
    requests: deque[RouteRequest] = field(default_factory=deque)
    start: float = 0.0


class FairQueue:
    """Waiting requests of one service."""

    def __init__(self) -> None:
        self._flows: dict[str, Flow] = {}
        self._virtual_time = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[RouteRequest]:
        for flow in self._flows.values():
            yield from flow.requests

    def count(self, workspace: str) -> int:
        """Return the number of waiting requests of a workspace."""
        flow = self._flows.get(workspace)
        return len(flow.requests) if flow is not None else 0

    def count_ahead(self, workspace: str, weight: float) -> float:
        """Return how many requests would be served before a workspace's next one."""
        own = self.count(workspace)
        ahead = float(own)
        for name, flow in self._flows.items():
            if name != workspace:
                ahead += min(len(flow.requests), (own + 1) * flow.weight / weight)
        return ahead

    def push(self, request: RouteRequest, weight: float) -> None:
        """Append a request to its workspace's flow."""
        flow = self._flows.get(request.workspace)
        if flow is None:
            flow = self._flows[request.workspace] = Flow(weight)
            flow.start = self._virtual_time
        if not flow.requests:
            flow.start = max(flow.start, self._virtual_time)
        flow.weight = weight
        flow.requests.append(request)
        self._size += 1

    def peek(self) -> RouteRequest | None:
        """Return the next request without removing it, or None."""
        if not self._size:
            return None
        return self._flows[self._find_next_flow()].requests[0]

    def pop(self) -> RouteRequest | None:
        """Remove and return the next request, or None."""
        if not self._size:
            return None
        flow = self._flows[self._find_next_flow()]
        request = flow.requests.popleft()
        self._virtual_time = max(self._virtual_time, flow.start)
        flow.start += 1 / flow.weight
        self._size -= 1
        self._drop_idle_flows()
        return request

    def _find_next_flow(self) -> str:
        waiting = [name for name, flow in self._flows.items() if flow.requests]
        return min(waiting, key=lambda name: self._flows[name].start)

    def remove(self, request: RouteRequest) -> bool:
        """Remove a request; return whether it was in the queue."""
        flow = self._flows.get(request.workspace)
        if flow is None:
            return False
        try:
            flow.requests.remove(request)
        except ValueError:
            return False
        self._size -= 1
        self._drop_idle_flows()
        return True

    def _drop_idle_flows(self) -> None:
        """Drop the empty flows that are not ahead of the virtual time.

        An empty flow that is ahead of it is kept, so that a workspace gains nothing
        by letting its queue become empty.
        """
        if not self._size:
            self._flows.clear()
            return
        idle = [
            name
            for name, flow in self._flows.items()
            if not flow.requests and flow.start <= self._virtual_time
        ]
        for name in idle:
            del self._flows[name]
