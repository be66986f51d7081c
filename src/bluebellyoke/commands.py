"""Subcommands of the command line.

Exit codes: 0 success, 1 request refused or object not found, 2 invalid usage or
settings, 3 no instance responded.
"""

import contextlib
import gc
import json
import sys
import uuid
from collections.abc import Iterable
from pathlib import Path

import anyio

from bluebellyoke import __version__
from bluebellyoke.client import ApiResponse, Client
from bluebellyoke.clock import SystemClock
from bluebellyoke.errors import BluebellyokeError, find_error
from bluebellyoke.explanation import Verdict, explain_request
from bluebellyoke.log_lines import LogLine, read_lines
from bluebellyoke.settings import Settings, load_settings

__all__ = ["COMMANDS"]

EXIT_SUCCESS = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2

DEFAULT_SERVER = "127.0.0.1:8001"


class NoDataFolderError(BluebellyokeError):
    """The settings do not name a data folder to initialize."""

    def __init__(self, path: Path) -> None:
        super().__init__(
            f"{path}: key `instance.data_folder` is missing",
            remedy="add it, or start the instance without `init`",
        )


class UnreadableFileError(BluebellyokeError):
    """A file named on the command line cannot be read."""

    def __init__(
        self,
        path: Path,
        error: Exception,
        remedy: str = "name a JSON file, or - for stdin",
    ) -> None:
        super().__init__(f"{path}: cannot be read: {error}", remedy=remedy)


def serve(*, settings: Path) -> int:
    """Run an instance until it is stopped.

    SIGTERM, SIGINT and `drain` stop it gracefully. Example:
    `bluebellyoke serve --settings instance.toml`

    :param settings: Settings file of the instance, in TOML.
    """
    # Imported here so that the other subcommands start faster.
    from bluebellyoke.instance.application import Application
    from bluebellyoke.logs import configure_logs

    loaded = load_settings(settings)
    configure_logs(level=loaded.log.level, instance=loaded.instance.name)
    application = Application(settings=loaded, path=settings, clock=SystemClock())
    gc.freeze()
    try:
        anyio.run(application.run)
    except BaseExceptionGroup as group:
        error = find_error(group)
        if error is None:
            raise
        raise error from group
    return EXIT_SUCCESS


def init(*, settings: Path, new_cell: bool = False) -> int:
    """Initialize the data folder of an instance.

    Use --new-cell for the first replica of a cell; the other replicas join it.
    Example: `bluebellyoke init --settings instance.toml --new-cell`

    :param settings: Settings file of the instance, in TOML.
    :param new_cell: Create the cell; use it for exactly one replica of a cell.
    """
    from bluebellyoke.consensus.bootstrap import create_replica

    loaded = load_settings(settings)
    instance = loaded.instance
    if instance.data_folder is None:
        raise NoDataFolderError(settings)
    identity = create_replica(
        folder=instance.data_folder,
        cell=loaded.cell.name,
        replica=f"{instance.name}-{uuid.uuid4().hex[:8]}",
        name=instance.name,
        address=instance.address,
        port=instance.external_peer_port,
        data_centre=instance.data_centre,
        new_cell=new_cell,
    )
    print(f"created replica {identity.replica} of cell {identity.cell}")
    return EXIT_SUCCESS


def check_settings(*files: Path) -> int:
    """Check settings files, and that they are consistent as one cell.

    Example: `bluebellyoke check-settings examples/palletra/*.toml`

    :param files: Settings files, in TOML.
    """
    if not files:
        print("bluebellyoke: name at least one settings file", file=sys.stderr)
        return EXIT_USAGE
    loaded = [(path, load_settings(path)) for path in files]
    conflicts = find_conflicts(loaded)
    for conflict in conflicts:
        print(conflict, file=sys.stderr)
    if conflicts:
        return EXIT_USAGE
    print(f"{len(loaded)} settings files are valid")
    return EXIT_SUCCESS


