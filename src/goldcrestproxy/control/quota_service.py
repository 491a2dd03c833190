"""Quotas of customers during one term of a leader."""

from __future__ import annotations

import logging
import math
import typing as ty

from goldcrestproxy.control import replica as replicas
from goldcrestproxy import registry
from goldcrestproxy.routing import quota_grants
from goldcrestproxy.routing import quota_terms
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

# A customer beyond its quota is logged again after this time.
EXHAUSTED_LOG_INTERVAL_S: ty.Final = 5.0


class QuotaService:
    """Answers entry hosts that ask for tokens, from one term's grants."""

    def __init__(
        self,
        replica: replicas.Replica,
        tolerance: quota_terms.QuotaTolerance,
    ) -> None:
        """Start a term; see ``QuotaGranter`` for what earlier ones left."""
        self._replica = replica
        self._name = f"{replica.host}/{replica.term}"
        self._granter = quota_grants.QuotaGranter(
            tolerance=tolerance,
            started_s=replica.clock(),
            earlier_hosts=set(self._registry.quota_hosts),
            earlier_customers=frozenset(
                item.key.name
                for item in self._registry.current_items
                if item.key.kind is registry.ItemKind.CUSTOMER
            ),
        )
        # Hosts that have asked and are not in the state yet.
        self._new_hosts: set[str] = set()
        # Hosts whose removal from the state is due.
        self._leaving_hosts: set[str] = set()
        self._logged_s: dict[str, float] = {}

    @property
    def _registry(self) -> registry.RegistryState:
        return self._replica.state.registry

    def serve(
        self, request: wire.ttypes.QuotaRequest
    ) -> wire.ttypes.QuotaReply:
        """Answer a host's questions about the customers that it names."""
        now_s = self._replica.clock()
        host = request.host
        may_share = self._may_share(host)
        confirmed = self._granter.record_ask(
            host,
            request.session,
            answered_s=(
                request.stamp_ms / 1000
                if request.granter == self._name
                else -math.inf
            ),
            spending=request.spending,
            now_s=now_s,
        )
        grants = []
        for asked in request.asks:
            quota = quota_terms.quota_of(
                self._registry.customer(asked.customer)
            )
            if quota is None:
                continue
            grant = self._granter.serve(
                host,
                asked.customer,
                quota,
                quota_grants.QuotaAsk(
                    needed=asked.needed,
                    ahead=asked.ahead,
                    held=asked.held,
                    returned=asked.returned,
                    share=asked.share,
                    demand_per_s=asked.demand_per_s,
                ),
                may_share=may_share,
                now_s=now_s,
            )
            if grant.retry_after_ms:
                self._log_exhausted(asked.customer, quota, now_s)
            grants.append(
                wire.ttypes.QuotaGrant(
                    customer=asked.customer,
                    tokens=grant.tokens,
                    share=grant.share,
                    retry_after_ms=grant.retry_after_ms,
                )
            )
        self._granter.heard_whole(host, now_s)
        return wire.ttypes.QuotaReply(
            grants=grants,
            granter=self._name,
            stamp_ms=int(now_s * 1000),
            confirmed=confirmed,
        )

    def due_commands(self) -> list[registry.Command]:
        """Return the change of the hosts that may hold shares, if any."""
        now_s = self._replica.clock()
        named = set(self._registry.quota_hosts)
        self._new_hosts -= named
        self._leaving_hosts = self._granter.silent_hosts(now_s) & named
        hosts = (named | self._new_hosts) - self._leaving_hosts
        if hosts == named:
            return []
        return [registry.SetQuotaHosts(hosts=tuple(sorted(hosts)))]

    def _may_share(self, host: str) -> bool:
        """Whether a later leader would know that a host may hold shares."""
        if host not in self._registry.quota_hosts:
            self._new_hosts.add(host)
            return False
        return host not in self._leaving_hosts

    def _log_exhausted(
        self, customer: str, quota: quota_terms.Quota, now_s: float
    ) -> None:
        logged_s = self._logged_s.get(customer, -math.inf)
        if now_s < logged_s + EXHAUSTED_LOG_INTERVAL_S:
            return
        self._logged_s[customer] = now_s
        LOG.info(
            "control: customer %s has used up its quota of %g requests a "
            "second, burst %g",
            customer,
            quota.requests_per_s,
            quota.burst_requests,
        )
