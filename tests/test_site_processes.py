"""Tests of a site of real processes on loopback addresses, some with faulty responses."""

import signal
import socket
import threading
import time

import pytest

from greengagerock.cli.main import app
from greengagerock.testing.launch_site import (
    CALLER_PORT,
    CONTROL_PORT,
    READY_PORT,
    SiteProcesses,
)
from greengagerock.testing.reporting_endpoint import LINGER_S
from greengagerock.testing.soak.faults import ENDLESS_FAULTS
from greengagerock.testing.uploading_caller import upload

SOCKET_TIMEOUT_S = 10.0
# ``header_timeout`` of the items of the site.
HEADER_TIMEOUT_S = 3.0


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site_processes = SiteProcesses(tmp_path_factory.mktemp("site"), "127.8")
    try:
        site_processes.start()
        yield site_processes
    finally:
        site_processes.stop()


@pytest.fixture(autouse=True)
def reset_endpoints(request):
    """End the simulated faults of all endpoints after each test."""
    yield
    if "site" in request.fixturenames:
        for endpoint in request.getfixturevalue("site").reporting_endpoints.values():
            endpoint.response_fault = "whole"
            endpoint.retry_after = endpoint.limit = ""
            if endpoint.says_leaving:
                endpoint.restart()
            endpoint.delay_s = 0.0


def raw_exchange(site, data):
    """Send bytes to a router and return all bytes received until it closes the connection."""
    with socket.create_connection((site.routers[0], CALLER_PORT), SOCKET_TIMEOUT_S) as sock:
        sock.sendall(data)
        received = b""
        while chunk := sock.recv(65_536):
            received += chunk
        return received


def run_count(site):
    """Return the number of requests that ran at all endpoints."""
    return sum(sum(endpoint.runs.values()) for endpoint in site.reporting_endpoints.values())


def find_endpoint_holding(site, key):
    """Return the endpoint that holds a key."""
    return next(
        h for h in site.reporting_endpoints.values() if h.service == "till" and h.holds_key(key)
    )


def test_request_reaches_the_holder_unchanged(site):
    head = b"GET /balance/a%2fb?x=%41&y HTTP/1.1\r\nHost: shop.example\r\nGreengage-Key: 4242\r\n"
    received = raw_exchange(site, head + b"Connection: close\r\n\r\n")
    assert received.split()[1] == b"200"
    assert b"Request-Path: /balance/a%2fb?x=%41&y\r\n" in received
    assert find_endpoint_holding(site, 4242).name.encode() in received


def test_body_reaches_the_holder_unchanged(site):
    response = site.call("/charge/1", 9, method="POST", body=b"\x00\xff" * 500)
    assert response.status == 200
    assert response.data.endswith(b"\x00\xff" * 500)


def test_long_and_chunked_bodies(site):
    body = bytes(range(256)) * 800
    assert site.call("/charge/2", 9, method="POST", body=body).data.endswith(body)
    chunks = (body[at : at + 5000] for at in range(0, len(body), 5000))
    assert site.call("/charge/3", 9, method="POST", body=chunks).data.endswith(body)


def test_request_id_that_is_not_accepted_is_replaced_on_the_whole_way(site):
    """The endpoint repeats the id that it gets, so it must be the one that is compared."""
    runs_before = run_count(site)
    headers = {"Greengage-Request-Id": "a,b"}
    response = site.call("/charge/id", 9, method="POST", body=b"1", headers=headers)
    assert response.status == 200
    assert response.headers["Greengage-Request-Id"] != "a,b"
    assert run_count(site) == runs_before + 1


def test_endpoint_that_wants_a_pause_gets_no_more_requests(site):
    holder = find_endpoint_holding(site, 77)
    holder.response_fault, holder.retry_after = "full", "60"
    first = site.call("/balance/pause", 77)
    assert first.status == 503
    refusals = holder.refusals
    for number in range(5):
        response = site.call(f"/balance/pause-{number}", 77)
        assert response.status == 503
        assert response.headers["Greengage-Outcome"] == "not-run"
        assert 0 < float(response.headers["Retry-After"]) <= 60
    assert holder.refusals == refusals
    # The pause ends with the instance that requested it.
    holder.response_fault = "whole"
    holder.restart()
    site.wait_until(lambda: site.call("/balance/back", 77).status == 200)
    site.wait_until(site.serves_all_keys)


