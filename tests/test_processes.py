"""Sessions of operators and callers against real processes on loopback addresses."""

import errno
import json
import re
import resource
import signal
import socket
import subprocess
import sys
import threading
import time

import msgspec
import pytest
import urllib3

from greengagerock.testing.example_files import LAYOUTS, write_layout
from greengagerock.testing.fault_switches import Switches
from greengagerock.testing.launch import ExampleSystem
from greengagerock.testing.stand_in import document_bytes

NETWORK = "127.6"
WAIT_LIMIT_S = 30.0
HTTP = urllib3.PoolManager(retries=False, timeout=15.0)


@pytest.fixture
def system(tmp_path):
    layout = msgspec.structs.replace(LAYOUTS[0], network=NETWORK)
    write_layout(layout, tmp_path)
    example = ExampleSystem(tmp_path / layout.name, tmp_path)
    try:
        example.start()
        example.wait_until_healthy()
        wait_until_no_transfers(example)
        yield example
    finally:
        example.stop()


def wait_until_no_transfers(example):
    """Wait until five consecutive reads show no transfer, so that no move is pending."""
    idle_reads = 0
    deadline_s = time.monotonic() + WAIT_LIMIT_S
    while idle_reads < 5 and time.monotonic() < deadline_s:
        time.sleep(0.2)
        transfers = example.send_statement("show transfers")
        idle_reads = (
            idle_reads + 1 if transfers.table is not None and not transfers.table.rows else 0
        )


def eventually(check):
    """Wait until ``check`` returns a true value, and return that value."""
    deadline_s = time.monotonic() + WAIT_LIMIT_S
    while time.monotonic() < deadline_s:
        result = check()
        if result:
            return result
        time.sleep(0.1)
    raise AssertionError(f"no true value within {WAIT_LIMIT_S} s")


def records(example, text, address=None):
    response = example.send_statement(text, address=address)
    return response.table.to_records() if response and response.table else []


class Session:
    """Runs commands and records a transcript, with values that differ between runs masked."""

    def __init__(self, example):
        self.example = example
        self.lines = []

    def cli(self, *arguments, zone=1):
        """Run the command-line tool against the second host of a zone."""
        address = f"{NETWORK}.{zone}.2:8081"
        command = [sys.executable, "-m", "greengagerock.cli.main", *arguments, "-a", address]
        completed = subprocess.run(command, capture_output=True, text=True, timeout=60)
        self.lines.append(mask("$ greengagerock " + " ".join(quote(a) for a in arguments)))
        for line in (completed.stdout + completed.stderr).splitlines():
            self.lines.append(mask(line))
        self.lines.append(f"exit {completed.returncode}")
        return completed.stdout

    def http(self, method, path, zone=1, headers=None, body=None):
        """Send a caller's request to the first host of a zone."""
        url = f"http://{NETWORK}.{zone}.1:8080{path}"
        response = HTTP.request(method, url, headers=headers, body=body)
        self.lines.append(f"> {method} {path}")
        self.lines.append(f"{response.status} {response.reason}")
        for name in ("Greengage-Outcome", "Retry-After", "Content-Range"):
            if name in response.headers:
                self.lines.append(f"{name}: {response.headers[name]}")
        for name in ("Greengage-Request-Id", "Greengage-Endpoint"):
            if name in response.headers:
                self.lines.append(f"{name}: *")
        if response.headers.get("Content-Type") == "application/json":
            self.lines.append(mask(response.data.decode().strip()))
        else:
            self.lines.append(f"({len(response.data)} bytes)")
        return response

    def text(self):
        """Return the transcript."""
        return "\n".join(self.lines) + "\n"


def quote(argument):
    return f"'{argument}'" if " " in argument else argument


MASKS = (
    (r"\b(till|documents)-\d+\b", r"\1-*"),
    (r'fence=\d+|"fence": \d+', "fence *"),
    (r'incarnation=\\?"[0-9a-f]+\\?"', "incarnation *"),
    (r"(zone-\d-\d#)[0-9a-f]+,voter,(True|False)", r"\1*,voter,*"),
    (r"\b(cli|golden)-[0-9a-z-]+\b", r"\1-*"),
    (r"based on \d+, current is \d+", "based on *, current is *"),
    (r"(?<=  )\d+(?=\s+yes  )", "*"),
    (r"zone-\d\b(?!-)", "zone-*"),
    (r" +", " "),
)


