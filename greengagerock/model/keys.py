"""Key rules: how the key of a request is extracted and mapped to a slot."""

from urllib.parse import parse_qsl, unquote

import msgspec
import xxhash


class NoKey(msgspec.Struct, frozen=True, tag="none"):
    """The service has no keys: any ready endpoint may serve a request."""


class PathKey(msgspec.Struct, frozen=True, tag="path"):
    """The key is a path segment.

    Attributes:
        segment: 1-based position of the segment after the service's name.
    """

    segment: int


class HeaderKey(msgspec.Struct, frozen=True, tag="header"):
    """The key is the value of a header.

    Attributes:
        name: Header name in lower case.
    """

    name: str


class QueryKey(msgspec.Struct, frozen=True, tag="query"):
    """The key is the value of a query parameter.

    Attributes:
        name: Parameter name.
    """

    name: str


KeyRule = NoKey | PathKey | HeaderKey | QueryKey


def extract_key(rule, path, query, headers):
    """Return the key of a request, or the empty string if it has none.

    Args:
        rule: The service's key rule.
        path: Percent-encoded path after the service's name.
        query: Query string without the question mark.
        headers: Mapping of lower-case header names to values.

    Examples:
        >>> extract_key(PathKey(2), "/cards/card-1", "", {})
        'card-1'
        >>> extract_key(QueryKey("lot"), "/", "lot=7&x=1", {})
        '7'
    """
    match rule:
        case NoKey():
            return ""
        case PathKey(segment):
            segments = path.strip("/").split("/")
            if len(segments) < segment:
                return ""
            key = segments[segment - 1]
            return unquote(key) if "%" in key else key
        case HeaderKey(name):
            return headers.get(name, "")
        case QueryKey(name):
            return dict(parse_qsl(query)).get(name, "")


def slot_of_key(key, slots):
    """Return the slot that ``key`` hashes to.

    Args:
        key: The key as text.
        slots: Number of slots of the service.

    Returns:
        A slot number from 0 to ``slots - 1``.

    References:
        Y. Collet: xxHash fast digest algorithm (XXH3).
    """
    return xxhash.xxh3_64_intdigest(key.encode()) % slots
