"""The ``greengagerock`` command."""

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
from greengagerock.control.operators import OperatorRequest
from greengagerock.core import ERROR_KINDS, GreengageError, merge_timelines
from greengagerock.settings import SettingsError, load_settings

DEFAULT_ADDRESS = "127.0.0.1:8081"
MICROSECONDS_PER_SECOND = 1_000_000

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_NOT_IN_FORCE = 4

Address = Annotated[str, Parameter(name=["--address", "-a"])]
Format = Annotated[OutputFormat, Parameter(name=["--format", "-f"])]

app = App(name="greengagerock", help="Operate a greengagerock system.")
app.register_install_completion_command()


@app.command
def status(*, address: Address = DEFAULT_ADDRESS, format: Format = OutputFormat.TABLE) -> int:
    """Show what one daemon says about itself.

    Args:
        address: Operator port of any host, IP:PORT.
        format: Output as table, json or csv.
    """
    return run_command(lambda: show_status(address, format))


@app.command
def check(settings: str) -> int:
    """Check a settings file, with the same rules as the daemon.

    Args:
        settings: Path of the settings file.
    """
    try:
        load_settings(settings)
    except SettingsError as error:
        for fault in error.faults:
            print(f"{settings}: {fault}", file=sys.stderr)
        return EXIT_USAGE
    print(f"{settings}: no faults")
    return EXIT_OK


@app.command
def items(file: Path | None = None, *, address: Address = DEFAULT_ADDRESS) -> int:
    """Show the configuration items of a system with discovered hosts, or change them.

    Args:
        file: Statements to apply, all or none; without it the items that stand are shown.
        address: Control port of any controller, IP:PORT.
    """
    return run_command(lambda: show_or_apply_items(file, address))


@app.command
def explain(request_id: str, logs: list[Path]) -> int:
    """Show what collected logs say about one request, and what was believed before it.

    Args:
        request_id: Id of the request.
        logs: Log files of all hosts.
    """
    return run_command(lambda: print_explanation(request_id, logs))


@app.command
def query(
    text: str, *, address: Address = DEFAULT_ADDRESS, format: Format = OutputFormat.TABLE
) -> int:
    """Ask a question, for example 'show owner of key card-1 in till'.

    Args:
        text: The query.
        address: Operator port of any host, IP:PORT.
        format: Output as table, json or csv.
    """
    request = OperatorRequest(text, author=author_name())
    return run_command(lambda: print_answer(address, request, format))


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
    """Make a change that takes effect as a whole or not at all.

    Args:
        text: The commands, separated by semicolons.
        file: Read the commands from this file instead.
        request_id: Repeat this id to learn the result of a change whose answer was lost.
        based_on: Refuse the change unless this is the current version.
        dry_run: Only show the moves that the change would cause.
        wait: Seconds to wait until the change is in force everywhere.
        address: Operator port of any host, IP:PORT.
        format: Output as table, json or csv.
    """
    if (file is None) == (not text):
        print("give either the text of a change or --file", file=sys.stderr)
        return EXIT_USAGE
    text = text or file.read_text().strip()
    request_id = request_id or f"cli-{secrets.token_hex(8)}"
    request = OperatorRequest(text, request_id, author_name(), based_on, dry_run, wait)
    return run_command(lambda: print_answer(address, request, format))


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
    """Show the events of all processes in one order.

    Args:
        key: Only events of this key.
        endpoint: Only events of this endpoint.
        zone: Only events recorded in this availability zone.
        last: Only the last so many seconds; 0 for all.
        address: Operator port of any host, IP:PORT.
        format: Output as table, json or csv.
    """
    fields = {"key": key, "endpoint": endpoint, "zone": zone}
    if last:
        fields["since_us"] = str(int((time.time() - last) * MICROSECONDS_PER_SECOND))
    return run_command(lambda: show_timeline(address, fields, format))


def run_command(action):
    """Run an action and turn its failure into an exit status."""
    try:
        return action()
    except GreengageError as error:
        print(f"{error.code}: {error.detail}", file=sys.stderr)
        return EXIT_UNREACHABLE


