"""Refusals that an endpoint repeats where the response to a later request is expected."""

import contextlib

import pytest

from greengagerock.core.interface import AttemptFailed, EndpointNoticed
from greengagerock.testing.repeating_endpoint import RepeatingEndpoint, ResponseFormat
from greengagerock.testing.stub_router import StubRouter
from greengagerock.testing.uploading_caller import send_charge
from greengagerock.web.native_dialect import REFUSED_HEADER, NativeDialect
from greengagerock.web.route_dialect import REQUEST_ID_HEADER

ROUTER = ("127.37.0.60", 8660)
RELAYS = {"relay-1": ("127.37.0.61", 8661), "relay-2": ("127.37.0.62", 8662)}
ENDPOINT_IP = "127.37.0.63"
NATIVE_ROUTER = ("127.37.0.64", 8664)
REFUSED_LINE = f"{REFUSED_HEADER}: full\r\n"
LONG_BODY = b"x" * 5000


@pytest.fixture(scope="module")
def routers():
    """Start a router and two others through which it may send its requests; return all by name."""
    with contextlib.ExitStack() as stack:
        started = {
            name: stack.enter_context(StubRouter(*address, serves_router=True))
            for name, address in RELAYS.items()
        }
        started["router"] = stack.enter_context(StubRouter(*ROUTER))
        # An own connection.
        started["own"] = None
        yield started


def use_ways(routers, first, second, endpoint):
    """Send the first attempt of each request on one way, and the second on another."""
    router = routers["router"]
    router.relay = routers[first]
    router.resend_relays = (routers[second],)
    router.before_resend = None
    router.reach(endpoint.address)
    for name in RELAYS:
        routers[name].reach(endpoint.address)
    return router


def send(router, request_id):
    """Send an unsafe request; return the ``CallerResponse``."""
    return send_charge(router.address, REQUEST_ID_HEADER, request_id)


def assert_runs_once(endpoint, router, request_id):
    """Send a request whose first attempt is refused, and check what its caller gets."""
    response = send(router, request_id)
    assert endpoint.runs[request_id] == 1
    assert (response.status, response.body) == (200, f"ran {request_id}\n".encode())
    assert [sent_id for _, sent_id in endpoint.attempts].count(request_id) == 2


@pytest.mark.parametrize("second", ["own", *RELAYS])
@pytest.mark.parametrize("first", ["own", *RELAYS])
@pytest.mark.parametrize("status", [503, 429, 421, 408, 400])
@pytest.mark.parametrize("body", [b"", LONG_BODY], ids=["empty", "long-body"])
def test_repeated_refusal_does_not_answer_the_second_attempt(routers, first, second, status, body):
    """A request ran twice if a relay took the copy for the response to its second attempt."""
    refusals = ResponseFormat(REQUEST_ID_HEADER, status, REFUSED_LINE, refusal_body=body)
    with RepeatingEndpoint(ENDPOINT_IP, refusals) as endpoint:
        router = use_ways(routers, first, second, endpoint)
        assert send(router, "other").status == 200
        assert_runs_once(endpoint, router, "refused")


@pytest.mark.parametrize("way", ["own", "relay-1"])
@pytest.mark.parametrize("responses_between", [1, 5, 30])
def test_refusal_repeated_after_other_responses_does_not_answer_the_second_attempt(
    routers, way, responses_between
):
    """A relay took a copy that came behind the responses to other requests."""
    refusals = ResponseFormat(REQUEST_ID_HEADER, 503, REFUSED_LINE)
    with RepeatingEndpoint(ENDPOINT_IP, refusals, responses_between=responses_between) as endpoint:
        router = use_ways(routers, way, way, endpoint)

        def send_others():
            for number in range(responses_between):
                assert send(router, f"other-{number}").status == 200

        router.before_resend = send_others
        assert_runs_once(endpoint, router, "refused")


