"""Instances that call a simulated advisor late, in vain or not at all."""

import heapq
import itertools
from collections import deque
from dataclasses import dataclass, field
from zlib import crc32

from bluebellyoke.instance import wire
from bluebellyoke.workflow.commands import TaskName

#: Workers that the advisor allows for each step.
ALWAYS_ALLOWED = ("w1", "w2", "w3", "w4")


@dataclass
class Instance:
    """An instance, which makes one call after the other also for former leaders.

    Attributes:
        session: Session with the present leader, or None.
        queue: Calls that it has not made yet.
        is_busy: Whether a call is in flight.
    """

    session: int | None = None
    queue: deque = field(default_factory=deque)
    is_busy: bool = False


class AdvisorNetwork:
    """Instances with sessions, the advisor, and replies in flight.

    Args:
        random: Source of the durations and the faults.
        find_advisor: Returns the advisor's description for a step, or None.
        instances: Number of instances.
    """

    def __init__(self, random, find_advisor, instances=4):
        self.random = random
        self.find_advisor = find_advisor
        self.instances = [Instance() for _ in range(instances)]
        self.is_calm = False
        self.replies = []
        self.sessions = itertools.count(1)
        self.order = itertools.count()

    def connect(self, advice):
        """Open the sessions that are missing, during faults only some of them."""
        for instance in self.instances:
            is_open = self.is_calm or self.random.random() < 0.2
            if instance.session is None and is_open:
                instance.session = next(self.sessions)
                advice.open_session(instance.session, instance.queue.append)

    def disconnect(self, advice, instance):
        """Close the session of an instance."""
        if instance.session is not None:
            advice.close_session(instance.session)
            instance.session = None

    def forget_leader(self):
        """Drop the sessions with a leader that has been replaced."""
        for instance in self.instances:
            instance.session = None

    def advance(self, advice, now):
        """Make the next calls and deliver the replies that are due."""
        self.connect(advice)
        while self.replies and self.replies[0][0] <= now:
            _, _, instance, call, tickets, is_lost = heapq.heappop(self.replies)
            instance.is_busy = False
            if instance.session is not None and not is_lost:
                reply = wire.AdviceReply(call.id, tickets)
                advice.receive(instance.session, reply, now)
        for instance in self.instances:
            if instance.queue and not instance.is_busy:
                self.call_advisor(instance, instance.queue.popleft(), now)

    def call_advisor(self, instance, call, now):
        instance.is_busy = True
        spec = self.find_advisor(call.step)
        chance = 1.0 if self.is_calm else self.random.random()
        duration_ms = 0.0
        if spec is not None:
            duration_ms = spec.decision_ms + spec.per_worker_ms * len(call.workers)
        duration_s = duration_ms / 1000 * (10 if chance < 0.05 else 1)
        tickets = None
        if spec is not None and chance > 0.15:
            expires_at = now + duration_s + spec.validity_ms / 1000
            tickets = {
                name: format_ticket(call.step, name, expires_at)
                for name in call.workers
                if is_allowed(call.step, name)
            }
        item = (instance, call, tickets, 0.05 <= chance < 0.1)
        heapq.heappush(self.replies, (now + duration_s, next(self.order), *item))


def is_allowed(step, worker):
    """Return whether the advisor allows a worker to run a step."""
    return worker in ALWAYS_ALLOWED or crc32(f"{step}{worker}".encode()) % 3 == 0


def format_ticket(step, worker, expires_at):
    """Return the ticket of a worker for a step."""
    return f"{'.'.join(map(str, step))} {worker} {expires_at:.3f}"


def is_ticket_valid(ticket, task: TaskName, worker, now):
    """Return whether a worker accepts a ticket."""
    step, _, rest = ticket.partition(" ")
    name, _, expires_at = rest.partition(" ")
    expected = f"{task.workflow}.{task.repetition}.{task.step}"
    return step == expected and name == worker and now < float(expires_at)
