from collections import Counter

import hypothesis.strategies as st
from hypothesis import given

from bluebellyoke.routing.queue import FairQueue, RouteRequest


def create_request(number, workspace):
    return RouteRequest(number, "s", workspace, 0.0, 10.0)


def test_flooding_workspace_delays_only_itself():
    queue = FairQueue()
    for number in range(100):
        queue.push(create_request(number, "flood"), 1.0)
    queue.push(create_request(200, "calm"), 1.0)
    served = [queue.pop().workspace for _ in range(3)]
    assert "calm" in served


def test_workspaces_are_served_in_proportion_to_their_weights():
    queue = FairQueue()
    for number in range(300):
        queue.push(create_request(number, "a"), 3.0)
        queue.push(create_request(number, "b"), 1.0)
    served = Counter(queue.pop().workspace for _ in range(80))
    assert 58 <= served["a"] <= 62


def test_workspace_gains_nothing_by_emptying_its_queue():
    queue = FairQueue()
    queue.push(create_request(1, "a"), 1.0)
    for number in range(50):
        queue.push(create_request(number, "b"), 1.0)
    for _ in range(40):
        queue.pop()
    for number in range(50):
        queue.push(create_request(number, "a"), 1.0)
    served = Counter(queue.pop().workspace for _ in range(10))
    assert served["b"] >= 4


@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=60))
def test_queue_returns_every_request_once_and_in_order(steps):
    queue = FairQueue()
    pushed, popped = [], []
    for number, (workspace, pop) in enumerate(steps):
        if pop:
            head = queue.peek()
            request = queue.pop()
            assert request is head
            popped += [request] if request else []
        else:
            request = create_request(number, workspace)
            queue.push(request, 1.0)
            pushed.append(request)
    assert len(queue) == len(pushed) - len(popped)
    while len(queue):
        popped.append(queue.pop())
    assert sorted(x.id for x in popped) == sorted(x.id for x in pushed)
    for workspace in "abc":
        own = [x.id for x in popped if x.workspace == workspace]
        assert own == sorted(own)
