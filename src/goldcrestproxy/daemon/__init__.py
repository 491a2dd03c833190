"""Daemon that runs on every host of the system."""

from __future__ import annotations

from goldcrestproxy.daemon.application import main

__all__ = ["main"]
