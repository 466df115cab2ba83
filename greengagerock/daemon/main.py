"""The ``greengagerockd`` command."""

import greengagerock.daemon.ignore_sighup  # noqa: F401, I001 - must precede slow imports
import signal
import sys
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from greengagerock.core import GreengageError
from greengagerock.daemon.daemon import Daemon
from greengagerock.daemon.logs import configure_logs, make_event_log
from greengagerock.daemon.site import serve_site
from greengagerock.settings.checker import SettingsError, load_settings, load_site_settings
from greengagerock.settings.site import SiteSettings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2

# Thread switch interval of the interpreter: control passes between worker threads and the loop
# several times per request.
SWITCH_INTERVAL_S = 0.005

app = App(name="greengagerockd", help="Router for servers that own their keys exclusively.")


@app.default
def serve(settings: Annotated[str, Parameter(help="Path of the settings file.")]) -> int:
    """Serve until SIGTERM or SIGINT.

    Args:
        settings: Path of the settings file.

    Returns:
        The exit status: 0 after a planned stop, 1 after a failure, 2 for invalid settings.
    """
    try:
        loaded_settings = load_settings(settings)
    except SettingsError as error:
        for fault in error.problems:
            print(f"{settings}: {fault}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if isinstance(loaded_settings, SiteSettings):
        return serve_site(loaded_settings, lambda: load_site_settings(settings), Path(settings))
    configure_logs(loaded_settings)
    log = make_event_log(loaded_settings)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        daemon = Daemon(loaded_settings, log)
    except GreengageError as error:
        log("fatal", code=error.code, detail=error.detail)
        return EXIT_FAILED
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: daemon.stop())
    code = daemon.run()
    return EXIT_FAILED if code else EXIT_OK


def run():
    """Run the command line."""
    sys.exit(app())


if __name__ == "__main__":
    run()
