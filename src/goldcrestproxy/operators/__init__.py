"""HTTP handlers of the operators' interface."""

from __future__ import annotations

from goldcrestproxy.operators.handlers import ConfigurationHandler
from goldcrestproxy.operators.handlers import DrainHandler
from goldcrestproxy.operators.handlers import HistoryHandler
from goldcrestproxy.operators.handlers import MembersHandler
from goldcrestproxy.operators.handlers import OwnersHandler
from goldcrestproxy.operators.handlers import PlanHandler
from goldcrestproxy.operators.handlers import QuarantineHandler
from goldcrestproxy.operators.handlers import StatusHandler
from goldcrestproxy.operators.handlers import TargetsHandler
from goldcrestproxy.operators.handlers import ZoneHandler

__all__ = [
    "ConfigurationHandler",
    "DrainHandler",
    "HistoryHandler",
    "MembersHandler",
    "OwnersHandler",
    "PlanHandler",
    "QuarantineHandler",
    "StatusHandler",
    "TargetsHandler",
    "ZoneHandler",
]
