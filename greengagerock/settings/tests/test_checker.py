"""Tests of settings files and the reported faults."""

from pathlib import Path

import pytest

from greengagerock.settings.checker import SettingsError, load_settings, parse_settings

VALID = """\
host: h1
availability_zone: z1
listen:
  ip: 10.0.0.1
  caller_port: 8080
voters:
  - {host: h1, address: "10.0.0.1:8083"}
"""


SITE = """
host: h1
availability_zone: z1
link_address: 10.0.0.1:8083
"""


def test_site_settings_report_all_faults():
    with pytest.raises(SettingsError) as caught:
        parse_settings(SITE + "role: controller\nseeds: []")
    problems = " ".join(str(fault) for fault in caught.value.problems)
    assert "seeds" in problems and "data_folder" in problems
    with pytest.raises(SettingsError):
        parse_settings(SITE + "role: keeper\nseeds: [10.0.0.1:1]")


def faults_of(text):
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    return [str(fault) for fault in caught.value.problems]


def test_valid_settings():
    settings = parse_settings(VALID)
    assert settings.link_address == "10.0.0.1:8083"
    assert settings.voter_addresses == {"h1": "10.0.0.1:8083"}


def test_all_faults_are_reported_at_once_with_their_lines():
    text = (
        VALID.replace("8080", "80800").replace("h1\n", "'no spaces please'\n", 1) + "colour: red\n"
    )
    assert faults_of(text) == [
        "line 8: colour: unknown field; the fields are availability_zone, data_folder, host,"
        " limits, listen, log, region, roles, voters",
        "line 1: host: Expected `str` matching regex '^[A-Za-z0-9_][A-Za-z0-9_.-]{0,62}$'",
        "line 5: listen.caller_port: Expected `int` <= 65535",
    ]


def test_missing_fields_are_reported():
    assert faults_of("region: r") == [
        "line 1: host: this field is required",
        "line 1: availability_zone: this field is required",
    ]


def test_faults_between_fields():
    text = VALID.replace("8080", "8083").replace('"10.0.0.1:8083"', '"10.0.0.9:8083"')
    assert faults_of(text) == [
        "line 3: listen: the four ports must differ",
        "line 6: voters: this host is listed as 10.0.0.9:8083 but listens on 10.0.0.1:8083",
    ]


@pytest.mark.parametrize("text", ["", "[]", "host: [", "host: {a: b}", "\t- x", "3"])
def test_malformed_files_are_refused(text):
    assert faults_of(text)


def test_host_names_in_place_of_ip_addresses_are_refused():
    assert "listen.ip" in faults_of(VALID.replace("ip: 10.0.0.1", "ip: localhost"))[0]


def test_invalid_ip_address_is_refused():
    text = VALID.replace("10.0.0.1", "10.0.0.999")
    assert "line 4: listen.ip: not an IP address" in faults_of(text)


def test_host_without_the_voter_role_needs_voters():
    text = "host: h1\navailability_zone: z\nroles: [router]\n"
    assert faults_of(text) == ["line 1: voters: a host without the voter role needs voters"]


@pytest.mark.parametrize("path", sorted(Path("examples").glob("*/*.yaml")), ids=str)
def test_examples_are_valid(path):
    if path.name != "system.yaml":
        load_settings(path)


def test_examples_place_voters_so_that_no_zone_holds_a_majority():
    for folder, zones in (("nakhleh", 4), ("valiyaveettil", 3)):
        hosts = [load_settings(p) for p in Path("examples", folder).glob("*-*.yaml")]
        voters = [host for host in hosts if host.is_voter]
        assert len(hosts) == 12
        assert len(voters) == 5
        by_zone = [host.availability_zone for host in voters]
        assert len({host.availability_zone for host in hosts}) == zones
        assert max(by_zone.count(zone) for zone in by_zone) <= 2
