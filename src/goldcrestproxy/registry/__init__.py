"""Registry of targets, versioned items and owners of keys."""

from __future__ import annotations

from goldcrestproxy.registry.commands import BlockCut
from goldcrestproxy.registry.commands import ChangeItems
from goldcrestproxy.registry.commands import Command
from goldcrestproxy.registry.commands import FreeBlocks
from goldcrestproxy.registry.commands import FreedBlock
from goldcrestproxy.registry.commands import GiveBlocks
from goldcrestproxy.registry.commands import LayOutKeys
from goldcrestproxy.registry.commands import LoseTarget
from goldcrestproxy.registry.commands import RegisterTarget
from goldcrestproxy.registry.commands import SetQuotaHosts
from goldcrestproxy.registry.commands import SetZone
from goldcrestproxy.registry.commands import SplitBlocks
from goldcrestproxy.registry.customer_keys import digest as key_digest
from goldcrestproxy.registry.endpoints import is_endpoint
from goldcrestproxy.registry.items import CallerLimits
from goldcrestproxy.registry.items import Customer
from goldcrestproxy.registry.items import Item
from goldcrestproxy.registry.items import ItemKey
from goldcrestproxy.registry.items import ItemKind
from goldcrestproxy.registry.items import ItemValue
from goldcrestproxy.registry.items import Route
from goldcrestproxy.registry.items import RouteKind
from goldcrestproxy.registry.items import Service
from goldcrestproxy.registry.items import ServiceShare
from goldcrestproxy.registry.keyspace import KEY_COUNT
from goldcrestproxy.registry.keyspace import Keyspace
from goldcrestproxy.registry.messages import Accepted
from goldcrestproxy.registry.messages import Answer
from goldcrestproxy.registry.messages import Call
from goldcrestproxy.registry.messages import ChangeItemsCall
from goldcrestproxy.registry.messages import Declined
from goldcrestproxy.registry.messages import Goodbye
from goldcrestproxy.registry.messages import GrantedRange
from goldcrestproxy.registry.messages import Heartbeat
from goldcrestproxy.registry.messages import HeartbeatAnswer
from goldcrestproxy.registry.messages import HeldRange
from goldcrestproxy.registry.messages import ItemsAnswer
from goldcrestproxy.registry.messages import ReadItemsCall
from goldcrestproxy.registry.messages import ReleasedRange
from goldcrestproxy.registry.messages import SetZoneCall
from goldcrestproxy.registry.state import INTEGER_MAX
from goldcrestproxy.registry.state import RegisteredTarget
from goldcrestproxy.registry.state import RegistryState
from goldcrestproxy.registry.state import SLOTS_MAX

__all__ = [
    "INTEGER_MAX",
    "KEY_COUNT",
    "SLOTS_MAX",
    "Accepted",
    "Answer",
    "BlockCut",
    "Call",
    "CallerLimits",
    "ChangeItems",
    "ChangeItemsCall",
    "Command",
    "Customer",
    "Declined",
    "FreeBlocks",
    "FreedBlock",
    "GiveBlocks",
    "Goodbye",
    "GrantedRange",
    "Heartbeat",
    "HeartbeatAnswer",
    "HeldRange",
    "Item",
    "ItemKey",
    "ItemKind",
    "ItemValue",
    "ItemsAnswer",
    "Keyspace",
    "LayOutKeys",
    "LoseTarget",
    "ReadItemsCall",
    "RegisterTarget",
    "RegisteredTarget",
    "RegistryState",
    "ReleasedRange",
    "Route",
    "RouteKind",
    "Service",
    "ServiceShare",
    "SetQuotaHosts",
    "SetZone",
    "SetZoneCall",
    "SplitBlocks",
    "is_endpoint",
    "key_digest",
]
