"""Fault switches of a stand-in endpoint."""

from typing import Annotated

import msgspec
from msgspec import Meta

Seconds = Annotated[float, Meta(ge=0, le=3600)]


class Switches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Simulated faults of a stand-in endpoint.

    Attributes:
        frozen: It neither serves requests nor announces itself, like a suspended process; when
            the switch is turned off, it continues with its old state.
        crash_on_mark: A request with the header ``Crash`` crashes it.
        sheds: It refuses every request without running it.
        reported_in_flight: Number of running requests that it announces instead of the true one.
        delay_s: Time that it takes to run a request.
        silent_connections: Connections opened before the switch was set get no responses; newer
            ones work.
        silent: It accepts requests, but neither runs them nor responds.
        drops_answers: It runs requests and closes the connection without a response.
        breaks_after_bytes: Number of bytes of a document after which it closes the connection;
            ``None`` for no limit.
        hides_ranges: Its responses have neither ``Accept-Ranges`` nor ``ETag``.
        draining: It announces that it is draining.
        announces: It announces itself; if off, it sends no announcements.
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
