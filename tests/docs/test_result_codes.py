"""Tests that the documentation matches the code."""

from __future__ import annotations

import pathlib
import re

from goldcrestproxy.cli import application
from goldcrestproxy import results

ROOT = pathlib.Path(__file__).parents[2]


def test_result_codes_page_matches_the_table():
    page = (ROOT / "docs" / "result-codes.md").read_text()
    rows = re.findall(r"^\| (\d{1,4}) \| (.+) \|$", page, re.MULTILINE)
    rows_by_code = {int(code): row for code, row in rows if " | " in row}
    for result in results.TABLE:
        assert rows_by_code[result.code] == " | ".join(
            (
                result.name,
                str(result.status),
                result.outcome.value,
                result.meaning,
                result.remedy,
            )
        )


def test_codes_and_names_are_unique():
    assert len(results.BY_CODE) == len(results.TABLE)
    assert len({result.name for result in results.TABLE}) == len(results.TABLE)


def test_readme_names_every_command():
    readme = (ROOT / "README.md").read_text()
    for command_class in application.COMMANDS:
        assert f"`{command_class.name}" in readme


def test_proofs_name_tests_that_exist():
    page = (ROOT / "docs" / "proofs.md").read_text()
    sources = "".join(
        file.read_text() for file in (ROOT / "tests").rglob("test_*.py")
    )
    test_names = re.findall(r"`(test_\w+)`", page)
    assert test_names
    for name in test_names:
        assert f"def {name}(" in sources, name


def test_every_page_that_is_linked_exists():
    for page in [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]:
        for name in re.findall(r"docs/[\w./-]+\.md", page.read_text()):
            assert (ROOT / name).exists(), f"{page.name}: {name}"
