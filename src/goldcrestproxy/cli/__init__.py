"""Command line for operators."""

from __future__ import annotations

from goldcrestproxy.cli.application import main

__all__ = ["main"]
