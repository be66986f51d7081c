"""The instance's gateway interface, implemented for the platform."""

import logging
from pathlib import Path

from bluebellyoke.dispatch.ports import Advisor, WorkerClient
from bluebellyoke.instance.gateway import Gateway, GatewayContext, Listener
from bluebellyoke.platform.clients import PlatformAdvisor, PlatformWorkerClient
from bluebellyoke.platform.listeners import ControlApp, QueueApp, ReadinessApp
from bluebellyoke.platform.settings import (
    PlatformSettings,
    read_settings,
    split_endpoint,
    translate_settings,
)
from bluebellyoke.settings import Settings, SettingsError

__all__ = ["PlatformGateway"]

logger = logging.getLogger("bluebellyoke.platform")

#: Maximum number of characters of an odd seed that the log shows.
MAX_SHOWN = 80


class PlatformGateway(Gateway):
    """Adapter of an instance to the platform.

    Args:
        settings: The platform's settings.
        path: File from which they were read.
    """

    def __init__(self, settings: PlatformSettings, path: Path) -> None:
        self._settings = settings
        self._path = path
        self._last_content: bytes | None = None
        _report_odd_seeds(settings)

    def create_listeners(self, context: GatewayContext) -> list[Listener]:
        """Return a listener for each configured address."""
        listen = self._settings.Listen
        create_apps = (
            (listen.Front, lambda port: QueueApp(context)),
            (listen.Ready, lambda port: ReadinessApp(context)),
            (listen.Control, lambda port: ControlApp(context, port=port)),
        )
        listeners = []
        for endpoint, create_app in create_apps:
            if endpoint is not None:
                address, port = split_endpoint(endpoint)
                app = create_app(port)
                listeners.append(Listener(address, port, app, app.max_body_bytes))
        return listeners

    def create_worker_client(self) -> WorkerClient:
        """Return the client of the workers."""
        return PlatformWorkerClient()

    def create_advisor(self) -> Advisor | None:
        """Return the client of the advisor, if the deployment has one."""
        address = self._settings.Advisor
        return PlatformAdvisor(address) if address is not None else None

    def reload_settings(self) -> Settings | None:
        """Read the settings again; return None if unchanged or if that fails.

        A file that cannot be read or used is logged once until it changes.
        """
        content = self._read_content()
        if content == self._last_content:
            return None
        self._last_content = content
        try:
            platform_settings = read_settings(self._path)
        except SettingsError as error:
            logger.error(
                "platform: could not reload the settings; the old ones stay in effect",
                extra={"fault": str(error)},
            )
            return None
        _report_odd_seeds(platform_settings)
        return translate_settings(platform_settings)

    def _read_content(self) -> bytes:
        """Return the content of the settings file, which is empty if unreadable."""
        try:
            return self._path.read_bytes()
        except OSError:
            # `read_settings` reports the error.
            return b""


def _report_odd_seeds(settings: PlatformSettings) -> None:
    if settings.odd_seeds:
        logger.warning(
            "platform: left out seeds that are no addresses; write IP:PORT",
            extra={"seeds": [repr(x)[:MAX_SHOWN] for x in settings.odd_seeds]},
        )
