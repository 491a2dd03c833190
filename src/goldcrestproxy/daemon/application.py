"""Command line and exit codes of ``goldcrestproxyd``."""

from __future__ import annotations

import argparse
import asyncio
import os
import pathlib
import signal
import sys
import typing as ty

from goldcrestproxy import __version__
from goldcrestproxy.daemon import composition
from goldcrestproxy.daemon import fleet_composition
from goldcrestproxy.daemon import fleet_running
from goldcrestproxy.daemon import running
from goldcrestproxy import errors
from goldcrestproxy import settings
from goldcrestproxy import telemetry

EXIT_OK: ty.Final = 0
EXIT_SETTINGS: ty.Final = 78
EXIT_STORAGE: ty.Final = 74


def main(arguments: ty.Sequence[str] | None = None) -> int:
    """Run a daemon; return its exit code."""
    parser = argparse.ArgumentParser(
        prog="goldcrestproxyd",
        description="Daemon of goldcrestproxy: entry and control roles.",
    )
    settings_group = parser.add_mutually_exclusive_group(required=True)
    settings_group.add_argument(
        "--settings",
        type=pathlib.Path,
        help="file with this host's settings, JSON with comments",
    )
    settings_group.add_argument(
        "--settings-from-env",
        metavar="NAME",
        help="environment variable that holds the path of that file",
    )
    parser.add_argument("--version", action="version", version=__version__)
    options = parser.parse_args(arguments)
    flush_logs: ty.Callable[[], None] | None = None
    try:
        file = _settings_file(options)
        host_settings = settings.load_host_settings(file)
        flush_logs = telemetry.set_up_logging(
            host_settings.telemetry, host_settings.host
        )
        asyncio.run(_run(host_settings, file))
    except errors.SettingsError as error:
        print(f"goldcrestproxyd: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    except errors.StorageError as error:
        print(f"goldcrestproxyd: {error}", file=sys.stderr)
        return EXIT_STORAGE
    finally:
        # The end of the event loop restores the default actions of signals,
        # which would end the process with other exit codes.
        for number in (signal.SIGHUP, signal.SIGTERM):
            signal.signal(number, signal.SIG_IGN)
        if flush_logs is not None:
            flush_logs()
    return EXIT_OK


def _settings_file(options: argparse.Namespace) -> pathlib.Path:
    """Return the path of the settings file.

    :raises SettingsError: if the environment variable is not set
    """
    if options.settings is not None:
        return ty.cast(pathlib.Path, options.settings)
    name = options.settings_from_env
    path = os.environ.get(name)
    if not path:
        raise errors.SettingsError(
            name, "", "is not set; the path of a settings file is expected"
        )
    return pathlib.Path(path)


async def _run(
    host_settings: settings.HostSettings, file: pathlib.Path
) -> None:
    if host_settings.fleet is not None:
        daemon = fleet_composition.compose(host_settings, host_settings.fleet)
        await fleet_running.run(daemon, file)
    else:
        await running.run(composition.compose(host_settings))
