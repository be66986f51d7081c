"""Change tickets: numbering, outcomes and retention.

Rules:
    * Numbers grow over the whole cell. A number at or below the last accepted one
      is refused, unless it is the accepted ticket sent again.
    * A ticket sent again gets its first outcome and changes nothing.
    * Of two different tickets with one number, the first in the log is accepted.
"""

from dataclasses import dataclass, field

from bluebellyoke.cell.commands import ApplyTicket, Result, Ticket, refuse

__all__ = ["RETAINED_TICKETS", "TicketRegistry", "TicketRecord", "find_faults"]

#: Accepted tickets whose outcome is kept, at least five days at 17,000 a day.
RETAINED_TICKETS = 100_000


@dataclass(slots=True)
class TicketRecord:
    """What is kept of an accepted ticket.

    Attributes:
        digest: Identifies the content.
        accepted_at: Wall-clock time, in seconds.
        version: View version that the ticket brought into force.
    """

    digest: str
    accepted_at: float
    version: int


@dataclass(slots=True)
class TicketRegistry:
    """Accepted tickets by number, oldest first."""

    records: dict[int, TicketRecord] = field(default_factory=dict)
    last_number: int = 0

    def find_outcome(self, number: int, digest: str) -> Result | None:
        """Return the outcome that a number already has, or None if it is new."""
        if number > self.last_number:
            return None
        record = self.records.get(number)
        next_number = str(self.last_number + 1)
        if record is not None and record.digest == digest:
            return Result(
                accepted=True,
                reason=f"ticket {number} was accepted before",
                detail={"number": str(number), "version": str(record.version)},
            )
        if record is not None:
            return refuse(
                "number-taken",
                f"number {number} belongs to another ticket with digest "
                f"{record.digest}; look at it with `ticket show` and send yours "
                f"again as number {next_number}",
                winner=record.digest,
                next_number=next_number,
            )
        return refuse(
            "stale-number",
            f"number {number} is not newer than the last ticket "
            f"{self.last_number}; send the ticket again as number {next_number}",
            next_number=next_number,
        )

    def accept(self, command: ApplyTicket, version: int) -> Result:
        """Record a ticket as accepted and drop the oldest records."""
        number = command.ticket.number
        self.last_number = number
        self.records[number] = TicketRecord(command.digest, command.time, version)
        while len(self.records) > RETAINED_TICKETS:
            del self.records[next(iter(self.records))]
        return Result(
            accepted=True,
            reason=f"ticket {number} is in force",
            detail={"number": str(number), "version": str(version)},
        )


def find_faults(ticket: Ticket, workspaces: set[str], busy: set[str]) -> list[str]:
    """Return every fault of a ticket's content.

    Args:
        ticket: The ticket.
        workspaces: Names of the workspaces that exist.
        busy: Names of the workspaces that still own unfinished jobs.
    """
    faults = []
    for kind, names, removed in (
        (
            "workspace",
            [item.name for item in ticket.workspaces],
            ticket.removed_workspaces,
        ),
        ("service", [item.name for item in ticket.services], ticket.removed_services),
    ):
        seen = set()
        for name in (*names, *removed):
            if name in seen:
                faults.append(f"{kind} {name!r} is named twice; name it once")
            seen.add(name)
    for name in ticket.removed_workspaces:
        if name not in workspaces:
            faults.append(f"workspace {name!r} does not exist; leave it out")
        if name in busy:
            faults.append(f"workspace {name!r} owns unfinished jobs; cancel them first")
    return faults
