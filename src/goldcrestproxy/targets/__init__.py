"""Everything that faces the targets."""

from __future__ import annotations

from goldcrestproxy.targets.agent import AgentTimes, TargetAgent
from goldcrestproxy.targets.client import TargetClient
from goldcrestproxy.targets.conventions import (
    AnswerMetadata,
    HeaderConventions,
)
from goldcrestproxy.targets.handlers import AnnounceHandler
from goldcrestproxy.targets.owned_slots import OwnedSlot
from goldcrestproxy.targets.protocol import (
    Announcement,
    GrantAnswer,
    GrantOrder,
    read_announcement,
    slot_name,
)
from goldcrestproxy.targets.shared_client import Outgoing, SharedClient
from goldcrestproxy.targets.transfer import (
    AnswerHead,
    Stage,
    Transfer,
    TransferError,
)

__all__ = [
    "AgentTimes",
    "AnnounceHandler",
    "Announcement",
    "AnswerHead",
    "AnswerMetadata",
    "GrantAnswer",
    "GrantOrder",
    "HeaderConventions",
    "Outgoing",
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
