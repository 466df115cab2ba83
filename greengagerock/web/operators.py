"""The CherryPy application for operators."""

import json

import cherrypy

from greengagerock.control.operators import OperatorRequest, refuse
from greengagerock.core import ERROR_KINDS, TimelineFilter
from greengagerock.core.seam import OperatorAsked
from greengagerock.web.json_tools import read_json, write_json

ASK_TIMEOUT_S = 8.0


class OperatorRoot:
    """Operators' resources.

    Args:
        bridge: Where answers come from.
        timeline: The host's time line.
        status: Callable that returns this host's status as a dictionary.
        metrics: The ``Metrics``.
    """

    def __init__(self, bridge, timeline, status, metrics):
        self.bridge = bridge
        self.time_line = timeline
        self.host_status = status
        self.metric_set = metrics

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    def operate(self):
        """Answer an ``OperatorRequest`` sent as JSON."""
        request, fault = read_json(OperatorRequest)
        if fault:
            return write_json(refuse("bad-request", fault), 400)
        token = self.bridge.new_token()
        answer = self.bridge.ask(token, OperatorAsked(token, request), ASK_TIMEOUT_S)
        if answer is None:
            answer = refuse("no-leader", "no answer in time")
        status = ERROR_KINDS[answer.code].http_status if answer.code else 200
        return write_json(answer, status)

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def status(self):
        """Return this host's own view of itself."""
        return write_json(self.host_status())

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def timeline(self, key="", endpoint="", zone="", since_us="0", until_us="0"):
        """Return this host's part of the time line."""
        try:
            wanted = TimelineFilter(key, endpoint, zone, int(since_us), int(until_us))
        except ValueError:
            return write_json(
                refuse("bad-request", "since_us and until_us are whole numbers"), 400
            )
        return write_json(self.time_line.select(wanted))

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def metrics(self):
        """Return the metrics in Prometheus' text format."""
        cherrypy.response.headers["Content-Type"] = self.metric_set.content_type
        return self.metric_set.render()


def on_http_error(status, message, traceback, version):
    """Return the body of CherryPy's own errors, as coded JSON."""
    code = "bad-request" if status.startswith("4") else "internal-error"
    cherrypy.response.headers["Content-Type"] = "application/json"
    return json.dumps({"code": code, "detail": message})


def make_application(root):
    """Return a WSGI application for a tree of CherryPy handlers."""
    config = {
        "/": {
            "error_page.default": on_http_error,
            "tools.gzip.on": False,
            "tools.trailing_slash.on": False,
        }
    }
    # The project's own log has one line for each event that matters.
    cherrypy.config.update({"log.screen": False})
    application = cherrypy.Application(root, "", config)
    application.log.screen = False
    return application
