"""Differences between configuration documents."""

from __future__ import annotations

import difflib
import json


def diff_documents(old: str, new: str) -> list[str]:
    """Return a unified diff of two configuration documents.

    :param old: the JSON text in force, empty before the first one
    :param new: the JSON text that shall replace it
    """
    return list(
        difflib.unified_diff(
            _format_lines(old),
            _format_lines(new),
            "in force",
            "proposed",
            lineterm="",
        )
    )


def _format_lines(document: str) -> list[str]:
    if not document:
        return []
    return json.dumps(json.loads(document), indent=2).splitlines()
