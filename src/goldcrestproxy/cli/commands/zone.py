"""The ``goldcrestproxy zone`` command."""

from __future__ import annotations

import argparse

from goldcrestproxy.cli import client as clients
from goldcrestproxy.cli import command
from goldcrestproxy.cli.commands import apply


class ZoneCommand(command.Command):
    """Takes a zone out of service or returns it to service."""

    name = "zone"
    help = "take an availability zone out, or bring it back"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the direction, the zone and the arguments of a change."""
        parser.add_argument("direction", choices=("out", "in"))
        parser.add_argument("zone")
        command.add_change_arguments(parser)

    def run(
        self, args: argparse.Namespace, client: clients.Client
    ) -> command.Output:
        """Change the zone if the expected revision is in force."""
        answer = client.post(
            f"/v1/zones/{args.zone}",
            {
                "out": args.direction == "out",
                **command.change_fields(args),
            },
        )
        return apply.change_output(args, client, answer)
