"""The switches of a stand-in endpoint."""

from typing import Annotated

import msgspec
from msgspec import Meta

Seconds = Annotated[float, Meta(ge=0, le=3600)]


class Switches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a stand-in endpoint misbehaves.

    Attributes:
        frozen: It neither serves nor announces, as a stopped process; when the switch
            is turned off it goes on as though nothing had happened.
        crash_on_mark: A request with the header ``Crash`` ends it.
        sheds: It refuses every request without running it.
        reported_in_flight: The load that it reports, instead of the true one.
        delay_s: Time that each request takes.
        silent_connections: Open connections go silent; new ones work.
        silent: It accepts requests and never answers.
        drops_answers: It runs requests and closes the connection without an answer.
        breaks_after_bytes: It closes the connection after so many bytes of a body.
        hides_ranges: It offers neither ranges nor an entity tag.
        draining: It announces that it is leaving.
        announces: Whether it announces itself at all.
    """

    frozen: bool = False
    crash_on_mark: bool = True
    sheds: bool = False
    reported_in_flight: int | None = None
    delay_s: Seconds = 0.0
    silent_connections: bool = False
    silent: bool = False
    drops_answers: bool = False
    breaks_after_bytes: int | None = None
    hides_ranges: bool = False
    draining: bool = False
    announces: bool = True
