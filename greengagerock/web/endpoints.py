"""The CherryPy application for endpoints."""

import cherrypy

from greengagerock.control.operators import refuse
from greengagerock.core.seam import EndpointAnnounced
from greengagerock.model import Announcement
from greengagerock.web.json_tools import read_json, write_json

ASK_TIMEOUT_S = 2.0


class EndpointRoot:
    """Resources for endpoints.

    Args:
        bridge: Where answers come from.
        log: Callable that writes one log line.
    """

    def __init__(self, bridge, log):
        self.bridge = bridge
        self.log = log

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    def announce(self):
        """Answer an ``Announcement`` sent as JSON with an ``AnnouncementReply``."""
        announcement, fault = read_json(Announcement)
        if fault:
            self.log("bad-announcement", code="bad-announcement", detail=fault)
            return write_json(refuse("bad-announcement", fault), 400)
        token = self.bridge.new_token()
        event = EndpointAnnounced(token, announcement)
        reply = self.bridge.ask(token, event, ASK_TIMEOUT_S)
        if reply is None:
            return write_json(refuse("not-ready", "no keeper answered"), 503)
        return write_json(reply)
