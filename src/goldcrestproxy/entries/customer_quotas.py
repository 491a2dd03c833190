"""Quotas of customers at an entry host, with tokens from the leader."""

from __future__ import annotations

import asyncio
import logging
import typing as ty

from goldcrestproxy.entries import dispatch_refusals
from goldcrestproxy.entries import fleet_map
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import host_quota
from goldcrestproxy.routing import quota_grants
from goldcrestproxy.routing import quota_terms
from goldcrestproxy import signals
from goldcrestproxy import telemetry
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

# Interval of questions to the leader while this host holds shares. The leader
# tells by them whether its answers arrive (quota_terms.RESERVED_AFTER_S).
ASK_INTERVAL_S: ty.Final = 0.25
# The same for a host that holds none.
IDLE_INTERVAL_S: ty.Final = 1.0
# Pause between two questions; requests that need tokens share the next one.
ASK_PAUSE_S: ty.Final = 0.01
RETRY_S: ty.Final = 0.05
# Longest time that a request waits for a token, and its part of the time left.
WAIT_S: ty.Final = 0.6
WAIT_SHARE: ty.Final = 0.3
# A request that waits looks this often whether the host spends its share.
SHARE_POLL_S: ty.Final = 0.1
# Another host may reach the leader.
UNREACHED_RETRY_AFTER_MS: ty.Final = 200
# Customers that metrics tell apart; further ones count as "other".
LABELLED_CUSTOMERS_MAX: ty.Final = 200


