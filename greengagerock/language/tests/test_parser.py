"""Tests of the parser of operators' statements."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagerock.control.commands import (
    AlterService,
    CancelVoterChange,
    CreateService,
    DrainEndpoint,
    PinKey,
    ReplaceVoter,
)
from greengagerock.control.queries import query_types
from greengagerock.core import StatementError
from greengagerock.language.parser import parse_statement
from greengagerock.model import HeaderKey, NoKey, PathKey, QueryKey

STATEMENTS = {
    "create service till keyed by path segment 2 slots 64": (
        CreateService("till", PathKey(2), 64),
    ),
    "create service a keyed by header X-Card": (CreateService("a", HeaderKey("x-card"), 1024),),
    "create service a keyed by query lot set cut_hold_s = 5 s, churn_weight 0.2": (
        CreateService("a", QueryKey("lot"), 1024, (("cut_hold_s", 5.0), ("churn_weight", 0.2))),
    ),
    "CREATE SERVICE docs WITHOUT KEY": (CreateService("docs", NoKey(), 0),),
    "alter service a set timeout_s = 250 ms": (AlterService("a", (("timeout_s", 0.25),)),),
    'drain endpoint e-1; pin key "card 1" in till;': (
        DrainEndpoint("e-1"),
        PinKey("till", "card 1"),
    ),
    "replace voter a with b": (ReplaceVoter("a", "b"),),
    "add voter b": (ReplaceVoter("", "b"),),
    "remove voter a": (ReplaceVoter("a", ""),),
    "cancel voter change": (CancelVoterChange(),),
    "show moves of till since 2 hours": query_types.ShowMoves("till", 7200.0),
    "show moves": query_types.ShowMoves(),
    "show churn since 1 month": query_types.ShowChurn(2_592_000.0),
    "show endpoints": query_types.ShowEndpoints(),
    "show owner of key 17 in till": query_types.ShowOwner("17", "till"),
    "show owner of key show in service": query_types.ShowOwner("show", "service"),
}


@pytest.mark.parametrize("text", STATEMENTS, ids=str)
def test_statement_is_parsed(text):
    assert parse_statement(text) == STATEMENTS[text]


@pytest.mark.parametrize(
    ("text", "column", "hint"),
    [
        ("show ownr of key k in s", 6, "did not expect 'ownr'"),
        ("drain endpoint", 15, "ends too early; expected a name"),
        ("alter service s set timeout_s", 30, "ends too early"),
        ("drop service a b", 16, "did not expect 'b'"),
        ("", 1, "ends too early"),
        ("create service s keyed by path segment two", 40, "expected a whole number"),
    ],
)
def test_error_has_the_column_of_the_unexpected_word(text, column, hint):
    with pytest.raises(StatementError) as caught:
        parse_statement(text)
    assert caught.value.code == "syntax-error"
    assert caught.value.column == column
    assert hint in caught.value.detail


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.text(max_size=60))
def test_any_text_is_parsed_or_is_a_syntax_error(text):
    try:
        parse_statement(text)
    except StatementError as error:
        assert error.code == "syntax-error"
