"""Operators' queries and their execution."""

from greengagerock.control.queries.execution import QueryContext, execute_query
from greengagerock.control.queries.imbalance import Imbalance, imbalance_of_counts, slot_imbalance
from greengagerock.control.queries.query_types import Query
from greengagerock.control.queries.table import Table

__all__ = [
    "Imbalance",
    "Query",
    "QueryContext",
    "Table",
    "execute_query",
    "imbalance_of_counts",
    "slot_imbalance",
]
