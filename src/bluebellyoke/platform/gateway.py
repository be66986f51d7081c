"""The adapter as the instance uses it."""

import logging
from pathlib import Path

from bluebellyoke.dispatch.ports import Advisor, WorkerClient
from bluebellyoke.instance.gateway import Gateway, GatewayContext, Listener
from bluebellyoke.platform.clients import PlatformAdvisor, PlatformWorkers
from bluebellyoke.platform.listeners import ControlApp, FrontApp, ReadyApp
from bluebellyoke.platform.settings import (
    PlatformSettings,
    read_settings,
    split_endpoint,
    translate_settings,
)
from bluebellyoke.settings import Settings, SettingsError

__all__ = ["PlatformGateway"]

logger = logging.getLogger("bluebellyoke.platform")


class PlatformGateway(Gateway):
    """Listeners and clients in the platform's formats.

    Args:
        given: The platform's settings.
        path: File that they were read from.
    """

    def __init__(self, given: PlatformSettings, path: Path) -> None:
        self._given = given
        self._path = path

    def create_listeners(self, context: GatewayContext) -> list[Listener]:
        """Return a listener for each address of the settings."""
        listen = self._given.Listen
        pairs = (
            (listen.Front, FrontApp(context)),
            (listen.Ready, ReadyApp(context)),
            (listen.Control, ControlApp(context)),
        )
        return [
            Listener(*split_endpoint(endpoint), app)
            for endpoint, app in pairs
            if endpoint is not None
        ]

    def create_worker_client(self) -> WorkerClient:
        """Return the client of the workers."""
        return PlatformWorkers()

    def create_advisor(self) -> Advisor | None:
        """Return the client of the advisor, if the deployment has one."""
        address = self._given.Advisor
        return PlatformAdvisor(address) if address is not None else None

    def reload_settings(self) -> Settings | None:
        """Read the settings anew."""
        try:
            return translate_settings(read_settings(self._path))
        except SettingsError as error:
            logger.error("platform: keeps its settings", extra={"fault": str(error)})
            return None
