"""The platform's settings file and its translation into the project's settings."""

import os
import tomllib
from pathlib import Path
from typing import Annotated, Any

import pydantic

from bluebellyoke.addresses import is_address, split_address
from bluebellyoke.settings import (
    TOML_ERRORS,
    CellSettings,
    DispatchSettings,
    InstanceSettings,
    LimitSettings,
    Settings,
    SettingsError,
)

__all__ = [
    "PlatformSettings",
    "find_settings_path",
    "read_settings",
    "split_endpoint",
    "translate_settings",
]

#: Environment variable that holds the path of the settings file.
PATH_VARIABLE = "BLUEBELLYOKE_CONFIG"

#: A deployment forms one cell.
CELL_NAME = "platform"

#: The platform checks readiness once a second, and the check has to fail twice.
LINGER_S = 2.2

#: Time without contact after which a spare replica replaces a voter. A machine may be
#: gone for good, and the next one may be lost seconds later.
REPLACE_AFTER_S = 2.0

#: Minimum election timeout. Short tasks are late after 0.6 s without a leader.
ELECTION_TIMEOUT_S = 0.25

#: Time without contact after which an instance searches for another leader.
LEADER_SILENCE_S = 0.3

#: Size of the log that triggers a snapshot, in MiB.
SNAPSHOT_MB = 8

#: Contract of deployments in which jobs compete for capacity.
PRESSURE_CONTRACT = "pressure"

#: Contract of deployments whose long-running tasks share workers with backfill tasks.
SHARING_CONTRACT = "sharing"


def _check_endpoint(value: str) -> str:
    if not is_address(value):
        raise ValueError("write IP:PORT with a port from 1 to 65535")
    return value


Endpoint = Annotated[str, pydantic.AfterValidator(_check_endpoint)]


class _Table(pydantic.BaseModel):
    """A table of the file; unknown keys are ignored, as the platform may add some."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True, allow_inf_nan=False)


class ListenTable(_Table):
    """Listen addresses by purpose."""

    Front: Endpoint | None = None
    Ready: Endpoint | None = None
    Control: Endpoint | None = None


class FaultToleranceTable(_Table):
    """Number of simultaneous machine failures to tolerate."""

    Machines: int = 0


class BoundsTable(_Table):
    """Time limits of the deployment, in the unit that the key ends with."""

    GraceS: Annotated[float, pydantic.Field(ge=0.002, le=1e9)] = 6.0
    MaxHoldMs: Annotated[float, pydantic.Field(ge=1, le=1e12)] = 6000.0


class LimitsTable(_Table):
    """What the machine has for the instance; None if the platform does not say."""

    MemoryMb: Annotated[float, pydantic.Field(gt=0)] | None = None
    MaxFds: Annotated[int, pydantic.Field(gt=0)] | None = None


class PlatformSettings(_Table):
    """The settings that the project uses."""

    Node: str
    Ip: str
    Zone: str
    PortRange: tuple[int, int]
    # A seed that cannot be dialled is left out; the others are still used.
    Seeds: tuple[Any, ...]
    # Whether to create the cell; true only if the cell has never run before.
    Bootstrap: bool = False
    DataDir: Path | None = None
    Advisor: Endpoint | None = None
    Listen: ListenTable = ListenTable()
    FaultTolerance: FaultToleranceTable = FaultToleranceTable()
    Bounds: BoundsTable = BoundsTable()
    Limits: LimitsTable = LimitsTable()
    # Properties of the deployment that it announces to its programs.
    Contracts: tuple[str, ...] = ()

    @property
    def usable_seeds(self) -> tuple[str, ...]:
        """Seeds that can be dialled."""
        return tuple(filter(_is_usable_seed, self.Seeds))

    @property
    def odd_seeds(self) -> tuple[Any, ...]:
        """Entries of the list of seeds that are no addresses."""
        return tuple(x for x in self.Seeds if not _is_usable_seed(x))


def _is_usable_seed(seed: object) -> bool:
    return isinstance(seed, str) and is_address(seed)


def find_settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(PATH_VARIABLE, "/etc/bluebellyoke/boot.toml"))


def read_settings(path: Path) -> PlatformSettings:
    """Read and validate the settings file, including its translation.

    Raises:
        SettingsError: The file is missing, not valid TOML or not valid settings.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
        settings = PlatformSettings.model_validate(data)
        # The project's own settings have limits that the platform's do not have.
        translate_settings(settings)
        return settings
    except OSError as error:
        raise SettingsError(path, [f"cannot be read: {error.strerror}"]) from error
    except pydantic.ValidationError as error:
        errors = [f"{item['loc']}: {item['msg']}" for item in error.errors()]
        raise SettingsError(path, errors) from None
    except TOML_ERRORS as error:
        raise SettingsError(path, [f"is not valid TOML: {error}"]) from error


def translate_settings(platform_settings: PlatformSettings) -> Settings:
    """Return the project's settings for an instance of the deployment.

    The first port of the range is for the peer listener and the second for the
    project's own HTTP API. The platform's seeds have its control ports; the peer port
    replaces them, as it is the same on every machine.
    """
    peer_port = platform_settings.PortRange[0]
    seeds = tuple(
        f"{seed.rpartition(':')[0]}:{peer_port}"
        for seed in platform_settings.usable_seeds
    )
    max_hold_s = platform_settings.Bounds.MaxHoldMs / 1000
    return Settings(
        cell=CellSettings(
            name=CELL_NAME,
            voters=2 * platform_settings.FaultTolerance.Machines + 1,
            replace_after_s=REPLACE_AFTER_S,
            policy="waiting",
            election_s=ELECTION_TIMEOUT_S,
        ),
        instance=InstanceSettings(
            name=platform_settings.Node,
            data_centre=platform_settings.Zone,
            address=platform_settings.Ip,
            http_port=peer_port + 1,
            peer_port=peer_port,
            seeds=seeds,
            data_folder=platform_settings.DataDir,
            # A cell that is founded without one of its seeds has too few voters.
            founder=platform_settings.Bootstrap and not platform_settings.odd_seeds,
        ),
        limits=LimitSettings(
            longest_deadline_s=platform_settings.Bounds.GraceS / 2,
            linger_s=LINGER_S,
            leader_silence_s=LEADER_SILENCE_S,
            longest_called_worker_lease_s=max_hold_s,
            called_worker_lease_s=max_hold_s * 5 / 6,
            snapshot_mb=SNAPSHOT_MB,
            **_translate_machine(platform_settings.Limits),
        ),
        dispatch=DispatchSettings(
            urgency=PRESSURE_CONTRACT in platform_settings.Contracts,
            # It has no effect until workers report different speeds.
            uneven_workers=True,
            interference=SHARING_CONTRACT in platform_settings.Contracts,
        ),
    )


def _translate_machine(limits: LimitsTable) -> dict[str, float]:
    """Return the settings for the machine's size that the platform states."""
    values = {"memory_mb": limits.MemoryMb, "max_descriptors": limits.MaxFds}
    return {key: value for key, value in values.items() if value is not None}


def split_endpoint(endpoint: str) -> tuple[str, int]:
    """Return the IP address and port of an endpoint, `IP:PORT`."""
    return split_address(endpoint)
