"""Tokens and shares of customers' quotas, as the control leader grants them.

Answers the load of a customer at ten times its quota beside others below
theirs, whose demand moves from host to host by the second. What all hosts
together let through stays below the quota and what it may be exceeded by,
whichever hosts the leader reaches: see docs/design/customers.md.
"""

from __future__ import annotations

import collections
import math
import typing as ty

import attrs

from goldcrestproxy.routing import quota_terms

# Demand at a host may grow by this factor while it spends its share.
SHARE_HEADROOM: ty.Final = 2.0
# Part of the bucket that is kept for requests that wait, at whichever host.
KEPT_PART: ty.Final = 0.5
RETRY_AFTER_MS_MIN: ty.Final = 100
RETRY_AFTER_MS_MAX: ty.Final = 2_000
# The leader's clock may run faster than those of hosts.
VALID_MARGIN: ty.Final = 1.05


@attrs.frozen(kw_only=True)
class QuotaAsk:
    """What a host says of a customer, and how many tokens it wants.

    ``needed`` tokens are for requests that wait, ``ahead`` ones are for later
    requests. ``held`` are unspent tokens, without the ``returned`` ones.
    ``share`` is the part of the quota that the host may spend by itself.
    """

    needed: int
    ahead: int
    held: int
    returned: int
    share: float
    demand_per_s: float


@attrs.frozen(kw_only=True)
class QuotaGrant:
    """Tokens for a host, its share from now on, and when to ask for more.

    ``retry_after_ms`` is 0 if there is a token for each waiting request.
    """

    tokens: int
    share: float
    retry_after_ms: int = 0


@attrs.define(kw_only=True)
class HostContact:
    """What the leader knows of its contact with a host.

    ``answered_s`` is when the leader gave the last answer that is known to
    have arrived. ``spending`` says that the host spends its shares, or may
    do so because of an answer that told it to.
    """

    session: str
    asked_s: float
    answered_s: float = -math.inf
    spending: bool = True
    # Customers of whose quotas the host may hold something.
    customers: set[str] = attrs.field(factory=set)

    def reserves(self, now_s: float) -> bool:
        """Whether the host's shares are taken off the leader's rates."""
        return self.spending or (
            now_s >= self.answered_s + quota_terms.RESERVED_AFTER_S
        )

    def valid(self, now_s: float) -> bool:
        """Whether the host may still hold tokens or shares."""
        valid_s = quota_terms.VALID_S * VALID_MARGIN
        return now_s < self.asked_s + valid_s


@attrs.define(kw_only=True)
class _Holding:
    """What a host may hold of a customer's quota."""

    held: int = 0
    share: float = 0.0
    demand_per_s: float = 0.0


@attrs.frozen(kw_only=True)
class _Sums:
    """What all hosts but one may hold of a customer's quota."""

    held: int = 0
    share: float = 0.0
    demand_per_s: float = 0.0
    holders: int = 0


@attrs.define(kw_only=True)
class CustomerGrants:
    """A customer's token bucket at the leader, and what hosts hold."""

    quota: quota_terms.Quota
    tolerance: quota_terms.QuotaTolerance
    refilled_s: float
    tokens: float = 0.0
    _holdings: dict[str, _Holding] = attrs.field(factory=dict)
    # Tokens for requests that wait, and until when they may be spent.
    _on_way: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque
    )

    def refill(
        self,
        contacts: ty.Mapping[str, HostContact],
        *,
        all_heard: bool,
        now_s: float,
    ) -> None:
        """Add what the leader may grant, without what hosts may spend.

        :param all_heard: whether all hosts that may hold a share have asked
        """
        elapsed_s = max(0.0, now_s - self.refilled_s)
        self.refilled_s = now_s
        known = reserved = 0.0
        for host, holding in list(self._holdings.items()):
            contact = contacts[host]
            if not contact.valid(now_s):
                del self._holdings[host]
                continue
            known += holding.share
            if contact.reserves(now_s):
                reserved += holding.share
        if not all_heard:
            reserved += max(0.0, quota_terms.SHARES_SUM_MAX - known)
        self.add(
            self.quota.requests_per_s * max(0.0, 1 - reserved) * elapsed_s
        )

    def add(self, tokens: float) -> None:
        """Add tokens, up to what the bucket holds."""
        bucket = self.tolerance.leader_bucket(self.quota)
        self.tokens = min(bucket, self.tokens + tokens)

    def serve(
        self,
        host: str,
        ask: QuotaAsk,
        *,
        may_share: bool,
        all_heard: bool,
        now_s: float,
    ) -> QuotaGrant:
        """Answer a host's question about this customer, after a refill.

        :param may_share: whether a later leader would know of the host
        """
        others = self._sums_without(host)
        self.add(ask.returned)
        on_way = self._tokens_on_way(now_s)
        held = others.held + ask.held if all_heard else 0
        room = int(
            self.tolerance.advance_max(self.quota, all_heard=all_heard)
            - held
            - on_way
        )
        needed = max(0, min(ask.needed, int(self.tokens), room))
        ahead = 0
        if needed == ask.needed and all_heard:
            bucket = self.tolerance.leader_bucket(self.quota)
            spare = int(self.tokens - bucket * KEPT_PART)
            ahead_room = int(self.tolerance.ahead_max(self.quota) - held)
            left = min(spare - needed, room - needed, ahead_room)
            ahead = max(0, min(ask.ahead, left))
        if needed:
            self._on_way.append((now_s + quota_terms.ANSWER_S, needed))
        self.tokens -= needed + ahead
        share = 0.0
        if may_share:
            share = self._share(ask, others) if all_heard else ask.share
        self._holdings[host] = _Holding(
            held=ask.held + ahead,
            # The answer may be lost.
            share=max(ask.share, share),
            demand_per_s=ask.demand_per_s,
        )
        return QuotaGrant(
            tokens=needed + ahead,
            share=share,
            retry_after_ms=self._retry_after_ms(ask.needed - needed),
        )

    def forget(self, host: str) -> None:
        """Forget what a host held before its process started anew."""
        self._holdings.pop(host, None)

    def _tokens_on_way(self, now_s: float) -> int:
        while self._on_way and self._on_way[0][0] <= now_s:
            self._on_way.popleft()
        return sum(tokens for _, tokens in self._on_way)

    def _sums_without(self, host: str) -> _Sums:
        held = holders = 0
        share = demand_per_s = 0.0
        for name, holding in self._holdings.items():
            if name != host:
                held += holding.held
                share += holding.share
                demand_per_s += holding.demand_per_s
                holders += holding.share > 0
        return _Sums(
            held=held,
            share=share,
            demand_per_s=demand_per_s,
            holders=holders,
        )

    def _share(self, ask: QuotaAsk, others: _Sums) -> float:
        """Return a host's share of the quota, by its part of the demand."""
        demand_per_s = ask.demand_per_s + others.demand_per_s
        if demand_per_s <= 0 or others.holders >= self.tolerance.shares_max(
            self.quota
        ):
            return 0.0
        wanted = min(
            ask.demand_per_s / demand_per_s * quota_terms.SHARES_SUM_MAX,
            ask.demand_per_s / self.quota.requests_per_s * SHARE_HEADROOM,
        )
        left = quota_terms.SHARES_SUM_MAX - others.share
        return max(0.0, min(wanted, left))

    def _retry_after_ms(self, missing: int) -> int:
        if missing <= 0:
            return 0
        wait_ms = math.ceil(missing / self.quota.requests_per_s * 1000)
        return max(RETRY_AFTER_MS_MIN, min(RETRY_AFTER_MS_MAX, wait_ms))


