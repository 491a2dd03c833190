"""The ``goldcrestproxy owners`` command."""

from __future__ import annotations

import argparse
import urllib.parse

from goldcrestproxy.cli import client as clients
from goldcrestproxy.cli import command


class OwnersCommand(command.Command):
    """Looks up the owner of a key."""

    name = "owners"
    help = "show who owns a customer's key"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the customer, the desk and the key."""
        parser.add_argument("customer")
        parser.add_argument("desk")
        parser.add_argument("key")

    def run(
        self, args: argparse.Namespace, client: clients.Client
    ) -> command.Output:
        """Return the owner, its fencing token and its coordinator."""
        query = urllib.parse.urlencode(
            {
                "customer": args.customer,
                "desk": args.desk,
                "key": args.key,
            }
        )
        answer = client.get(f"/v1/owners?{query}")
        owner = answer["owner"] or "nobody"
        moving = ", moving" if answer["moving"] else ""
        label = "hot key" if answer["hot"] else "key"
        return command.Output(
            value=answer,
            text=(
                f"{label} {args.key!r} of {args.customer} is in partition "
                f"{answer['partition']} of {args.desk}\n"
                f"owner: {owner}{moving} (zone {answer['zone'] or '-'}, "
                f"fencing token {answer['fencing_token']})\n"
                f"coordinator: {answer['coordinator'] or '-'}"
            ),
        )
