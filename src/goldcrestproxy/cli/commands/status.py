"""The ``goldcrestproxy status`` command."""

from __future__ import annotations

import argparse

from goldcrestproxy.cli import client as clients
from goldcrestproxy.cli import command
from goldcrestproxy.cli import waiting


class StatusCommand(command.Command):
    """Reports the daemons and the revision in force on each."""

    name = "status"
    help = "show the daemons and the revision in force on each"

    def run(
        self, args: argparse.Namespace, client: clients.Client
    ) -> command.Output:
        """Return this daemon's status and a table of all daemons."""
        answer = client.get("/v1/status")
        rollout = waiting.rollout_status(answer, answer["revision"])
        role = answer["control_role"] or "no control role"
        lines = [
            f"{answer['host']} in {answer['zone']}: {role}, "
            f"{'ready' if answer['ready'] else 'not ready'}, "
            f"{answer['requests_in_flight']} requests in flight",
            f"revision {answer['revision']}: {rollout.text}",
            command.format_table(
                ("HOST", "ZONE", "REVISION", "STOPPING"),
                [
                    (
                        daemon["host"],
                        daemon["zone"],
                        daemon["revision"],
                        "yes" if daemon["stopping"] else "no",
                    )
                    for daemon in answer["daemons"]
                ],
            ),
            "control members: "
            + ", ".join(
                member["host"] + ("" if member["voter"] else " (learner)")
                for member in answer["members"]
            ),
        ]
        if "problem" in answer:
            lines.append(f"problem: {answer['problem']}")
        return command.Output(value=answer, text="\n".join(lines))