@attrs.define(kw_only=True)
class QuotaGranter:
    """The quotas of all customers during one term of a leader.

    ``earlier_hosts`` may hold shares that an earlier leader gave; of
    ``earlier_customers`` an earlier leader may have granted tokens.
    """

    tolerance: quota_terms.QuotaTolerance
    started_s: float
    earlier_hosts: set[str]
    earlier_customers: ty.Container[str]
    _customers: dict[str, CustomerGrants] = attrs.field(factory=dict)
    _contacts: dict[str, HostContact] = attrs.field(factory=dict)

    def record_ask(
        self,
        host: str,
        session: str,
        *,
        answered_s: float,
        spending: bool,
        now_s: float,
    ) -> bool:
        """Record that a host asks; return whether answers reach it.

        If not, it is to spend its shares, which stay reserved.

        :param answered_s: when this leader gave the last answer that the host
            has received, -inf without one
        :param spending: whether the host spends its shares now
        """
        contact = self._contacts.get(host)
        if contact is None or contact.session != session:
            self._forget(host, now_s)
            contact = HostContact(session=session, asked_s=now_s)
            self._contacts[host] = contact
        answered_s = max(contact.answered_s, answered_s)
        confirmed = now_s < answered_s + quota_terms.RESERVED_AFTER_S
        reserves = spending or not confirmed
        if contact.reserves(now_s) != reserves:
            # What was reserved until now depends on the contact until now.
            self._refill(contact.customers, now_s)
        contact.asked_s = now_s
        contact.answered_s = answered_s
        contact.spending = reserves
        return confirmed

    def serve(
        self,
        host: str,
        customer: str,
        quota: quota_terms.Quota,
        ask: QuotaAsk,
        *,
        may_share: bool,
        now_s: float,
    ) -> QuotaGrant:
        """Answer a host's question about a customer, after ``record_ask``."""
        grants = self._customers.get(customer)
        if grants is None:
            known_earlier = customer in self.earlier_customers
            grants = CustomerGrants(
                quota=quota,
                tolerance=self.tolerance,
                refilled_s=self.started_s if known_earlier else now_s,
                tokens=0.0 if known_earlier else quota.burst_requests,
            )
            self._customers[customer] = grants
        self._refill((customer,), now_s)
        grants.quota = quota
        self._contacts[host].customers.add(customer)
        return grants.serve(
            host,
            ask,
            may_share=may_share,
            all_heard=self._all_heard(now_s),
            now_s=now_s,
        )

    def silent_hosts(self, now_s: float) -> set[str]:
        """Return the hosts that hold nothing any more."""
        silent = {
            host
            for host, contact in self._contacts.items()
            if not contact.valid(now_s)
        }
        return (
            silent | self.earlier_hosts if self._all_heard(now_s) else silent
        )

    def _all_heard(self, now_s: float) -> bool:
        """Whether all hosts that may hold an earlier share have asked."""
        valid_until_s = self.started_s + quota_terms.VALID_S * VALID_MARGIN
        return not self.earlier_hosts or now_s >= valid_until_s

    def heard_whole(self, host: str, now_s: float) -> None:
        """Record that a host holds only what it has said."""
        if host in self.earlier_hosts:
            self._refill(list(self._customers), now_s)
            self.earlier_hosts.discard(host)

    def _refill(self, customers: ty.Iterable[str], now_s: float) -> None:
        all_heard = self._all_heard(now_s)
        for name in customers:
            self._customers[name].refill(
                self._contacts, all_heard=all_heard, now_s=now_s
            )

    def _forget(self, host: str, now_s: float) -> None:
        """Forget what a process held that has ended."""
        contact = self._contacts.get(host)
        if contact is None:
            return
        self._refill(contact.customers, now_s)
        for name in contact.customers:
            self._customers[name].forget(host)
