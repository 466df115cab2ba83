"""Ignores reloads while a process starts; the first import of its main module.

A reload that is asked for before the handler is installed would end the process. Nothing is
missed: settings are read later, and the watch of the file compares it with what was read.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
