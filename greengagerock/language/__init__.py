"""The operators' language: grammars and parsers of statements and configuration items."""

from greengagerock.language.parser import parse_statement

__all__ = ["parse_statement"]
