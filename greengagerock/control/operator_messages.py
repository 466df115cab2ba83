"""Messages for operators' requests and their responses."""

import msgspec

from greengagerock.control.queries.table import Table


class OperatorRequest(msgspec.Struct, frozen=True, tag="operator-request"):
    """A statement for the leader to execute.

    Attributes:
        text: The statement.
        request_id: Required for changes; a repeated id gets the first result.
        author: Name of the operator.
        base_version: For changes, the configuration version they are based on.
        dry_run: Whether a change is only checked, and not applied.
        wait_s: Longest time to wait until a change is in effect everywhere.
    """

    text: str
    request_id: str = ""
    author: str = ""
    base_version: int | None = None
    dry_run: bool = False
    wait_s: float = 4.0


class OperatorResponse(msgspec.Struct, frozen=True, tag="operator-answer"):
    """The response to an operator's request.

    Attributes:
        code: Empty on success, or an error code.
        detail: Explanation of an error.
        column: 1-based column of the word at which parsing failed, or 0.
        table: Rows of a query, or the planned moves of a dry run.
        version: Configuration version, for changes.
        accepted: Whether the change is stored on a quorum.
        in_force: Whether the change is in effect at every router.
        waiting: Availability zones where it is not yet in effect.
    """

    code: str = ""
    detail: str = ""
    column: int = 0
    table: Table | None = None
    version: int = 0
    accepted: bool = False
    in_force: bool = False
    waiting: tuple[str, ...] = ()


class OperatorRelay(msgspec.Struct, frozen=True, tag="operator-relay"):
    """Relays an operator's request to the leader."""

    token: int
    request: OperatorRequest


class OperatorRelayReply(msgspec.Struct, frozen=True, tag="operator-relay-answer"):
    """The leader's reply to a relayed request."""

    token: int
    response: OperatorResponse = msgspec.field(name="answer")


def error_response(code, detail, column=0):
    """Return the response to a request that failed."""
    return OperatorResponse(code=code, detail=detail, column=column)
