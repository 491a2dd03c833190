"""Addresses at which targets are reached."""

from __future__ import annotations

import functools
import ipaddress
import typing as ty

PORT_DIGITS_MAX: ty.Final = 5
PORT_MAX: ty.Final = 65_535
ADDRESSES_CACHED: ty.Final = 4_096


@functools.lru_cache(maxsize=ADDRESSES_CACHED)
def is_endpoint(address: str) -> bool:
    """Whether a text is an IP address and a port, as ``ADDRESS:PORT``."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return (
        port.isascii()
        and port.isdecimal()
        and len(port) <= PORT_DIGITS_MAX
        and 0 < int(port) <= PORT_MAX
    )
