"""Start of listening, with errors that name the setting."""

from __future__ import annotations

import typing as ty

from goldcrestproxy import errors


def listen(server: ty.Any, setting: str, address: str, port: int) -> None:
    """Start listening on an address and port.

    :param setting: name of the setting that gives the port
    :raises SettingsError: if the port cannot be listened on
    """
    try:
        server.listen(port, address=address)
    except OSError as error:
        raise errors.SettingsError(
            "settings",
            setting,
            f"cannot listen on {address}:{port}: {error.strerror}; choose a "
            "free port",
        ) from error
