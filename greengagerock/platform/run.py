"""Starts the daemon with the platform's settings file and dialects."""

import greengagerock.daemon.ignore_sighup  # noqa: F401, I001 - must precede slow imports
import argparse
import os
import sys
from pathlib import Path

from greengagerock.core import GreengageError
from greengagerock.daemon.site import serve_site
from greengagerock.platform.control_dialect import PlatformControlDialect
from greengagerock.platform.caller_dialect import PlatformDialect
from greengagerock.platform.wire_settings import decode_settings

SETTINGS_VARIABLE = "GREENGAGEROCK_BOOT"
EXIT_BAD_SETTINGS = 2

DEFAULT_METRICS_PORT = 9464


def parse_arguments(arguments):
    """Parse the command line.

    The standard library's parser starts faster than the one of the command-line tool, and this
    program is started again after each loss of a host.

    Args:
        arguments: The words after the program's name.
    """
    parser = argparse.ArgumentParser(
        prog="greengagerock.platform.run", description="greengagerockd on the users' platform."
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=DEFAULT_METRICS_PORT,
        help="port on which metrics are served",
    )
    return parser.parse_args(arguments)


def serve(metrics_port):
    """Serve until SIGTERM or SIGINT.

    Args:
        metrics_port: Port on which metrics are served.

    Returns:
        The exit status: 0 after a planned stop, 1 after a failure, 2 for invalid settings.
    """
    path = Path(os.environ.get(SETTINGS_VARIABLE, "/etc/greengagerock/settings.json"))

    def load():
        try:
            return decode_settings(path.read_bytes(), metrics_port)
        except OSError as error:
            raise GreengageError("bad-settings", str(error)) from error

    try:
        settings = load()
    except GreengageError as error:
        print(f"event=fatal code={error.code} detail={error.detail!r}", flush=True)
        return EXIT_BAD_SETTINGS
    return serve_site(settings, load, path, PlatformDialect(), PlatformControlDialect())


if __name__ == "__main__":
    sys.exit(serve(parse_arguments(sys.argv[1:]).metrics_port))
