"""The parser of operators' statements, which builds actions and queries from them."""

from functools import cache
from importlib.resources import files

from lark import Lark, Transformer, UnexpectedInput, v_args
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken

from greengagerock.control.commands import (
    AlterService,
    CancelVoterChange,
    CreateService,
    DrainEndpoint,
    DropService,
    ForgetHost,
    LiftBan,
    PinKey,
    ReplaceVoter,
    ResumeEndpoint,
    UnpinKey,
)
from greengagerock.control.queries import query_types
from greengagerock.core import StatementError
from greengagerock.model import DEFAULT_SLOTS, HeaderKey, NoKey, PathKey, QueryKey

SECONDS_BY_UNIT = {
    "second": 1.0,
    "minute": 60.0,
    "hour": 3600.0,
    "day": 86_400.0,
    "month": 30 * 86_400.0,
}
MILLISECONDS_PER_SECOND = 1000.0


@v_args(inline=True)
class _Builder(Transformer):
    """Builds actions and queries from the parse tree."""

    def word(self, token):
        return str(token)

    def quoted(self, token):
        return str(token)[1:-1]

    def start(self, statement):
        return statement

    def changes(self, *actions):
        return tuple(actions)

    def create_service(self, name, key_rule, *options):
        slots = next((option for option in options if isinstance(option, int)), None)
        rules = next((option for option in options if isinstance(option, tuple)), ())
        if isinstance(key_rule, NoKey):
            slots = 0
        elif slots is None:
            slots = DEFAULT_SLOTS
        return CreateService(name, key_rule, slots, rules)

    def alter_service(self, name, rules):
        return AlterService(name, rules)

    def drop_service(self, name):
        return DropService(name)

    def drain_endpoint(self, name):
        return DrainEndpoint(name)

    def resume_endpoint(self, name):
        return ResumeEndpoint(name)

    def pin_key(self, key, service):
        return PinKey(service, key)

    def unpin_key(self, key, service):
        return UnpinKey(service, key)

    def replace_voter(self, old, new):
        return ReplaceVoter(old, new)

    def add_voter(self, new):
        return ReplaceVoter("", new)

    def remove_voter(self, old):
        return ReplaceVoter(old, "")

    def forget_host(self, name):
        return ForgetHost(name)

    def lift_ban(self, fingerprint):
        return LiftBan(fingerprint)

    def cancel_voter_change(self):
        return CancelVoterChange()

    def without_key(self):
        return NoKey()

    def by_path(self, segment):
        return PathKey(int(segment))

    def by_header(self, name):
        return HeaderKey(name.lower())

    def by_query(self, name):
        return QueryKey(name)

    def slots(self, count):
        return int(count)

    def rules(self, *rules):
        return tuple(rules)

    def rule(self, name, number, unit=None):
        value = number / MILLISECONDS_PER_SECOND if unit == "ms" else number
        return (str(name), value)

    def number(self, token):
        return float(token)

    def unit(self, token):
        return str(token)

    def of_service(self, name):
        return name

    def since(self, number, unit):
        return number * SECONDS_BY_UNIT[str(unit).lower().rstrip("s")]

    def show_owner(self, key, service):
        return query_types.ShowOwner(key, service)

    def show_services(self):
        return query_types.ShowServices()

    def show_endpoints(self, service=""):
        return query_types.ShowEndpoints(service)

    def show_slots(self, endpoint):
        return query_types.ShowSlots(endpoint)

    def show_imbalance(self, service=""):
        return query_types.ShowImbalance(service)

    def show_moves(self, *options):
        service = next((option for option in options if isinstance(option, str)), "")
        since_s = next((option for option in options if isinstance(option, float)), 0.0)
        return query_types.ShowMoves(service, since_s)

    def show_churn(self, since_s=0.0):
        return query_types.ShowChurn(since_s)

    def show_changes(self, since_s=0.0):
        return query_types.ShowChanges(since_s)

    def show_bans(self):
        return query_types.ShowBans()

    def show_pins(self):
        return query_types.ShowPins()

    def show_transfers(self):
        return query_types.ShowTransfers()

    def show_health(self):
        return query_types.ShowHealth()

    def show_zones(self):
        return query_types.ShowZones()

    def show_hosts(self):
        return query_types.ShowHosts()

    def show_voters(self):
        return query_types.ShowVoters()


@cache
def _make_parser():
    """Return the parser; hosts that read no statements don't spend the time to build it."""
    grammar = files("greengagerock.language").joinpath("grammar.lark").read_text()
    return Lark(grammar, parser="lalr", maybe_placeholders=False)


_builder = _Builder()


def parse_statement(text):
    """Parse a statement.

    Args:
        text: One query, or one or more commands separated by semicolons.

    Returns:
        A query object, or a tuple of actions.

    Raises:
        StatementError: ``syntax-error`` with the column of the unexpected word.

    Examples:
        >>> parse_statement("show owner of key card-1 in till")
        ShowOwner(key='card-1', service='till')
        >>> parse_statement("drain endpoint till-1")
        (DrainEndpoint(name='till-1'),)
    """
    try:
        return _builder.transform(_make_parser().parse(text))
    except UnexpectedInput as error:
        raise _to_statement_error(error, text) from error


def _to_statement_error(error, text):
    expected = _expected_words(error)
    hint = f"; expected {expected}" if expected else ""
    if _is_at_end(error):
        return StatementError("syntax-error", f"the statement ends too early{hint}", len(text) + 1)
    word = _word_at(text, error.column)
    return StatementError(
        "syntax-error", f"did not expect {word!r} at column {error.column}{hint}", error.column
    )


def _is_at_end(error):
    if isinstance(error, UnexpectedEOF):
        return True
    return isinstance(error, UnexpectedToken) and error.token.type == "$END"


def _expected_words(error):
    terminals = error.allowed if isinstance(error, UnexpectedCharacters) else error.expected
    words = {_describe(terminal) for terminal in terminals or ()}
    return ", ".join(sorted(words - {""}))


def _describe(terminal):
    descriptions = {
        "WORD": "a name",
        "STRING": "a name",
        "INT": "a whole number",
        "SIGNED_NUMBER": "a number",
        "RULE_NAME": "a rule",
        "TIME_UNIT": "a time unit",
        "SEMICOLON": "';'",
        "COMMA": "','",
        "EQUAL": "'='",
        "UNIT": "a unit",
        "$END": "the end",
    }
    return descriptions.get(terminal, terminal.lower())


def _word_at(text, column):
    words = text[column - 1 :].split()
    return words[0] if words else ""
