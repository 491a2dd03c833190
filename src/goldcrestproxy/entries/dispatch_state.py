"""State of a request while it is dispatched to targets."""

from __future__ import annotations

import math

import attrs

from goldcrestproxy.entries import fleet_request
from goldcrestproxy.entries import replay
from goldcrestproxy import registry
from goldcrestproxy.routing import fleet_retries
from goldcrestproxy.routing import route_table


@attrs.define(kw_only=True)
class DispatchState:
    """A request, its route, and the attempts made so far.

    ``deadline_s`` is monotonic time. ``sent_to`` names the target of each
    attempt in order. ``turned_away`` says for each target that was chosen and
    got nothing why it did not.
    """

    request: fleet_request.FleetRequest
    named_route: route_table.NamedRoute
    service: str
    deadline_s: float
    body: replay.ReplayableBody
    sent_to: list[str] = attrs.field(factory=list)
    # Entry hosts that were asked to send it, in order.
    asked_hosts: list[str] = attrs.field(factory=list)
    # Time that each attempt waited for its connection.
    connects_ms: list[int] = attrs.field(factory=list)
    # Time from the choice of each attempt's target until it was sent.
    choice_ages_ms: list[int] = attrs.field(factory=list)
    turned_away: list[str] = attrs.field(factory=list)
    # Rest of the target's cold time when each attempt was sent, 0 if warm.
    cold_left_ms: list[int] = attrs.field(factory=list)
    failures: list[fleet_retries.Failure] = attrs.field(factory=list)
    # Until when the next attempt may be sent to a target that is cold.
    permitted_until_s: float = -math.inf
    # Whether an attempt was sent whose outcome is not known yet.
    awaiting_answer: bool = False
    # Whether it is counted in its customer's quota.
    counted: bool = False
    # The last answer of a target that reports a failure.
    answer: fleet_request.FleetAnswer | None = None

    @property
    def route(self) -> registry.Route:
        """The route that matched the request."""
        return self.named_route.route

    @property
    def customer(self) -> str:
        """The customer that sent the request, empty without one."""
        return self.request.customer or ""

    @property
    def fingerprint(self) -> str | None:
        """The fingerprint, None until enough of the body has been read."""
        return self.request.fingerprint(self.body.identity)

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run any of the attempts."""
        return self.awaiting_answer or any(
            not isinstance(failure, fleet_retries.NotRun)
            for failure in self.failures
        )
