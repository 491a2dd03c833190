"""Tests of the watch of the settings file."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging

import pytest

from goldcrestproxy.daemon import fleet_running

SETTINGS = json.dumps(
    {
        "host": "entry-0",
        "address": "127.0.0.1",
        "zone": "zone-a",
        "roles": ["entry"],
        "peer_port": 7100,
        "fleet": {
            "seeds": ["127.0.0.1:7200"],
            "callers": "127.0.0.1:8080",
            "balancer": "127.0.0.1:8081",
        },
    }
).encode()
CHANGED = SETTINGS.replace(b"zone-a", b"zone-b")
WARNING = "keeping the current settings"


@pytest.fixture
def file(tmp_path, monkeypatch, caplog):
    """Settings file that is checked for changes every 10 ms."""
    monkeypatch.setattr(fleet_running, "SETTINGS_POLL_INTERVAL_S", 0.01)
    caplog.set_level(logging.INFO)
    path = tmp_path / "host.json"
    path.write_bytes(SETTINGS)
    return path


def watch(file, *contents, reload_count=0):
    """Write contents one after the other, then request reloads.

    None removes the file. Fails if the watch ends.
    """

    async def scenario():
        reload = asyncio.Event()
        task = asyncio.create_task(fleet_running._watch_settings(file, reload))
        await asyncio.sleep(0.03)
        for content in contents:
            if content is None:
                file.unlink()
            else:
                file.write_bytes(content)
            await asyncio.sleep(0.1)
        for _ in range(reload_count):
            reload.set()
            await asyncio.sleep(0.03)
        if task.done():
            await task
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "content",
    [
        None,
        b"",
        SETTINGS[:60],
        SETTINGS[:60] + "\N{EURO SIGN}".encode()[:2],
        b"\xff\xfe\x00",
        b"[" * 100_000,
        b"7",
        CHANGED.replace(b"8080", b"0"),
    ],
    ids=[
        "missing",
        "empty",
        "truncated",
        "truncated in a character",
        "not UTF-8",
        "nested",
        "a number",
        "invalid",
    ],
)
def test_unusable_settings_file_does_not_end_the_daemon(file, content, caplog):
    """It is reported once, and again when a reload is requested."""
    watch(file, content, CHANGED, content, reload_count=1)
    assert caplog.text.count(WARNING) == 3
    assert caplog.text.count("settings changed") == 1


def test_settings_file_that_is_missing_at_the_start_of_the_watch(file, caplog):
    file.unlink()
    watch(file, SETTINGS)
    assert caplog.text.count("settings changed") == 1


def test_unchanged_settings_file_is_reported_only_on_reload(file, caplog):
    watch(file, SETTINGS, reload_count=2)
    assert caplog.text.count("reloaded, unchanged") == 2
    assert "settings changed" not in caplog.text
