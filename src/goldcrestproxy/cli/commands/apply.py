"""The ``goldcrestproxy apply`` command."""

from __future__ import annotations

import argparse
import json
import pathlib

from goldcrestproxy.cli import client as clients
from goldcrestproxy.cli import command
from goldcrestproxy.cli import waiting
from goldcrestproxy import results
from goldcrestproxy import settings

EXIT_CONFLICT = 3
EXIT_LAGGING = 4


class ApplyCommand(command.Command):
    """Puts a configuration file in force."""

    name = "apply"
    help = "put a configuration file in force"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the file and the arguments of a change."""
        parser.add_argument("file", type=pathlib.Path)
        command.add_change_arguments(parser)

    def run(
        self, args: argparse.Namespace, client: clients.Client
    ) -> command.Output:
        """Check the file locally, then apply it if the revision matches."""
        document = settings.read_text(args.file)
        settings.load_deployment(args.file)
        request = {
            "document": document,
            "file": str(args.file),
            **command.change_fields(args),
        }
        try:
            answer = client.post("/v1/configuration", request)
        except clients.RefusalError as error:
            if error.code != results.REVISION_CONFLICT:
                raise
            return _conflict_output(error.answer, document, str(args.file))
        return change_output(args, client, answer)


def change_output(
    args: argparse.Namespace,
    client: clients.Client,
    answer: dict[str, int],
) -> command.Output:
    """Return the output for an accepted change; wait if --wait is given."""
    revision = answer["revision"]
    text = f"accepted as revision {revision}"
    if not args.wait:
        return command.Output(value=answer, text=text)
    rollout = waiting.wait_for_rollout(client, revision)
    return command.Output(
        value={
            **answer,
            "daemons": rollout.daemon_count,
            "lagging": list(rollout.lagging),
        },
        text=f"{text}\n{rollout.text}",
        exit_code=EXIT_LAGGING if rollout.lagging else 0,
    )


def _conflict_output(
    answer: dict[str, str], document: str, file: str
) -> command.Output:
    """Return the output for a conflict, with the diff to the document."""
    proposed = json.dumps(settings.parse(document, file))
    diff = settings.diff_documents(answer.get("document", ""), proposed)
    return command.Output(
        value={**answer, "diff": diff},
        text="\n".join([f"refused: {answer['text']}", *diff]),
        exit_code=EXIT_CONFLICT,
    )