def mask(line):
    for pattern, replacement in MASKS:
        line = re.sub(pattern, replacement, line)
    return line


def test_operator_and_caller_session(system, snapshot):
    session = Session(system)
    session.http("GET", "/till/cards/card-1")
    session.http("POST", "/till/cards/card-1/charges", zone=2, body=b"amount=3")
    session.http("GET", "/till")
    session.http("GET", "/unknown/x")
    session.http("GET", "/till/cards/card-1", headers={"Prefer": "wait=soon"})
    session.http("GET", "/documents/exam.pdf?bytes=300000", zone=3)
    session.http(
        "GET", "/documents/exam.pdf?bytes=300000", zone=3, headers={"Range": "bytes=299990-"}
    )
    session.cli("query", "show services")
    owner = session.cli("query", "show owner of key card-1 in till", "--format", "json")
    endpoint = json.loads(owner)[0]["endpoint"]
    session.cli("query", "show ownr of key card-1 in till")
    session.cli("query", "show slots of endpoint nobody")
    session.cli("change", f"drain endpoint {endpoint}; drop service nothing")
    session.cli("change", f"drain endpoint {endpoint}", "--request-id", "golden-1", zone=2)
    session.cli("change", f"drain endpoint {endpoint}", "--request-id", "golden-1", zone=3)
    session.cli("change", "drain endpoint x", "--request-id", "golden-1", zone=3)
    session.cli("change", f"resume endpoint {endpoint}", "--based-on", "1")
    eventually(lambda: moved_away(system, endpoint))
    eventually(lambda: is_served_elsewhere(endpoint))
    moved = session.http("GET", "/till/cards/card-1")
    assert moved.headers["Greengage-Endpoint"] != endpoint
    session.cli("change", f"resume endpoint {endpoint}", "--dry-run")
    session.cli("change", f"resume endpoint {endpoint}")
    session.cli("query", "show voters", "--format", "csv")
    assert session.text() == snapshot


def moved_away(example, endpoint):
    rows = [r for r in records(example, "show endpoints of till") if r["endpoint"] == endpoint]
    return rows and rows[0]["units"] == 0


def is_served_elsewhere(endpoint):
    """Return whether another endpoint serves the key.

    The endpoint has no units any more before the units have their next owners, and the router may
    get the owner later than the leader.
    """
    response = HTTP.request("GET", f"http://{NETWORK}.1.1:8080/till/cards/card-1")
    return response.headers.get("Greengage-Endpoint", endpoint) != endpoint


