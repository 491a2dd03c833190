"""Outcomes of commands applied to the replicated state."""

from __future__ import annotations

import attrs

from goldcrestproxy.control import commands


@attrs.frozen(kw_only=True)
class Done:
    """The command took effect, or had nothing to change."""


@attrs.frozen(kw_only=True)
class Changed:
    """A configuration change was accepted as this revision."""

    revision: int


@attrs.frozen(kw_only=True)
class Refused:
    """The command had no effect; ``code`` is a result code."""

    code: int
    text: str
    revision: int = 0


@attrs.frozen(kw_only=True)
class Claimed:
    """The claim was created: the request may be sent now."""


@attrs.frozen(kw_only=True)
class AlreadyClaimed:
    """The claim existed: still running if ``answer`` is None, else settled.

    ``same_request`` tells whether the request fingerprints are equal.
    """

    request_id: str
    answer: commands.Answer | None
    same_request: bool


Outcome = Done | Changed | Refused | Claimed | AlreadyClaimed
