"""Each module that reads bytes from outside has a test that shows where reading ends."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "greengagerock"
READING = re.compile(
    r"\.recv\(|makefile|PoolManager|HTTPConnectionPool|SocketIO|wsgi\.input|request\.body|"
    r"recv_max_size|\.urlopen\(|HTTPResponse"
)
WEB_TESTS = "greengagerock/web/tests"
# A test of its bound by module, or for links the line that sets it.
TESTS = {
    "web/bounded_client.py": (
        f"{WEB_TESTS}/test_bounded_client.py",
        "test_response_without_end_is_given_up",
    ),
    "web/bounded_input.py": (
        f"{WEB_TESTS}/test_bounded_input.py",
        "test_bytes_that_come_one_by_one_end_within_the_time_of_a_request",
    ),
    "web/bounded_output.py": (
        f"{WEB_TESTS}/test_slow_callers.py",
        "test_caller_that_reads_nothing_does_not_keep_its_thread",
    ),
    "web/caller_application.py": (
        f"{WEB_TESTS}/test_bounded_input.py",
        "test_bytes_that_come_one_by_one_end_within_the_time_of_a_request",
    ),
    "web/connection_state.py": (
        f"{WEB_TESTS}/test_bounded_client.py",
        "test_response_without_end_is_given_up",
    ),
    "web/control_application.py": (
        f"{WEB_TESTS}/test_control_bodies.py",
        "test_chunked_body_without_end_is_refused",
    ),
    "web/json_bodies.py": (
        f"{WEB_TESTS}/test_control_bodies.py",
        "test_json_body_without_end_is_refused",
    ),
    "web/server.py": (
        f"{WEB_TESTS}/test_bounded_input.py",
        "test_line_without_end_in_a_chunked_body_is_not_kept",
    ),
    "web/strict_response.py": (
        f"{WEB_TESTS}/test_bounded_client.py",
        "test_response_without_end_is_given_up",
    ),
    "web/upstream.py": (
        "tests/test_site_processes.py",
        "test_response_without_end_neither_holds_its_caller_nor_goes_on",
    ),
    "transport/links.py": ("greengagerock/transport/links.py", "recv_max_size"),
}


def reading_modules():
    """Return the modules of the product that read from connections."""
    paths = [path.relative_to(PACKAGE) for path in PACKAGE.rglob("*.py")]
    product = [path for path in paths if not {"tests", "testing"} & set(path.parts)]
    return {str(path) for path in product if READING.search((PACKAGE / path).read_text())}


def test_every_module_that_reads_from_outside_is_listed():
    """A new reader without a bound grew a process until it ended."""
    assert reading_modules() == set(TESTS)


@pytest.mark.parametrize("module", TESTS)
def test_listed_test_exists(module):
    path, name = TESTS[module]
    assert name in (ROOT / path).read_text()
