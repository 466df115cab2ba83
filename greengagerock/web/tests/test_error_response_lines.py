"""What the log says of the connections on which error responses came."""

from greengagerock.testing.repeating_endpoint import RepeatingEndpoint, ResponseFormat
from greengagerock.testing.stub_router import start_router
from greengagerock.testing.uploading_caller import send_bytes
from greengagerock.web.native_dialect import REFUSED_HEADER
from greengagerock.web.route_dialect import REQUEST_ID_HEADER

ROUTER = ("127.37.0.56", 8656)
RELAY = ("127.37.0.57", 8657)
ENDPOINT_IP = "127.37.0.58"


def test_error_responses_are_logged_with_their_connections():
    """The logs of both routers did not distinguish a repeated refusal from a new one."""
    refusals = ResponseFormat(REQUEST_ID_HEADER, 503, f"{REFUSED_HEADER}: full\r\n")
    with (
        RepeatingEndpoint(ENDPOINT_IP, refusals, responses_between=9) as endpoint,
        start_router(ROUTER, RELAY) as router,
    ):
        router.reach(endpoint.address)
        for request_id in ("refused-1", "refused-2"):
            head = f"GET /prices/1 HTTP/1.1\r\nHost: shop.example\r\n{REQUEST_ID_HEADER}: "
            send_bytes(router.address, f"{head}{request_id}\r\nConnection: close\r\n\r\n".encode())
        relay_address = "{}:{}".format(*RELAY)
        for logging_router, relay in ((router, relay_address), (router.relay, "")):
            lines = [fields for event, fields in logging_router.log.lines]
            connection = lines[0].pop("connection")
            assert lines[1].pop("connection") == connection > 0
            assert lines == [
                {
                    "request_id": request_id,
                    "endpoint": "e",
                    "relay": relay,
                    "status": 503,
                    "connection_requests": count,
                }
                for count, request_id in enumerate(("refused-1", "refused-2"), 1)
            ]
