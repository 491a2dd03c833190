"""Settings of a daemon, and configurations that operators apply."""

from __future__ import annotations

from goldcrestproxy.settings.deployment import check_deployment
from goldcrestproxy.settings.deployment import CheckedDeployment
from goldcrestproxy.settings.deployment import Deployment
from goldcrestproxy.settings.deployment import Desk
from goldcrestproxy.settings.deployment import FilledTemplate
from goldcrestproxy.settings.deployment import load_deployment
from goldcrestproxy.settings.deployment import RetryBudget
from goldcrestproxy.settings.deployment import Route
from goldcrestproxy.settings.differences import diff_documents
from goldcrestproxy.settings.fleet import Endpoint
from goldcrestproxy.settings.fleet import FleetSettings
from goldcrestproxy.settings.host import ControlHost
from goldcrestproxy.settings.host import HostSettings
from goldcrestproxy.settings.host import Limits
from goldcrestproxy.settings.host import load_host_settings
from goldcrestproxy.settings.host import Telemetry
from goldcrestproxy.settings.host import Timeouts
from goldcrestproxy.settings.loading import parse
from goldcrestproxy.settings.loading import read_text
from goldcrestproxy.settings.loading import structure

__all__ = [
    "CheckedDeployment",
    "ControlHost",
    "Deployment",
    "Desk",
    "Endpoint",
    "FilledTemplate",
    "FleetSettings",
    "HostSettings",
    "Limits",
    "RetryBudget",
    "Route",
    "Telemetry",
    "Timeouts",
    "check_deployment",
    "diff_documents",
    "load_deployment",
    "load_host_settings",
    "parse",
    "read_text",
    "structure",
]
