"""The page of error codes matches the registry, which has all codes used in the package."""

import re
from pathlib import Path

from greengagerock.core import ERROR_KINDS

ROW = re.compile(r"^\| `([a-z-]+)` \| (\d+) \| (.+) \| (.+) \|$")

USE = re.compile(r'(?:Error|(?<!\.)error_response)\(\s*"([a-z]+(?:-[a-z]+)+)"')


def test_page_lists_every_code_with_its_status():
    row_matches = [ROW.match(line) for line in Path("docs/ERRORS.md").read_text().splitlines()]
    documented_codes = {row[1]: int(row[2]) for row in row_matches if row}
    assert documented_codes == {code: kind.http_status for code, kind in ERROR_KINDS.items()}


def test_every_code_used_in_the_package_is_registered():
    used_codes = set()
    for path in Path("greengagerock").rglob("*.py"):
        used_codes |= set(
            re.findall(
                r'(?:Error|(?<!\.)error_response)\(\s*"([a-z]+(?:-[a-z]+)+)"', path.read_text()
            )
        )
    assert used_codes
    assert used_codes <= set(ERROR_KINDS)
