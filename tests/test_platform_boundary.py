"""Names of the infrastructure appear only in the platform adapter."""

import re
from pathlib import Path

INFRASTRUCTURE_NAMES = re.compile(
    r"X-Request-Id|X-Deadline-Ms|X-Expect-Instance|X-Shard-Key|X-Response-Seal|X-Not-Executed"
    r"|X-Instance-Id|GREENGAGEROCK_BOOT|hold_time|path-prefix|traffic-split|max-concurrency"
    r"|warmup-left|heartbeat-url|/greengagerock/|internal-ports|fault-tolerance"
    r"|Server-Leaving|Server-Limit|X-Instance-Load|warmup-per-s|warmup-overage|warmup-slack",
    re.IGNORECASE,
)
# Modules that hold policies. The adapter must not import them, so that it makes no decisions.
POLICY_MODULES = ("greengagerock.routing.dispatcher", "greengagerock.control.site_leader")


def test_names_of_the_infrastructure_appear_only_in_the_adapter():
    occurrences = [
        (str(path), match[0])
        for path in Path("greengagerock").rglob("*.py")
        if "platform" not in path.parts
        for match in INFRASTRUCTURE_NAMES.finditer(path.read_text())
    ]
    assert occurrences == []


def test_adapter_does_not_use_policy_modules():
    for path in Path("greengagerock/platform").glob("*.py"):
        text = path.read_text()
        assert not [name for name in POLICY_MODULES if name in text], path
