"""The ``greengagerockd`` command."""

import greengagerock.daemon.early_signals  # noqa: F401, I001 - before all that takes time
import signal
import sys
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from greengagerock.core import GreengageError
from greengagerock.daemon.daemon import Daemon
from greengagerock.daemon.logs import configure_logs, make_event_log
from greengagerock.daemon.site import serve_site
from greengagerock.settings import SettingsError, load_settings
from greengagerock.settings.site import SiteSettings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2

# Worker threads and the loop hand over to each other several times in a request.
SWITCH_INTERVAL_S = 0.005

app = App(name="greengagerockd", help="Router for servers that own their keys exclusively.")


@app.default
def serve(settings: Annotated[str, Parameter(help="Path of the settings file.")]) -> int:
    """Serve until SIGTERM or SIGINT.

    Args:
        settings: Path of the settings file.

    Returns:
        The exit status: 0 after a planned stop, 1 after a failure, 2 for faulty settings.
    """
    try:
        checked = load_settings(settings)
    except SettingsError as error:
        for fault in error.faults:
            print(f"{settings}: {fault}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if isinstance(checked, SiteSettings):
        return serve_site(checked, lambda: load_settings(settings), Path(settings))
    configure_logs(checked)
    log = make_event_log(checked)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        daemon = Daemon(checked, log)
    except GreengageError as error:
        log("fatal", code=error.code, detail=error.detail)
        return EXIT_FAILED
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: daemon.stop())
    code = daemon.run()
    return EXIT_FAILED if code else EXIT_OK


def run():
    """Run the command line."""
    sys.exit(app())


if __name__ == "__main__":
    run()
