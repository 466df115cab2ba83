"""Adapter to the users' platform: translates names, formats and calls, and makes no decisions.

It is a subpackage because a folder ``platform`` at the root of the repository would shadow the
module ``platform`` of the standard library.
"""
