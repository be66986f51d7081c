"""Change tickets: numbering, validation and retention.

Rules:
    * Ticket numbers increase across the cell. A number that is not above the last
      accepted one is refused, unless the accepted ticket is resubmitted.
    * A resubmitted ticket gets its first outcome and changes nothing.
    * Of two different tickets with the same number, the first in the log is accepted.
"""

from dataclasses import dataclass, field

from bluebellyoke.cell.commands import ApplyTicket, Result, Ticket, refuse

__all__ = ["MAX_TICKET_RECORDS", "TicketRegistry", "TicketRecord", "validate_ticket"]

#: Maximum number of accepted tickets whose outcome is kept; covers at least five days
#: at 17,000 tickets a day.
MAX_TICKET_RECORDS = 100_000


@dataclass(slots=True)
class TicketRecord:
    """Record of an accepted ticket.

    Attributes:
        digest: Hash of the ticket's content.
        accepted_at: Wall-clock time at which the ticket was accepted, in seconds.
        version: Version of the view that the ticket created.
    """

    digest: str
    accepted_at: float
    version: int


@dataclass(slots=True)
class TicketRegistry:
    """Records of accepted tickets by number, oldest first."""

    records: dict[int, TicketRecord] = field(default_factory=dict)
    last_number: int = 0

    def find_earlier_result(self, number: int, digest: str) -> Result | None:
        """Return the result for a number that is already used, or None if it is new."""
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
        """Record a ticket as accepted and drop the oldest records above the limit."""
        number = command.ticket.number
        self.last_number = number
        self.records[number] = TicketRecord(command.digest, command.time, version)
        while len(self.records) > MAX_TICKET_RECORDS:
            del self.records[next(iter(self.records))]
        return Result(
            accepted=True,
            reason=f"ticket {number} is in force",
            detail={"number": str(number), "version": str(version)},
        )


def validate_ticket(
    ticket: Ticket, workspaces: set[str], workspaces_in_use: set[str]
) -> list[str]:
    """Return all errors in a ticket's content.

    Args:
        ticket: The ticket.
        workspaces: Names of the existing workspaces.
        workspaces_in_use: Names of the workspaces that own unfinished jobs.
    """
    errors = []
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
                errors.append(f"{kind} {name!r} is named twice; name it once")
            seen.add(name)
    for name in ticket.removed_workspaces:
        if name not in workspaces:
            errors.append(f"workspace {name!r} does not exist; leave it out")
        if name in workspaces_in_use:
            errors.append(f"workspace {name!r} owns unfinished jobs; cancel them first")
    return errors
