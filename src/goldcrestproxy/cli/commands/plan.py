"""The ``goldcrestproxy plan`` command."""

from __future__ import annotations

import argparse
import pathlib

from goldcrestproxy.cli import client as clients
from goldcrestproxy.cli import command
from goldcrestproxy import settings


class PlanCommand(command.Command):
    """Compares a file with the configuration in force."""

    name = "plan"
    help = "show what an apply of a file would change"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the file."""
        parser.add_argument("file", type=pathlib.Path)

    def run(
        self, args: argparse.Namespace, client: clients.Client
    ) -> command.Output:
        """Check the file locally and return the differences."""
        settings.load_deployment(args.file)
        answer = client.post(
            "/v1/plan",
            {
                "document": settings.read_text(args.file),
                "file": str(args.file),
            },
        )
        heading = f"against revision {answer['revision']}:"
        diff = answer["diff"] or ["no difference"]
        return command.Output(value=answer, text="\n".join([heading, *diff]))
