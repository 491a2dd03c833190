"""Calls between daemons, with their numbers and thrift structs."""

from __future__ import annotations

import enum
import typing as ty

from goldcrestproxy.wire.generated import ttypes


class Method(enum.IntEnum):
    """Number that identifies a call on the peer channel."""

    VOTE = 1
    APPEND = 2
    SNAPSHOT = 3
    IDENTITY = 4
    FOUND = 5
    RENEW = 6
    FEED = 7
    PROPOSE = 8
    QUERY = 9
    WATCH = 10
    FORWARD = 11
    JOIN = 12
    PERMIT = 13
    QUOTA = 14


class Signature(ty.NamedTuple):
    """Thrift structs of a call's request and reply."""

    request: type
    reply: type


SIGNATURES: ty.Final[dict[Method, Signature]] = {
    Method.VOTE: Signature(ttypes.VoteRequest, ttypes.VoteReply),
    Method.APPEND: Signature(ttypes.AppendRequest, ttypes.AppendReply),
    Method.SNAPSHOT: Signature(ttypes.SnapshotRequest, ttypes.AppendReply),
    Method.IDENTITY: Signature(ttypes.Empty, ttypes.IdentityReply),
    Method.FOUND: Signature(ttypes.FoundRequest, ttypes.Empty),
    Method.RENEW: Signature(ttypes.RenewRequest, ttypes.RenewReply),
    Method.FEED: Signature(ttypes.FeedRequest, ttypes.Empty),
    Method.PROPOSE: Signature(ttypes.ProposeRequest, ttypes.ProposeReply),
    Method.QUERY: Signature(ttypes.QueryRequest, ttypes.QueryReply),
    Method.WATCH: Signature(ttypes.WatchRequest, ttypes.WatchReply),
    Method.FORWARD: Signature(ttypes.ForwardRequest, ttypes.ForwardReply),
    Method.JOIN: Signature(ttypes.JoinRequest, ttypes.JoinReply),
    Method.PERMIT: Signature(ttypes.PermitRequest, ttypes.PermitReply),
    Method.QUOTA: Signature(ttypes.QuotaRequest, ttypes.QuotaReply),
}
