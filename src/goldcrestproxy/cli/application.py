"""Parser and exit codes of ``goldcrestproxy``."""

from __future__ import annotations

import argparse
import json
import os
import sys
import typing as ty

from goldcrestproxy import __version__
from goldcrestproxy.cli import client as clients
from goldcrestproxy.cli import command
from goldcrestproxy.cli import commands
from goldcrestproxy import errors

SERVER_VARIABLE: ty.Final = "GOLDCRESTPROXY_SERVER"
DEFAULT_SERVER: ty.Final = "127.0.0.1:7200"
EXIT_REFUSED: ty.Final = 1
EXIT_UNREACHABLE: ty.Final = 69
EXIT_SETTINGS: ty.Final = 78

COMMANDS: ty.Final[tuple[type[command.Command], ...]] = (
    commands.CheckCommand,
    commands.PlanCommand,
    commands.ApplyCommand,
    commands.GetCommand,
    commands.HistoryCommand,
    commands.ZoneCommand,
    commands.TargetCommand,
    commands.TargetsCommand,
    commands.OwnersCommand,
    commands.StatusCommand,
    commands.MembersCommand,
    commands.QuarantineCommand,
    commands.ResultCommand,
)


def make_parser() -> argparse.ArgumentParser:
    """Return the argument parser with a subparser for each command."""
    parser = argparse.ArgumentParser(
        prog="goldcrestproxy",
        description="Command line of goldcrestproxy for operators.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--server",
        default=os.environ.get(SERVER_VARIABLE, DEFAULT_SERVER),
        metavar="ADDRESS:PORT",
        help=f"service port of any daemon; also from {SERVER_VARIABLE}",
    )
    parser.add_argument(
        "--output",
        choices=("text", "json"),
        default="text",
        help="text for people or JSON for programs",
    )
    subparsers = parser.add_subparsers(dest="command", required=True)
    for command_class in COMMANDS:
        instance = command_class()
        subparser = subparsers.add_parser(instance.name, help=instance.help)
        instance.add_arguments(subparser)
        subparser.set_defaults(run=instance.run)
    return parser


def main(arguments: ty.Sequence[str] | None = None) -> int:
    """Run one command; return its exit code."""
    args = make_parser().parse_args(arguments)
    client = clients.Client(args.server)
    try:
        output = args.run(args, client)
    except errors.SettingsError as error:
        return _report_error(args, str(error), EXIT_SETTINGS)
    except clients.ServerUnreachableError as error:
        return _report_error(args, str(error), EXIT_UNREACHABLE)
    except errors.GoldcrestProxyError as error:
        return _report_error(args, str(error), EXIT_REFUSED)
    finally:
        client.close()
    if args.output == "json":
        print(json.dumps(output.value))
    else:
        print(output.text)
    return ty.cast(int, output.exit_code)


def _report_error(args: argparse.Namespace, text: str, exit_code: int) -> int:
    if args.output == "json":
        print(json.dumps({"error": text, "exit_code": exit_code}))
    print(f"goldcrestproxy: {text}", file=sys.stderr)
    return exit_code
