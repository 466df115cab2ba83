"""The CherryPy handlers for endpoints."""

import cherrypy

from greengagerock.control.operator_messages import error_response
from greengagerock.core.interface import AnnouncementArrived
from greengagerock.model import Announcement
from greengagerock.web.json_bodies import read_json, write_json

DECISION_TIMEOUT_S = 2.0


class EndpointRoot:
    """HTTP resources for endpoints.

    Args:
        bridge: The ``Bridge`` to the loop.
        log: Callable that writes one log line.
    """

    def __init__(self, bridge, log):
        self.bridge = bridge
        self.log = log

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    def announce(self):
        """Handle an ``Announcement`` in JSON; the response is an ``AnnouncementReply``."""
        announcement, problem = read_json(Announcement)
        if problem:
            self.log("bad-announcement", code="bad-announcement", detail=problem)
            return write_json(error_response("bad-announcement", problem), 400)
        token = self.bridge.new_token()
        event = AnnouncementArrived(token, announcement)
        reply = self.bridge.post_and_wait(token, event, DECISION_TIMEOUT_S)
        if reply is None:
            return write_json(
                error_response("not-ready", "no reply from a lease manager in time"), 503
            )
        return write_json(reply)
