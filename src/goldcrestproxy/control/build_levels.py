"""What builds of the daemon understand, while a fleet is upgraded.

Items that a build cannot read may be stored only once no host runs it.
"""

from __future__ import annotations

import typing as ty

# Customers, their keys and quotas.
CUSTOMERS: ty.Final = 1

OWN: ty.Final = CUSTOMERS


def lowest(levels: ty.Iterable[int | None]) -> int:
    """Return the lowest level; hosts that do not say have the level 0."""
    return min((level or 0 for level in levels), default=OWN)
