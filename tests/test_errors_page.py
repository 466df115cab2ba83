"""The page of error codes and the registry say the same."""

import re
from pathlib import Path

from greengagerock.core import ERROR_KINDS

ROW = re.compile(r"^\| `([a-z-]+)` \| (\d+) \| (.+) \| (.+) \|$")

USE = re.compile(r'(?:Error|(?<!\.)refuse)\(\s*"([a-z]+(?:-[a-z]+)+)"')


def test_page_lists_every_code_with_its_status():
    rows = [ROW.match(line) for line in Path("docs/ERRORS.md").read_text().splitlines()]
    listed = {row[1]: int(row[2]) for row in rows if row}
    assert listed == {code: kind.http_status for code, kind in ERROR_KINDS.items()}


def test_every_code_used_in_the_package_is_registered():
    used = set()
    for path in Path("greengagerock").rglob("*.py"):
        used |= set(
            re.findall(r'(?:Error|(?<!\.)refuse)\(\s*"([a-z]+(?:-[a-z]+)+)"', path.read_text())
        )
    assert used
    assert used <= set(ERROR_KINDS)
