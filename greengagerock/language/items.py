"""Parsing and formatting of the text form of configuration items."""

from decimal import Decimal
from functools import cache
from importlib.resources import files

from lark import Lark, Token, Transformer, UnexpectedInput, v_args
from lark.exceptions import VisitError

from greengagerock.core import StatementError
from greengagerock.items import (
    CallerLimits,
    EndpointWarmUp,
    EvacuationOrder,
    KeyedRules,
    Patch,
    Removal,
    RouteItem,
    ServiceItem,
    WeightedService,
)

# Longer integers are read as floating-point numbers.
MAX_INTEGER_DIGITS = 16
# Decimals of a second that are stored.
DURATION_DECIMALS = 9

_SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0}


class _OptionalClause:
    """An optional clause of a statement.

    Attributes:
        keyword: First word of the clause.
        value: Parsed value of the clause.
    """

    __slots__ = ("keyword", "value")

    def __init__(self, keyword, value):
        self.keyword = keyword
        self.value = value


@v_args(inline=True)
class _Builder(Transformer):
    """Builds configuration items from the parse tree."""

    def word(self, token):
        return str(token)

    def quoted(self, token):
        return str(token)[1:-1]

    def version(self, token):
        return int(token)

    def duration(self, number, unit):
        decimals = DURATION_DECIMALS - (3 if unit == "ms" else 0)
        if len(number.partition(".")[2].rstrip("0")) > decimals:
            raise ValueError(f"{number}{unit} is not a whole number of nanoseconds")
        return round(float(number) * _SECONDS_PER_UNIT[unit], DURATION_DECIMALS)

    def weight(self, number):
        return float(number)

    def part(self, name, weight=None):
        return name, weight

    def objective(self, duration_s):
        return _OptionalClause("objective", duration_s)

    def priority(self, number):
        return _OptionalClause("priority", int(number))

    def warm(self, duration_s):
        return duration_s

    def keyed(self, warm_up_s=None):
        return KeyedRules(warm_up_s)

    def rate(self, number):
        # The log has integers of 64 bits only.
        is_whole = "." not in number and len(number) < MAX_INTEGER_DIGITS
        return int(number) if is_whole else float(number)

    def warm_up(self, *parts):
        *duration, last = parts
        if type(last) is not Token:
            rate = last
        else:
            rate, duration = None, parts
        if not duration:
            return EndpointWarmUp(None, rate)
        return EndpointWarmUp(self.duration(*duration), rate, "".join(duration))

    def set_route(self, name, version, host, prefix, *clauses):
        service_weights = tuple(value for value in clauses if type(value) is tuple)
        optional = {
            clause.keyword: clause.value
            for clause in clauses
            if isinstance(clause, _OptionalClause)
        }
        # The kind, timeout and attempts remain, in the order of the grammar.
        kind, timeout_s, attempts = [
            token
            for token in clauses
            if type(token) is not tuple and not isinstance(token, _OptionalClause)
        ]
        return RouteItem(
            name,
            version,
            host,
            prefix,
            str(kind),
            timeout_s,
            int(attempts),
            tuple(
                WeightedService(service, 1.0 if weight is None else weight)
                for service, weight in service_weights
            ),
            any(weight is not None for _, weight in service_weights),
            optional.get("objective"),
            optional.get("priority"),
        )

    def set_service(self, name, version, health, connections, *clauses):
        keyed = next((clause for clause in clauses if isinstance(clause, KeyedRules)), None)
        warm_up = next((clause for clause in clauses if isinstance(clause, EndpointWarmUp)), None)
        return ServiceItem(name, version, health, int(connections), keyed, warm_up=warm_up)

    def set_limits(self, version, headers, body, header_timeout_s, idle_timeout_s):
        return CallerLimits(version, int(headers), int(body), header_timeout_s, idle_timeout_s)

    def remove_route(self, name, version):
        return "route", Removal(name, version)

    def remove_service(self, name, version):
        return "service", Removal(name, version)

    def start_evacuation(self, zone):
        return EvacuationOrder(zone, True)

    def end_evacuation(self, zone):
        return EvacuationOrder(zone, False)

    def start(self, *statements):
        return statements


@cache
def _make_parser():
    """Return the parser; hosts that read no statements don't spend the time to build it."""
    grammar = files("greengagerock.language").joinpath("items.lark").read_text()
    return Lark(grammar, parser="lalr", lexer="contextual")


_builder = _Builder()


