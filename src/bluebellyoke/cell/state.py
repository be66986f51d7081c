"""The replicated state of the cell.

All replicas apply the same commands in the same order and therefore hold the same
state. This module reads no clock, no random source and no network.
"""

from collections import deque
from dataclasses import dataclass, field

import msgspec

from bluebellyoke.cell import commands
from bluebellyoke.cell.claims import ClaimRegistry
from bluebellyoke.cell.scheduling import SchedulingState
from bluebellyoke.cell.tickets import TicketRegistry, validate_ticket
from bluebellyoke.cell.upstreams import SlotRegistry, Upstream
from bluebellyoke.cell.workspaces import Workspace
from bluebellyoke.workflow.store import WorkflowStore

__all__ = ["CellState", "UpstreamView", "ViewUpdate"]

#: View changes kept, so that an instance can be sent a partial update.
MAX_VIEW_CHANGES = 2_000


class UpstreamView(msgspec.Struct, frozen=True, array_like=True):
    """Description of an upstream in an instance's view."""

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
    """Changes of the view since an earlier version, or the complete view.

    Attributes:
        version: Version of the view after the update.
        ticket: Number of the last accepted ticket.
        since: Oldest version to which the update can be applied.
        whole: Whether the update replaces the view instead of changing it.
        removed: Kind and name of each removed object.
    """

    version: int
    ticket: int
    since: int
    whole: bool
    services: tuple[commands.ServiceSpec, ...] = ()
    workspaces: tuple[commands.WorkspaceSpec, ...] = ()
    upstreams: tuple[UpstreamView, ...] = ()
    removed: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True)