def show_or_apply_items(file, address):
    """Print the items of a controller, or apply the statements of a file."""
    client = OperatorClient(address)
    if file is None:
        print(client.read_items(), end="")
    else:
        client.apply_items(file.read_text())
        print("accepted")
    return EXIT_OK


def print_explanation(request_id, logs):
    """Print the lines of a request, then changes of belief shortly before."""
    texts = (text for path in logs for text in path.read_text(errors="replace").splitlines())
    lines = [line for line in map(read_log_line, texts) if line is not None]
    own, context = explain_request(request_id, lines)
    print(f"request {request_id}:")
    for line in own:
        print(f"  {line.text}")
    print("what its hosts learnt in the seconds before:")
    for line in context:
        print(f"  {line.text}")
    return EXIT_OK


def author_name():
    """Return the name of the user, for the history of changes."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def show_status(address, output_format):
    """Print a daemon's status."""
    record = OperatorClient(address).status()
    if output_format is OutputFormat.TABLE:
        rows = [(name, _plain(value)) for name, value in record.items()]
        print(render_rows(("field", "value"), rows, output_format))
    else:
        rows = [[_plain(value) for value in record.values()]]
        print(render_rows(tuple(record), rows, output_format))
    return EXIT_OK


def _plain(value):
    return "+".join(value) if isinstance(value, list) else value


def print_answer(address, request, output_format):
    """Send a request, print the answer and return the exit status."""
    answer = OperatorClient(address).operate(request)
    if answer.code:
        print_refusal(answer, request)
        return EXIT_UNREACHABLE if answer.code == "no-leader" else EXIT_REFUSED
    if answer.table is not None:
        print(render_rows(answer.table.columns, answer.table.rows, output_format))
        return EXIT_OK
    columns = ("request_id", "version", "accepted", "in_force", "waiting")
    row = (
        request.request_id,
        answer.version,
        answer.accepted,
        answer.in_force,
        " ".join(answer.waiting),
    )
    print(render_rows(columns, [row], output_format))
    return EXIT_OK if answer.in_force else EXIT_NOT_IN_FORCE


def print_refusal(answer, request):
    """Print an error and point at the word that is wrong."""
    summary = ERROR_KINDS[answer.code].summary if answer.code in ERROR_KINDS else ""
    print(f"{answer.code}: {answer.detail or summary}", file=sys.stderr)
    if answer.column:
        print(f"  {request.text}", file=sys.stderr)
        print("  " + " " * (answer.column - 1) + "^", file=sys.stderr)
    if answer.code == "no-leader" and request.request_id:
        print(f"to ask for the result: --request-id {request.request_id}", file=sys.stderr)


def show_timeline(address, fields, output_format):
    """Gather the time lines of all hosts and print them in one order."""
    parts = []
    for name, operator_address in list_hosts(address):
        try:
            parts.append(OperatorClient(operator_address).timeline(fields))
        except GreengageError as error:
            print(f"host {name} left out: {error.detail}", file=sys.stderr)
    columns = ("at", "host", "zone", "event", "endpoint", "key", "detail")
    rows = [
        (format_moment(e.at), e.host, e.zone, e.kind, e.endpoint, e.key, e.detail)
        for e in merge_timelines(parts)
    ]
    print(render_rows(columns, rows, output_format))
    return EXIT_OK


def list_hosts(address):
    """Return name and operator address of all hosts, or only of the one asked."""
    answer = OperatorClient(address).operate(OperatorRequest("show hosts", author=author_name()))
    if answer.code or answer.table is None:
        print(f"only {address}: {answer.detail}", file=sys.stderr)
        return [(address, address)]
    return [(r["host"], r["operator_address"]) for r in answer.table.to_records()]


def format_moment(timestamp):
    """Return a hybrid logical timestamp as text.

    Examples:
        >>> from greengagerock.core import Timestamp
        >>> format_moment(Timestamp(1_000_000, 2))
        '1970-01-01T00:00:01.000000Z+2'
    """
    moment = datetime.fromtimestamp(timestamp.wall_us / MICROSECONDS_PER_SECOND, UTC)
    return f"{moment:%Y-%m-%dT%H:%M:%S.%fZ}+{timestamp.counter}"


def run():
    """Run the command line."""
    sys.exit(app())


if __name__ == "__main__":
    run()
