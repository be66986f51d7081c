"""Entry point of an instance on the platform."""

import gc
import sys

import anyio

from bluebellyoke.clock import SystemClock
from bluebellyoke.errors import BluebellyokeError, find_error
from bluebellyoke.instance.application import Application
from bluebellyoke.logs import configure_logs
from bluebellyoke.platform.gateway import PlatformGateway
from bluebellyoke.platform.settings import (
    find_settings_path,
    read_settings,
    translate_settings,
)

__all__ = ["main"]

EXIT_ERROR = 2


def main() -> int:
    """Run an instance with the platform's settings and return the exit code."""
    try:
        path = find_settings_path()
        platform_settings = read_settings(path)
        settings = translate_settings(platform_settings)
        configure_logs(
            level=settings.log.level, instance=settings.instance.name, stream=sys.stdout
        )
        application = Application(
            settings=settings,
            path=path,
            clock=SystemClock(),
            gateway=PlatformGateway(platform_settings, path),
        )
        gc.freeze()
        anyio.run(application.run)
    except BluebellyokeError as error:
        print(f"bluebellyoke: {error}", file=sys.stderr)
        return EXIT_ERROR
    except BaseExceptionGroup as group:
        cause = find_error(group)
        if cause is None:
            raise
        print(f"bluebellyoke: {cause}", file=sys.stderr)
        return EXIT_ERROR
    return 0


if __name__ == "__main__":
    sys.exit(main())