class CustomerQuotas:
    """Lets requests of customers through, within their quotas."""

    def __init__(
        self,
        fleet: fleet_map.FleetMap,
        refusals: dispatch_refusals.DispatchRefusals,
        metrics: telemetry.Metrics,
        clock: ty.Callable[[], float],
    ) -> None:
        """Bind to a host's view of the fleet; ``run`` asks the leader.

        :param clock: monotonic time in seconds
        """
        self._fleet = fleet
        self._refusals = refusals
        self._metrics = metrics
        self._clock = clock
        self._quotas: dict[str, host_quota.HostQuota] = {}
        self._contact = host_quota.LeaderContact()
        # Of the last answer.
        self._granter = ""
        self._stamp_ms = 0
        self._asked_s = 0.0
        self._ask_now = asyncio.Event()
        self._answered = signals.Signal()
        self._labels: set[str] = set()

    async def take(self, customer: str, deadline_s: float) -> None:
        """Count a request in its customer's quota.

        Waits briefly for the leader if there is no token here.

        :param deadline_s: monotonic time
        :raises RefusedError: beyond the quota, or while the leader is out of
            reach and this host's share is spent
        """
        quota = self._quota(customer)
        if quota is None:
            return
        held = self._quotas.setdefault(customer, host_quota.HostQuota())
        now_s = self._clock()
        held.count_demand(now_s)
        wait_until_s = now_s + min(WAIT_S, (deadline_s - now_s) * WAIT_SHARE)
        while not self._take_now(customer, held, quota):
            left_s = wait_until_s - self._clock()
            if left_s <= 0 or held.is_exhausted(self._clock()):
                self._count(customer, "refused")
                raise self._refusal(customer, held, quota)
            held.waiting += 1
            self._ask_now.set()
            try:
                await self._answered.wait(min(left_s, SHARE_POLL_S))
            finally:
                held.waiting -= 1

    def take_further(self, customer: str) -> bool:
        """Count a further attempt at a request that may have run.

        Returns False if there is no token for it here.
        """
        quota = self._quota(customer)
        held = self._quotas.get(customer)
        if quota is None:
            return True
        return held is not None and self._take_now(customer, held, quota)

    def give_back(self, customer: str) -> None:
        """Take back what a request counted that has not run."""
        held = self._quotas.get(customer)
        if held is not None and self._quota(customer) is not None:
            held.give_back()
            self._count(customer, "given back")

    async def run(self) -> None:
        """Ask the leader for tokens until cancelled."""
        while True:
            await self._wait_due()
            self._ask_now.clear()
            if not self._fleet.customers.has_quotas:
                continue
            answered = await self._ask()
            await asyncio.sleep(ASK_PAUSE_S if answered else RETRY_S)

    async def _wait_due(self) -> None:
        holds_shares = any(held.share for held in self._quotas.values())
        interval_s = ASK_INTERVAL_S if holds_shares else IDLE_INTERVAL_S
        if self._contact.reserved:
            # The next question tells the leader that its answer arrived.
            interval_s = ASK_PAUSE_S
        try:
            async with asyncio.timeout(interval_s):
                await self._ask_now.wait()
        except TimeoutError:
            pass

    async def _ask(self) -> bool:
        """Ask for tokens; return whether the leader answered."""
        asked_s = self._clock()
        if not self._contact.valid(asked_s):
            for held in self._quotas.values():
                held.void()
        asks = self._asks(asked_s)
        request = wire.ttypes.QuotaRequest(
            asks=asks,
            granter=self._granter,
            stamp_ms=self._stamp_ms,
            spending=self._contact.spends_shares(asked_s),
        )
        try:
            reply = await self._fleet.ask_quota(request, quota_terms.ANSWER_S)
        except (errors.WireError, errors.RefusedError) as error:
            if self._granter:
                LOG.info("entries: no tokens of quotas: %s", error)
            self._granter = ""
            return False
        now_s = self._clock()
        if now_s > asked_s + quota_terms.ANSWER_S:
            return False
        self._record_answer(reply, asked_s, now_s)
        self._answered.notify()
        return True

    def _asks(self, now_s: float) -> list[wire.ttypes.QuotaAsk]:
        asks = []
        for customer, held in list(self._quotas.items()):
            if held.is_idle(now_s) or self._quota(customer) is None:
                if not held.waiting:
                    del self._quotas[customer]
                continue
            ask = held.ask(now_s)
            if ask is not None:
                asks.append(
                    wire.ttypes.QuotaAsk(
                        customer=customer,
                        needed=ask.needed,
                        ahead=ask.ahead,
                        held=ask.held,
                        returned=ask.returned,
                        share=ask.share,
                        demand_per_s=ask.demand_per_s,
                    )
                )
        return asks

    def _record_answer(
        self, reply: wire.ttypes.QuotaReply, asked_s: float, now_s: float
    ) -> None:
        if reply.granter != self._granter:
            LOG.info("entries: tokens of quotas come from %s", reply.granter)
        self._granter, self._stamp_ms = reply.granter, reply.stamp_ms
        self._contact.answered_s = asked_s
        self._contact.reserved = not reply.confirmed
        for grant in reply.grants:
            held = self._quotas.get(grant.customer)
            if held is not None:
                held.record_grant(
                    quota_grants.QuotaGrant(
                        tokens=grant.tokens,
                        share=grant.share,
                        retry_after_ms=grant.retry_after_ms,
                    ),
                    now_s,
                )

    def _take_now(
        self,
        customer: str,
        held: host_quota.HostQuota,
        quota: quota_terms.Quota,
    ) -> bool:
        now_s = self._clock()
        if not self._contact.valid(now_s):
            held.void()
        if held.take():
            self._count(customer, "token")
            return True
        if held.take_from_share(
            quota, now_s, spends_shares=self._contact.spends_shares(now_s)
        ):
            self._count(customer, "share")
            return True
        return False

    def _refusal(
        self,
        customer: str,
        held: host_quota.HostQuota,
        quota: quota_terms.Quota,
    ) -> errors.RefusedError:
        now_s = self._clock()
        if not held.is_exhausted(now_s):
            return self._refusals.spread(
                results.NO_LEADER,
                f"no tokens of customer {customer!r} came in time",
                UNREACHED_RETRY_AFTER_MS,
            )
        return self._refusals.spread(
            results.OVER_QUOTA,
            f"customer {customer!r} has a quota of {quota.requests_per_s:g} "
            f"requests a second, burst {quota.burst_requests:g}",
            held.retry_after_ms(now_s),
        )

    def _quota(self, customer: str) -> quota_terms.Quota | None:
        return quota_terms.quota_of(
            self._fleet.customers.by_name.get(customer)
        )

    def _count(self, customer: str, outcome: str) -> None:
        if customer not in self._labels:
            if len(self._labels) >= LABELLED_CUSTOMERS_MAX:
                customer = "other"
            else:
                self._labels.add(customer)
        self._metrics.quotas.add(1, {"customer": customer, "outcome": outcome})
