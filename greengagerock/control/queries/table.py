"""Tables, the results of queries."""

import msgspec


class Table(msgspec.Struct, frozen=True):
    """A table with named columns.

    Attributes:
        columns: Column names.
        rows: One tuple of values for each row.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[object, ...], ...]

    def to_records(self):
        """Return the rows as dictionaries.

        Examples:
            >>> Table(("a", "b"), ((1, 2),)).to_records()
            [{'a': 1, 'b': 2}]
        """
        return [dict(zip(self.columns, row, strict=True)) for row in self.rows]
