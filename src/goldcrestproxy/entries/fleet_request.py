"""A request for the targets of the registry, and its answer."""

from __future__ import annotations

import typing as ty

import attrs

from goldcrestproxy.entries import fingerprints
from goldcrestproxy import wire


@attrs.frozen(kw_only=True)
class FleetRequest:
    """What a caller asked for.

    ``key`` is None for a request without one, ``body_bytes`` -1 when the
    length is not known and 0 for no body. ``caller`` is the address that
    the request came from.
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

    @property
    def fingerprint(self) -> str:
        """The same when the same caller sends the same request again."""
        return fingerprints.of_parts(
            self.caller,
            self.host,
            self.method,
            self.request_target,
            str(self.body_bytes),
        )

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.request_target.partition("?")[0]


@attrs.frozen(kw_only=True)
class FleetAnswer:
    """A target's answer; ``rest`` is what was not read yet of the body.

    Whoever does not read the rest to its end calls ``abandon``.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    remaining_body: wire.Pipe | None = None
    body_bytes: int | None = None
    cancel: ty.Callable[[], None] | None = None
