"""The ``goldcrestproxy result`` command."""

from __future__ import annotations

import argparse

import attrs

from goldcrestproxy.cli import client as clients
from goldcrestproxy.cli import command
from goldcrestproxy import errors
from goldcrestproxy import results


class ResultCommand(command.Command):
    """Explains a result code."""

    name = "result"
    help = "explain a result code"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the code."""
        parser.add_argument("code", type=int)

    def run(
        self, args: argparse.Namespace, client: clients.Client
    ) -> command.Output:
        """Return the code's row of the table of result codes."""
        result = results.BY_CODE.get(args.code)
        if result is None:
            raise errors.GoldcrestProxyError(
                f"no result code {args.code}; see docs/result-codes.md"
            )
        value = attrs.asdict(result)
        value["outcome"] = result.outcome.value
        return command.Output(
            value=value,
            text=(
                f"{result.code} {result.name} (HTTP {result.status}, "
                f"outcome {result.outcome.value})\n"
                f"{result.meaning}\n{result.remedy}"
            ),
        )
