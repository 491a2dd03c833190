"""Routing decisions as pure logic, without network access."""

from __future__ import annotations
