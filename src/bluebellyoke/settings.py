"""Settings of an instance, read from a TOML file and validated as a whole.

Each error is reported with the file, the key and the remedy.
"""

import tomllib
from pathlib import Path
from typing import Annotated

import pydantic

from bluebellyoke.addresses import AddressError, check_ip, split_address
from bluebellyoke.errors import BluebellyokeError

__all__ = [
    "CellSettings",
    "DispatchSettings",
    "InstanceSettings",
    "LimitSettings",
    "Settings",
    "SettingsError",
    "TOML_ERRORS",
    "load_settings",
]

#: Exceptions that tomllib raises for a file that it cannot decode. A ValueError, of
#: which the others are kinds, also stands for an integer of thousands of digits; values
#: that are nested too deeply cause a RecursionError.
TOML_ERRORS = (ValueError, RecursionError)


class SettingsError(BluebellyokeError):
    """The settings file is invalid or cannot be read.

    Attributes:
        errors: One line for each error.
    """

    def __init__(self, path: Path, errors: list[str]) -> None:
        super().__init__(
            "\n".join(f"{path}: {error}" for error in errors),
            remedy="see docs/SETTINGS.md",
        )
        self.errors = errors


def _check_ip(value: str) -> str:
    try:
        check_ip(value)
    except ValueError:
        raise ValueError(
            f"{value!r} is not an IP address; write one such as 10.0.0.5"
        ) from None
    return value


def _check_endpoint(value: str) -> str:
    try:
        split_address(value)
    except AddressError as error:
        raise ValueError(str(error)) from None
    return value


IpAddress = Annotated[str, pydantic.AfterValidator(_check_ip)]
Endpoint = Annotated[str, pydantic.AfterValidator(_check_endpoint)]
Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
Seconds = Annotated[float, pydantic.Field(ge=0.001, le=1e9)]


class _Table(pydantic.BaseModel):
    """A table of the file; unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class CellSettings(_Table):
    """Table `cell`, equal on all instances of a cell."""

    name: Annotated[str, pydantic.Field(min_length=1, max_length=64)]
    voters: Annotated[int, pydantic.Field(ge=1, le=9)] = 3
    replace_after_s: Seconds = 30.0
    election_s: Annotated[float, pydantic.Field(ge=0.2, le=10.0)] = 0.9
    policy: Annotated[str, pydantic.Field(pattern="^(packing|waiting)$")] = "packing"
    day_starts_hour: Annotated[int, pydantic.Field(ge=0, le=23)] = 6
    day_ends_hour: Annotated[int, pydantic.Field(ge=1, le=24)] = 18
    utc_offset_hours: Annotated[int, pydantic.Field(ge=-12, le=14)] = 0

    @pydantic.field_validator("voters")
    @classmethod
    def _check_odd(cls, value: int) -> int:
        if value % 2 == 0:
            raise ValueError(
                "an even number does not tolerate more failures; write an odd one"
            )
        return value


class InstanceSettings(_Table):
    """Table `instance`, specific to one instance."""

    name: Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
    data_centre: Annotated[str, pydantic.Field(min_length=1, max_length=64)]
    address: IpAddress
    http_port: Port
    peer_port: Port
    advertised_peer_port: Port | None = None
    seeds: Annotated[tuple[Endpoint, ...], pydantic.Field(min_length=1)]
    data_folder: Path | None = None
    founder: bool = False

    @property
    def external_peer_port(self) -> int:
        """Port on which other instances reach the peer listener."""
        return self.advertised_peer_port or self.peer_port


class LimitSettings(_Table):
    """Table `limits`, equal on all instances of a cell."""

    longest_deadline_s: Seconds = 30.0
    leader_silence_s: Annotated[float, pydantic.Field(ge=0.3, le=10.0)] = 1.0
    instance_lease_s: Annotated[float, pydantic.Field(gt=0.5, le=2.0)] = 1.8
    worker_lease_s: Annotated[float, pydantic.Field(ge=2.0)] = 6.0
    upstream_silence_s: Annotated[float, pydantic.Field(ge=1.0)] = 3.0
    linger_s: Annotated[float, pydantic.Field(ge=0)] = 2.0
    called_worker_lease_s: Annotated[float, pydantic.Field(ge=1.0)] = 5.0
    longest_called_worker_lease_s: Annotated[float, pydantic.Field(ge=1.0)] = 6.0
    snapshot_mb: Annotated[int, pydantic.Field(ge=1, le=1024)] = 16
    memory_mb: Annotated[float, pydantic.Field(gt=0)] = 512.0
    max_descriptors: Annotated[int, pydantic.Field(ge=1)] = 4096
    client_head_kb: Annotated[int, pydantic.Field(ge=16, le=1024)] = 80
    client_head_timeout_s: Annotated[float, pydantic.Field(ge=3.0)] = 10.0
    client_body_timeout_s: Annotated[float, pydantic.Field(ge=15.0)] = 90.0


class DispatchSettings(_Table):
    """Table `dispatch`, equal on all instances of a cell: optional parts."""

    admission: bool = False
    urgency: bool = False
    uneven_workers: bool = False
    move_stragglers: bool = False
    interference: bool = False


class LogSettings(_Table):
    """Table `log`."""

    level: Annotated[str, pydantic.Field(pattern="^(debug|info|warning|error)$")] = (
        "info"
    )


class Settings(_Table):
    """The whole file."""

    cell: CellSettings
    instance: InstanceSettings
    limits: LimitSettings = LimitSettings()
    dispatch: DispatchSettings = DispatchSettings()
    log: LogSettings = LogSettings()


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    Raises:
        SettingsError: The file is missing, not valid TOML or not valid settings.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(path, [f"cannot be read: {error.strerror}"]) from error
    except TOML_ERRORS as error:
        raise SettingsError(path, [f"is not valid TOML: {error}"]) from error
    try:
        return Settings.model_validate(data)
    except pydantic.ValidationError as error:
        errors = [_describe_error(details) for details in error.errors()]
        raise SettingsError(path, errors) from None


def _describe_error(details: dict) -> str:
    key = ".".join(str(part) for part in details["loc"])
    if details["type"] == "extra_forbidden":
        return f"key `{key}` is unknown; remove it or correct its spelling"
    if details["type"] == "missing":
        return f"key `{key}` is missing; add it"
    message = details["msg"].removeprefix("Value error, ")
    return f"key `{key}`: {message}"
