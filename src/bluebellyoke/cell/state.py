"""The replicated state of the cell.

Every replica applies the same commands in the same order and so holds the same
state. Nothing here reads a clock, a random source or the network.
"""

from collections import deque
from dataclasses import dataclass, field

import msgspec

from bluebellyoke.cell import commands as c
from bluebellyoke.cell.jobbook import JobBook
from bluebellyoke.cell.requests import ClaimBook
from bluebellyoke.cell.tickets import TicketBook, find_faults
from bluebellyoke.cell.upstreams import SlotBook, Upstream
from bluebellyoke.cell.workspaces import Workspace
from bluebellyoke.workflow.store import WorkflowStore

__all__ = ["CellState", "UpstreamView", "ViewUpdate"]

#: Changes of the view that are kept to bring an instance up to date in part.
RETAINED_CHANGES = 2_000


class UpstreamView(msgspec.Struct, frozen=True, array_like=True):
    """What an instance knows of an upstream."""

    name: str
    incarnation: str
    service: str
    address: str
    port: int
    slots: int
    connections: int
    data_centre: str
    leaving: bool


class ViewUpdate(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True):
    """Objects that changed since a version of the view, or all of them.

    Attributes:
        since: Oldest version to which the update can be added.
        whole: Whether the update replaces the view instead of adding to it.
        removed: Pairs of kind and name.
    """

    version: int
    ticket: int
    since: int
    whole: bool
    services: tuple[c.ServiceSpec, ...] = ()
    workspaces: tuple[c.WorkspaceSpec, ...] = ()
    upstreams: tuple[UpstreamView, ...] = ()
    removed: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True)
