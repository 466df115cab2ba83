"""Queries: what operators can ask, and the answers."""

from greengagerock.control.queries.answers import QueryContext, answer_query
from greengagerock.control.queries.measures import Imbalance, imbalance_of, measure_imbalance
from greengagerock.control.queries.requests import Query
from greengagerock.control.queries.table import Table

__all__ = [
    "Imbalance",
    "Query",
    "QueryContext",
    "Table",
    "answer_query",
    "imbalance_of",
    "measure_imbalance",
]
