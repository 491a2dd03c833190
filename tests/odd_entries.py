"""Heartbeats of other writers, with values that no target sends."""

from __future__ import annotations

import json

VALID = {
    "service": "desk",
    "address": "10.128.0.9:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 4,
    "born": 1_790_000_000_000,
}
DEEP = json.loads("[" * 300 + "]" * 300)
ODD_FIELDS = [
    *(("born", value) for value in (1 << 63, 10**400, 1e30, True, None)),
    *(("sequence", value) for value in (1 << 63, -1, 1e400, "4")),
    *(("slots", value) for value in (0, 10_001, 1 << 31, 10**400, 2.0)),
    *(("cold_left_ms", value) for value in (10**400, 1e300, -1, "0ms")),
    *(("service", value) for value in ("", "\ud800", "x" * 20_000, DEEP)),
    *(("zone", value) for value in ("\ud800", 7, DEEP)),
    *(
        ("address", value)
        for value in (
            "10.128.0.9:0",
            "10.128.0.9:65536",
            "10.128.0.9:" + "8" * 5_000,
            "10.128.0.9:\u0668\u0660",
            "10.128.0.9",
            "a" * 100 + ".example:80",
            "\ud800:80",
        )
    ),
    ("held", DEEP),
    ("held", [[0, 1 << 16, 3]]),
    ("held", [[0, 4, 1 << 63]]),
    ("held", [[0, 4, 10**400]]),
    ("released", [[0, 4, "h" * 2_000]]),
    ("released", {"0": DEEP}),
]
ODD_BODIES = [
    b"[" * 100_000,
    b'{"held":' * 5_000,
    b'{"born":' + b"9" * 5_000 + b"}",
    b'"\xff"',
    b"null",
    b"",
]
