"""The ``goldcrestproxy targets`` command."""

from __future__ import annotations

import argparse

from goldcrestproxy.cli import client as clients
from goldcrestproxy.cli import command


class TargetsCommand(command.Command):
    """Lists the targets."""

    name = "targets"
    help = "show the targets and their condition"

    def run(
        self, args: argparse.Namespace, client: clients.Client
    ) -> command.Output:
        """Return a table with one row per target."""
        answer = client.get("/v1/targets")
        names = (
            *("target", "desk", "zone", "slots", "condition"),
            *("coordinator", "owned"),
        )
        rows = [
            [target[name] for name in names] for target in answer["targets"]
        ]
        headings = [name.upper() for name in names]
        return command.Output(
            value=answer, text=command.format_table(headings, rows)
        )
