"""The platform's dialect for endpoints' reports and operators' calls to controllers."""

import re

from greengagerock.core import GreengageError
from greengagerock.platform.wire_items import read_patch, write_items
from greengagerock.platform.wire_reports import read_leaving, read_report, write_report_response
from greengagerock.web.control_application import LEAVE_CALL, PATCH_CALL, READ_CALL, REPORT_CALL

_ENDPOINT_PATH = re.compile(r"/greengagerock/instances/([^/]{1,200})/(heartbeat|leave)")
_CALL_BY_REQUEST = {
    ("POST", "/greengagerock/config/patch"): PATCH_CALL,
    ("GET", "/greengagerock/config/get"): READ_CALL,
}


class PlatformControlDialect:
    """Translates paths and bodies of the platform's calls to controllers."""

    content_type = "application/json"
    read_report = staticmethod(read_report)
    read_leaving = staticmethod(read_leaving)
    read_patch = staticmethod(read_patch)
    write_report_response = staticmethod(write_report_response)
    write_items = staticmethod(write_items)

    def parse_call(self, method, path):
        """Return the type of a call, and the name of the endpoint in its path or an empty string.

        Raises:
            GreengageError: ``unknown-name`` if the method and path are not served.
        """
        call = _CALL_BY_REQUEST.get((method, path))
        if call is not None:
            return call, ""
        match = _ENDPOINT_PATH.fullmatch(path)
        if method != "POST" or match is None:
            raise GreengageError("unknown-name", f"{method} {path} is not served")
        return (REPORT_CALL if match[2] == "heartbeat" else LEAVE_CALL), match[1]
