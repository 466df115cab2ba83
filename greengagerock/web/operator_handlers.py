"""The CherryPy handlers for operators."""

import json

import cherrypy

from greengagerock.control.operator_messages import OperatorRequest, error_response
from greengagerock.core import ERROR_KINDS, TimelineFilter
from greengagerock.core.interface import OperatorRequestArrived
from greengagerock.web.json_bodies import read_json, write_json

DECISION_TIMEOUT_S = 8.0


class OperatorRoot:
    """HTTP resources for operators.

    Args:
        bridge: The ``Bridge`` to the loop.
        timeline: The host's ``Timeline`` of recorded events.
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
        """Handle an ``OperatorRequest`` in JSON."""
        request, problem = read_json(OperatorRequest)
        if problem:
            return write_json(error_response("bad-request", problem), 400)
        token = self.bridge.new_token()
        response = self.bridge.post_and_wait(
            token, OperatorRequestArrived(token, request), DECISION_TIMEOUT_S
        )
        if response is None:
            response = error_response("no-leader", "no response in time")
        status = ERROR_KINDS[response.code].http_status if response.code else 200
        return write_json(response, status)

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def status(self):
        """Return the status of this host."""
        return write_json(self.host_status())

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def timeline(self, key="", endpoint="", zone="", since_us="0", until_us="0"):
        """Return the events that this host recorded and that match the filter."""
        try:
            timeline_filter = TimelineFilter(key, endpoint, zone, int(since_us), int(until_us))
        except ValueError:
            return write_json(
                error_response("bad-request", "since_us and until_us must be whole numbers"), 400
            )
        return write_json(self.time_line.select(timeline_filter))

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def metrics(self):
        """Return the metrics in the Prometheus text format."""
        cherrypy.response.headers["Content-Type"] = self.metric_set.content_type
        return self.metric_set.render()


def on_http_error(status, message, traceback, version):
    """Return a JSON body with an error code for an error that CherryPy raised."""
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
    # The daemon's own log has one line for each relevant event; CherryPy's log is not needed.
    cherrypy.config.update({"log.screen": False})
    application = cherrypy.Application(root, "", config)
    application.log.screen = False
    return application
