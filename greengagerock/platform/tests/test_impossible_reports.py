"""Reports and changes of another writer are refused with a code, in both formats."""

import json

import msgspec
import pytest

from greengagerock.core import GreengageError
from greengagerock.platform.samples import PATCH, REPORT
from greengagerock.platform.wire_items import decode_patch
from greengagerock.platform.wire_reports import decode_leaving, decode_report
from greengagerock.testing.fuzz.decoder_targets import NATIVE_REPORT
from greengagerock.testing.impossible_reports import (
    TOO_LARGE,
    impossible_reports,
    nested,
    with_value,
)
from greengagerock.web.control_application import NativeControlDialect

PLATFORM_PATHS = {
    "address": ("address",),
    "fence": ("holds", 0, 2),
    "range": ("holds", 0),
    "sequence": ("status", "sequence"),
    "service": ("info", "service"),
    "slots": ("info", "max-concurrency"),
    "start": ("born",),
    "token": ("freed", 0, 2),
    "zone": ("info", "zone"),
}
NATIVE_PATHS = {
    "address": ("address",),
    "fence": ("holds", 0, 2),
    "range": ("holds", 0),
    "sequence": ("sequence",),
    "service": ("service",),
    "slots": ("slots",),
    "start": ("born_ms",),
    "token": ("freed", 0, 2),
    "zone": ("zone",),
}
PLATFORM_REPORTS = impossible_reports(REPORT, PLATFORM_PATHS)
NATIVE_SAMPLE = json.loads(msgspec.json.encode(NATIVE_REPORT)) | {"freed": [[8, 15, "5c0e"]]}
NATIVE_REPORTS = impossible_reports(NATIVE_SAMPLE, NATIVE_PATHS)
COLD_TIMES = ("9" * 400 + "s", "\u0663s", "-1s", "1e5s", "100000000000ms")


def refusal(decode, body):
    """Return the code with which a body is refused, or an empty string."""
    try:
        message = decode(body)
    except GreengageError as error:
        return error.code
    msgspec.msgpack.encode(message)
    return ""


@pytest.mark.parametrize("name", PLATFORM_REPORTS)
def test_impossible_report_of_the_platform_is_refused(name):
    """Such reports ended the loops of controllers, or reached routers as addresses."""
    assert refusal(lambda data: decode_report("e", data), PLATFORM_REPORTS[name]) == "bad-report"


@pytest.mark.parametrize("name", NATIVE_REPORTS)
def test_impossible_native_report_is_refused(name):
    decode = NativeControlDialect().decode_report
    assert refusal(lambda data: decode("e", data), NATIVE_REPORTS[name]) == "bad-report"


@pytest.mark.parametrize("text", COLD_TIMES)
def test_report_with_an_impossible_cold_time_is_refused(text):
    body = with_value(REPORT, ("status", "warmup-left"), text)
    assert refusal(lambda data: decode_report("e", data), body) == "bad-report"


@pytest.mark.parametrize("endpoint", ["", "i-1\r\nX-Injected: 1", "x" * 201])
def test_endpoint_whose_name_cannot_be_sent_in_a_header_is_refused(endpoint):
    body = json.dumps(REPORT).encode()
    assert refusal(lambda data: decode_report(endpoint, data), body) == "bad-report"


@pytest.mark.parametrize("born", [TOO_LARGE, -1, 1 << 62])
@pytest.mark.parametrize("decode", [decode_leaving, NativeControlDialect().decode_leaving])
def test_leave_with_an_impossible_start_is_refused(decode, born):
    body = json.dumps({"type": "leaving", "endpoint": "e", "born": born, "born_ms": born}).encode()
    assert refusal(lambda data: decode("e", data), body) == "bad-report"


def test_valid_reports_are_accepted():
    body = json.dumps(REPORT).encode()
    assert refusal(lambda data: decode_report("e", data), body) == ""
    body = json.dumps(NATIVE_SAMPLE).encode()
    assert refusal(lambda data: NativeControlDialect().decode_report("e", data), body) == ""


def patch_with(table, column, value):
    """Return the body of a patch with another value in the first row of a table."""
    columns = PATCH["upsert"][table]["columns"]
    path = ("upsert", table, "rows", 0, columns.index(column))
    return with_value(PATCH, path, value)


@pytest.mark.parametrize("table", ["routes", "services"])
@pytest.mark.parametrize("value", [TOO_LARGE, -TOO_LARGE])
def test_version_of_over_64_bits_is_refused(table, value):
    """A follower that passed such a version on to the leader ended its loop."""
    assert refusal(decode_patch, patch_with(table, "version", value)) == "invalid-item"


@pytest.mark.parametrize(
    ("table", "column", "value"),
    [
        ("routes", "max-attempts", TOO_LARGE),
        ("routes", "timeout", "9" * 400 + "s"),
        ("routes", "timeout", "\u0663s"),
        ("services", "max-conns", TOO_LARGE),
        ("services", "warm", "9" * 400 + "s"),
    ],
)
def test_value_out_of_range_is_refused(table, column, value):
    """An infinite timeout could not be encoded again when the items were read back."""
    assert refusal(decode_patch, patch_with(table, column, value)) == "invalid-item"


def test_removal_with_a_version_of_over_64_bits_is_refused():
    body = with_value(PATCH, ("remove", "routes", 0, "version"), TOO_LARGE)
    assert refusal(decode_patch, body) == "invalid-item"


@pytest.mark.parametrize("weight", [10**30, 1e300])
def test_weight_that_cannot_be_summed_is_refused(weight):
    rows = [
        ["r", "h.example", "/a/", "safe", "800ms", 2, 7, [{"service": "till", "weight": weight}]]
    ]
    columns = [*PATCH["upsert"]["routes"]["columns"][:-1], "traffic-split"]
    body = with_value(PATCH, ("upsert", "routes"), {"columns": columns, "rows": rows})
    assert refusal(decode_patch, body) == "invalid-item"


@pytest.mark.parametrize(
    ("timeout", "objective", "code"),
    [
        ("4002ms", "64002ms", "invalid-item"),
        ("4002ms", "64001ms", ""),
        ("4.002s", "64.0019s", ""),
        ("800ms", "60800ms", "invalid-item"),
    ],
)
def test_objective_is_compared_in_decimal_milliseconds(timeout, objective, code):
    """As binary fractions of seconds, a minute above 4,002 ms was accepted."""
    columns = [*PATCH["upsert"]["routes"]["columns"], "target-latency"]
    rows = [["r", "h.example", "/a/", "safe", timeout, 2, 7, "till", objective]]
    body = with_value(PATCH, ("upsert", "routes"), {"columns": columns, "rows": rows})
    assert refusal(decode_patch, body) == code


def test_patch_that_is_nested_too_deeply_is_refused():
    body = json.dumps(PATCH).encode()
    assert refusal(decode_patch, body[:-1] + b', "x": ' + nested() + b"}") == "invalid-item"


@pytest.mark.parametrize(
    "statement",
    [
        f"remove route r version {TOO_LARGE}",
        "remove route r version " + "9" * 5000,
        "set service s version 1 health /h connections " + "9" * 30,
        "set route r version 1 host h prefix /x/ to s kind safe timeout "
        + "9" * 400
        + "s attempts 1",
    ],
)
def test_statement_with_a_value_out_of_range_is_refused(statement):
    code = refusal(NativeControlDialect().decode_patch, statement.encode())
    assert code in ("invalid-item", "syntax-error")
