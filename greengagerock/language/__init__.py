"""The operators' language: grammars and parsers of statements and configuration items."""
