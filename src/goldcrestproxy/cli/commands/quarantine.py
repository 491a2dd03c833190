"""The ``goldcrestproxy quarantine`` command."""

from __future__ import annotations

import argparse

from goldcrestproxy.cli import client as clients
from goldcrestproxy.cli import command


class QuarantineCommand(command.Command):
    """Lists requests suspected of crashing targets, or releases one."""

    name = "quarantine"
    help = "show quarantined requests, or release one"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the fingerprint to release."""
        parser.add_argument("--release", metavar="FINGERPRINT", default=None)

    def run(
        self, args: argparse.Namespace, client: clients.Client
    ) -> command.Output:
        """Return a table of the suspected requests, or release one."""
        if args.release is not None:
            answer = client.post(
                "/v1/quarantine", {"fingerprint": args.release}
            )
            return command.Output(
                value=answer, text=f"released {args.release}"
            )
        answer = client.get("/v1/quarantine")
        rows = [
            (
                suspect["fingerprint"],
                len(suspect["crashes"]),
                "yes" if suspect["quarantined"] else "no",
            )
            for suspect in answer["suspects"]
        ]
        return command.Output(
            value=answer,
            text=command.format_table(
                ("FINGERPRINT", "CRASHES", "QUARANTINED"), rows
            ),
        )
