"""Communication with targets: announcements, grants and requests."""

from __future__ import annotations

from goldcrestproxy.targets.agent import AgentTimes
from goldcrestproxy.targets.agent import TargetAgent
from goldcrestproxy.targets.answer_head import AnswerHead
from goldcrestproxy.targets.answer_head import AnswerRule
from goldcrestproxy.targets.client import TargetClient
from goldcrestproxy.targets.conventions import AnswerMetadata
from goldcrestproxy.targets.conventions import HeaderConventions
from goldcrestproxy.targets.handlers import AnnounceHandler
from goldcrestproxy.targets.owned_slots import OwnedSlot
from goldcrestproxy.targets.protocol import Announcement
from goldcrestproxy.targets.protocol import GrantAnswer
from goldcrestproxy.targets.protocol import GrantOrder
from goldcrestproxy.targets.protocol import read_announcement
from goldcrestproxy.targets.protocol import slot_name
from goldcrestproxy.targets.shared_client import OutgoingRequest
from goldcrestproxy.targets.shared_client import SharedClient
from goldcrestproxy.targets.transfer import Stage
from goldcrestproxy.targets.transfer import Transfer
from goldcrestproxy.targets.transfer import TransferError

__all__ = [
    "AgentTimes",
    "AnnounceHandler",
    "Announcement",
    "AnswerHead",
    "AnswerMetadata",
    "AnswerRule",
    "GrantAnswer",
    "GrantOrder",
    "HeaderConventions",
    "OutgoingRequest",
    "OwnedSlot",
    "SharedClient",
    "Stage",
    "TargetAgent",
    "TargetClient",
    "Transfer",
    "TransferError",
    "read_announcement",
    "slot_name",
]
