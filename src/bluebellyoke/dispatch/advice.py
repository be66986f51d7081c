"""Which workers may run a step, asked of the advisor through the instances.

The advisor serves one call of an instance at a time, so the leader spreads the calls
over all instances. What it says of a step never changes; only its tickets expire.
"""

import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bluebellyoke.instance import wire as w
from bluebellyoke.workflow.specs import AdvisorSpec

__all__ = ["AdviceDuties", "Life", "StepAdvice", "StepKey"]

#: Workflow, repetition and number of a step.
StepKey = tuple[str, int, int]

#: Identity and birth of a worker's life.
Life = tuple[str, int]

#: Workers that one call may name.
CALL_WORKERS = 100

#: Time before its end at which a ticket is not used any more, in seconds.
TICKET_MARGIN_S = 0.12

#: Time beyond a call's own length after which it counts as lost, in seconds.
CALL_SLACK_S = 1.5

#: Calls longer than this leave some instances free for shorter ones, in seconds.
LONG_CALL_S = 0.2
FREE_SHARE = 4

#: Time for which an instance that could not reach the advisor is not asked.
PAUSE_S = 0.5


@dataclass(slots=True)
class StepAdvice:
    """What is known of a step.

    Attributes:
        tickets: Ticket of each allowed life, with the monotonic time of its end.
        known: Lives that the advisor was asked about.
        is_asking: Whether a call is wanted or under way.
    """

    tickets: dict[Life, tuple[str, float]] = field(default_factory=dict)
    known: set[Life] = field(default_factory=set)
    is_asking: bool = False

    def find_ticket(self, life: Life, now: float) -> str | None:
        """Return a ticket that is still valid."""
        text, ends = self.tickets.get(life, ("", 0.0))
        return text if now < ends else None

    def is_fresh(self, now: float) -> bool:
        """Return whether all tickets are valid at some time."""
        return all(now < ends for _, ends in self.tickets.values())

    def expire(self, life: Life) -> None:
        """Note that a worker refused a ticket."""
        if life in self.tickets:
            self.tickets[life] = ("", 0.0)


@dataclass(slots=True)
class Wish:
    """A call that is wanted."""

    rank: tuple
    step: StepKey
    lives: tuple[Life, ...]
    spec: AdvisorSpec

    @property
    def length_s(self) -> float:
        """Length of the call, in seconds."""
        total = self.spec.decision_ms + self.spec.per_worker_ms * len(self.lives)
        return total / 1000


@dataclass(slots=True)
class Desk:
    """An instance that may call the advisor."""

    send: Callable[[w.FromLeader], None]
    call: int = 0
    wish: Wish | None = None
    lost_at: float = 0.0
    paused_until: float = 0.0


class AdviceDuties:
    """Keeps what is known of the steps that wait, and asks for the rest."""

    def __init__(self) -> None:
        self._steps: dict[StepKey, StepAdvice] = {}
        self._wishes: list[Wish] = []
        self._desks: dict[int, Desk] = {}
        self._numbers = itertools.count(1)

    def clear(self) -> None:
        """Forget everything."""
        self._steps.clear()
        self._wishes.clear()
        self._desks.clear()

    def open_session(self, session: int, send: Callable[[w.FromLeader], None]) -> None:
        """Use an instance for calls from now on."""
        self._desks[session] = Desk(send)

    def close_session(self, session: int) -> None:
        """Give what an instance was asked to another."""
        desk = self._desks.pop(session, None)
        if desk is not None and desk.wish is not None:
            self._wishes.append(desk.wish)

    def find(self, step: StepKey) -> StepAdvice:
        """Return what is known of a step."""
        found = self._steps.get(step)
        if found is None:
            found = self._steps[step] = StepAdvice()
        return found

    def forget(self, workflow: str) -> None:
        """Drop the steps of a workflow that has ended."""
        for step in [x for x in self._steps if x[0] == workflow]:
            del self._steps[step]

    def ask(
        self, step: StepKey, lives: Iterable[Life], spec: AdvisorSpec, rank: tuple
    ) -> None:
        """Want a call about some workers unless one about the step is wanted."""
        advice = self.find(step)
        chosen = tuple(lives)[:CALL_WORKERS]
        if advice.is_asking or not chosen:
            return
        advice.is_asking = True
        self._wishes.append(Wish(rank, step, chosen, spec))

    def receive(self, session: int, reply: w.AdviceReply, now: float) -> None:
        """Take the answer of an instance."""
        desk = self._desks.get(session)
        if desk is None or desk.call != reply.id or desk.wish is None:
            return
        wish, desk.wish = desk.wish, None
        if reply.tickets is None:
            desk.paused_until = now + PAUSE_S
            self._wishes.append(wish)
            return
        advice = self._steps.get(wish.step)
        if advice is None:
            return
        advice.is_asking = False
        ends = now + wish.spec.validity_ms / 1000 - TICKET_MARGIN_S
        for life in wish.lives:
            advice.known.add(life)
            ticket = reply.tickets.get(life[0])
            if ticket is not None:
                advice.tickets[life] = (ticket, ends)
            else:
                advice.tickets.pop(life, None)

    def tick(self, now: float) -> None:
        """Hand the wanted calls to instances that are free."""
        self._take_back_lost(now)
        if not self._wishes:
            return
        idle = [
            desk
            for desk in self._desks.values()
            if desk.wish is None and now >= desk.paused_until
        ]
        spared = len(self._desks) // FREE_SHARE
        self._wishes.sort(key=lambda wish: wish.rank)
        left = []
        for wish in self._wishes:
            if wish.step not in self._steps:
                continue
            if not idle or (wish.length_s > LONG_CALL_S and len(idle) <= spared):
                left.append(wish)
                continue
            self._call(idle.pop(), wish, now)
        self._wishes = left

    def _take_back_lost(self, now: float) -> None:
        for desk in self._desks.values():
            if desk.wish is not None and now >= desk.lost_at:
                self._wishes.append(desk.wish)
                desk.wish = None
                desk.paused_until = now + PAUSE_S

    def _call(self, desk: Desk, wish: Wish, now: float) -> None:
        desk.call = next(self._numbers)
        desk.wish = wish
        desk.lost_at = now + wish.length_s * 2 + CALL_SLACK_S
        workers = tuple(life[0] for life in wish.lives)
        desk.send(w.AdviceCall(desk.call, wish.step, workers))
