"""Configuration items as text: what operators write, and what they read back."""

from importlib.resources import files

from lark import Lark, Transformer, UnexpectedInput, v_args

from greengagerock.core import StatementError
from greengagerock.items import (
    CallerLimits,
    KeyedRules,
    Part,
    Patch,
    Removal,
    RouteItem,
    ServiceItem,
)

_SECONDS = {"ms": 0.001, "s": 1.0}


class _Labelled:
    """An optional part of a statement."""

    __slots__ = ("label", "value")

    def __init__(self, label, value):
        self.label = label
        self.value = value


@v_args(inline=True)
class _Builder(Transformer):
    """Builds items from the parse tree."""

    def word(self, token):
        return str(token)

    def quoted(self, token):
        return str(token)[1:-1]

    def version(self, token):
        return int(token)

    def duration(self, number, unit):
        return round(float(number) * _SECONDS[unit], 9)

    def weight(self, number):
        return float(number)

    def part(self, name, weight=None):
        return name, weight

    def objective(self, duration_s):
        return _Labelled("objective", duration_s)

    def priority(self, rank):
        return _Labelled("priority", int(rank))

    def warm(self, duration_s):
        return duration_s

    def keyed(self, warm_s=None):
        return KeyedRules(warm_s)

    def set_route(self, name, version, host, prefix, *rest):
        parts = tuple(value for value in rest if type(value) is tuple)
        labelled = {value.label: value.value for value in rest if isinstance(value, _Labelled)}
        kind, timeout_s, attempts = [
            v for v in rest if type(v) is not tuple and not isinstance(v, _Labelled)
        ]
        return RouteItem(
            name,
            version,
            host,
            prefix,
            str(kind),
            timeout_s,
            int(attempts),
            tuple(Part(service, 1.0 if weight is None else weight) for service, weight in parts),
            any(weight is not None for _, weight in parts),
            labelled.get("objective"),
            labelled.get("priority"),
        )

    def set_service(self, name, version, health, connections, keyed=None):
        return ServiceItem(name, version, health, int(connections), keyed)

    def set_limits(self, version, headers, body, header_timeout_s, idle_timeout_s):
        return CallerLimits(version, int(headers), int(body), header_timeout_s, idle_timeout_s)

    def remove_route(self, name, version):
        return "route", Removal(name, version)

    def remove_service(self, name, version):
        return "service", Removal(name, version)

    def start(self, *statements):
        return statements


_parser = Lark(
    files("greengagerock.language").joinpath("items.lark").read_text(),
    parser="lalr",
    lexer="contextual",
)
_builder = _Builder()


def parse_items(text):
    """Parse statements about configuration items.

    Args:
        text: Statements separated by semicolons.

    Returns:
        A ``Patch``.

    Raises:
        StatementError: ``syntax-error`` with the place of the word that is wrong.

    Examples:
        >>> patch = parse_items('''
        ...     set service till version 1 health /health connections 100 keyed warm 2s;
        ...     remove route old version 4''')
        >>> patch.services[0].keyed, patch.removed_routes
        (KeyedRules(warm_s=2.0, granted_in=None), (Removal(name='old', version=4),))
    """
    try:
        statements = _builder.transform(_parser.parse(text))
    except UnexpectedInput as error:
        detail = f"did not expect this at line {error.line}, column {error.column}"
        raise StatementError("syntax-error", detail, max(error.column, 0)) from error
    removals = [s for s in statements if type(s) is tuple]
    limits = [s for s in statements if isinstance(s, CallerLimits)]
    return Patch(
        tuple(s for s in statements if isinstance(s, RouteItem)),
        tuple(s for s in statements if isinstance(s, ServiceItem)),
        limits[-1] if limits else None,
        tuple(removal for kind, removal in removals if kind == "route"),
        tuple(removal for kind, removal in removals if kind == "service"),
    )


def format_items(items):
    """Return the statements that set all items, in the form that ``parse_items`` reads.

    Args:
        items: The ``Items``.
    """
    lines = [_format_service(service) for service in items.services.values()]
    lines += [_format_route(route) for route in items.routes.values()]
    if items.limits is not None:
        lines.append(_format_limits(items.limits))
    return ";\n".join(lines) + "\n"


def _format_service(service):
    keyed = ""
    if service.keyed:
        warm_s = service.keyed.warm_s
        keyed = " keyed" + ("" if warm_s is None else f" warm {_duration(warm_s)}")
    return (
        f"set service {_name(service.name)} version {service.version}"
        f" health {_name(service.health_path)} connections {service.max_connections}{keyed}"
    )


def _format_route(route):
    parts = ", ".join(
        _name(part.service) + (f" weight {part.weight:g}" if route.is_split else "")
        for part in route.parts
    )
    objective = priority = ""
    if route.objective_s is not None:
        objective = f" objective {_duration(route.objective_s)}"
    if route.priority is not None:
        priority = f" priority {route.priority}"
    return (
        f"set route {_name(route.name)} version {route.version} host {_name(route.host)}"
        f" prefix {_name(route.prefix)} to {parts} kind {route.kind}"
        f" timeout {_duration(route.timeout_s)} attempts {route.attempts}{objective}{priority}"
    )


def _format_limits(limits):
    return (
        f"set limits version {limits.version} headers {limits.header_bytes}"
        f" body {limits.body_bytes} header_timeout {_duration(limits.header_timeout_s)}"
        f" idle_timeout {_duration(limits.idle_timeout_s)}"
    )


def _name(text):
    return f'"{text}"'


def _duration(seconds):
    return f"{round(seconds * 1000, 6):g}ms" if seconds < 100 else f"{seconds:g}s"
