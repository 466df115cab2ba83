"""Which limit ends each stage of a connection, from when it counts, and what the caller gets.

The limits of what callers send are the operator's ``CallerLimits``: the header timeout for what
arrives, and the idle timeout for the pause before it. All others are in this module.

A planned stop shortens only the stages without a request; the end of the process ends the others.
"""

import msgspec

from greengagerock.web.connection_progress import (
    DECIDING,
    DISCARDING,
    FORWARDED,
    IDLE,
    LINGERING,
    QUEUED,
    READING,
    READING_BODY,
    RESPONDING,
)

# Time that the decision core has for one decision about a request, in seconds.
LOOP_TIMEOUT_S = 5.0
# Time after the deadline of a request until which a long body is read, in seconds. An endpoint may
# have responded before it had the whole body, and that response is passed on.
BODY_GRACE_S = 5.0
# Longest time for which a caller takes no byte of a response, in seconds. On a link that is cut
# for half of it, the system sends lost bytes again within the other half, since it doubles its
# pauses.
WRITE_STALL_S = 30.0
# Time for which the rest of a body is read after the response, before its connection is closed, in
# seconds. On a link of 2 Mbit/s it is enough for a megabyte.
DISCARD_S = 5.0
# Time after its last response for which a connection without a request stays open for bytes of the
# caller, in seconds. A request that was on its way has arrived by then, and the caller has closed
# the connection.
LINGER_S = 1.0

# Moments from which limits count.
SINCE_STAGE = "stage"
SINCE_ARRIVAL = "arrival"
SINCE_PROGRESS = "progress"
# What callers get.
NOTHING = "nothing"
PART = "part"
WHOLE = "whole"
ERROR = "error"


class StageLimit(msgspec.Struct, frozen=True):
    """What ends a stage of a connection that does not end by itself.

    Attributes:
        limit: Description of the limit, or empty if there is none.
        since: Whether it counts from the beginning of the stage, from the arrival of the request,
            or from the last byte that the caller has taken.
        result: Whether the caller gets nothing, a part of its response, its whole response, or an
            error.
        status: Status of the error.
    """

    limit: str
    since: str
    result: str
    status: int | None = None


STAGE_LIMITS = {
    IDLE: StageLimit("idle timeout of the last response, or of acceptance", SINCE_STAGE, NOTHING),
    QUEUED: StageLimit("", SINCE_STAGE, WHOLE),
    READING: StageLimit("header timeout of the beginning", SINCE_STAGE, ERROR, 408),
    READING_BODY: StageLimit("header timeout of the beginning", SINCE_STAGE, ERROR, 408),
    DECIDING: StageLimit("LOOP_TIMEOUT_S", SINCE_STAGE, ERROR, 500),
    FORWARDED: StageLimit("time of the request", SINCE_ARRIVAL, ERROR, 502),
    RESPONDING: StageLimit("WRITE_STALL_S", SINCE_PROGRESS, PART),
    DISCARDING: StageLimit("DISCARD_S", SINCE_STAGE, WHOLE),
    LINGERING: StageLimit("LINGER_S", SINCE_STAGE, ERROR, 503),
}
