"""Fair queue of one service's waiting requests at one instance.

Workspaces are served in proportion to their weights by start-time fair queueing: a
workspace that floods the queue delays only itself. Within a workspace requests are
served in the order of arrival.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = ["FairQueue", "RouteRequest"]


@dataclass(slots=True, eq=False)
class RouteRequest:
    """A caller's request as the router sees it.

    Attributes:
        id: Number of the request at this instance.
        service: Name of the service.
        workspace: Workspace that calls.
        arrived: Monotonic time of arrival, in seconds.
        deadline: Monotonic time by which the caller wants the answer, in seconds.
        avoid: Upstreams that already failed this request; empty while it waits.
    """

    id: int
    service: str
    workspace: str
    arrived: float
    deadline: float
    avoid: frozenset[str] = frozenset()


@dataclass(slots=True)
class Lane:
    """Waiting requests of one workspace.

    Attributes:
        start: Virtual start time of the lane's first request.
    """

    weight: float
    requests: deque[RouteRequest] = field(default_factory=deque)
    start: float = 0.0


class FairQueue:
    """Waiting requests of one service."""

    def __init__(self) -> None:
        self._lanes: dict[str, Lane] = {}
        self._virtual_time = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[RouteRequest]:
        for lane in self._lanes.values():
            yield from lane.requests

    def count(self, workspace: str) -> int:
        """Return how many requests of a workspace wait."""
        lane = self._lanes.get(workspace)
        return len(lane.requests) if lane is not None else 0

    def count_ahead(self, workspace: str, weight: float) -> float:
        """Return how many requests are served before a new one of a workspace."""
        own = self.count(workspace)
        ahead = float(own)
        for name, lane in self._lanes.items():
            if name != workspace:
                ahead += min(len(lane.requests), (own + 1) * lane.weight / weight)
        return ahead

    def push(self, request: RouteRequest, weight: float) -> None:
        """Add a request at the end of its workspace's lane."""
        lane = self._lanes.get(request.workspace)
        if lane is None:
            lane = self._lanes[request.workspace] = Lane(weight)
            lane.start = self._virtual_time
        if not lane.requests:
            lane.start = max(lane.start, self._virtual_time)
        lane.weight = weight
        lane.requests.append(request)
        self._size += 1

    def peek(self) -> RouteRequest | None:
        """Return the next request without removing it, or None."""
        if not self._size:
            return None
        return self._lanes[self._find_next_lane()].requests[0]

    def pop(self) -> RouteRequest | None:
        """Remove and return the next request, or None."""
        if not self._size:
            return None
        lane = self._lanes[self._find_next_lane()]
        request = lane.requests.popleft()
        self._virtual_time = max(self._virtual_time, lane.start)
        lane.start += 1 / lane.weight
        self._size -= 1
        self._drop_idle_lanes()
        return request

    def _find_next_lane(self) -> str:
        waiting = [name for name, lane in self._lanes.items() if lane.requests]
        return min(waiting, key=lambda name: self._lanes[name].start)

    def remove(self, request: RouteRequest) -> bool:
        """Remove a request that gave up; return whether it waited here."""
        lane = self._lanes.get(request.workspace)
        if lane is None:
            return False
        try:
            lane.requests.remove(request)
        except ValueError:
            return False
        self._size -= 1
        self._drop_idle_lanes()
        return True

    def _drop_idle_lanes(self) -> None:
        """Forget the empty lanes that have nothing to make up for.

        An empty lane that is ahead of the virtual time stays, so that a workspace
        gains nothing by letting its queue run empty.
        """
        if not self._size:
            self._lanes.clear()
            return
        idle = [
            name
            for name, lane in self._lanes.items()
            if not lane.requests and lane.start <= self._virtual_time
        ]
        for name in idle:
            del self._lanes[name]
