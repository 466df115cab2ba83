"""Ignores SIGHUP while a process starts; must be the first import of its main module.

A SIGHUP that arrives before the reload handler is installed would terminate the process. No
change of the settings is missed: they are read later, and ``SettingsWatcher`` detects later
changes of the file.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
