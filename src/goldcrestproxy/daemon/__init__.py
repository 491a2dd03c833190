"""Daemon that runs on every host of the system."""

from __future__ import annotations

import signal

__all__ = ["main"]


def main() -> int:
    """Run a daemon; return its exit code."""
    # A request to reload the settings must not end the process. The imports
    # take long enough for one to arrive meanwhile.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from goldcrestproxy.daemon import application

    return application.main()
