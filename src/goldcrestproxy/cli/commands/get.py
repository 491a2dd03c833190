"""The ``goldcrestproxy get`` command."""

from __future__ import annotations

import argparse
import json

from goldcrestproxy.cli import client as clients
from goldcrestproxy.cli import command


class GetCommand(command.Command):
    """Shows the configuration in force."""

    name = "get"
    help = "show the configuration in force"

    def run(
        self, args: argparse.Namespace, client: clients.Client
    ) -> command.Output:
        """Return the document and its revision."""
        answer = client.get("/v1/configuration")
        lines = [f"// revision {answer['revision']}"]
        if answer["zones_out"]:
            lines.append(f"// zones out: {', '.join(answer['zones_out'])}")
        if not answer["current"]:
            lines.append("// may be old: the control leader did not answer")
        document = answer["document"]
        if document:
            lines.append(json.dumps(json.loads(document), indent=2))
        return command.Output(value=answer, text="\n".join(lines))
