"""Entry point of the program."""

import sys

import defopt

from bluebellyoke.client import NoInstanceError
from bluebellyoke.commands import COMMANDS, EXIT_USAGE
from bluebellyoke.errors import BluebellyokeError

__all__ = ["main"]

EXIT_UNREACHABLE = 3


def main(argv: list[str] | None = None) -> None:
    """Run a subcommand and exit with its code."""
    try:
        code = defopt.run(
            COMMANDS,
            argv=argv,
            cli_options="kwonly",
            show_defaults=False,
            no_negated_flags=True,
        )
    except NoInstanceError as error:
        print_fault(error)
        sys.exit(EXIT_UNREACHABLE)
    except BluebellyokeError as error:
        print_fault(error)
        sys.exit(EXIT_USAGE)
    sys.exit(code)


def print_fault(error: BluebellyokeError) -> None:
    """Print a fault; a full disk under standard error does not change the exit."""
    try:
        print(f"bluebellyoke: {error}", file=sys.stderr, flush=True)
    except OSError:
        # What is left in the buffer would fail again at the end of the program.
        sys.stderr = None


if __name__ == "__main__":
    main()