def raw_exchange(address, data):
    """Send bytes to a port and return all bytes received until the other side closes."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=10) as connection:
        connection.sendall(data)
        try:
            connection.shutdown(socket.SHUT_WR)
        except OSError as error:
            # The server may have refused the request and reset the connection already; its
            # response can still be read.
            if error.errno != errno.ENOTCONN:
                raise
        received = b""
        while chunk := connection.recv(65_536):
            received += chunk
    return received


def test_bad_input_to_any_port_gets_an_error_code_and_requests_still_succeed(system):
    callers = f"{NETWORK}.1.1:8080"
    assert b'"code": "bad-request"' in raw_exchange(callers, b"nonsense\r\n\r\n")
    long_headers = b"GET /till/cards/1 HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 100_000 + b"\r\n\r\n"
    assert b'"code": "headers-too-large"' in raw_exchange(callers, long_headers)
    long_body = b"POST /till/cards/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n"
    assert b'"code": "body-too-large"' in raw_exchange(callers, long_body)
    raw_exchange(f"{NETWORK}.1.1:8083", b"\x00SP\x00\x00\x50\x00\x00" + b"\xff" * 40)
    response = HTTP.request("POST", f"http://{NETWORK}.1.1:8082/announce", body=b"{}")
    assert (response.status, response.json()["code"]) == (400, "bad-announcement")
    response = HTTP.request("POST", f"http://{NETWORK}.1.1:8081/operate", body=b"[")
    assert (response.status, response.json()["code"]) == (400, "bad-request")
    response = HTTP.request("GET", f"http://{NETWORK}.1.1:8081/nothing")
    assert response.json()["code"] == "bad-request"
    served = HTTP.request("GET", f"http://{callers}/till/cards/card-1")
    assert served.status == 200


def test_killed_leader_loses_no_accepted_change_and_rejoins(system):
    leader = next(r["host"] for r in records(system, "show voters") if r["leader"])
    address = next(
        f"{NETWORK}.{zone}.2:8081" for zone in (1, 2, 3) if not leader.startswith(f"zone-{zone}")
    )
    accepted = {}
    for number in range(30):
        request_id = f"kill-{number}"
        statement = f"alter service till set timeout_s {2 + number}"
        if number == 10:
            system.daemons[f"{leader}.yaml"].send_signal(signal.SIGKILL)
            system.daemons[f"{leader}.yaml"].wait()
        response = eventually(
            lambda s=statement, r=request_id: accepted_response(system, s, r, address)
        )
        accepted[request_id] = response.version
    system.start_daemon(f"{leader}.yaml")
    rows = eventually(lambda: changes_if_current(system, leader, address))
    versions = {row["version"] for row in rows}
    assert set(accepted.values()) <= versions
    assert len(set(accepted.values())) == 30
    for request_id, version in accepted.items():
        statement = f"alter service till set timeout_s {2 + int(request_id.split('-')[1])}"
        repeated = eventually(
            lambda s=statement, r=request_id: accepted_response(system, s, r, address)
        )
        assert repeated.version == version


def test_voters_whose_disks_were_full_one_after_another_still_accept_changes(system):
    """Each took no part any more after one refused write, until no quorum was left."""
    names = [f"{row['host']}.yaml" for row in records(system, "show voters")]
    for number, name in enumerate(names):
        pid = system.daemons[name].pid
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))
        change = f"alter service till set timeout_s {2 + number}"
        eventually(lambda c=change, n=number: accepted_response(system, c, f"full-{n}", None))
        time.sleep(1.0)
        unlimited = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, unlimited)
        time.sleep(1.0)
    for name in names:
        assert system.daemons[name].poll() is None
    statement = "alter service till set timeout_s 9"
    assert eventually(lambda: accepted_response(system, statement, "after", None))


def accepted_response(example, statement, request_id, address):
    response = example.send_statement(statement, request_id, address)
    return response if response and response.accepted else None


def changes_if_current(example, host, address):
    """Return the changes, or ``None`` while a restarted host is not listed in ``show hosts``."""
    names = {row["host"] for row in records(example, "show hosts", address)}
    return records(example, "show changes", address) if host in names else None


def test_suspended_endpoint_loses_its_keys_and_refuses_outdated_orders_when_resumed(tmp_path):
    layout = msgspec.structs.replace(LAYOUTS[0], network="127.5")
    write_layout(layout, tmp_path)
    example = ExampleSystem(tmp_path / layout.name, tmp_path, separate_stand_ins=True)
    try:
        example.start()
        example.wait_until_healthy()
        wait_until_no_transfers(example)
        query = "show owner of key card-1 in till"
        owner = records(example, query)[0]["endpoint"]
        example.stand_ins[owner].send_signal(signal.SIGSTOP)
        eventually(lambda: records(example, query)[0]["endpoint"] not in ("", owner))
        url = "http://127.5.1.1:8080/till/cards/card-1"
        served = eventually(lambda: successful_response(url))
        assert served.headers["Greengage-Endpoint"] != owner
        example.stand_ins[owner].send_signal(signal.SIGCONT)
        plan = next(item for item in example.plan.stand_ins if item.name == owner)
        order = 'unit="113", fence=1, incarnation="x"'
        url = f"http://{plan.ip}:{plan.port}/cards/card-1"
        direct = HTTP.request("POST", url, headers={"Greengage-Order": order})
        assert direct.headers["Greengage-Refused"] == "outdated-order"
    finally:
        example.stop()


def successful_response(url):
    response = HTTP.request("GET", url)
    return response if response.status == 200 else None


def test_planned_stop_of_each_host_in_turn_interrupts_no_request(system):
    failures = []
    for name in list(system.plan.hosts):
        zone, number = int(name[5]), int(name[7])
        url = f"http://{NETWORK}.{zone}.{number}:8080/documents/exam.pdf?bytes=200000"
        set_document_switches(system, Switches(delay_s=0.5))
        pending = [start_request(url) for _ in range(3)]
        time.sleep(0.2)
        process = system.daemons[name]
        process.send_signal(signal.SIGTERM)
        for worker, result in pending:
            worker.join()
            if result != [(200, 200_000)]:
                failures.append((name, result))
        assert process.wait(30) == 0
        system.start_daemon(name)
        eventually(lambda n=name: is_ready(f"{NETWORK}.{n[5]}.{n[7]}"))
    assert failures == []


def set_document_switches(example, switches):
    for item in example.plan.stand_ins:
        if item.service == "documents":
            url = f"http://{item.ip}:{item.port}/-/switches"
            HTTP.request("POST", url, body=msgspec.json.encode(switches))


def start_request(url):
    """Send a request on a thread; returns the thread and the list that receives its result."""
    result = []

    def run():
        response = HTTP.request("GET", url)
        result.append((response.status, len(response.data)))

    worker = threading.Thread(target=run)
    worker.start()
    return worker, result


def is_ready(ip):
    try:
        return HTTP.request("GET", f"http://{ip}:8080/-/ready").status == 200
    except urllib3.exceptions.HTTPError:
        return False


def set_switches(item, **switches):
    """Set the switches of one stand-in endpoint, and reset the others to their defaults."""
    url = f"http://{item.ip}:{item.port}/-/switches"
    HTTP.request("POST", url, body=msgspec.json.encode(Switches(**switches)))


def documents_of(example, zone):
    return [
        item
        for item in example.plan.stand_ins
        if item.service == "documents" and item.availability_zone == zone
    ]


def test_faults_of_connections_and_responses(system):
    """Interrupted downloads, silent connections, repeated charges and callers that disconnect."""
    callers = f"http://{NETWORK}.1.1:8080"
    local_documents = documents_of(system, "zone-1")

    # Interrupted downloads are resumed from any endpoint of the service.
    for item in system.plan.stand_ins:
        if item.service == "documents":
            set_switches(item, breaks_after_bytes=150_000)
    full_download = HTTP.request("GET", f"{callers}/documents/exam.pdf?bytes=400000")
    assert (full_download.status, len(full_download.data)) == (200, 400_000)
    assert full_download.data == document_bytes(0, 399_999)
    range_download = HTTP.request(
        "GET", f"{callers}/documents/exam.pdf?bytes=400000", headers={"Range": "bytes=1000-300999"}
    )
    assert range_download.data == document_bytes(1000, 300_999)

    # The caller detects that a response which cannot be resumed is incomplete.
    for item in system.plan.stand_ins:
        if item.service == "documents":
            set_switches(item, breaks_after_bytes=100, hides_ranges=True)
    with pytest.raises(urllib3.exceptions.ProtocolError):
        HTTP.request("GET", f"{callers}/documents/exam.pdf?bytes=400000")
    for item in system.plan.stand_ins:
        if item.service == "documents":
            set_switches(item)

    # Silent connections are replaced as long as new connections work.
    for item in system.plan.stand_ins:
        if item.service == "till":
            set_switches(item, silent_connections=True)
    for number in range(12):
        response = HTTP.request("GET", f"{callers}/till/cards/card-{number}")
        assert response.status == 200

    # A charge runs once, regardless of the entry host that receives its repetition.
    headers = {"Idempotency-Key": "binding-1"}
    responses = [
        HTTP.request("POST", f"http://{ip}:8080/till/cards/card-1/charges", headers=headers)
        for ip in (f"{NETWORK}.1.1", f"{NETWORK}.2.1", f"{NETWORK}.3.2")
    ]
    assert [response.status for response in responses] == [200, 409, 409]
    assert responses[1].json()["code"] == "duplicate-request"

    # The request of a caller that disconnects does not stay in flight.
    for item in local_documents:
        set_switches(item, silent=True)
    status = f"http://{NETWORK}.1.1:8081/status"
    with socket.create_connection((f"{NETWORK}.1.1", 8080), timeout=10) as connection:
        connection.sendall(b"POST /documents/x HTTP/1.1\r\nHost: x\r\n\r\n")
        eventually(lambda: HTTP.request("GET", status).json()["in_flight"] == 1)
    eventually(lambda: HTTP.request("GET", status).json()["in_flight"] == 0)
