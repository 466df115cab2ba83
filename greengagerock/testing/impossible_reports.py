"""Reports of another writer with values that no endpoint has, in any format of JSON reports."""

import json

DEPTH = 100_000
# One more than the largest integer of 64 bits.
TOO_LARGE = 1 << 64


def nested(depth=DEPTH):
    """Return an array that is nested to a depth."""
    return b"[" * depth + b"]" * depth


def with_value(sample, path, value):
    """Return the body of a report with another value.

    Args:
        sample: A valid report, as a dictionary.
        path: Names and indexes that lead to the value.
        value: The new value.
    """
    report = json.loads(json.dumps(sample))
    parent = report
    for step in path[:-1]:
        parent = parent[step]
    parent[path[-1]] = value
    return json.dumps(report).encode()


def impossible_reports(sample, paths):
    """Return the bodies of reports with one impossible value each, by a description.

    Args:
        sample: A valid report, as a dictionary, that holds and has released keys.
        paths: Paths of ``with_value`` by the names ``address``, ``fence``, ``range``,
            ``sequence``, ``service``, ``slots``, ``start``, ``token`` and ``zone``.
    """
    values = {
        "address": (
            "10.0.0.1:99999",
            "10.0.0.1:0",
            "10.0.0.1:\u00b2",
            "10.0.0.1:-80",
            "10.0.0.1:" + "9" * 5000,
            "0.0.0.0:80",
            "256.0.0.1:80",
            "host name:80",
            "10.0.0.1",
        ),
        "fence": (TOO_LARGE, -1, TOO_LARGE - 1),
        "range": ([0, 65_536, 1], [9, 3, 1], [-1, 3, 1], [TOO_LARGE, TOO_LARGE, 1]),
        "sequence": (TOO_LARGE, -1, -TOO_LARGE, 1 << 63, "4", 4.5, None, True),
        "service": ("", "till\r\nX-Injected: 1", 7),
        "slots": (TOO_LARGE, 0, -1, 1 << 40),
        "start": (TOO_LARGE, -1, 1 << 62),
        "token": ("x" * 65, 5),
        "zone": ("", "z" * 300, "a\u0000b"),
    }
    bodies = {
        f"{name} {str(value)[:30]!r}": with_value(sample, paths[name], value)
        for name, name_values in values.items()
        for value in name_values
    }
    whole = json.dumps(sample).encode()
    bodies["nested too deeply"] = whole[:-1] + b', "other": ' + nested() + b"}"
    bodies["not UTF-8"] = whole.replace(b"10.", b"\xff.")
    bodies["truncated"] = whole[:-5]
    held_path = paths["range"][0]
    bodies["keys listed too often"] = with_value(sample, (held_path,), [[0, 65_535, 1]] * 5)
    return bodies