@pytest.mark.parametrize("way", ["own", "relay-1"])
def test_repeated_refusal_does_not_answer_another_request(routers, way):
    """The copy names another request than the one whose response is expected."""
    refusals = ResponseFormat(REQUEST_ID_HEADER, 503, REFUSED_LINE)
    with RepeatingEndpoint(ENDPOINT_IP, refusals) as endpoint:
        router = use_ways(routers, way, way, endpoint)
        statuses = []
        router.before_resend = lambda: statuses.append(send(router, "other").status)
        assert_runs_once(endpoint, router, "refused")
        assert statuses == [502]
        assert endpoint.runs["other"] == 1
        assert endpoint.copies == 1


@pytest.mark.parametrize("way", ["own", "relay-1"])
def test_repeated_refusal_without_an_id_answers_no_request(routers, way):
    """A copy that names no request belongs to none, whichever connection it comes on."""
    refusals = ResponseFormat(REQUEST_ID_HEADER, 503, REFUSED_LINE, has_refusal_id=False)
    with RepeatingEndpoint(ENDPOINT_IP, refusals) as endpoint:
        router = use_ways(routers, way, way, endpoint)
        statuses = []
        router.before_resend = lambda: statuses.append(send(router, "other").status)
        assert_runs_once(endpoint, router, "refused")
        # A relay passes the refusal on, and the connection ends with the copy.
        assert statuses == [200 if way == "own" else 502]
        assert endpoint.runs["other"] == 1


@pytest.mark.parametrize("way", ["own", "relay-1"])
def test_notice_of_a_refusal_that_comes_again_is_taken_once(routers, way):
    """A copy prolonged the pause that the endpoint had asked for."""
    refusals = ResponseFormat(REQUEST_ID_HEADER, 503, f"{REFUSED_LINE}Retry-After: 1\r\n")
    with RepeatingEndpoint(ENDPOINT_IP, refusals) as endpoint:
        router = use_ways(routers, way, way, endpoint)
        assert_runs_once(endpoint, router, "refused")
        for receiver in (router, routers[way]):
            if receiver is not None:
                notices = [e for e in receiver.events if isinstance(e, EndpointNoticed)]
                assert [notice.pause_s for notice in notices] == [1.0]


def test_requests_with_one_id_get_their_own_responses(routers):
    """Each needs a new connection, since the id does not distinguish their responses."""
    refusals = ResponseFormat(REQUEST_ID_HEADER, 503, REFUSED_LINE)
    with RepeatingEndpoint(ENDPOINT_IP, refusals) as endpoint:
        router = use_ways(routers, "own", "own", endpoint)
        assert [send(router, "same").status for _ in range(4)] == [200] * 4
        assert len({connection for connection, _ in endpoint.attempts}) == 4


@pytest.fixture(scope="module")
def native_router():
    """Start a router of a system with listed hosts, whose endpoints need send no ids."""
    with StubRouter(*NATIVE_ROUTER, dialect=NativeDialect()) as router:
        yield router


def test_response_with_another_id_answers_no_request_of_a_listed_service(native_router):
    """The copy of a refusal was taken for the refusal of a request that ran."""
    refusals = ResponseFormat(REQUEST_ID_HEADER, 503, REFUSED_LINE)
    with RepeatingEndpoint(ENDPOINT_IP, refusals) as endpoint:
        native_router.reach(endpoint.address)
        send(native_router, "refused")
        assert send(native_router, "other").status == 502
        assert endpoint.runs["other"] == endpoint.copies == 1
        failures = [e for e in native_router.events if isinstance(e, AttemptFailed)]
        assert [failure.has_sent_bytes for failure in failures] == [False, True]


def test_refusal_without_an_id_ends_the_connection_to_a_listed_service(native_router):
    """A copy without an id was taken for the refusal of a request that ran."""
    refusals = ResponseFormat(REQUEST_ID_HEADER, 503, REFUSED_LINE, has_refusal_id=False)
    with RepeatingEndpoint(ENDPOINT_IP, refusals) as endpoint:
        native_router.reach(endpoint.address)
        send(native_router, "refused")
        assert send(native_router, "other").status == 200
        assert endpoint.runs["other"] == 1
        assert len(endpoint.connections) == 2
