"""The ``goldcrestproxy check`` command."""

from __future__ import annotations

import argparse
import pathlib

from goldcrestproxy.cli import client as clients
from goldcrestproxy.cli import command
from goldcrestproxy import settings


class CheckCommand(command.Command):
    """Validates a file without a daemon."""

    name = "check"
    help = "check a configuration file, or a host's settings"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the file and its kind."""
        parser.add_argument("file", type=pathlib.Path)
        parser.add_argument(
            "--host-settings",
            action="store_true",
            help="the file holds a daemon's settings",
        )

    def run(
        self, args: argparse.Namespace, client: clients.Client
    ) -> command.Output:
        """Validate the file; errors give the path inside it."""
        if args.host_settings:
            host = settings.load_host_settings(args.file)
            return command.Output(
                value={"valid": True, "host": host.host},
                text=f"{args.file}: settings of host {host.host} are valid",
            )
        checked = settings.load_deployment(args.file)
        names = sorted(checked.customers)
        return command.Output(
            value={"valid": True, "customers": names},
            text=f"{args.file}: valid; customers: {', '.join(names)}",
        )
