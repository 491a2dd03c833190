"""The entry role: routing, target coordination, state from control."""

from __future__ import annotations

from goldcrestproxy.entries.active_configuration import ActiveConfiguration
from goldcrestproxy.entries.attempt import AttemptRunner
from goldcrestproxy.entries.caller_request import CallerRequest
from goldcrestproxy.entries.caller_request import RoutedAnswer
from goldcrestproxy.entries.claims import Claimer
from goldcrestproxy.entries.control_link import ControlLink
from goldcrestproxy.entries.coordinator import Coordinator
from goldcrestproxy.entries.customer_quotas import CustomerQuotas
from goldcrestproxy.entries.dispatch_refusals import DispatchRefusals
from goldcrestproxy.entries.dispatcher import Dispatcher
from goldcrestproxy.entries.fleet_map import FleetMap
from goldcrestproxy.entries.fleet_request import FleetAnswer
from goldcrestproxy.entries.fleet_request import FleetRequest
from goldcrestproxy.entries.passed_requests import PassedRequests
from goldcrestproxy.entries.passing import RequestPassing
from goldcrestproxy.entries.router import Router
from goldcrestproxy.entries.sending import Sender
from goldcrestproxy.entries.state_watcher import StateWatcher
from goldcrestproxy.entries.state_watcher import WatcherSettings
from goldcrestproxy.entries.suspects import Suspects
from goldcrestproxy.entries.target_limits import TargetLimits
from goldcrestproxy.entries.target_prober import TargetProber
from goldcrestproxy.entries.target_selection import TargetSelection

__all__ = [
    "ActiveConfiguration",
    "AttemptRunner",
    "CallerRequest",
    "Claimer",
    "ControlLink",
    "Coordinator",
    "CustomerQuotas",
    "DispatchRefusals",
    "Dispatcher",
    "FleetAnswer",
    "FleetMap",
    "FleetRequest",
    "PassedRequests",
    "RequestPassing",
    "RoutedAnswer",
    "Router",
    "Sender",
    "StateWatcher",
    "Suspects",
    "TargetLimits",
    "TargetProber",
    "TargetSelection",
    "WatcherSettings",
]
