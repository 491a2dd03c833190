"""The ``goldcrestproxy members`` command."""

from __future__ import annotations

import argparse

from goldcrestproxy.cli import client as clients
from goldcrestproxy.cli import command


class MembersCommand(command.Command):
    """Forms the control group or changes its members."""

    name = "members"
    help = "found the control group, or add or remove a member"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the action and the host."""
        parser.add_argument("action", choices=("found", "add", "remove"))
        parser.add_argument("host", nargs="?", default="")

    def run(
        self, args: argparse.Namespace, client: clients.Client
    ) -> command.Output:
        """Send the change and return a table of the members."""
        answer = client.post(f"/v1/members/{args.action}", {"host": args.host})
        rows = [
            (
                member["host"],
                member["replica"][:8],
                "voter" if member["voter"] else "learner",
            )
            for member in answer["members"]
        ]
        return command.Output(
            value=answer,
            text=command.format_table(("HOST", "REPLICA", "ROLE"), rows),
        )
