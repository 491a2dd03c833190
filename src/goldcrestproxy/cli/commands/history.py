"""The ``goldcrestproxy history`` command."""

from __future__ import annotations

import argparse
import datetime

from goldcrestproxy.cli import client as clients
from goldcrestproxy.cli import command


class HistoryCommand(command.Command):
    """Lists the accepted changes."""

    name = "history"
    help = "show the accepted changes, the newest first"

    def run(
        self, args: argparse.Namespace, client: clients.Client
    ) -> command.Output:
        """Return a table with one row per change."""
        answer = client.get("/v1/history")
        rows = [
            (
                change["revision"],
                _format_time(change["time_s"]),
                change["operator"],
                change["summary"],
                change["change_id"],
            )
            for change in answer["changes"]
        ]
        return command.Output(
            value=answer,
            text=command.format_table(
                ("REVISION", "TIME", "OPERATOR", "CHANGE", "CHANGE ID"), rows
            ),
        )


def _format_time(time_s: float) -> str:
    timestamp = datetime.datetime.fromtimestamp(time_s, datetime.UTC)
    return timestamp.strftime("%Y-%m-%dT%H:%M:%SZ")
