"""The operators' language: grammar and parser."""

from greengagerock.language.parser import parse_statement

__all__ = ["parse_statement"]
