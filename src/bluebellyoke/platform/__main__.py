"""Start of an instance on the platform."""

import gc
import sys

import anyio

from bluebellyoke.clock import SystemClock
from bluebellyoke.errors import BluebellyokeError, find_error
from bluebellyoke.instance.application import Application
from bluebellyoke.logs import configure_logs
from bluebellyoke.platform.gateway import PlatformGateway
from bluebellyoke.platform.settings import find_path, read_settings, translate_settings

__all__ = ["main"]

EXIT_FAULT = 2


def main() -> int:
    """Run an instance with the platform's settings; return its exit code."""
    try:
        path = find_path()
        given = read_settings(path)
        settings = translate_settings(given)
        configure_logs(
            level=settings.log.level, instance=settings.instance.name, to=sys.stdout
        )
        application = Application(
            settings=settings,
            path=path,
            clock=SystemClock(),
            gateway=PlatformGateway(given, path),
        )
        gc.freeze()
        anyio.run(application.run)
    except BluebellyokeError as error:
        print(f"bluebellyoke: {error}", file=sys.stderr)
        return EXIT_FAULT
    except BaseExceptionGroup as group:
        fault = find_error(group)
        if fault is None:
            raise
        print(f"bluebellyoke: {fault}", file=sys.stderr)
        return EXIT_FAULT
    return 0


if __name__ == "__main__":
    sys.exit(main())
