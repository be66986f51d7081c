"""Entry point of the command line."""

import sys

import defopt

from bluebellyoke.client import NoInstanceError
from bluebellyoke.commands import COMMANDS, EXIT_USAGE
from bluebellyoke.errors import BluebellyokeError

__all__ = ["main"]

EXIT_UNREACHABLE = 3


def main(argv: list[str] | None = None) -> None:
    """Run a subcommand and exit with its exit code.

    Args:
        argv: Command-line arguments, or None for those of the process.
    """
    try:
        code = defopt.run(
            COMMANDS,
            argv=argv,
            cli_options="kwonly",
            show_defaults=False,
            no_negated_flags=True,
        )
    except NoInstanceError as error:
        print_error(error)
        sys.exit(EXIT_UNREACHABLE)
    except BluebellyokeError as error:
        print_error(error)
        sys.exit(EXIT_USAGE)
    sys.exit(code)


def print_error(error: BluebellyokeError) -> None:
    """Print an error; a failed write, as on a full disk, keeps the exit code."""
    try:
        print(f"bluebellyoke: {error}", file=sys.stderr, flush=True)
    except OSError:
        # Otherwise the interpreter flushes the buffer again at exit and fails.
        sys.stderr = None


if __name__ == "__main__":
    main()