@pytest.mark.parametrize("fault", ENDLESS_FAULTS)
@pytest.mark.parametrize(("path", "key"), [("/prices/endless", None), ("/balance/endless", 77)])
def test_response_without_end_neither_holds_its_caller_nor_goes_on(site, fault, path, key):
    for endpoint in site.reporting_endpoints.values():
        endpoint.response_fault = fault
    head = f"GET {path} HTTP/1.1\r\nHost: shop.example\r\n"
    if key is not None:
        head += f"Greengage-Key: {key}\r\n"
    headers = "Greengage-Timeout-Ms: 600\r\nConnection: close\r\n\r\n"
    with socket.create_connection((site.routers[0], CALLER_PORT), SOCKET_TIMEOUT_S) as sock:
        sock.sendall((head + headers).encode())
        received = sock.recv(65_536)
        status = received.split()[1]
        if status == b"200":
            # A stream; the caller gets no last chunk.
            assert fault in ("endless-chunks", "endless-chunk-size", "endless-trailers")
            while chunk := sock.recv(65_536):
                received += chunk
            assert b"0\r\n\r\n" not in received
        else:
            assert status in (b"502", b"503", b"504")
    for endpoint in site.reporting_endpoints.values():
        endpoint.response_fault = "whole"
    site.wait_until(
        lambda: not any(e.endless_responses for e in site.reporting_endpoints.values())
    )
    site.wait_until(lambda: site.call(path, key).status == 200)


def test_short_body_that_arrives_after_the_deadline_is_delivered(site):
    for endpoint in site.reporting_endpoints.values():
        endpoint.response_fault = "slow-body"
    response = site.call("/prices/late", headers={"Greengage-Timeout-Ms": "400"})
    assert response.status == 200
    assert response.data.endswith(b"ran GET /prices/late\n")


def test_endpoint_that_names_a_limit_gets_no_more_through_both_routers(site):
    """The only endpoint that holds the key names a limit; its end is observed as well."""
    holder = find_endpoint_holding(site, 77)
    holder.limit = "2.0"
    site.call("/balance/limit", 77)
    site.wait_until(lambda: site.call("/balance/limit", 77, router=1).status == 503)
    runs = sum(holder.runs.values())
    responses = [site.call(f"/balance/limit-{n}", 77, router=n % 2) for n in range(30)]
    refused = [response for response in responses if response.status == 503]
    assert sum(holder.runs.values()) - runs <= 1.5 * 2.0 * 4 + 5
    assert len(refused) >= 10
    for response in refused:
        assert response.headers["Greengage-Outcome"] == "not-run"
        assert 0 < float(response.headers["Retry-After"]) <= 5
    holder.limit = "nonsense"
    site.wait_until(lambda: site.call("/balance/limit", 77).status == 200)
    log = site.folder / "edge-1.log"
    site.wait_until(lambda: "event=bad-limit" in log.read_text())
    holder.limit = ""
    site.wait_until(
        lambda: all(site.call(f"/balance/back-{n}", 77).status == 200 for n in range(20))
    )
    site.wait_until(site.serves_all_keys)


def test_endpoint_that_says_it_leaves_gets_no_more_requests(site):
    """Of the two endpoints without keys, the one that the router prefers says that it leaves."""
    name = site.call("/prices/notice").data.split()[0].decode()
    leaving = site.reporting_endpoints[name]
    leaving.says_leaving = True
    site.wait_until(lambda: site.call("/prices/notice").data.startswith(name.encode()))
    runs = sum(leaving.runs.values())
    for number in range(20):
        assert site.call(f"/prices/after-{number}").status == 200
    assert sum(leaving.runs.values()) == runs
    # The leader passes it on to the other router.
    logs = [site.folder / f"core-{number}.log" for number in (1, 2, 3)]
    site.wait_until(lambda: any("source=router" in log.read_text() for log in logs))

    def other_router_avoids_it():
        runs_before = sum(leaving.runs.values())
        for number in range(10):
            site.call(f"/prices/other-{number}", router=1)
        return sum(leaving.runs.values()) == runs_before

    site.wait_until(other_router_avoids_it)


