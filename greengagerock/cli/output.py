"""Output of the command-line tool as a table, JSON or CSV."""

import csv
import io
import json
from enum import Enum


class OutputFormat(Enum):
    """Format in which rows are printed."""

    TABLE = "table"
    JSON = "json"
    CSV = "csv"


def render_rows(columns, rows, output_format):
    """Format rows as text.

    Args:
        columns: Column names.
        rows: Sequences of values, one value per column.
        output_format: An ``OutputFormat``.

    Examples:
        >>> print(render_rows(("a", "b"), [(1, True)], OutputFormat.TABLE))
        a  b
        1  yes
        >>> print(render_rows(("a", "b"), [(1, True)], OutputFormat.CSV))
        a,b
        1,True
    """
    match output_format:
        case OutputFormat.JSON:
            return json.dumps([dict(zip(columns, row, strict=True)) for row in rows], indent=2)
        case OutputFormat.CSV:
            return _render_csv(columns, rows)
        case OutputFormat.TABLE:
            return _render_table(columns, rows)


def _render_csv(columns, rows):
    buffer = io.StringIO()
    writer = csv.writer(buffer, lineterminator="\n")
    writer.writerow(columns)
    writer.writerows(rows)
    return buffer.getvalue().rstrip("\n")


def _render_table(columns, rows):
    cells = [list(columns)] + [[_format_cell(value) for value in row] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    lines = ["  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)) for row in cells]
    return "\n".join(line.rstrip() for line in lines)


def _format_cell(value):
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value == "" else str(value)
