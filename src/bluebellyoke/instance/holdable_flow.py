"""Flow control of an HTTP connection whose reading can be held back."""

import asyncio

from uvicorn.protocols.http.flow_control import FlowControl

__all__ = ["HoldableFlow"]


class HoldableFlow(FlowControl):
    """Flow control that does not resume reading while parsed data has to wait."""

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self.is_held = False

    def resume_reading(self) -> None:
        """Resume reading unless it is held back."""
        if not self.is_held:
            super().resume_reading()
