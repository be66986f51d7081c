"""Validation of addresses that other programs and machines send.

An address that cannot be dialled must not reach the code that opens connections:
besides OSError, the event loop raises ValueError, UnicodeError or OverflowError for
it, depending on the fault.
"""

import ipaddress

from bluebellyoke.errors import BluebellyokeError

__all__ = ["AddressError", "check_ip", "is_address", "split_address"]

MAX_PORT = 65535

#: Maximum number of digits of a port.
MAX_PORT_DIGITS = 5

#: Maximum number of characters of an invalid address that an error message shows.
MAX_SHOWN_CHARACTERS = 80


class AddressError(BluebellyokeError):
    """An address is not an IP address with a port that can be dialled."""

    def __init__(self, text: str) -> None:
        super().__init__(
            f"{text[:MAX_SHOWN_CHARACTERS]!r} is no address of a machine",
            remedy=f"write IP:PORT with a port from 1 to {MAX_PORT}",
        )


def check_ip(text: str) -> str:
    """Return an IP address that other machines can dial.

    The scope of a link-local address names an interface of one machine only, and it
    may contain any character, even line breaks.

    Raises:
        ValueError: The text is no IP address, or it has a scope.
    """
    if "%" in text:
        raise ValueError(f"{text[:MAX_SHOWN_CHARACTERS]!r} has a scope; leave it out")
    ipaddress.ip_address(text)
    return text


def split_address(text: str) -> tuple[str, int]:
    """Return the IP address and port of `IP:PORT`; IPv6 may stand in brackets.

    Raises:
        AddressError: The text does not have this form, or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not is_number or not 1 <= int(port) <= MAX_PORT:
        raise AddressError(text)
    try:
        return check_ip(host), int(port)
    except ValueError:
        raise AddressError(text) from None


def is_address(text: str) -> bool:
    """Return whether the text is an address that can be dialled."""
    try:
        split_address(text)
    except AddressError:
        return False
    return True
