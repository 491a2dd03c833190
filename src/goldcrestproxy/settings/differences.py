"""Differences between configuration documents."""

from __future__ import annotations

import difflib
import json


def diff_documents(old: str, new: str) -> list[str]:
    """Return a unified diff of two configuration documents.

    :param old: the current JSON text, empty if there is none
    :param new: the proposed JSON text
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
