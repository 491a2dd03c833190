"""Deployment documents for tests."""

from __future__ import annotations

import typing as ty

PARTITIONS = 64


def document(customers: ty.Iterable[str] = ("kisvaros", "bangkok-books")):
    """Return a document with a keyed and a pool desk for each customer."""
    routes = [
        {
            "operation": "lookup",
            "method": "GET",
            "path": "/pitches/{key}",
            "idempotent": True,
            "deadline_ms": 3000,
        },
        {
            "operation": "reserve",
            "method": "POST",
            "path": "/pitches/{key}",
            "idempotent": False,
            "deadline_ms": 3000,
        },
        {
            "operation": "special",
            "method": "GET",
            "path": "/pitches/{key}/{what}",
            "idempotent": True,
            "deadline_ms": 3000,
        },
        {
            "operation": "special-reserve",
            "method": "POST",
            "path": "/pitches/{key}/{what}",
            "idempotent": False,
            "deadline_ms": 3000,
        },
    ]
    photos = [
        {
            "operation": "upload",
            "method": "PUT",
            "path": "/photos/{name}",
            "idempotent": True,
            "deadline_ms": 20000,
            "body_bytes_max": 64 * 1024 * 1024,
        },
        {
            "operation": "view",
            "method": "GET",
            "path": "/photos/{name}",
            "idempotent": True,
            "deadline_ms": 3000,
        },
    ]
    return {
        "parameters": {
            "queue": {"type": "integer", "default": 64, "minimum": 0}
        },
        "template": {
            "desks": {
                "pitches": {
                    "kind": "keyed",
                    "partitions": PARTITIONS,
                    "queue_requests_max": "${queue}",
                    "routes": routes,
                },
                "photos": {"kind": "pool", "routes": photos},
            }
        },
        "customers": {name: {} for name in customers},
    }
