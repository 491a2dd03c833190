"""What answers and failures say about a target, kept and reported."""

from __future__ import annotations

import asyncio
import logging

from goldcrestproxy.control import observations
from goldcrestproxy.entries import fleet_map
from goldcrestproxy.entries import fleet_request
from goldcrestproxy.entries import replay
from goldcrestproxy import errors
from goldcrestproxy import telemetry

LOG = logging.getLogger(__name__)


class TargetRecords:
    """Applies what a target says of itself, and reports it to the leader."""

    def __init__(self, target_observations: observations.Observations) -> None:
        """Report by ``target_observations``."""
        self._observations = target_observations

    def record_limit(
        self,
        target: fleet_map.TrackedTarget,
        limit_per_s: float | None,
        now_s: float,
    ) -> None:
        """Apply the limit that the latest answer of a target named."""
        previous_per_s = target.request_limit.limit_per_s
        target.request_limit.record_answer(limit_per_s, now_s)
        if limit_per_s is not None or previous_per_s is not None:
            self._observations.record_limit(
                target.name, target.record.incarnation, limit_per_s
            )
        if target.request_limit.limit_per_s != previous_per_s:
            telemetry.log_event(
                LOG,
                "entries: limit of a target changed",
                target=target.name,
                incarnation=target.record.incarnation,
                previous_per_s=previous_per_s,
                limit_per_s=target.request_limit.limit_per_s,
            )

    def record_rest(
        self, target: fleet_map.TrackedTarget, rest_ms: float, now_s: float
    ) -> None:
        """Apply the rest that a target asks for, or note that it is over."""
        rested = now_s < target.rest.until_s
        target.rest.record_answer(now_s)
        if rest_ms <= 0:
            return
        target.rest.record_request_to_rest(rest_ms, now_s)
        self._observations.record_rest(
            target.name, target.record.incarnation, rest_ms
        )
        if not rested:
            telemetry.log_event(
                LOG,
                "entries: a target asks for rest",
                target=target.name,
                incarnation=target.record.incarnation,
                rest_ms=rest_ms,
            )

    def record_full(
        self, target: fleet_map.TrackedTarget, now_s: float
    ) -> None:
        """Apply a reset by a busy target, which may have had no room."""
        requests = target.stats.requests_ahead(now_s)
        target.room.record_reset(requests, now_s)
        telemetry.log_event(
            LOG,
            "entries: a busy target reset a connection",
            target=target.name,
            incarnation=target.record.incarnation,
            requests=round(requests),
        )

    def record_leaving(
        self, target: fleet_map.TrackedTarget, now_s: float
    ) -> None:
        """Bind this host to a target's answer that it leaves."""
        if target.leaving_s is not None:
            return
        target.leaving_s = now_s
        self._observations.record_leaving(
            target.name, target.record.incarnation
        )
        telemetry.log_event(
            LOG,
            "entries: a target's answer says that it leaves",
            target=target.name,
            incarnation=target.record.incarnation,
        )

    async def record_broken_run(
        self,
        target: fleet_map.TrackedTarget,
        request: fleet_request.FleetRequest,
        body: replay.ReplayableBody,
        timeout_s: float,
    ) -> None:
        """Report a request that may have ended its target.

        Reads on for at most ``timeout_s`` until the body is identified. A
        request whose body is not identified by then is not reported.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await body.identify()
        except (TimeoutError, errors.GoldcrestProxyError):
            pass
        fingerprint = request.fingerprint(body.identity)
        if fingerprint is not None:
            self._observations.record_broken_run(
                target.name,
                target.record.incarnation,
                fingerprint,
            )
        telemetry.log_event(
            LOG,
            "entries: connection broke during a request",
            request_id=request.request_id,
            target=target.name,
            incarnation=target.record.incarnation,
            fingerprint=fingerprint,
            caller=request.caller,
            method=request.method,
            host=request.host,
            request_target=request.request_target,
            key=request.key,
            body_bytes=request.body_bytes,
        )
