"""Paths and bodies between controllers, endpoints and operators on the infrastructure."""

import re

from greengagerock.core import GreengageError
from greengagerock.platform.wire_items import read_patch, write_items
from greengagerock.platform.wire_reports import read_leaving, read_report, write_answer
from greengagerock.web.control import LEAVE_CALL, PATCH_CALL, READ_CALL, REPORT_CALL

_ENDPOINT_PATH = re.compile(r"/greengagerock/instances/([^/]{1,200})/(heartbeat|leave)")
_CALLS = {
    ("POST", "/greengagerock/config/patch"): PATCH_CALL,
    ("GET", "/greengagerock/config/get"): READ_CALL,
}


class InfrastructureControlDialect:
    """Translates the infrastructure's calls to controllers."""

    content_type = "application/json"
    read_report = staticmethod(read_report)
    read_leaving = staticmethod(read_leaving)
    read_patch = staticmethod(read_patch)
    write_answer = staticmethod(write_answer)
    write_items = staticmethod(write_items)

    def call_of(self, method, path):
        """Return which call a request is and the endpoint that it names.

        Raises:
            GreengageError: ``unknown-name`` if nothing is served there.
        """
        call = _CALLS.get((method, path))
        if call is not None:
            return call, ""
        match = _ENDPOINT_PATH.fullmatch(path)
        if method != "POST" or match is None:
            raise GreengageError("unknown-name", f"{method} {path} is not served")
        return (REPORT_CALL if match[2] == "heartbeat" else LEAVE_CALL), match[1]
