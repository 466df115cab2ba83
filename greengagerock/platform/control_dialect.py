"""The platform's dialect for endpoints' reports and operators' calls to controllers."""

import re

from greengagerock.core import GreengageError
from greengagerock.platform.wire_items import decode_patch, encode_items
from greengagerock.platform.wire_reports import (
    decode_leaving,
    decode_report,
    encode_report_response,
)
from greengagerock.web.control_calls import (
    END_EVACUATION_CALL,
    LEAVE_CALL,
    PATCH_CALL,
    READ_CALL,
    REPORT_CALL,
    START_EVACUATION_CALL,
)

_ENDPOINT_PATH = re.compile(r"/greengagerock/instances/([^/]{1,200})/(heartbeat|leave)")
_EVACUATION_PATH = re.compile(r"/greengagerock/evacuations/([^/]{1,200})/(start|end)")
_CALL_BY_REQUEST = {
    ("POST", "/greengagerock/config/patch"): PATCH_CALL,
    ("GET", "/greengagerock/config/get"): READ_CALL,
}


class PlatformControlDialect:
    """Translates paths and bodies of the platform's calls to controllers."""

    content_type = "application/json"
    decode_report = staticmethod(decode_report)
    decode_leaving = staticmethod(decode_leaving)
    decode_patch = staticmethod(decode_patch)
    encode_report_response = staticmethod(encode_report_response)
    encode_items = staticmethod(encode_items)

    def parse_call(self, method, path):
        """Return the type of a call, and the name of the endpoint or zone in its path.

        The name is empty for other calls.

        Raises:
            GreengageError: ``unknown-name`` if the method and path are not served.
        """
        call = _CALL_BY_REQUEST.get((method, path))
        if call is not None:
            return call, ""
        match = _EVACUATION_PATH.fullmatch(path)
        if method == "POST" and match:
            is_start = match[2] == "start"
            return (START_EVACUATION_CALL if is_start else END_EVACUATION_CALL), match[1]
        match = _ENDPOINT_PATH.fullmatch(path)
        if method != "POST" or match is None:
            raise GreengageError("unknown-name", f"{method} {path} is not served")
        return (REPORT_CALL if match[2] == "heartbeat" else LEAVE_CALL), match[1]