class CellState:
    """Everything that the cell's replicas agree on.

    Attributes:
        version: Grows with each change of the view that instances hold.
        changes: Latest changes of the view: version, kind and name.
    """

    book: JobBook = field(default_factory=JobBook)
    tickets: TicketBook = field(default_factory=TicketBook)
    slots: SlotBook = field(default_factory=SlotBook)
    claims: ClaimBook = field(default_factory=ClaimBook)
    workflows: WorkflowStore = field(default_factory=WorkflowStore)
    services: dict[str, c.ServiceSpec] = field(default_factory=dict)
    drained_workers: tuple[str, ...] = ()
    version: int = 0
    time: float = 0.0
    changes: deque[tuple[int, str, str]] = field(
        default_factory=lambda: deque(maxlen=RETAINED_CHANGES)
    )

    def apply(self, command: c.Command) -> c.Result:
        """Apply one command and return its result."""
        self.time = max(self.time, command.time)
        handler = _HANDLERS.get(type(command))
        if handler is None:
            return self.workflows.apply(command)
        return handler(self, command)

    # Tickets.

    def _apply_ticket(self, command: c.ApplyTicket) -> c.Result:
        ticket = command.ticket
        known = self.tickets.find_outcome(ticket.number, command.digest)
        if known is not None:
            return known
        workspaces = self.book.workspaces
        busy = {name for name, item in workspaces.items() if item.unfinished_jobs}
        faults = find_faults(ticket, set(workspaces), busy)
        if faults:
            return c.refuse("malformed", "; ".join(faults), faults=str(len(faults)))
        self._put_in_force(ticket)
        return self.tickets.accept(command, self.version)

    def _put_in_force(self, ticket: c.Ticket) -> None:
        self.version += 1
        for spec in ticket.workspaces:
            known = self.book.workspaces.get(spec.name)
            if known is None:
                self.book.workspaces[spec.name] = Workspace(spec)
            else:
                known.spec = spec
            self._note_change("workspace", spec.name)
        for name in ticket.removed_workspaces:
            del self.book.workspaces[name]
            self._note_change("workspace", name)
        for service in ticket.services:
            self.services[service.name] = service
            self._note_change("service", service.name)
        for name in ticket.removed_services:
            self.services.pop(name, None)
            self._note_change("service", name)
        if ticket.drained_workers is not None:
            self.drained_workers = ticket.drained_workers
            self._mark_drained_workers()

    def _mark_drained_workers(self) -> None:
        for worker in self.book.workers.values():
            worker.drained = worker.name in self.drained_workers

    def _note_change(self, kind: str, name: str) -> None:
        self.changes.append((self.version, kind, name))

    def collect_view(self, since: int) -> ViewUpdate:
        """Return what an instance at version `since` lacks."""
        oldest = self.changes[0][0] if self.changes else self.version + 1
        if since < oldest or since > self.version:
            return self._collect_whole_view()
        names = {(kind, name) for at, kind, name in self.changes if at > since}
        services, workspaces, upstreams, removed = [], [], [], []
        for kind, name in sorted(names):
            if kind == "service" and name in self.services:
                services.append(self.services[name])
            elif kind == "workspace" and name in self.book.workspaces:
                workspaces.append(self.book.workspaces[name].spec)
            elif kind == "upstream" and name in self.slots.upstreams:
                upstreams.append(_view_upstream(self.slots.upstreams[name]))
            else:
                removed.append((kind, name))
        return ViewUpdate(
            version=self.version,
            ticket=self.tickets.last_number,
            since=since,
            whole=False,
            services=tuple(services),
            workspaces=tuple(workspaces),
            upstreams=tuple(upstreams),
            removed=tuple(removed),
        )

    def _collect_whole_view(self) -> ViewUpdate:
        return ViewUpdate(
            version=self.version,
            ticket=self.tickets.last_number,
            since=0,
            whole=True,
            services=tuple(self.services.values()),
            workspaces=tuple(item.spec for item in self.book.workspaces.values()),
            upstreams=tuple(map(_view_upstream, self.slots.upstreams.values())),
        )

    # Jobs and workers.

    def _submit_job(self, command: c.SubmitJob) -> c.Result:
        return self.book.submit(command)

    def _cancel_job(self, command: c.CancelJob) -> c.Result:
        return self.book.cancel(command.job_id, command.time)

    def _admit_worker(self, command: c.AdmitWorker) -> c.Result:
        result = self.book.admit(command)
        if result.accepted and command.worker in self.drained_workers:
            self.book.workers[command.worker].drained = True
        return result

    def _lose_worker(self, command: c.LoseWorker) -> c.Result:
        lost = self.book.lose(command.worker, command.session, command.time)
        return c.Result(accepted=True, detail={"tasks": str(lost)})

    def _place_tasks(self, command: c.PlaceTasks) -> c.Result:
        started = self.book.place(command.placements, command.time)
        return c.Result(accepted=True, detail={"started": str(started)})

    def _preempt_tasks(self, command: c.PreemptTasks) -> c.Result:
        asked = self.book.preempt(command.tasks, command.time)
        return c.Result(accepted=True, detail={"asked": str(asked)})

    def _report_tasks(self, command: c.ReportTasks) -> c.Result:
        changed = self.book.report(
            command.worker, command.session, command.reports, command.time
        )
        return c.Result(accepted=True, detail={"changed": str(changed)})

    def _learn_need(self, command: c.LearnNeed) -> c.Result:
        return c.Result(accepted=self.book.learn_need(command.job_id, command.used))

    def _advance_time(self, command: c.AdvanceTime) -> c.Result:
        self.book.advance(command.time)
        self.claims.expire(command.time)
        return c.Result(accepted=True)

    # Routing.

    def _announce_upstream(self, command: c.AnnounceUpstream) -> c.Result:
        if command.service not in self.services:
            return c.refuse(
                "unknown-service",
                f"service {command.service!r} does not exist; declare it by a ticket",
            )
        if self.slots.announce(command):
            self.version += 1
            self._note_change("upstream", command.upstream)
        return c.Result(accepted=True)

    def _drop_upstream(self, command: c.DropUpstream) -> c.Result:
        dropped = self.slots.drop(command.upstream, command.incarnation)
        if dropped:
            self.version += 1
            self._note_change("upstream", command.upstream)
        return c.Result(accepted=dropped)

    def _assign_slots(self, command: c.AssignSlots) -> c.Result:
        done = "".join("1" if self.slots.assign(x) else "0" for x in command.changes)
        return c.Result(accepted=True, detail={"done": done})

    def _claim_request(self, command: c.ClaimRequest) -> c.Result:
        return self.claims.claim(command)

    def _record_outcome(self, command: c.RecordOutcome) -> c.Result:
        return self.claims.record(command)


def _view_upstream(upstream: Upstream) -> UpstreamView:
    return UpstreamView(
        upstream.name,
        upstream.incarnation,
        upstream.service,
        upstream.address,
        upstream.port,
        upstream.slots,
        upstream.connections,
        upstream.data_centre,
        upstream.leaving,
    )


_HANDLERS = {
    c.ApplyTicket: CellState._apply_ticket,
    c.SubmitJob: CellState._submit_job,
    c.CancelJob: CellState._cancel_job,
    c.AdmitWorker: CellState._admit_worker,
    c.LoseWorker: CellState._lose_worker,
    c.PlaceTasks: CellState._place_tasks,
    c.PreemptTasks: CellState._preempt_tasks,
    c.ReportTasks: CellState._report_tasks,
    c.LearnNeed: CellState._learn_need,
    c.AdvanceTime: CellState._advance_time,
    c.AnnounceUpstream: CellState._announce_upstream,
    c.DropUpstream: CellState._drop_upstream,
    c.AssignSlots: CellState._assign_slots,
    c.ClaimRequest: CellState._claim_request,
    c.RecordOutcome: CellState._record_outcome,
}
