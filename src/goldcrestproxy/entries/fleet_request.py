"""Requests to targets of the registry, and their answers."""

from __future__ import annotations

import typing as ty

import attrs

from goldcrestproxy.entries import body_identity
from goldcrestproxy.entries import fingerprints
from goldcrestproxy import wire


@attrs.frozen(kw_only=True)
class FleetRequest:
    """A caller's request.

    ``request_target`` is the path with the query, as in the request line.
    ``key`` is the number by which a service is divided, None without one.
    ``body_bytes`` is -1 when the length is unknown and 0 without a body.
    ``caller`` is the IP address of the caller. ``passed_on`` requests come
    from another entry host.
    ``credential`` is the key of a customer. ``customer`` is None until the
    caller is identified and where no customers are configured, and empty for
    callers that are no customers.
    """

    request_id: str
    method: str
    host: str
    request_target: str
    headers: tuple[tuple[str, str], ...]
    key: int | None
    body: wire.Pipe | None
    body_bytes: int
    deadline_ms: int | None
    caller: str = ""
    passed_on: bool = False
    credential: str | None = attrs.field(default=None, repr=False)
    customer: str | None = None

    def fingerprint(self, body: body_identity.BodyIdentity) -> str | None:
        """Return a digest that is equal for repetitions of this request.

        None until enough of the body has been read.
        """
        match body:
            case body_identity.Unread():
                return None
            case body_identity.NoBody():
                return self._fingerprint_with("")
            case body_identity.ShortBody(digest=digest):
                return self._fingerprint_with(digest)
            case body_identity.LongBody(digest=digest):
                return fingerprints.of_long_body(
                    self._fingerprint_with(""), digest
                )

    @property
    def family(self) -> str:
        """The start of its fingerprint if it has a long body."""
        return fingerprints.family(self._fingerprint_with(""))

    def _fingerprint_with(self, body_digest: str) -> str:
        return fingerprints.of_parts(
            str(self.key),
            self.host,
            self.method,
            self.request_target,
            body_digest,
        )

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.request_target.partition("?")[0]


@attrs.frozen(kw_only=True)
class FleetAnswer:
    """A target's answer, with the start of its body in ``body``.

    ``remaining_body`` is the part that has not been read yet, None if there
    is none. Call ``cancel`` unless it is read to its end.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    remaining_body: wire.Pipe | None = None
    body_bytes: int | None = None
    cancel: ty.Callable[[], None] | None = None
