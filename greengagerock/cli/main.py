"""The ``greengagerock`` command-line tool."""

import getpass
import secrets
import sys
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from greengagerock.cli.client import OperatorClient
from greengagerock.cli.explain import explain_request, read_log_line
from greengagerock.cli.output import OutputFormat, render_rows
from greengagerock.control.operator_messages import OperatorRequest
from greengagerock.core import ERROR_KINDS, GreengageError, merge_timelines
from greengagerock.settings.checker import SettingsError, load_settings

DEFAULT_ADDRESS = "127.0.0.1:8081"
MICROSECONDS_PER_SECOND = 1_000_000

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_NOT_IN_EFFECT = 4

Address = Annotated[str, Parameter(name=["--address", "-a"])]
Format = Annotated[OutputFormat, Parameter(name=["--format", "-f"])]

app = App(name="greengagerock", help="Operate a greengagerock system.")
app.register_install_completion_command()


@app.command
def status(*, address: Address = DEFAULT_ADDRESS, format: Format = OutputFormat.TABLE) -> int:
    """Show the status of one daemon.

    Args:
        address: Operator port of any host, IP:PORT.
        format: Output as table, json or csv.
    """
    return run_command(lambda: show_status(address, format))


@app.command
def check(settings: str) -> int:
    """Check a settings file by the same rules as the daemon.

    Args:
        settings: Path of the settings file.
    """
    try:
        load_settings(settings)
    except SettingsError as error:
        for fault in error.problems:
            print(f"{settings}: {fault}", file=sys.stderr)
        return EXIT_USAGE
    print(f"{settings}: no faults")
    return EXIT_OK


@app.command
def items(file: Path | None = None, *, address: Address = DEFAULT_ADDRESS) -> int:
    """Show or change the configuration items of a site, whose hosts discover each other.

    Args:
        file: File of statements to apply, all or none. Without it the current items are shown.
        address: Control port of any controller, IP:PORT.
    """
    return run_command(lambda: show_or_apply_items(file, address))


@app.command
def explain(request_id: str, logs: list[Path]) -> int:
    """Show the log lines of one request, and the state changes shortly before and during it.

    Args:
        request_id: Id of the request.
        logs: Log files of all hosts.
    """
    return run_command(lambda: print_explanation(request_id, logs))


@app.command
def query(
    text: str, *, address: Address = DEFAULT_ADDRESS, format: Format = OutputFormat.TABLE
) -> int:
    """Run a query, for example 'show owner of key card-1 in till'.

    Args:
        text: The query.
        address: Operator port of any host, IP:PORT.
        format: Output as table, json or csv.
    """
    request = OperatorRequest(text, author=get_author())
    return run_command(lambda: print_response(address, request, format))


@app.command
def change(
    text: str = "",
    *,
    file: Path | None = None,
    request_id: str = "",
    based_on: int | None = None,
    dry_run: bool = False,
    wait: float = 4.0,
    address: Address = DEFAULT_ADDRESS,
    format: Format = OutputFormat.TABLE,
) -> int:
    """Apply a change, all of its commands or none.

    Args:
        text: The commands, separated by semicolons.
        file: Read the commands from this file instead.
        request_id: Id of the change. Repeat it to get the result if the response was lost.
        based_on: Reject the change unless this is the current version.
        dry_run: Only show the moves that the change would cause.
        wait: Seconds to wait until the change is in effect everywhere.
        address: Operator port of any host, IP:PORT.
        format: Output as table, json or csv.
    """
    if (file is None) == (not text):
        print("give either the text of the change or --file", file=sys.stderr)
        return EXIT_USAGE
    text = text or file.read_text().strip()
    request_id = request_id or f"cli-{secrets.token_hex(8)}"
    request = OperatorRequest(text, request_id, get_author(), based_on, dry_run, wait)
    return run_command(lambda: print_response(address, request, format))


@app.command
def timeline(
    *,
    key: str = "",
    endpoint: str = "",
    zone: str = "",
    last: float = 0.0,
    address: Address = DEFAULT_ADDRESS,
    format: Format = OutputFormat.TABLE,
) -> int:
    """Show the recorded events of all hosts, merged in one order.

    Args:
        key: Only events that concern this key.
        endpoint: Only events that concern this endpoint.
        zone: Only events recorded in this availability zone.
        last: Length of the period before now, in seconds; 0 for all events.
        address: Operator port of any host, IP:PORT.
        format: Output as table, json or csv.
    """
    fields = {"key": key, "endpoint": endpoint, "zone": zone}
    if last:
        fields["since_us"] = str(int((time.time() - last) * MICROSECONDS_PER_SECOND))
    return run_command(lambda: show_timeline(address, fields, format))


