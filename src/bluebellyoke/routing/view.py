"""Copy of the current configuration at an instance."""

from dataclasses import dataclass, field

from bluebellyoke.cell.commands import ServiceSpec, WorkspaceSpec
from bluebellyoke.cell.state import UpstreamView, ViewUpdate

__all__ = ["LocalView"]


@dataclass(slots=True)
class LocalView:
    """Services, workspaces and upstreams of one version."""

    version: int = -1
    ticket: int = 0
    services: dict[str, ServiceSpec] = field(default_factory=dict)
    workspaces: dict[str, WorkspaceSpec] = field(default_factory=dict)
    upstreams: dict[str, UpstreamView] = field(default_factory=dict)

    def update(self, update: ViewUpdate) -> None:
        """Apply an update, unless it is outdated or versions before it are missing."""
        if update.version < self.version:
            return
        if not update.whole and self.version < update.since:
            return
        if update.whole:
            self.services.clear()
            self.workspaces.clear()
            self.upstreams.clear()
        self.services.update((item.name, item) for item in update.services)
        self.workspaces.update((item.name, item) for item in update.workspaces)
        self.upstreams.update((item.name, item) for item in update.upstreams)
        tables = {
            "service": self.services,
            "workspace": self.workspaces,
            "upstream": self.upstreams,
        }
        for kind, name in update.removed:
            tables[kind].pop(name, None)
        self.version = update.version
        self.ticket = update.ticket
