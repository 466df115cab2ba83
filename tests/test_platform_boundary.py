"""Only the adapter knows the infrastructure's names."""

import re
from pathlib import Path

NAMES = re.compile(
    r"X-Request-Id|X-Deadline-Ms|X-Expect-Instance|X-Shard-Key|X-Response-Seal|X-Not-Executed"
    r"|X-Instance-Id|GREENGAGEROCK_BOOT|hold_time|path-prefix|traffic-split|max-concurrency"
    r"|warmup-left|heartbeat-url|/greengagerock/|internal-ports|fault-tolerance",
    re.IGNORECASE,
)
# A list of modules decides nothing, so that none of them can hold a policy.
DECIDING_MODULES = ("greengagerock.routing.dispatcher", "greengagerock.control.leadership")


def test_names_of_the_infrastructure_stay_in_the_adapter():
    found = [
        (str(path), match[0])
        for path in Path("greengagerock").rglob("*.py")
        if "platform" not in path.parts
        for match in NAMES.finditer(path.read_text())
    ]
    assert found == []


def test_adapter_does_not_reach_into_what_decides():
    for path in Path("greengagerock/platform").glob("*.py"):
        text = path.read_text()
        assert not [name for name in DECIDING_MODULES if name in text], path
