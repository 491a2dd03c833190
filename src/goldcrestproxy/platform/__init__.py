"""HTTP API of the platform: balancer, callers, targets and operators.

All header names, paths and JSON bodies of the platform are defined here.
"""

from __future__ import annotations

from goldcrestproxy.platform.conventions import PlatformHeaders
from goldcrestproxy.platform.handlers import LiveHandler
from goldcrestproxy.platform.handlers import ReadyHandler
from goldcrestproxy.platform.ingress import balancer_routes
from goldcrestproxy.platform.ingress import IngressHandler
from goldcrestproxy.platform.registrants import routes as registrant_routes

__all__ = [
    "IngressHandler",
    "LiveHandler",
    "PlatformHeaders",
    "ReadyHandler",
    "balancer_routes",
    "registrant_routes",
]
