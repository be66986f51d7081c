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
        print(f"bluebellyoke: {error}", file=sys.stderr)
        sys.exit(EXIT_UNREACHABLE)
    except BluebellyokeError as error:
        print(f"bluebellyoke: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    sys.exit(code)


if __name__ == "__main__":
    main()
