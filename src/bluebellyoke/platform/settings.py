"""Translation of the platform's settings file into the project's settings."""

import os
import tomllib
from pathlib import Path
from typing import Annotated

import pydantic

from bluebellyoke.settings import (
    CellSettings,
    InstanceSettings,
    LimitSettings,
    Settings,
    SettingsError,
)

__all__ = [
    "PlatformSettings",
    "find_path",
    "read_settings",
    "split_endpoint",
    "translate_settings",
]

#: Environment variable that holds the path of the settings file.
PATH_VARIABLE = "BLUEBELLYOKE_CONFIG"

#: All instances of a deployment belong to one cell.
CELL_NAME = "platform"

#: The platform's readiness check runs once a second and counts two misses.
LINGER_S = 2.2

#: Silence after which a spare takes the place of a voter, in seconds.
REPLACE_AFTER_S = 30.0

#: Shortest election timeout. A short task is late after 0.6 s without a leader.
ELECTION_S = 0.25

#: Silence after which an instance seeks another leader, in seconds.
LEADER_SILENCE_S = 0.3

#: Log size after which a snapshot is taken, in MiB.
SNAPSHOT_MB = 8

Endpoint = Annotated[str, pydantic.Field(pattern=r"^[0-9.]+:[0-9]+$")]


class _Table(pydantic.BaseModel):
    """A table of the file; the platform may add keys at any time."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class ListenTable(_Table):
    """Addresses to listen on, by what is served there."""

    Front: Endpoint | None = None
    Ready: Endpoint | None = None
    Control: Endpoint | None = None


class ToleranceTable(_Table):
    """Losses to be borne at the same time."""

    Machines: int = 0


class BoundsTable(_Table):
    """Bounds of the deployment."""

    GraceS: float = 6.0
    MaxHoldMs: float = 6000.0


class PlatformSettings(_Table):
    """The file, as far as the project uses it."""

    Node: str
    Ip: str
    Zone: str
    PortRange: tuple[int, int]
    Seeds: tuple[Endpoint, ...]
    # True only before the cell has ever run.
    Bootstrap: bool = False
    DataDir: Path | None = None
    Advisor: Endpoint | None = None
    Listen: ListenTable = ListenTable()
    FaultTolerance: ToleranceTable = ToleranceTable()
    Bounds: BoundsTable = BoundsTable()


def find_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(PATH_VARIABLE, "/etc/bluebellyoke/boot.toml"))


def read_settings(path: Path) -> PlatformSettings:
    """Read and check the settings file.

    Raises:
        SettingsError: The file is missing, is no TOML or holds faults.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
        return PlatformSettings.model_validate(data)
    except OSError as error:
        raise SettingsError(path, [f"cannot be read: {error.strerror}"]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(path, [f"is no TOML: {error}"]) from error
    except pydantic.ValidationError as error:
        faults = [f"{item['loc']}: {item['msg']}" for item in error.errors()]
        raise SettingsError(path, faults) from None


def translate_settings(given: PlatformSettings) -> Settings:
    """Return the project's settings for an instance of the deployment.

    The first free port is the peer listener and the second the project's own
    interface. The seeds name the platform's control ports; the peer listener of the
    same machine has the same number everywhere.
    """
    peer_port = given.PortRange[0]
    seeds = tuple(f"{seed.rpartition(':')[0]}:{peer_port}" for seed in given.Seeds)
    longest_s = given.Bounds.MaxHoldMs / 1000
    return Settings(
        cell=CellSettings(
            name=CELL_NAME,
            voters=2 * given.FaultTolerance.Machines + 1,
            replace_after_s=REPLACE_AFTER_S,
            policy="waiting",
            election_s=ELECTION_S,
        ),
        instance=InstanceSettings(
            name=given.Node,
            data_centre=given.Zone,
            address=given.Ip,
            http_port=peer_port + 1,
            peer_port=peer_port,
            seeds=seeds,
            data_folder=given.DataDir,
            founder=given.Bootstrap,
        ),
        limits=LimitSettings(
            longest_deadline_s=given.Bounds.GraceS / 2,
            linger_s=LINGER_S,
            leader_silence_s=LEADER_SILENCE_S,
            longest_called_worker_lease_s=longest_s,
            called_worker_lease_s=longest_s * 5 / 6,
            snapshot_mb=SNAPSHOT_MB,
        ),
    )


def split_endpoint(endpoint: str) -> tuple[str, int]:
    """Return IP number and port."""
    host, _, port = endpoint.rpartition(":")
    return host, int(port)
