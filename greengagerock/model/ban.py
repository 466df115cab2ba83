"""Bans of requests that crash endpoints."""

import msgspec


class Ban(msgspec.Struct, frozen=True):
    """A request that is refused because it crashed several endpoints.

    Attributes:
        fingerprint: Fingerprint that identifies the request.
        service: Service that the request is addressed to.
        request: Method and path, for display.
        since: Version of the routes that added the ban.
    """

    fingerprint: str
    service: str
    request: str
    since: int
