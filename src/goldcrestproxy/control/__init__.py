"""The control role: the replicated state and its leader."""

from __future__ import annotations

from goldcrestproxy.control.codec import decode
from goldcrestproxy.control.codec import decode_outcome
from goldcrestproxy.control.codec import encode
from goldcrestproxy.control.commands import AnnounceTarget
from goldcrestproxy.control.commands import Answer
from goldcrestproxy.control.commands import ApplyConfiguration
from goldcrestproxy.control.commands import ChangeZone
from goldcrestproxy.control.commands import Claim
from goldcrestproxy.control.commands import Command
from goldcrestproxy.control.commands import DeskShape
from goldcrestproxy.control.commands import DrainTarget
from goldcrestproxy.control.commands import Held
from goldcrestproxy.control.commands import KeepSlots
from goldcrestproxy.control.commands import ReleaseCoordinators
from goldcrestproxy.control.commands import ReleaseQuarantine
from goldcrestproxy.control.commands import ReleaseSlots
from goldcrestproxy.control.commands import ReportCrash
from goldcrestproxy.control.commands import ReportTarget
from goldcrestproxy.control.commands import SettleClaim
from goldcrestproxy.control.commands import Slot
from goldcrestproxy.control.commands import Supports
from goldcrestproxy.control.formation import FormationSettings
from goldcrestproxy.control.members import Member
from goldcrestproxy.control.members import Members
from goldcrestproxy.control.outcomes import AlreadyClaimed
from goldcrestproxy.control.outcomes import Changed
from goldcrestproxy.control.outcomes import Claimed
from goldcrestproxy.control.outcomes import Done
from goldcrestproxy.control.outcomes import Outcome
from goldcrestproxy.control.outcomes import Refused
from goldcrestproxy.control.records import DeskRecord
from goldcrestproxy.control.records import SlotRecord
from goldcrestproxy.control.records import TargetRecord
from goldcrestproxy.control.registrar import RegistrarSettings
from goldcrestproxy.control.replica import Replica
from goldcrestproxy.control.service import ControlService
from goldcrestproxy.control.state import ControlState

__all__ = [
    "AlreadyClaimed",
    "AnnounceTarget",
    "Answer",
    "ApplyConfiguration",
    "ChangeZone",
    "Changed",
    "Claim",
    "Claimed",
    "Command",
    "ControlService",
    "ControlState",
    "DeskRecord",
    "DeskShape",
    "Done",
    "DrainTarget",
    "FormationSettings",
    "Held",
    "KeepSlots",
    "Member",
    "Members",
    "Outcome",
    "Refused",
    "RegistrarSettings",
    "ReleaseCoordinators",
    "ReleaseQuarantine",
    "ReleaseSlots",
    "Replica",
    "ReportCrash",
    "ReportTarget",
    "SettleClaim",
    "Slot",
    "SlotRecord",
    "Supports",
    "TargetRecord",
    "decode",
    "decode_outcome",
    "encode",
]
