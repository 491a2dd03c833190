"""Commands of the command line, one module each."""

from __future__ import annotations

from goldcrestproxy.cli.commands.apply import ApplyCommand
from goldcrestproxy.cli.commands.check import CheckCommand
from goldcrestproxy.cli.commands.get import GetCommand
from goldcrestproxy.cli.commands.history import HistoryCommand
from goldcrestproxy.cli.commands.members import MembersCommand
from goldcrestproxy.cli.commands.owners import OwnersCommand
from goldcrestproxy.cli.commands.plan import PlanCommand
from goldcrestproxy.cli.commands.quarantine import QuarantineCommand
from goldcrestproxy.cli.commands.result import ResultCommand
from goldcrestproxy.cli.commands.status import StatusCommand
from goldcrestproxy.cli.commands.target import TargetCommand
from goldcrestproxy.cli.commands.targets import TargetsCommand
from goldcrestproxy.cli.commands.zone import ZoneCommand

__all__ = [
    "ApplyCommand",
    "CheckCommand",
    "GetCommand",
    "HistoryCommand",
    "MembersCommand",
    "OwnersCommand",
    "PlanCommand",
    "QuarantineCommand",
    "ResultCommand",
    "StatusCommand",
    "TargetCommand",
    "TargetsCommand",
    "ZoneCommand",
]
