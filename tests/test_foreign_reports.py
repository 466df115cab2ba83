"""Reports of another writer reach real controllers, which go on serving."""

import json

import msgspec
import pytest

from greengagerock.testing.fuzz.decoder_targets import NATIVE_REPORT
from greengagerock.testing.impossible_reports import TOO_LARGE, nested, with_value
from greengagerock.testing.launch_site import CONTROL_PORT, SiteProcesses

SAMPLE = json.loads(msgspec.json.encode(NATIVE_REPORT))
WHOLE = json.dumps(SAMPLE).encode()
FOREIGN_REPORTS = {
    "sequence": with_value(SAMPLE, ("sequence",), TOO_LARGE),
    "start": with_value(SAMPLE, ("born_ms",), TOO_LARGE),
    "slots": with_value(SAMPLE, ("slots",), TOO_LARGE),
    "fence": with_value(SAMPLE, ("holds", 0, 2), TOO_LARGE),
    "fence of 64 bits": with_value(SAMPLE, ("holds", 0, 2), (1 << 63) - 1),
    "range": with_value(SAMPLE, ("holds", 0), [0, 1 << 40, 1]),
    "port": with_value(SAMPLE, ("address",), "127.12.2.9:99999"),
    "nested": WHOLE[:-1] + b', "other": ' + nested() + b"}",
    "not JSON": b"\xff\x00" + WHOLE,
}


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site_processes = SiteProcesses(tmp_path_factory.mktemp("site"), "127.12")
    try:
        site_processes.start()
        yield site_processes
    finally:
        site_processes.stop()


@pytest.mark.parametrize("name", FOREIGN_REPORTS)
def test_controllers_refuse_the_report_and_go_on(site, name):
    """Followers that passed on an integer of over 64 bits stopped answering and did not end."""
    for ip in site.controllers:
        url = f"http://{ip}:{CONTROL_PORT}/endpoints/other/report"
        response = site.http.request("POST", url, body=FOREIGN_REPORTS[name])
        assert response.status == 400
        assert msgspec.json.decode(response.data)["code"] == "bad-report"
    for number, ip in enumerate(site.controllers, 1):
        assert site.processes[f"core-{number}"].poll() is None
        response = site.http.request("GET", f"http://{ip}:{CONTROL_PORT}/items")
        assert response.status == 200
    assert site.serves_all_keys()
    for endpoint in site.reporting_endpoints.values():
        assert all(fence < 1 << 40 for fence, _ in endpoint.holds.values())
