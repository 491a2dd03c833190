"""Tests of signals at the start and the end of a daemon's process."""

from __future__ import annotations

import subprocess
import sys

import pytest

# Sends a SIGHUP when the program begins to import its parts.
AT_THE_START = """
import os, signal, sys

class Importer:
    @staticmethod
    def find_spec(name, *_):
        if name == "goldcrestproxy.daemon.application":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Importer)
from goldcrestproxy.daemon import main
sys.exit(main())
"""
# Sends a signal when a daemon that has stopped writes its last log lines.
AT_THE_END = """
import os, signal, sys
from goldcrestproxy.daemon import application

async def run(*_):
    pass

def set_up_logging(*_):
    return lambda: os.kill(os.getpid(), signal.{name})

application._run = run
application.settings.load_host_settings = lambda _: application
application.host = ""
application.telemetry.set_up_logging = set_up_logging
sys.exit(application.main(["--settings", "host.json"]))
"""


def exit_code(program, *arguments):
    return subprocess.run(
        [sys.executable, "-c", program, *arguments], check=False
    ).returncode


def test_reload_signal_during_the_start_does_not_end_the_daemon():
    assert exit_code(AT_THE_START, "--version") == 0


@pytest.mark.parametrize("name", ["SIGHUP", "SIGTERM"])
def test_signal_after_a_planned_stop_does_not_change_its_exit_code(name):
    assert exit_code(AT_THE_END.format(name=name)) == 0