def test_unknown_route(site):
    assert site.call("/nowhere/x", 1).status == 404


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("path", ["/-/ready", "/-/r%65ady", "/-/ready?x=1", "//a/b", "/metrics"])
def test_request_whose_path_a_host_could_answer_itself_runs_at_an_endpoint(site, method, path):
    """The readiness check answered callers' requests with 200, and none of them ran."""
    route = (
        "set route everything version 1 host all.example prefix / to docs kind unsafe timeout 2s"
    )
    site.wait_until(lambda: site.apply_items(f"{route} attempts 1"))
    head = f"{method} {path} HTTP/1.1\r\nHost: all.example\r\nConnection: close\r\n"
    request = f"{head}Content-Length: 0\r\n\r\n".encode()
    site.wait_until(lambda: raw_exchange(site, request).split()[1] != b"404")
    runs_before = run_count(site)
    received = raw_exchange(site, request)
    assert received.split()[1] == b"200"
    assert f"Request-Path: {path}\r\n".encode() in received
    assert run_count(site) == runs_before + 1


def test_stray_response_reaches_no_caller(site):
    for endpoint in site.reporting_endpoints.values():
        endpoint.response_fault = "extra"
    responses = [site.call(f"/prices/{number}") for number in range(20)]
    assert all(response.status in (200, 502) for response in responses)
    assert all(
        response.data.split()[-1] == f"/prices/{number}".encode()
        for number, response in enumerate(responses)
        if response.status == 200
    )


def test_stray_response_that_arrives_with_the_next_request_reaches_no_caller(site):
    """The connection seems idle when the router sends the next request on it."""
    for endpoint in site.reporting_endpoints.values():
        endpoint.response_fault = "late-extra"
    for number in range(12):
        headers = {"Greengage-Request-Id": f"stray-{number}"}
        response = site.call(f"/balance/{number}", 77, headers=headers)
        assert f"ran GET /balance/{number}\n".encode() in response.data


def test_truncated_response_is_not_relayed_as_complete(site):
    for endpoint in site.reporting_endpoints.values():
        endpoint.response_fault = "torn"
    assert site.call("/prices/torn").status == 502


def test_response_with_a_truncated_head_reaches_no_caller(site):
    for endpoint in site.reporting_endpoints.values():
        endpoint.response_fault = "torn-head"
    charge = site.call("/charge/torn", 9, method="POST", body=b"1")
    assert charge.status == 502
    for number in range(6):
        # An endpoint that has failed may be left out for a moment.
        assert site.call(f"/prices/torn-{number}").status in (502, 503)
    for endpoint in site.reporting_endpoints.values():
        endpoint.response_fault = "whole"
    site.wait_until(lambda: all(site.call(f"/prices/{n}").status == 200 for n in range(4)))
    site.wait_until(site.serves_all_keys)


def test_response_that_is_reset_during_a_long_upload_is_not_taken_for_a_whole_one(site):
    for endpoint in site.reporting_endpoints.values():
        endpoint.response_fault = "early-reset"
    for key in range(0, 65_536, 8192):
        received = upload((site.routers[0], CALLER_PORT), 1_000_000, f"/charge/{key}", key)
        assert received.status in (200, 502, 503)
        assert received.status != 200 or not received.is_whole
    for endpoint in site.reporting_endpoints.values():
        endpoint.response_fault = "whole"
    site.wait_until(site.serves_all_keys)


def test_unsafe_request_runs_once_when_its_response_is_lost(site):
    holder = find_endpoint_holding(site, 77)
    holder.response_fault = "close"
    runs_before = sum(holder.runs.values())
    response = site.call("/charge/lost", 77, method="POST", body=b"1")
    assert response.status == 502
    assert sum(holder.runs.values()) == runs_before + 1


def test_refused_request_does_not_run(site):
    holder = find_endpoint_holding(site, 77)
    holder.response_fault = "full"
    runs_before = sum(holder.runs.values())
    response = site.call("/charge/full", 77, method="POST", body=b"1")
    assert response.status == 503
    assert float(response.headers["Retry-After"]) > 0
    assert sum(holder.runs.values()) == runs_before