def parse_items(text):
    """Parse statements that set or remove configuration items, or start or end evacuations.

    Args:
        text: Statements separated by semicolons; of several that set limits, the last counts.

    Returns:
        A ``Patch``.

    Raises:
        StatementError: ``syntax-error`` with the position of the unexpected word.

    Examples:
        >>> patch = parse_items('''
        ...     set service till version 1 health /health connections 100 keyed warm 2s;
        ...     remove route old version 4''')
        >>> patch.services[0].keyed, patch.removed_routes
        (KeyedRules(warm_up_s=2.0, grant_location=None), (Removal(name='old', version=4),))
    """
    try:
        statements = _builder.transform(_make_parser().parse(text))
    except UnexpectedInput as error:
        detail = f"unexpected word at line {error.line}, column {error.column}"
        raise StatementError("syntax-error", detail, max(error.column, 0)) from error
    except VisitError as error:
        # A number with more digits than the interpreter converts.
        raise StatementError("syntax-error", str(error.orig_exc)) from error
    removals = [item for item in statements if type(item) is tuple]
    limits = [item for item in statements if isinstance(item, CallerLimits)]
    return Patch(
        tuple(item for item in statements if isinstance(item, RouteItem)),
        tuple(item for item in statements if isinstance(item, ServiceItem)),
        limits[-1] if limits else None,
        tuple(removal for kind, removal in removals if kind == "route"),
        tuple(removal for kind, removal in removals if kind == "service"),
        tuple(item for item in statements if isinstance(item, EvacuationOrder)),
    )


def format_items(items):
    """Return statements that set all items, in the form that ``parse_items`` parses.

    Args:
        items: The ``Items``.
    """
    lines = [_format_service(service) for service in items.services.values()]
    lines += [_format_route(route) for route in items.routes.values()]
    if items.limits is not None:
        lines.append(_format_limits(items.limits))
    lines += [f"evacuate zone {_quote(zone)}" for zone in sorted(items.evacuations)]
    return ";\n".join(lines) + "\n"


def _format_service(service):
    keyed = ""
    if service.keyed:
        warm_up_s = service.keyed.warm_up_s
        keyed = " keyed" + ("" if warm_up_s is None else f" warm {_format_duration(warm_up_s)}")
    return (
        f"set service {_quote(service.name)} version {service.version}"
        f" health {_quote(service.health_path)} connections {service.max_connections}{keyed}"
        f"{_format_warm_up(service.warm_up)}"
    )


def _format_warm_up(warm_up):
    if warm_up is None or (warm_up.duration_s is None and warm_up.requests_per_s is None):
        return ""
    text = " warm_up"
    if warm_up.duration_s is not None:
        text += f" {warm_up.duration_text or _format_duration(warm_up.duration_s)}"
    if warm_up.requests_per_s is not None:
        text += f" rate {_format_number(warm_up.requests_per_s)}"
    return text


def _format_number(number):
    """Format a number without an exponent; one that is not whole keeps its fraction.

    Examples:
        >>> _format_number(4), _format_number(4.0), _format_number(0.00001)
        ('4', '4.0', '0.00001')
    """
    return str(number) if isinstance(number, int) else f"{Decimal(repr(number)):f}"


def _format_route(route):
    services_text = ", ".join(
        _quote(weighted_service.service)
        + (f" weight {_format_number(weighted_service.weight)}" if route.is_split else "")
        for weighted_service in route.weighted_services
    )
    objective = priority = ""
    if route.objective_s is not None:
        objective = f" objective {_format_duration(route.objective_s)}"
    if route.priority is not None:
        priority = f" priority {route.priority}"
    return (
        f"set route {_quote(route.name)} version {route.version} host {_quote(route.host)}"
        f" prefix {_quote(route.prefix)} to {services_text} kind {route.kind}"
        f" timeout {_format_duration(route.timeout_s)} attempts {route.attempts}"
        f"{objective}{priority}"
    )


def _format_limits(limits):
    return (
        f"set limits version {limits.version} headers {limits.header_bytes}"
        f" body {limits.body_bytes} header_timeout {_format_duration(limits.header_timeout_s)}"
        f" idle_timeout {_format_duration(limits.idle_timeout_s)}"
    )


def _quote(text):
    return f'"{text}"'


def _format_duration(seconds):
    """Format a duration so that it is parsed as the same number.

    Examples:
        >>> _format_duration(0.0015), _format_duration(1.234567), _format_duration(100000.5)
        ('1.5ms', '1.234567s', '100000.5s')
    """
    number, unit = (seconds * 1000, "ms") if seconds < 1 else (seconds, "s")
    text = _format_number(round(float(number), DURATION_DECIMALS))
    return f"{text.rstrip('0').rstrip('.')}{unit}"
