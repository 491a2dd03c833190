"""Base class and helpers of the commands."""

from __future__ import annotations

import abc
import argparse
import getpass
import typing as ty
import uuid

import attrs

from goldcrestproxy.cli import client as clients


@attrs.frozen(kw_only=True)
class Output:
    """Result of a command, as a JSON value and as text."""

    value: ty.Any
    text: str
    exit_code: int = 0


class Command(abc.ABC):
    """Base class of a command; ``name`` and ``help`` appear in --help."""

    name: ty.ClassVar[str]
    help: ty.ClassVar[str]

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's own arguments; none by default."""
        return None

    @abc.abstractmethod
    def run(self, args: argparse.Namespace, client: clients.Client) -> Output:
        """Run the command and return its output."""


def add_change_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments common to all changes of the configuration."""
    parser.add_argument(
        "--expect",
        type=int,
        metavar="REVISION",
        help="revision that must be in force; default: the one that is",
    )
    parser.add_argument(
        "--change-id",
        metavar="ID",
        default=None,
        help="name of this change, to send it again after a lost answer",
    )
    parser.add_argument(
        "--wait",
        action="store_true",
        help="return once it is in force on every daemon",
    )


def change_fields(args: argparse.Namespace) -> dict[str, ty.Any]:
    """Return the request fields common to all changes."""
    return {
        "expected_revision": args.expect,
        "change_id": args.change_id or uuid.uuid4().hex,
        "operator": getpass.getuser(),
    }


def format_table(headings: ty.Sequence[str], rows: ty.Sequence[ty.Any]) -> str:
    """Return rows as aligned columns under headings."""
    lines = [[str(cell) for cell in row] for row in (headings, *rows)]
    widths = [
        max(len(line[column]) for line in lines)
        for column in range(len(headings))
    ]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