def test_connection_stays_open_after_a_body_in_chunks(site):
    """The end of the body occupied a thread and got a 408 after the time-out for heads."""
    request = (
        b"POST /charge/chunks HTTP/1.1\r\nHost: shop.example\r\nGreengage-Key: 77\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nTrailer: 1\r\n\r\n"
    )
    with socket.create_connection((site.routers[0], CALLER_PORT), SOCKET_TIMEOUT_S) as sock:
        for _ in range(2):
            sock.sendall(request)
            sock.settimeout(HEADER_TIMEOUT_S + 0.7)
            received = b""
            with pytest.raises(TimeoutError):
                while chunk := sock.recv(65_536):
                    received += chunk
            assert received.startswith(b"HTTP/1.1 200")
            assert received.count(b"HTTP/1.1 ") == 1


def test_rest_of_a_body_is_not_parsed_as_a_request(site):
    """The caller's next request got the 400 for it (review/4)."""
    find_endpoint_holding(site, 77).response_fault = "early"
    chunks = (b"1000\r\n" + b"s" * 4096 + b"\r\n") * 60
    head = (
        b"POST /charge/early HTTP/1.1\r\nHost: shop.example\r\nGreengage-Key: 77\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    with socket.create_connection((site.routers[0], CALLER_PORT), SOCKET_TIMEOUT_S) as sock:
        sock.sendall(head + chunks)
        time.sleep(4 * LINGER_S)
        sock.sendall(chunks * 4 + b"0\r\n\r\n")
        received = b""
        while chunk := sock.recv(65_536):
            received += chunk
    assert received.count(b"HTTP/1.1 ") == 1
    assert received.startswith(b"HTTP/1.1 200") and b"early" in received
    assert b"connection: close" in received.lower()


def test_refusal_that_is_sent_again_does_not_answer_a_later_request(site):
    """Callers were told that requests have not run, which ran after the stray refusal."""
    holder = find_endpoint_holding(site, 77)
    holder.response_fault = "refused-again"
    for number in range(12):
        request_id = f"again-{number}"
        headers = {"Greengage-Request-Id": request_id}
        response = site.call(f"/charge/{number}", 77, method="POST", body=b"1", headers=headers)
        assert response.status != 503 or holder.runs[request_id] == 0
        assert holder.runs[request_id] <= 1
    assert sum(holder.runs[f"again-{number}"] for number in range(12)) > 6


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
        b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        b"Content-Length: -1\r\n\r\n",
        b"Content-Length: 5\n\r\nabcde",
        b"Bad Header\r\n\r\n",
    ],
)
def test_request_with_ambiguous_framing_does_not_run(site, framing):
    runs_before = run_count(site)
    head = b"POST /charge/x HTTP/1.1\r\nHost: shop.example\r\nGreengage-Key: 3\r\n"
    smuggled = b"GET /balance/smuggled HTTP/1.1\r\nHost: shop.example\r\n\r\n"
    received = raw_exchange(site, head + framing + smuggled)
    assert received.split()[1] in (b"400", b"501")
    assert run_count(site) == runs_before


def test_responses_to_pipelined_requests_are_in_order(site):
    request = "GET /prices/{} HTTP/1.1\r\nHost: shop.example\r\n{}\r\n"
    data = request.format("one", "") + request.format("two", "Connection: close\r\n")
    received = raw_exchange(site, data.encode())
    assert received.index(b"/prices/one") < received.index(b"/prices/two")


def test_request_with_an_incomplete_body_does_not_run(site):
    runs_before = run_count(site)
    head = b"POST /charge/half HTTP/1.1\r\nHost: shop.example\r\nGreengage-Key: 3\r\n"
    with socket.create_connection((site.routers[0], CALLER_PORT), SOCKET_TIMEOUT_S) as sock:
        sock.sendall(head + b"Content-Length: 1000\r\n\r\nabc")
    assert site.call("/balance/after", 3).status == 200
    assert run_count(site) == runs_before + 1


