"""The ``goldcrestproxy target`` command."""

from __future__ import annotations

import argparse

from goldcrestproxy.cli import client as clients
from goldcrestproxy.cli import command
from goldcrestproxy.cli.commands import apply


class TargetCommand(command.Command):
    """Drains a target or returns it to service."""

    name = "target"
    help = "drain a target, or take it back into service"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the action, the target and the arguments of a change."""
        parser.add_argument("action", choices=("drain", "undrain"))
        parser.add_argument("target")
        command.add_change_arguments(parser)

    def run(
        self, args: argparse.Namespace, client: clients.Client
    ) -> command.Output:
        """Change the target if the expected revision is in force."""
        answer = client.post(
            f"/v1/targets/{args.target}/drain",
            {
                "drain": args.action == "drain",
                **command.change_fields(args),
            },
        )
        return apply.change_output(args, client, answer)
