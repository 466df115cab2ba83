"""A time with more than six digits is read back with another value."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common_2.deployment import (
    CaseCannotRunError,
    Deployment,
    first_change,
    route,
    run_case,
    upsert,
)

FOLDER = Path(__file__).parent
START_LIMIT_S = 25.0
UNITS = {"ms": 1, "s": 1000}


def milliseconds(text):
    """Return a time of the pages in milliseconds."""
    unit = "ms" if text.endswith("ms") else "s"
    return float(text.removesuffix(unit)) * UNITS[unit]


def play(record, has_trouble):
    """Play the case; return whether the rule held."""
    deployment = Deployment(record)
    try:
        deployment.start_all()
        if deployment.patch(first_change(), START_LIMIT_S) != 200:
            raise CaseCannotRunError("the first change was not acknowledged")
        sent = "1.234567s" if has_trouble else "1.234s"
        status = deployment.patch(upsert([route("prices", "/prices/", "docs", 2, timeout=sent)]))
        items = deployment.items()
        if status != 200 or items is None:
            raise CaseCannotRunError(f"the change was answered {status}")
        columns = items["routes"]["columns"]
        rows = [dict(zip(columns, row, strict=True)) for row in items["routes"]["rows"]]
        found = next(row for row in rows if row["name"] == "prices")
        record.say(f"sent and acknowledged: version 2 with timeout {sent}")
        record.say(f"read back: version {found['version']} with timeout {found['timeout']}")
        return abs(milliseconds(found["timeout"]) - milliseconds(sent)) < 1e-6
    finally:
        deployment.end()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, "CONFIG", play))