def test_malformed_chunked_body_is_a_bad_request(site):
    head = b"POST /charge/c HTTP/1.1\r\nHost: shop.example\r\nGreengage-Key: 9\r\n"
    received = raw_exchange(site, head + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n")
    assert received.split()[1] == b"400"
    assert site.call("/charge/sound", 9, method="POST", body=b"x").status == 200


def test_many_silent_connections_occupy_no_thread(site):
    silent_socks = [
        socket.create_connection((site.routers[0], CALLER_PORT), SOCKET_TIMEOUT_S)
        for _ in range(120)
    ]
    assert site.call("/prices/besides").status == 200
    for sock in silent_socks:
        sock.close()


def test_request_in_progress_survives_a_planned_stop(site):
    for endpoint in site.reporting_endpoints.values():
        endpoint.delay_s = 1.0
    responses = []
    runs_before = run_count(site)

    def send_request():
        responses.append(site.call("/prices/slow", router=1))

    caller = threading.Thread(target=send_request)
    caller.start()
    site.wait_until(lambda: run_count(site) > runs_before)
    process = site.processes["edge-2"]
    process.send_signal(signal.SIGTERM)
    caller.join()
    assert responses[0].status == 200
    assert process.wait(SOCKET_TIMEOUT_S) == 0
    site.start_daemon("edge-2", site.routers[1], "router", "zone-2")
    site.wait_until(lambda: _is_ready(site, 1))
    assert site.call("/balance/again", 5, router=1).status == 200


def _is_ready(site, router):
    try:
        url = f"http://{site.routers[router]}:{READY_PORT}/-/ready"
        return site.http.request("GET", url).status == 200
    except Exception:
        return False


def test_items_command(site, tmp_path, capsys):
    address = f"{site.controllers[0]}:{CONTROL_PORT}"
    statements = tmp_path / "items.txt"
    statements.write_text("remove route no-such-route version 7")
    assert app(["items", str(statements), "--address", address], result_action="return_value") == 0
    assert app(["items", "--address", address], result_action="return_value") == 0
    items_text = capsys.readouterr().out
    assert 'set route "balance" version 1' in items_text
    statements.write_text(
        "set route bad version 1 host h prefix /x/ to nowhere kind safe timeout 1s attempts 1"
    )
    assert app(["items", str(statements), "--address", address], result_action="return_value") != 0
    assert "invalid-item" in capsys.readouterr().err


def test_restarted_controllers_still_have_the_items(site):
    for number in (1, 2, 3):
        site.processes[f"core-{number}"].kill()
        site.processes[f"core-{number}"].wait()
    for number, ip in enumerate(site.controllers, 1):
        site.start_daemon(f"core-{number}", ip, "controller", f"zone-{number}")
    statement = (
        "set route more version 1 host shop.example prefix /more/ to docs"
        " kind safe timeout 1s attempts 1"
    )
    site.wait_until(lambda: site.apply_items(statement))
    site.wait_until(lambda: site.call("/more/x").status == 200)
    site.wait_until(site.serves_all_keys)


def test_closed_caller_connections_cause_no_internal_error(site):
    """Callers close their connections shortly before and after their responses arrive."""
    for endpoint in site.reporting_endpoints.values():
        endpoint.delay_s = 0.22
    request = b"GET /balance/leaver HTTP/1.1\r\nHost: shop.example\r\nGreengage-Key: 5\r\n\r\n"
    socks = []
    for _ in range(60):
        sock = socket.create_connection((site.routers[0], CALLER_PORT), SOCKET_TIMEOUT_S)
        sock.sendall(request)
        socks.append(sock)
    for number, sock in enumerate(socks):
        threading.Timer(0.1 + 0.005 * number, sock.close).start()
    site.wait_until(lambda: all(sock.fileno() < 0 for sock in socks))
    for endpoint in site.reporting_endpoints.values():
        endpoint.delay_s = 0.0
    site.wait_until(lambda: site.call("/balance/after", 6).status == 200)
    log = (site.folder / "edge-1.log").read_text()
    assert "internal-error" not in log and "Traceback" not in log
    assert site.processes["edge-1"].poll() is None
