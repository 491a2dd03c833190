"""``goldcrestproxy target``."""

from __future__ import annotations

import argparse

from goldcrestproxy.cli import client as clients
from goldcrestproxy.cli import command
from goldcrestproxy.cli.commands import apply


class TargetCommand(command.Command):
    """Takes a target out of service, or back."""

    name = "target"
    help = "drain a target, or take it back into service"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the action, the target and the change's arguments."""
        parser.add_argument("action", choices=("drain", "undrain"))
        parser.add_argument("target")
        command.add_change_arguments(parser)

    def run(
        self, args: argparse.Namespace, client: clients.Client
    ) -> command.Output:
        """Change the target, compare-and-swap."""
        answer = client.post(
            f"/v1/targets/{args.target}/drain",
            {
                "drain": args.action == "drain",
                **command.change_fields(args),
            },
        )
        return apply.change_output(args, client, answer)