class CellState:
    """Complete replicated state of a cell.

    Attributes:
        version: Version of the view, which is the part of the state that instances
            hold: services, workspaces and upstreams. Each change increments it.
        time: Latest time of the applied commands, in seconds.
        view_changes: Latest changes of the view: version, kind and name.
    """

    scheduling: SchedulingState = field(default_factory=SchedulingState)
    tickets: TicketRegistry = field(default_factory=TicketRegistry)
    slots: SlotRegistry = field(default_factory=SlotRegistry)
    claims: ClaimRegistry = field(default_factory=ClaimRegistry)
    workflows: WorkflowStore = field(default_factory=WorkflowStore)
    services: dict[str, commands.ServiceSpec] = field(default_factory=dict)
    drained_workers: tuple[str, ...] = ()
    version: int = 0
    time: float = 0.0
    view_changes: deque[tuple[int, str, str]] = field(
        default_factory=lambda: deque(maxlen=MAX_VIEW_CHANGES)
    )

    def apply(self, command: commands.Command) -> commands.Result:
        """Apply one command and return its result."""
        self.time = max(self.time, command.time)
        handler = _HANDLERS.get(type(command))
        if handler is None:
            return self.workflows.apply(command)
        return handler(self, command)

    # Tickets.

    def _apply_ticket(self, command: commands.ApplyTicket) -> commands.Result:
        ticket = command.ticket
        earlier = self.tickets.find_earlier_result(ticket.number, command.digest)
        if earlier is not None:
            return earlier
        workspaces = self.scheduling.workspaces
        workspaces_in_use = {
            name for name, item in workspaces.items() if item.unfinished_jobs
        }
        errors = validate_ticket(ticket, set(workspaces), workspaces_in_use)
        if errors:
            return commands.refuse(
                "malformed", "; ".join(errors), faults=str(len(errors))
            )
        self._apply_declarations(ticket)
        return self.tickets.accept(command, self.version)

    def _apply_declarations(self, ticket: commands.Ticket) -> None:
        self.version += 1
        for spec in ticket.workspaces:
            workspace = self.scheduling.workspaces.get(spec.name)
            if workspace is None:
                self.scheduling.workspaces[spec.name] = Workspace(spec)
            else:
                workspace.spec = spec
            self._record_change("workspace", spec.name)
        for name in ticket.removed_workspaces:
            del self.scheduling.workspaces[name]
            self._record_change("workspace", name)
        for service in ticket.services:
            self.services[service.name] = service
            self._record_change("service", service.name)
        for name in ticket.removed_services:
            self.services.pop(name, None)
            self._record_change("service", name)
        if ticket.drained_workers is not None:
            self.drained_workers = ticket.drained_workers
            self._mark_drained_workers()

    def _mark_drained_workers(self) -> None:
        for worker in self.scheduling.workers.values():
            worker.drained = worker.name in self.drained_workers

    def _record_change(self, kind: str, name: str) -> None:
        self.view_changes.append((self.version, kind, name))

    def build_view_update(self, since: int) -> ViewUpdate:
        """Return the update for an instance whose view has version `since`."""
        oldest = self.view_changes[0][0] if self.view_changes else self.version + 1
        if since < oldest or since > self.version:
            return self._build_whole_view()
        changed = {
            (kind, name) for version, kind, name in self.view_changes if version > since
        }
        services, workspaces, upstreams, removed = [], [], [], []
        for kind, name in sorted(changed):
            if kind == "service" and name in self.services:
                services.append(self.services[name])
            elif kind == "workspace" and name in self.scheduling.workspaces:
                workspaces.append(self.scheduling.workspaces[name].spec)
            elif kind == "upstream" and name in self.slots.upstreams:
                upstreams.append(_create_upstream_view(self.slots.upstreams[name]))
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

    def _build_whole_view(self) -> ViewUpdate:
        return ViewUpdate(
            version=self.version,
            ticket=self.tickets.last_number,
            since=0,
            whole=True,
            services=tuple(self.services.values()),
            workspaces=tuple(item.spec for item in self.scheduling.workspaces.values()),
            upstreams=tuple(map(_create_upstream_view, self.slots.upstreams.values())),
        )

    # Jobs and workers.

    def _submit_job(self, command: commands.SubmitJob) -> commands.Result:
        return self.scheduling.submit_job(command)

    def _cancel_job(self, command: commands.CancelJob) -> commands.Result:
        return self.scheduling.cancel_job(command.job_id, command.time)

    def _admit_worker(self, command: commands.AdmitWorker) -> commands.Result:
        result = self.scheduling.admit_worker(command)
        if result.accepted and command.worker in self.drained_workers:
            self.scheduling.workers[command.worker].drained = True
        return result

    def _lose_worker(self, command: commands.LoseWorker) -> commands.Result:
        lost = self.scheduling.lose_worker(
            command.worker, command.session, command.time
        )
        return commands.Result(accepted=True, detail={"tasks": str(lost)})

    def _place_tasks(self, command: commands.PlaceTasks) -> commands.Result:
        started = self.scheduling.place_tasks(command.placements, command.time)
        return commands.Result(accepted=True, detail={"started": str(started)})

    def _preempt_tasks(self, command: commands.PreemptTasks) -> commands.Result:
        requested = self.scheduling.preempt_tasks(command.tasks, command.time)
        return commands.Result(accepted=True, detail={"asked": str(requested)})

    def _report_tasks(self, command: commands.ReportTasks) -> commands.Result:
        changed = self.scheduling.record_reports(
            command.worker, command.session, command.reports, command.time
        )
        return commands.Result(accepted=True, detail={"changed": str(changed)})

    def _learn_need(self, command: commands.LearnNeed) -> commands.Result:
        return commands.Result(
            accepted=self.scheduling.learn_need(command.job_id, command.used)
        )

    def _advance_time(self, command: commands.AdvanceTime) -> commands.Result:
        self.scheduling.advance_time(command.time)
        self.claims.expire(command.time)
        return commands.Result(accepted=True)

    # Routing.

    def _announce_upstream(self, command: commands.AnnounceUpstream) -> commands.Result:
        if command.service not in self.services:
            return commands.refuse(
                "unknown-service",
                f"service {command.service!r} does not exist; declare it by a ticket",
            )
        if self.slots.announce(command):
            self.version += 1
            self._record_change("upstream", command.upstream)
        return commands.Result(accepted=True)

    def _drop_upstream(self, command: commands.DropUpstream) -> commands.Result:
        dropped = self.slots.drop(command.upstream, command.incarnation)
        if dropped:
            self.version += 1
            self._record_change("upstream", command.upstream)
        return commands.Result(accepted=dropped)

    def _assign_slots(self, command: commands.AssignSlots) -> commands.Result:
        done = "".join(
            "1" if self.slots.assign_slots(change) else "0"
            for change in command.changes
        )
        return commands.Result(accepted=True, detail={"done": done})

    def _claim_request(self, command: commands.ClaimRequest) -> commands.Result:
        return self.claims.claim(command)

    def _record_outcome(self, command: commands.RecordOutcome) -> commands.Result:
        return self.claims.record_outcome(command)


def _create_upstream_view(upstream: Upstream) -> UpstreamView:
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
    commands.ApplyTicket: CellState._apply_ticket,
    commands.SubmitJob: CellState._submit_job,
    commands.CancelJob: CellState._cancel_job,
    commands.AdmitWorker: CellState._admit_worker,
    commands.LoseWorker: CellState._lose_worker,
    commands.PlaceTasks: CellState._place_tasks,
    commands.PreemptTasks: CellState._preempt_tasks,
    commands.ReportTasks: CellState._report_tasks,
    commands.LearnNeed: CellState._learn_need,
    commands.AdvanceTime: CellState._advance_time,
    commands.AnnounceUpstream: CellState._announce_upstream,
    commands.DropUpstream: CellState._drop_upstream,
    commands.AssignSlots: CellState._assign_slots,
    commands.ClaimRequest: CellState._claim_request,
    commands.RecordOutcome: CellState._record_outcome,
}
