"""Requests that are refused for everybody's safety."""

import msgspec


class Ban(msgspec.Struct, frozen=True):
    """A request that is refused because it crashed several endpoints.

    Attributes:
        fingerprint: Which request.
        service: Its service.
        request: Method and path, for people.
        since: Version at which it was banned.
    """

    fingerprint: str
    service: str
    request: str
    since: int
