"""Adapter to the users' infrastructure: names, formats and calls, no decisions.

The folder is inside the package because a folder ``platform`` at the root of the
repository would hide Python's own module of that name.
"""
