"""One request on its way from a caller to a target of the registry."""

from __future__ import annotations

import attrs

from goldcrestproxy.entries import fleet_request
from goldcrestproxy.entries import replay
from goldcrestproxy import registry
from goldcrestproxy.routing import resend
from goldcrestproxy.routing import route_table


@attrs.define(kw_only=True)
class DispatchState:
    """One request on its way."""

    request: fleet_request.FleetRequest
    named_route: route_table.RoutedName
    service: str
    deadline_s: float
    body: replay.ReplayableBody
    sent_to: list[str] = attrs.field(factory=list)
    # How long each sending waited for its connection.
    connects_ms: list[int] = attrs.field(factory=list)
    failures: list[resend.Failure] = attrs.field(factory=list)
    # The last failure that a target itself answered with.
    answer: fleet_request.FleetAnswer | None = None

    @property
    def route(self) -> registry.Route:
        """The route of the request."""
        return self.named_route.route

    @property
    def may_have_run(self) -> bool:
        """Whether some sending may have run."""
        return any(
            not isinstance(failure, resend.NotRun) for failure in self.failures
        )
