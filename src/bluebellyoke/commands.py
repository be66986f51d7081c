"""Subcommands of the command line.

Exit codes: 0 done, 1 refused or not found, 2 wrong use or settings, 3 no instance
answered.
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
from bluebellyoke.client import ApiReply, Client
from bluebellyoke.clock import SystemClock
from bluebellyoke.errors import BluebellyokeError, find_error
from bluebellyoke.explanation import LogLine, Verdict, explain_request, read_lines
from bluebellyoke.settings import Settings, load_settings

__all__ = ["COMMANDS"]

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2

DEFAULT_SERVER = "127.0.0.1:8001"


class NoDataFolderError(BluebellyokeError):
    """The settings name no data folder to initialize."""

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
    """Run one instance until it is told to stop.

    SIGTERM, SIGINT and `drain` stop it gracefully. Example:
    `bluebellyoke serve --settings instance.toml`

    :param settings: TOML file of the instance.
    """
    # Imported here because the other subcommands start faster without it.
    from bluebellyoke.instance.application import Application
    from bluebellyoke.logs import configure_logs

    checked = load_settings(settings)
    configure_logs(level=checked.log.level, instance=checked.instance.name)
    application = Application(settings=checked, path=settings, clock=SystemClock())
    gc.freeze()
    try:
        anyio.run(application.run)
    except BaseExceptionGroup as group:
        fault = find_error(group)
        if fault is None:
            raise
        raise fault from group
    return EXIT_DONE


def init(*, settings: Path, new_cell: bool = False) -> int:
    """Make the data folder of an instance, once.

    The first replica of a cell is made with --new-cell; the others join it. Example:
    `bluebellyoke init --settings instance.toml --new-cell`

    :param settings: TOML file of the instance.
    :param new_cell: Create the cell; true for exactly one replica of a cell.
    """
    from bluebellyoke.consensus.bootstrap import create_replica

    checked = load_settings(settings)
    own = checked.instance
    if own.data_folder is None:
        raise NoDataFolderError(settings)
    identity = create_replica(
        folder=own.data_folder,
        cell=checked.cell.name,
        replica=f"{own.name}-{uuid.uuid4().hex[:8]}",
        name=own.name,
        address=own.address,
        port=own.external_peer_port,
        data_centre=own.data_centre,
        new_cell=new_cell,
    )
    print(f"made replica {identity.replica} of cell {identity.cell}")
    return EXIT_DONE


def check_settings(*files: Path) -> int:
    """Check settings files, and that they fit together as one cell.

    Example: `bluebellyoke check-settings examples/palletra/*.toml`

    :param files: TOML files.
    """
    if not files:
        print("bluebellyoke: name at least one settings file", file=sys.stderr)
        return EXIT_USAGE
    checked = [(path, load_settings(path)) for path in files]
    faults = find_conflicts(checked)
    for fault in faults:
        print(fault, file=sys.stderr)
    if faults:
        return EXIT_USAGE
    print(f"{len(checked)} settings files are in order")
    return EXIT_DONE


def find_conflicts(checked: list[tuple[Path, Settings]]) -> list[str]:
    """Return what keeps settings files from forming one cell."""
    faults = []
    names: dict[str, Path] = {}
    endpoints: dict[str, Path] = {}
    first_path, first = checked[0]
    for path, item in checked:
        if item.cell != first.cell or item.limits != first.limits:
            faults.append(
                f"{path}: tables `cell` and `limits` differ from {first_path}; "
                "make them alike"
            )
        own = item.instance
        if own.name in names:
            faults.append(
                f"{path}: key `instance.name`: {own.name!r} is also in "
                f"{names[own.name]}; choose another"
            )
        names.setdefault(own.name, path)
        for key in ("http_port", "peer_port"):
            endpoint = f"{own.address}:{getattr(own, key)}"
            if endpoint in endpoints:
                faults.append(
                    f"{path}: key `instance.{key}`: {endpoint} is also in "
                    f"{endpoints[endpoint]}; choose another"
                )
            endpoints.setdefault(endpoint, path)
    replicas = sum(item.instance.data_folder is not None for _, item in checked)
    if len(checked) > 1 and replicas < first.cell.voters:
        faults.append(
            f"{first_path}: key `cell.voters`: {first.cell.voters} voters are wanted "
            f"and {replicas} files name a data folder; add `instance.data_folder`"
        )
    return faults


def ticket_apply(file: Path, *, server: list[str] | None = None, json: bool = False):
    """Put a change ticket in force.

    Example: `bluebellyoke ticket apply change-17.json --server 10.0.0.1:8001`

    :param file: JSON file of the ticket, or - for standard input.
    :param server: HTTP address of an instance; may be repeated.
    :param json: Print the answer as JSON.
    """
    reply = _ask(server, "POST", "/v1/tickets", _read_file(file))
    return _print_reply(reply, as_json=json)


def ticket_show(
    number: int | None = None,
    *,
    server: list[str] | None = None,
    json: bool = False,
):
    """Show a ticket's outcome, or what is in force and the next free number.

    Example: `bluebellyoke ticket show 17`

    :param number: Number of the ticket.
    :param server: HTTP address of an instance; may be repeated.
    :param json: Print the answer as JSON.
    """
    path = "/v1/tickets" if number is None else f"/v1/tickets/{number}"
    return _print_reply(_ask(server, "GET", path), as_json=json)


def job_submit(file: Path, *, server: list[str] | None = None, json: bool = False):
    """Submit a job; the same file twice runs it once.

    Example: `bluebellyoke job submit stock.json`

    :param file: JSON file of the job, or - for standard input.
    :param server: HTTP address of an instance; may be repeated.
    :param json: Print the answer as JSON.
    """
    reply = _ask(server, "POST", "/v1/jobs", _read_file(file))
    return _print_reply(reply, as_json=json)


def job_show(job_id: str, *, server: list[str] | None = None, json: bool = False):
    """Show a job and its tasks.

    Example: `bluebellyoke job show stock-2026-12-04`

    :param job_id: Identity of the job.
    :param server: HTTP address of an instance; may be repeated.
    :param json: Print the answer as JSON.
    """
    return _print_reply(_ask(server, "GET", f"/v1/jobs/{job_id}"), as_json=json)


def job_cancel(job_id: str, *, server: list[str] | None = None, json: bool = False):
    """Cancel a job; running tasks are stopped by their workers.

    Example: `bluebellyoke job cancel stock-2026-12-04`

    :param job_id: Identity of the job.
    :param server: HTTP address of an instance; may be repeated.
    :param json: Print the answer as JSON.
    """
    return _print_reply(_ask(server, "DELETE", f"/v1/jobs/{job_id}"), as_json=json)


def status(*, server: list[str] | None = None, json: bool = False):
    """Show the cell, and which instance has which ticket in force.

    Example: `bluebellyoke status --server 10.0.0.1:8001`

    :param server: HTTP address of an instance; may be repeated.
    :param json: Print the answer as JSON.
    """
    return _print_reply(_ask(server, "GET", "/v1/status"), as_json=json)


def explain(
    job_id: str,
    *,
    logs: list[Path] | None = None,
    server: list[str] | None = None,
    json: bool = False,
):
    """Tell why a job's tasks wait, or where they went.

    An instance is asked about a job of a workspace. For a request to a queue, name
    the logs of the instances. Examples:
    `bluebellyoke explain stock-2026-12-04`
    `bluebellyoke explain 5c0e7a21d94b36f8 --logs a.log --logs b.log`

    :param job_id: Identity of the job.
    :param logs: Log of an instance, or - for standard input; may be repeated.
    :param server: HTTP address of an instance; may be repeated.
    :param json: Print the answer as JSON.
    """
    if logs:
        return _explain_from_logs(job_id, logs, as_json=json)
    reply = _ask(server, "GET", f"/v1/jobs/{job_id}/explain")
    return _print_reply(reply, as_json=json)


def _explain_from_logs(job_id: str, paths: list[Path], *, as_json: bool) -> int:
    with contextlib.ExitStack() as stack:
        sources = [_open_log(path, stack) for path in paths]
        found = explain_request(read_lines(sources), job_id)
    value = {
        "id": job_id,
        "verdict": found.verdict.value,
        "cause": found.cause,
        "way": [
            {"seconds": round(part.seconds, 3), "why": part.why} for part in found.parts
        ],
        "lines": [
            {"time": str(line.time), "instance": line.instance, **_shorten(line)}
            for line in found.lines
        ],
    }
    code = EXIT_REFUSED if found.verdict is Verdict.UNKNOWN else EXIT_DONE
    print(json.dumps(value) if as_json else "\n".join(_format_value(value)))
    return code


def _open_log(path: Path, stack: contextlib.ExitStack) -> Iterable[str]:
    if str(path) == "-":
        return sys.stdin
    try:
        return stack.enter_context(path.open(errors="replace"))
    except OSError as error:
        raise UnreadableFileError(path, error, remedy="name a log file") from None


def _shorten(line: LogLine) -> dict:
    """Return message and fields of a line without those that repeat themselves."""
    left_out = {"time", "instance", "level", "logger"}
    return {key: item for key, item in line.fields.items() if key not in left_out}


def drain(*, server: list[str] | None = None, json: bool = False):
    """Stop one instance gracefully.

    Example: `bluebellyoke drain --server 10.0.0.1:8001`

    :param server: HTTP address of the instance.
    :param json: Print the answer as JSON.
    """
    return _print_reply(_ask(server, "POST", "/v1/drain"), as_json=json)


def version() -> int:
    """Print the version."""
    print(__version__)
    return EXIT_DONE


def _ask(
    server: list[str] | None, method: str, path: str, body: bytes = b""
) -> ApiReply:
    return Client(server or [DEFAULT_SERVER]).request(method, path, body)


def _read_file(path: Path) -> bytes:
    try:
        data = sys.stdin.buffer.read() if str(path) == "-" else path.read_bytes()
        json.loads(data)
    except (OSError, ValueError) as error:
        raise UnreadableFileError(path, error) from None
    return data


def _print_reply(reply: ApiReply, *, as_json: bool) -> int:
    stream = sys.stdout if reply.is_success else sys.stderr
    if as_json:
        print(json.dumps(reply.value), file=sys.stdout)
    else:
        for line in _format_value(reply.value):
            print(line, file=stream)
    return EXIT_DONE if reply.is_success else EXIT_REFUSED


def _format_value(value: dict, indent: str = "") -> list[str]:
    """Return a JSON object as indented lines."""
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