def find_conflicts(loaded: list[tuple[Path, Settings]]) -> list[str]:
    """Return the conflicts between the settings files of one cell."""
    conflicts = []
    names: dict[str, Path] = {}
    endpoints: dict[str, Path] = {}
    first_path, first = loaded[0]
    for path, settings in loaded:
        if settings.cell != first.cell or settings.limits != first.limits:
            conflicts.append(
                f"{path}: tables `cell` and `limits` differ from {first_path}; "
                "make them equal"
            )
        instance = settings.instance
        if instance.name in names:
            conflicts.append(
                f"{path}: key `instance.name`: {instance.name!r} is also in "
                f"{names[instance.name]}; choose another"
            )
        names.setdefault(instance.name, path)
        for key in ("http_port", "peer_port"):
            endpoint = f"{instance.address}:{getattr(instance, key)}"
            if endpoint in endpoints:
                conflicts.append(
                    f"{path}: key `instance.{key}`: {endpoint} is also in "
                    f"{endpoints[endpoint]}; choose another"
                )
            endpoints.setdefault(endpoint, path)
    replicas = sum(settings.instance.data_folder is not None for _, settings in loaded)
    if len(loaded) > 1 and replicas < first.cell.voters:
        conflicts.append(
            f"{first_path}: key `cell.voters`: {first.cell.voters} voters are "
            f"required but only {replicas} files name a data folder; add "
            "`instance.data_folder`"
        )
    return conflicts


def ticket_apply(file: Path, *, server: list[str] | None = None, json: bool = False):
    """Apply a change ticket.

    Example: `bluebellyoke ticket apply change-17.json --server 10.0.0.1:8001`

    :param file: JSON file of the ticket, or - for standard input.
    :param server: HTTP address of an instance; may be repeated.
    :param json: Print the response as JSON.
    """
    response = _request(server, "POST", "/v1/tickets", _read_file(file))
    return _print_response(response, as_json=json)


def ticket_show(
    number: int | None = None,
    *,
    server: list[str] | None = None,
    json: bool = False,
):
    """Show a ticket's outcome, or the configuration and the next free number.

    Example: `bluebellyoke ticket show 17`

    :param number: Number of the ticket; leave it out to show the configuration.
    :param server: HTTP address of an instance; may be repeated.
    :param json: Print the response as JSON.
    """
    path = "/v1/tickets" if number is None else f"/v1/tickets/{number}"
    return _print_response(_request(server, "GET", path), as_json=json)


def job_submit(file: Path, *, server: list[str] | None = None, json: bool = False):
    """Submit a job; submitting the same file twice runs it once.

    Example: `bluebellyoke job submit stock.json`

    :param file: JSON file of the job, or - for standard input.
    :param server: HTTP address of an instance; may be repeated.
    :param json: Print the response as JSON.
    """
    response = _request(server, "POST", "/v1/jobs", _read_file(file))
    return _print_response(response, as_json=json)


def job_show(job_id: str, *, server: list[str] | None = None, json: bool = False):
    """Show a job and its tasks.

    Example: `bluebellyoke job show stock-2026-12-04`

    :param job_id: ID of the job.
    :param server: HTTP address of an instance; may be repeated.
    :param json: Print the response as JSON.
    """
    return _print_response(_request(server, "GET", f"/v1/jobs/{job_id}"), as_json=json)


def job_cancel(job_id: str, *, server: list[str] | None = None, json: bool = False):
    """Cancel a job; its workers stop the running tasks.

    Example: `bluebellyoke job cancel stock-2026-12-04`

    :param job_id: ID of the job.
    :param server: HTTP address of an instance; may be repeated.
    :param json: Print the response as JSON.
    """
    return _print_response(
        _request(server, "DELETE", f"/v1/jobs/{job_id}"), as_json=json
    )


def status(*, server: list[str] | None = None, json: bool = False):
    """Show the state of the cell and the view version of each instance.

    The view version grows with each change of the replicated state that instances see.
    Example: `bluebellyoke status --server 10.0.0.1:8001`

    :param server: HTTP address of an instance; may be repeated.
    :param json: Print the response as JSON.
    """
    return _print_response(_request(server, "GET", "/v1/status"), as_json=json)


