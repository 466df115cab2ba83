"""Strategies of complete configuration items in the platform's format, for property tests."""

import json

from hypothesis import strategies as st

SERVICE_NAMES = ("till", "docs", "prices")
MAX_INTEGER = 2**63 - 1

_names = st.text(min_size=1, max_size=8)
_counts = st.integers(1, MAX_INTEGER)
_flags = st.booleans()
_digits = st.text("0123456789", min_size=1, max_size=12)


@st.composite
def durations(draw, is_positive=False):
    """Return durations of any number of digits, in both units."""
    whole, fraction, unit = draw(_digits), draw(st.none() | _digits), draw(st.sampled_from("ms s"))
    number = whole if fraction is None else f"{whole}.{fraction}"
    unit = "s" if unit == "s" else "ms"
    if unit == "s" and float(number) > 1e9:
        unit = "ms"
    if is_positive and float(number) == 0:
        number = f"{number}1" if "." in number else f"{number}.001"
    return f"{number}{unit}"


_weights = (
    st.integers(1, 1_000_000)
    | st.floats(1e-9, 1e12, allow_nan=False)
    | st.sampled_from([0.1, 1e-7, 0.30000000000000004])
)
# Fields that this version does not have.
_unknown_fields = st.dictionaries(
    st.sampled_from(["x-region", "x-owner"]),
    st.integers() | st.text(max_size=5) | st.booleans() | st.lists(st.integers(0, 9), max_size=2),
    max_size=2,
)


def _objects(required, optional):
    """Return objects with all required fields, some optional ones and some unknown ones."""
    known = st.fixed_dictionaries(required, optional=optional)
    return st.builds(lambda fields, others: fields | others, known, _unknown_fields)


def services(name):
    """Return services of a name, in the operator's notation."""
    return _objects(
        {
            "name": st.just(name),
            "health-path": st.text(max_size=8).map(lambda text: f"/{text}"),
            "max-conns": _counts,
            "version": _counts,
        },
        {
            "protocol": st.sampled_from(["h1", ""]),
            "tls": _flags,
            "sharded": _flags,
            "warm": durations(),
            "grants": st.sampled_from(["heartbeat", ""]),
            "warmup": durations(),
            "warmup-per-s": st.integers(0, 1000) | st.floats(0, 1000),
        },
    )


def _weighted_services():
    parts = st.fixed_dictionaries(
        {"service": st.sampled_from(SERVICE_NAMES), "weight": _weights},
        optional={"x-note": st.text(max_size=3)},
    )
    return st.lists(parts, min_size=1, max_size=3)


@st.composite
def routes(draw):
    """Return routes to one service or to weighted services, in the operator's notation."""
    target = (
        {"service": st.sampled_from(SERVICE_NAMES)}
        if draw(_flags)
        else {"traffic-split": _weighted_services()}
    )
    route = draw(
        _objects(
            {
                "name": _names,
                "host": _names,
                "path-prefix": _names.map(lambda text: f"/{text}/"),
                "type": st.sampled_from(["safe", "unsafe", "download"]),
                "timeout": durations(is_positive=True),
                "max-attempts": _counts,
                "version": _counts,
                **target,
            },
            {"priority": st.integers(0, MAX_INTEGER)},
        )
    )
    if draw(_flags):
        # Not above the timeout, so that the pair is valid.
        route["target-latency"] = draw(
            st.sampled_from([route["timeout"], "0ms", "0.0000001ms", "0.00000004s"])
        )
    return route


limits = _objects(
    {
        "max-header-bytes": _counts,
        "max-body-bytes": _counts,
        "header-timeout": durations(),
        "idle-timeout": durations(),
        "version": _counts,
    },
    {},
)


@st.composite
def first_changes(draw):
    """Return the ``upsert`` part of a first change: objects by kind, ``limits`` being one."""
    return {
        "services": [draw(services(name)) for name in SERVICE_NAMES],
        "routes": draw(
            st.lists(
                routes(),
                max_size=4,
                unique_by=(lambda r: r["name"], lambda r: (r["host"], r["path-prefix"])),
            )
        ),
        "limits": draw(limits),
    }


def encode_change(change):
    """Return the body of a change from objects by kind; all fields of a kind become columns."""
    upsert = {"limits": change["limits"]}
    for kind in ("services", "routes"):
        columns = list(dict.fromkeys(name for item in change[kind] for name in item))
        rows = [[item.get(name) for name in columns] for item in change[kind]]
        upsert[kind] = {"columns": columns, "rows": rows}
    return json.dumps({"upsert": upsert, "remove": {"routes": []}}).encode()


def decode_listing(body):
    """Return the objects by kind of the body that lists all items."""
    listing = json.loads(body)
    change = {"limits": listing["limits"]}
    for kind in ("services", "routes"):
        columns = listing[kind]["columns"]
        rows = (zip(columns, row, strict=True) for row in listing[kind]["rows"])
        change[kind] = [{name: v for name, v in row if v is not None} for row in rows]
    return change