def run_command(action):
    """Run an action and return its exit status.

    A ``GreengageError`` is printed; the exit status is then ``EXIT_UNREACHABLE``.
    """
    try:
        return action()
    except GreengageError as error:
        print(f"{error.code}: {error.detail}", file=sys.stderr)
        return EXIT_UNREACHABLE


def show_or_apply_items(file, address):
    """Print the configuration items of a controller, or apply the statements of a file."""
    client = OperatorClient(address)
    if file is None:
        print(client.read_items(), end="")
    else:
        client.apply_items(file.read_text())
        print("accepted")
    return EXIT_OK


def print_explanation(request_id, logs):
    """Print the log lines of a request, then the related state changes."""
    texts = (text for path in logs for text in path.read_text(errors="replace").splitlines())
    lines = [line for line in map(read_log_line, texts) if line is not None]
    request_lines, context_lines = explain_request(request_id, lines)
    print(f"request {request_id}:")
    for line in request_lines:
        print(f"  {line.text}")
    print("state changes shortly before and during the request:")
    for line in context_lines:
        print(f"  {line.text}")
    return EXIT_OK


def get_author():
    """Return the name of the current user, recorded as the author of changes."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def show_status(address, output_format):
    """Print the status of a daemon."""
    status_fields = OperatorClient(address).status()
    if output_format is OutputFormat.TABLE:
        rows = [(name, _format_value(value)) for name, value in status_fields.items()]
        print(render_rows(("field", "value"), rows, output_format))
    else:
        rows = [[_format_value(value) for value in status_fields.values()]]
        print(render_rows(tuple(status_fields), rows, output_format))
    return EXIT_OK


def _format_value(value):
    return "+".join(value) if isinstance(value, list) else value


def print_response(address, request, output_format):
    """Send a request, print the response and return the exit status."""
    response = OperatorClient(address).operate(request)
    if response.code:
        print_refusal(response, request)
        return EXIT_UNREACHABLE if response.code == "no-leader" else EXIT_REFUSED
    if response.table is not None:
        print(render_rows(response.table.columns, response.table.rows, output_format))
        return EXIT_OK
    columns = ("request_id", "version", "accepted", "in_force", "waiting")
    row = (
        request.request_id,
        response.version,
        response.accepted,
        response.in_force,
        " ".join(response.waiting),
    )
    print(render_rows(columns, [row], output_format))
    return EXIT_OK if response.in_force else EXIT_NOT_IN_EFFECT


def print_refusal(response, request):
    """Print an error response, with a mark below the position of the error if it has one."""
    summary = ERROR_KINDS[response.code].summary if response.code in ERROR_KINDS else ""
    print(f"{response.code}: {response.detail or summary}", file=sys.stderr)
    if response.column:
        print(f"  {request.text}", file=sys.stderr)
        print("  " + " " * (response.column - 1) + "^", file=sys.stderr)
    if response.code == "no-leader" and request.request_id:
        print(
            f"to get the result, repeat with: --request-id {request.request_id}", file=sys.stderr
        )


def show_timeline(address, fields, output_format):
    """Fetch the timelines of all hosts, merge them and print them."""
    timelines = []
    for name, operator_address in list_hosts(address):
        try:
            timelines.append(OperatorClient(operator_address).timeline(fields))
        except GreengageError as error:
            print(f"host {name} skipped: {error.detail}", file=sys.stderr)
    columns = ("at", "host", "zone", "event", "endpoint", "key", "detail")
    rows = [
        (format_timestamp(e.at), e.host, e.zone, e.kind, e.endpoint, e.key, e.detail)
        for e in merge_timelines(timelines)
    ]
    print(render_rows(columns, rows, output_format))
    return EXIT_OK


def list_hosts(address):
    """Return names and operator addresses of all hosts, or ``address`` if the query fails."""
    response = OperatorClient(address).operate(OperatorRequest("show hosts", author=get_author()))
    if response.code or response.table is None:
        print(f"events of {address} only: {response.detail}", file=sys.stderr)
        return [(address, address)]
    return [(r["host"], r["operator_address"]) for r in response.table.to_records()]


def format_timestamp(timestamp):
    """Return a hybrid logical timestamp as text.

    Examples:
        >>> from greengagerock.core import Timestamp
        >>> format_timestamp(Timestamp(1_000_000, 2))
        '1970-01-01T00:00:01.000000Z+2'
    """
    utc_time = datetime.fromtimestamp(timestamp.wall_us / MICROSECONDS_PER_SECOND, UTC)
    return f"{utc_time:%Y-%m-%dT%H:%M:%S.%fZ}+{timestamp.counter}"


def run():
    """Run the command line."""
    sys.exit(app())


if __name__ == "__main__":
    run()