def explain(
    job_id: str,
    *,
    logs: list[Path] | None = None,
    server: list[str] | None = None,
    json: bool = False,
):
    """Explain why a job's tasks wait or where they were placed.

    A job of a workspace is looked up on an instance. For a request to a queue, pass
    the logs of the instances. Examples:
    `bluebellyoke explain stock-2026-12-04`
    `bluebellyoke explain 5c0e7a21d94b36f8 --logs a.log b.log`

    :param job_id: ID of the job.
    :param logs: Log files of instances, or - for standard input.
    :param server: HTTP address of an instance; may be repeated.
    :param json: Print the response as JSON.
    """
    if logs:
        return _explain_from_logs(job_id, logs, as_json=json)
    response = _request(server, "GET", f"/v1/jobs/{job_id}/explain")
    return _print_response(response, as_json=json)


def _explain_from_logs(job_id: str, paths: list[Path], *, as_json: bool) -> int:
    with contextlib.ExitStack() as stack:
        sources = [_open_log(path, stack) for path in paths]
        explanation = explain_request(read_lines(sources), job_id)
    value = {
        "id": job_id,
        "verdict": explanation.verdict.value,
        "cause": explanation.cause,
        "way": [
            {"seconds": round(span.duration_s, 3), "why": span.description}
            for span in explanation.spans
        ],
        "lines": [
            {"time": str(line.time), "instance": line.instance, **_select_fields(line)}
            for line in explanation.lines
        ],
    }
    code = EXIT_REFUSED if explanation.verdict is Verdict.UNKNOWN else EXIT_SUCCESS
    print(json.dumps(value) if as_json else "\n".join(_format_value(value)))
    return code


def _open_log(path: Path, stack: contextlib.ExitStack) -> Iterable[str]:
    if str(path) == "-":
        return sys.stdin
    try:
        return stack.enter_context(path.open(errors="replace"))
    except OSError as error:
        raise UnreadableFileError(path, error, remedy="name a log file") from None


def _select_fields(line: LogLine) -> dict:
    """Return the message and fields of a log line, without the common fields."""
    excluded = {"time", "instance", "level", "logger"}
    return {key: item for key, item in line.fields.items() if key not in excluded}


def drain(*, server: list[str] | None = None, json: bool = False):
    """Stop an instance gracefully.

    Example: `bluebellyoke drain --server 10.0.0.1:8001`

    :param server: HTTP address of the instance.
    :param json: Print the response as JSON.
    """
    return _print_response(_request(server, "POST", "/v1/drain"), as_json=json)


def version() -> int:
    """Print the version."""
    print(__version__)
    return EXIT_SUCCESS


def _request(
    server: list[str] | None, method: str, path: str, body: bytes = b""
) -> ApiResponse:
    return Client(server or [DEFAULT_SERVER]).request(method, path, body)


def _read_file(path: Path) -> bytes:
    try:
        data = sys.stdin.buffer.read() if str(path) == "-" else path.read_bytes()
        json.loads(data)
    except (OSError, ValueError) as error:
        raise UnreadableFileError(path, error) from None
    return data


def _print_response(response: ApiResponse, *, as_json: bool) -> int:
    stream = sys.stdout if response.is_success else sys.stderr
    if as_json:
        print(json.dumps(response.value), file=sys.stdout)
    else:
        for line in _format_value(response.value):
            print(line, file=stream)
    return EXIT_SUCCESS if response.is_success else EXIT_REFUSED


def _format_value(value: dict, indent: str = "") -> list[str]:
    """Format a JSON object as indented lines."""
    lines = []
    for key, item in value.items():
        if isinstance(item, dict) and item:
            lines.append(f"{indent}{key}:")
            lines += _format_value(item, indent + "  ")
        elif isinstance(item, list) and item and isinstance(item[0], dict):
            lines.append(f"{indent}{key}:")
            lines += [f"{indent}  - {_format_row(row)}" for row in item]
        else:
            lines.append(f"{indent}{key}: {item}")
    return lines


def _format_row(row: dict) -> str:
    return ", ".join(f"{key} {value}" for key, value in row.items())


COMMANDS = {
    "serve": serve,
    "init": init,
    "check-settings": check_settings,
    "ticket": {"apply": ticket_apply, "show": ticket_show},
    "job": {"submit": job_submit, "show": job_show, "cancel": job_cancel},
    "status": status,
    "explain": explain,
    "drain": drain,
    "version": version,
}
