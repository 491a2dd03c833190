"""Listening, with an error that names the setting at fault."""

from __future__ import annotations

import typing as ty

from goldcrestproxy import errors


def listen(server: ty.Any, setting: str, address: str, port: int) -> None:
    """Let a server listen.

    :param setting: the setting that names the port
    :raises SettingsError: when the port cannot be listened on
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
