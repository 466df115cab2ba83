"""Adapter to the users' platform: translates names, formats and calls, decides nothing.

The folder is inside the package because a folder ``platform`` at the root of the repository
would hide the module ``platform`` of the standard library.
"""
