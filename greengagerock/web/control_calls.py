"""The types of calls that controllers serve to endpoints and operators."""

REPORT_CALL = "report"
LEAVE_CALL = "leave"
PATCH_CALL = "patch"
READ_CALL = "read"
START_EVACUATION_CALL = "start-evacuation"
END_EVACUATION_CALL = "end-evacuation"
